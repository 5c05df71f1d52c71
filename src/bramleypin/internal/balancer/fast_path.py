"""Forwards bursts of proxied datagrams whose flows are cached.

This loop is most of a balancer's processor time, so it avoids calls to
functions written in Python. What it cannot forward goes to the forwarder,
datagram by datagram.
"""

import typing

from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import mac
from bramleypin.internal.wire import proxy_header

if typing.TYPE_CHECKING:
    from bramleypin.internal.balancer import forwarder as forwarder_module

# The lease is checked once a burst, directly before the burst is sent. A
# process that is paused while it sends may send the rest of one burst when
# it resumes, so bursts are short.
MAX_BURST = 16

# A FORWARD's head is followed by the flow's addresses and the datagram, as
# they came from the fabric.
_FLOW_BLOCK_OFFSET = proxy_header.HEADER_BYTES - proxy_header.ADDRESS_BYTES

ProxiedDatagrams = typing.Iterable[tuple[bytes, address.Address | None]]


class FastPath:
    """Works on the flow cache of a forwarder."""

    def __init__(self, forwarder: "forwarder_module.Forwarder", key: bytes):
        self._forwarder = forwarder
        self._keyed_hash = mac.keyed_hash(key)

    def forward(self, datagrams: ProxiedDatagrams) -> None:
        """Forward datagrams with PROXY v2 headers; ``datagrams`` has senders."""
        forwarder = self._forwarder
        forwarder.routes.refresh_view()
        epoch = forwarder.agents.epoch
        find_entry = forwarder.cache.get
        start_mac = self._keyed_hash.copy
        pack_sequence = frames.SEQUENCE.pack
        key_bytes = flow_key.KEY_BYTES
        block_offset = _FLOW_BLOCK_OFFSET
        tick = forwarder.tick
        sequence = forwarder.sequence
        outgoing = []
        for data, previous_hop in datagrams:
            entry = find_entry(data[:key_bytes])
            if (
                entry is None
                or (route := entry.route).epoch != epoch
                or not (
                    data.startswith(entry.pin, entry.pin_offset)
                    or entry.locate_pin(data)
                )
            ):
                forwarder.sequence = sequence
                forwarder.handle_proxied(data, previous_hop)
                sequence = forwarder.sequence
                epoch = forwarder.agents.epoch
                continue
            entry.referenced = True
            entry.previous_hop = previous_hop
            if 0 < data[route.code_offset] < 32:
                entry.request_tick = tick
            sequence += 1
            body = (
                pack_sequence(sequence)
                + route.frame_prefix
                + data[block_offset:]
            )
            checksum = start_mac()
            checksum.update(body)
            outgoing.append((checksum.digest() + body, route.owner))
        forwarder.sequence = sequence
        if outgoing:
            forwarder.send_burst(outgoing)

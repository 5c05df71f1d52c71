"""Fast path: forwards bursts of proxied datagrams of cached flows.

This loop takes most of a balancer's CPU time, so it avoids calls to Python
functions. Datagrams that it cannot forward are passed to the forwarder one
by one.
"""

import typing

from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import mac
from bramleypin.internal.wire import proxy_header

if typing.TYPE_CHECKING:
    from bramleypin.internal.balancer import forwarder as forwarder_module

# Maximum number of datagrams in a burst. The lease is checked once per burst,
# directly before sending. A process that is paused while it sends may send
# the rest of that burst when it resumes, so bursts are short.
MAX_BURST = 16

# A FORWARD frame ends with a copy of the received bytes from this offset on:
# the flow's addresses and the datagram. The copy follows the frame prefix.
_FLOW_BLOCK_OFFSET = proxy_header.HEADER_BYTES - proxy_header.ADDRESS_BYTES

ProxiedDatagrams = typing.Iterable[tuple[bytes, address.Address | None]]


class FastPath:
    """Forwards datagrams whose owner is in the forwarder's flow cache."""

    def __init__(self, forwarder: "forwarder_module.Forwarder", key: bytes):
        self._forwarder = forwarder
        self._keyed_hash = mac.keyed_hash(key)

    def forward(self, datagrams: ProxiedDatagrams) -> None:
        """Forward datagrams with PROXY v2 headers.

        Each item is a datagram with the address that it came from, or with
        ``None`` for the direct ingress.
        """
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
        for data, via in datagrams:
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
                forwarder.handle_proxied(data, via)
                sequence = forwarder.sequence
                epoch = forwarder.agents.epoch
                continue
            entry.referenced = True
            entry.via = via
            # The code of a CoAP request is 0.01 to 0.31, encoded as 1 to 31.
            if 0 < data[route.code_offset] < 32:
                entry.request_tick = tick
            sequence += 1
            body = (
                pack_sequence(sequence)
                + route.frame_prefix
                + data[block_offset:]
            )
            mac_hash = start_mac()
            mac_hash.update(body)
            outgoing.append((mac_hash.digest() + body, route.owner))
        forwarder.sequence = sequence
        if outgoing:
            forwarder.send_burst(outgoing)

"""Sends the lookups of several searches to an agent in one frame."""

import anyio

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import peer_port

# Shortest time between two frames to the same agent. After a loss of power,
# a balancer searches for hundreds of flows a second, and asks every agent.
BATCH_INTERVAL_S = 0.01
# A lookup takes about 40 bytes. Daemons of earlier versions discard frames of
# more than 4,096 bytes.
LOOKUPS_PER_FRAME = 64


class LookupQueue:
    """Queues lookups, so that frequent ones to an agent share a frame."""

    def __init__(self, peers: peer_port.PeerPort):
        self._peers = peers
        self._lookups_by_host: dict[str, list[frames.Lookup]] = {}
        self._next_send_s = float("-inf")

    def add(self, lookup: frames.Lookup, hosts: list[str]) -> None:
        """Send a lookup to agents, at once if none was sent recently."""
        for host in hosts:
            self._lookups_by_host.setdefault(host, []).append(lookup)
        self.send_due()

    def send_due(self) -> None:
        """Send the queued lookups if their time has come."""
        now_s = anyio.current_time()
        if now_s < self._next_send_s or not self._lookups_by_host:
            return
        self._next_send_s = now_s + BATCH_INTERVAL_S
        hosts_by_numbers: dict[tuple[int, ...], list[str]] = {}
        for host, lookups in self._lookups_by_host.items():
            numbers = tuple(lookup.lookup for lookup in lookups)
            hosts_by_numbers.setdefault(numbers, []).append(host)
        for hosts in hosts_by_numbers.values():
            self._send(self._lookups_by_host[hosts[0]], hosts)
        self._lookups_by_host.clear()

    def _send(self, lookups: list[frames.Lookup], hosts: list[str]) -> None:
        for start in range(0, len(lookups), LOOKUPS_PER_FRAME):
            batch = lookups[start : start + LOOKUPS_PER_FRAME]
            message = frames.LookupBatch(batch)
            self._peers.send_to_all(
                hosts, batch[0] if len(batch) == 1 else message
            )

"""Keeps the flow tables of agents that restart as planned.

A process that starts cannot know which flows its endpoint holds from before.
The process that it replaces therefore tells other daemons, its keepers, which
hold the table in memory until the new process on that host asks for it.
"""

import collections
import dataclasses
import typing

import anyio
import msgspec

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import frames

# The platform starts a stopped process again within a few seconds. A table
# that is older may lack flows of a process that has run since.
MAX_TABLE_AGE_S = 10.0
# Time for which a table is sent again after the first request, in case of a
# lost frame. It is shorter than the restart of a process, so that a second
# process does not get the table that the first one has taken over.
RESEND_TIME_S = 0.5
# Bounds the memory of a keeper. A flow takes about 420 bytes.
MAX_KEPT_FLOWS = 10_000


class FlowRecord(msgspec.Struct, array_like=True):
    """An open flow, with the fields of ``endpoint_flow.EndpointFlow``."""

    flow: tuple[int, int, int, int]
    opening_sequence: int
    endpoint_sequence: int
    caller_position: int
    endpoint_position: int
    established: bool
    caller_finished: bool
    endpoint_finished: bool


@frames.message(12)
class FlowTablePart(frames.Message):
    """A part of the flow table of the agent on ``host``.

    ``table`` is a random number of the table and ``part`` counts from 0 to
    ``parts`` - 1. ``endpoint_started_ms`` is the start time of the endpoint
    that holds the flows, 0 if it was not registered. The table lists all
    flows of the endpoint if ``complete``. ``known_s`` is the time for which
    the agent had seen all of them, ``kept_s`` the time since the agent sent
    the part, both in seconds.
    """

    host: str
    table: int
    part: int
    parts: int
    service: str
    endpoint_started_ms: int
    complete: bool
    known_s: float
    records: list[FlowRecord]
    kept_s: float = 0.0


@frames.message(13)
class FlowTableAck(frames.Message):
    """Confirms that a keeper has received a part of a flow table."""

    table: int
    part: int


@frames.message(14)
class FlowTableRequest(frames.Message):
    """Asks a keeper for the flow table of the sender's predecessor."""


@dataclasses.dataclass(slots=True)
class _KeptTable:
    """The parts of one table that have arrived.

    ``expires_s`` is when the keeper discards them.
    """

    table: int
    received_s: float
    expires_s: float
    part_by_number: dict[int, FlowTablePart]


@kernel_module.service(
    "flow_tables",
    roles=("stream_balancer", "stream_agent"),
    needs=("peer_port",),
)
class FlowTables(kernel_module.Service):
    """Keeps the flow tables of other hosts until they are asked for.

    An agent sets ``on_own_part(message)``, which gets the parts of the table
    of its predecessor.
    """

    on_own_part: typing.Callable[[FlowTablePart], None] | None = None

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._peers = kernel.get("peer_port")
        self._table_by_host: collections.OrderedDict[str, _KeptTable] = (
            collections.OrderedDict()
        )
        self._kept_flows = 0
        self._peers.set_handler(FlowTablePart, self._on_part)
        self._peers.set_handler(FlowTableRequest, self._on_request)

    def _on_part(self, message: FlowTablePart, _: bytes, host: str) -> None:
        if message.host == self.kernel.settings.host:
            if self.on_own_part is not None:
                self.on_own_part(message)
        elif message.host == host:
            self._keep(message, host)
            self._peers.send(host, FlowTableAck(message.table, message.part))

    def _keep(self, message: FlowTablePart, host: str) -> None:
        now_s = anyio.current_time()
        kept = self._table_by_host.get(host)
        if kept is None or kept.table != message.table:
            self._discard(host)
            kept = _KeptTable(message.table, now_s, 0.0, {})
            self._table_by_host[host] = kept
        self._table_by_host.move_to_end(host)
        kept.expires_s = now_s + MAX_TABLE_AGE_S
        if message.part not in kept.part_by_number:
            kept.part_by_number[message.part] = message
            self._kept_flows += len(message.records)
        while self._table_by_host:
            oldest_host, oldest = next(iter(self._table_by_host.items()))
            if oldest.expires_s > now_s and self._kept_flows <= MAX_KEPT_FLOWS:
                break
            self._discard(oldest_host)

    def _discard(self, host: str) -> None:
        kept = self._table_by_host.pop(host, None)
        if kept is not None:
            self._kept_flows -= sum(
                len(part.records) for part in kept.part_by_number.values()
            )

    def _on_request(
        self, message: FlowTableRequest, _: bytes, host: str
    ) -> None:
        kept = self._table_by_host.get(host)
        now_s = anyio.current_time()
        if kept is None or kept.expires_s <= now_s:
            return
        kept.expires_s = min(kept.expires_s, now_s + RESEND_TIME_S)
        kept_s = now_s - kept.received_s
        for part in kept.part_by_number.values():
            self._peers.send(
                host, msgspec.structs.replace(part, kept_s=kept_s)
            )

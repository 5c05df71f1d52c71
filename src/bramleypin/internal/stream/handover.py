"""Passes an agent's flow table on to the next process on its host."""

import heapq

import anyio
import xxhash

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import endpoint_flow
from bramleypin.internal.stream import flow_tables
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import segment

# A record takes about 40 of a frame's bytes.
FLOWS_PER_PART = 64
# Keepers among the other agents, beside the seeds. Several may be restarted
# while a process is away.
AGENT_KEEPERS = 3
SEND_ATTEMPTS = 3
# Allows for a round trip between failure domains and for a busy keeper.
ACK_TIMEOUT_S = 0.04
REQUEST_ATTEMPTS = 6
REQUEST_INTERVAL_S = 0.05

FLOWS_HANDED_OVER = metrics.declare(
    "stream.flows_handed_over",
    "counter",
    "flows",
    "Flows that a stopped agent passed on to the next process.",
)
FLOWS_TAKEN_OVER = metrics.declare(
    "stream.flows_taken_over",
    "counter",
    "flows",
    "Flows that an agent learned from the process before it.",
)

_log = logs.get("handover")


def _record(entry: endpoint_flow.EndpointFlow) -> flow_tables.FlowRecord:
    return flow_tables.FlowRecord(
        tuple(entry.flow),
        entry.opening_sequence,
        entry.endpoint_sequence,
        entry.caller_position,
        entry.endpoint_position,
        entry.established,
        entry.caller_finished,
        entry.endpoint_finished,
    )


@kernel_module.service(
    "flow_handover",
    roles=("stream_agent",),
    needs=("view", "peer_port", "flow_tables", "agent", "metrics"),
)
class FlowHandover(kernel_module.Service):
    """Sends this agent's flow table when it stops; fetches one at its start.

    The seeds and a few other agents keep it. Both processes choose the same
    ones as long as the view does not change much.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._metrics = kernel.get("metrics")
        self._flows = kernel.get("agent").flows
        self._endpoint = kernel.get("stream_admission").endpoint
        self._parts_by_table: dict[
            int, dict[int, flow_tables.FlowTablePart]
        ] = {}
        self._sent_parts: list[flow_tables.FlowTablePart] = []
        self._unacknowledged: set[tuple[str, int]] = set()
        self._tables = kernel.get("flow_tables")
        self._tables.on_own_part = self._on_own_part
        self._peers.set_handler(flow_tables.FlowTableAck, self._on_ack)

    def _keepers(self) -> list[str]:
        settings = self.kernel.settings
        agents = heapq.nsmallest(
            AGENT_KEEPERS,
            self._view_manager.view.hosts.keys() - {settings.host},
            key=lambda host: xxhash.xxh3_64_intdigest(
                f"{settings.host} {host}".encode()
            ),
        )
        seeds = [seed.host for seed in settings.seeds]
        return list(dict.fromkeys([*seeds, *agents]))

    def _endpoint_started_ms(self) -> int:
        endpoint = self._endpoint()
        return endpoint.started_ms if endpoint is not None else 0

    def _table(self) -> list[flow_tables.FlowTablePart]:
        records = [
            _record(entry)
            for entry in self._flows.flow_by_key.values()
            if entry.verified and entry.ended_s is None
        ]
        settings = self.kernel.settings
        number = self.kernel.environment.random.getrandbits(31)
        starts = range(0, max(1, len(records)), FLOWS_PER_PART)
        return [
            flow_tables.FlowTablePart(
                settings.host,
                number,
                part,
                len(starts),
                settings.service,
                self._endpoint_started_ms(),
                not self._flows.may_hold_older_flows(),
                round(self._flows.uptime_s(), 3),
                records[start : start + FLOWS_PER_PART],
            )
            for part, start in enumerate(starts)
        ]

    async def hand_over(self) -> None:
        """Send the flow table to the keepers.

        No flow may be opened afterwards. Returns after at most
        ``SEND_ATTEMPTS`` times ``ACK_TIMEOUT_S``.
        """
        guard.call(self._metrics, self._prepare_table)
        for _ in range(SEND_ATTEMPTS):
            for host, part in self._unacknowledged:
                self._peers.send(host, self._sent_parts[part])
            await anyio.sleep(ACK_TIMEOUT_S)
            if not self._unacknowledged:
                break
        flow_count = sum(len(part.records) for part in self._sent_parts)
        self._metrics.count(FLOWS_HANDED_OVER, flow_count)
        _log.info(
            "flows handed over",
            flows=flow_count,
            unconfirmed=len(self._unacknowledged),
        )

    def _prepare_table(self) -> None:
        self._sent_parts = self._table()
        self._unacknowledged = {
            (host, message.part)
            for host in self._keepers()
            for message in self._sent_parts
        }

    def _on_ack(
        self, message: flow_tables.FlowTableAck, _: bytes, host: str
    ) -> None:
        self._unacknowledged.discard((host, message.part))

    async def run(self) -> None:
        """Ask for the flow table of the process before this one."""
        while not self._view_manager.view.loaded:
            await self._view_manager.wait_for_change()
        for _ in range(REQUEST_ATTEMPTS):
            self._peers.send_to_all(
                self._keepers(), flow_tables.FlowTableRequest()
            )
            await anyio.sleep(REQUEST_INTERVAL_S)
            complete_tables = [
                list(parts.values())
                for parts in self._parts_by_table.values()
                if len(parts) == next(iter(parts.values())).parts
            ]
            if complete_tables:
                latest = min(
                    complete_tables, key=lambda table: table[0].kept_s
                )
                guard.call(self._metrics, self._take_over, latest)
                break
        self._tables.on_own_part = None
        self._parts_by_table.clear()

    def _on_own_part(self, message: flow_tables.FlowTablePart) -> None:
        parts = self._parts_by_table.setdefault(message.table, {})
        parts[message.part] = message

    def _take_over(self, table: list[flow_tables.FlowTablePart]) -> None:
        """Learn the flows of a table, unless its endpoint has restarted."""
        first = table[0]
        started_ms = self._endpoint_started_ms()
        same_endpoint = first.service == self.kernel.settings.service and (
            not started_ms or started_ms == first.endpoint_started_ms
        )
        if not same_endpoint:
            _log.info("flows of an earlier endpoint not taken over")
            return
        flow_count = 0
        for message in table:
            for record in message.records:
                flow_count += self._restore(record)
        self._flows.record_knowledge(
            first.known_s + first.kept_s, first.complete
        )
        self._metrics.count(FLOWS_TAKEN_OVER, flow_count)
        _log.info(
            "flows taken over", flows=flow_count, complete=first.complete
        )

    def _restore(self, record: flow_tables.FlowRecord) -> bool:
        """Add a flow; false if this process has learned of it already."""
        key = segment.Flow(*record.flow)
        if key in self._flows.flow_by_key:
            return False
        entry = self._flows.add(key)
        entry.opening_sequence = record.opening_sequence
        entry.endpoint_sequence = record.endpoint_sequence
        entry.caller_position = record.caller_position
        entry.endpoint_position = record.endpoint_position
        entry.established = record.established
        entry.caller_finished = record.caller_finished
        entry.endpoint_finished = record.endpoint_finished
        entry.verified = True
        return True

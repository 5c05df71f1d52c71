"""The agent's flow table; each active flow is served by its own task."""

import collections
import typing

import anyio
import anyio.abc

from bramleypin.internal.agent import admission as admission_module
from bramleypin.internal.agent import datagram_flow
from bramleypin.internal.agent import flow as flow_module
from bramleypin.internal.agent import identity as identity_module
from bramleypin.internal.agent import replies as replies_module
from bramleypin.internal.agent import request_execution
from bramleypin.internal.agent import request_handler as request_handler_module
from bramleypin.internal.agent import request_runner as request_runner_module
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import metrics
from bramleypin.internal.wire import coap

FLOW_IDLE_S = 300.0
TASK_IDLE_S = 5.0
SWEEP_INTERVAL_S = 5.0
DRAIN_TIMEOUT_S = 120.0
DRAIN_POLL_S = 0.05

# When the table is full, this many of the least recently used flows are
# checked for one that is idle and can be closed. The others were used more
# recently and are assumed to be busy.
EVICTION_SCAN_LIMIT = 8

_OWN_PIN_STATUSES = (
    identity_module.PinStatus.FRESH,
    identity_module.PinStatus.STALE,
)

FLOWS_HELD = metrics.declare(
    "agent.flows", "gauge", "flows", "Flows that this agent holds."
)
FLOWS_OPENED = metrics.declare(
    "agent.flows.opened", "counter", "flows", "Flows opened or adopted."
)
FLOWS_REFUSED = metrics.declare(
    "agent.flows.refused", "counter", "flows", "Flows over the limit."
)
INBOX_FULL = metrics.declare(
    "agent.flows.inbox_full",
    "counter",
    "datagrams",
    "Datagrams dropped because their flow had too many waiting.",
)


@kernel_module.service(
    "flows",
    roles=("agent",),
    needs=(
        "identity",
        "port",
        "view",
        "metrics",
        "trace",
        "outcomes",
        "status",
        "admission",
        "endpoint",
    ),
)
class Flows(kernel_module.Service):
    """Opens, serves and closes the flows of this agent."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._flow_by_id: collections.OrderedDict[int, flow_module.Flow] = (
            collections.OrderedDict()
        )
        self._flow_by_key: dict[flow_module.FlowKey, flow_module.Flow] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._admission: admission_module.Admission
        self.records: request_execution.RecordTable
        self.request_handler: request_handler_module.RequestHandler
        self.replies: replies_module.ReplySender

    async def start(self) -> None:
        """Create the objects that handle requests."""
        kernel = self.kernel
        self._admission = kernel.get("admission")
        self._endpoint = kernel.get("endpoint")
        self._identity = kernel.get("identity")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        limit = kernel.settings.limits.request_records
        self.records = request_execution.RecordTable(limit)
        self.replies = replies_module.ReplySender(kernel)
        runner = request_runner_module.RequestRunner(
            kernel,
            self.replies,
            self.records,
            self.release_flow,
            self._start_soon,
        )
        self.request_handler = request_handler_module.RequestHandler(
            kernel, self.replies, self.records, runner, self._start_soon
        )
        self._datagrams = datagram_flow.DatagramFlows(
            kernel, self.replies, self._start_soon
        )
        kernel.get("status").register("flows", self._status)

    def _start_soon(
        self, function: typing.Callable[..., typing.Any], *arguments: object
    ) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(function, *arguments)

    def _status(self) -> dict[str, typing.Any]:
        return {
            "held": len(self._flow_by_id),
            "records": len(self.records),
            "running": self._admission.running,
            "waiting": len(self._admission.queue),
            "limit": self._admission.limit(),
            "state": self.state().name.lower(),
        }

    async def run(self) -> None:
        """Run the flow tasks and close idle flows until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.replies.run_empty_acks)
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                self._close_idle_flows()

    async def drain(self) -> None:
        """Stop admitting requests and wait for those in flight.

        A piggybacked answer is never acknowledged and may be lost. The drain
        therefore continues until callers have had time to retry. It ends
        after ``DRAIN_TIMEOUT_S`` in any case.
        """
        self._admission.draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while self._has_busy_flow() or self.replies.expects_retries():
                await anyio.sleep(DRAIN_POLL_S)

    def _has_busy_flow(self) -> bool:
        return any(flow.is_busy() for flow in self._flow_by_id.values())

    def holds(self, key: flow_module.FlowKey) -> bool:
        """Return whether this agent holds a flow."""
        return key in self._flow_by_key

    def accepts_unpinned(self, key: flow_module.FlowKey) -> bool:
        """Return whether this agent takes a flow's requests without a pin.

        A draining agent refuses them, except for a datagram service and
        during a block-wise transfer. When it refuses them, it must not claim
        a flow that it still holds for the caller's earlier requests;
        otherwise balancers would send each retry back to it.
        """
        flow = self._flow_by_key.get(key)
        if flow is None or not self._admission.draining:
            return flow is not None
        if self._admission.own_endpoint.is_datagram_service():
            return True
        return anyio.current_time() < flow.transfer_until_s

    def state(self) -> typing.Any:
        """Return this agent's readiness to accept new flows."""
        return self._admission.state(flows_full=not self._has_capacity())

    def deliver(self, datagram: flow_module.InboundDatagram) -> None:
        """Queue a datagram at its flow, opening the flow if necessary."""
        flow = self._find(datagram)
        if flow is None:
            flow = self._open(datagram)
        if flow is None:
            self._refuse(datagram)
            return
        self._bind_key(flow, datagram)
        if not flow.enqueue(datagram):
            self._metrics.count(INBOX_FULL)
            return
        if not flow.has_task:
            flow.has_task = True
            self._start_soon(self._serve, flow)

    def holds_pinned(self, check: identity_module.PinCheck) -> bool:
        """Return whether this agent holds the flow that a pin names."""
        return check.flow_id in self._flow_by_id

    def match_acknowledgement(
        self, datagram: flow_module.InboundDatagram
    ) -> bool:
        """Match an ACK or RST with a separate response sent by this agent.

        Returns whether a response with this message id was pending.
        """
        flow = self._flow_by_key.get(datagram.key)
        if flow is None:
            return False
        acknowledged = flow.event_by_unacknowledged_mid.get(
            datagram.message.mid
        )
        if acknowledged is None:
            return False
        acknowledged.set()
        return True

    def _find(
        self, datagram: flow_module.InboundDatagram
    ) -> flow_module.Flow | None:
        if datagram.pin.status in _OWN_PIN_STATUSES:
            return self._flow_by_id.get(datagram.pin.flow_id)
        return self._flow_by_key.get(datagram.key)

    def _open(
        self, datagram: flow_module.InboundDatagram
    ) -> flow_module.Flow | None:
        if not self._has_capacity():
            return None
        if len(self._flow_by_id) >= self._limit():
            self._evict_idle_flow()
        flow_id = datagram.pin.flow_id
        if flow_id is None:
            flow_id = self._identity.new_flow_id()
        flow = flow_module.Flow(flow_id)
        flow.next_mid = flow_id % (1 << 16)
        self._flow_by_id[flow_id] = flow
        self._metrics.count(FLOWS_OPENED)
        self._metrics.gauge(FLOWS_HELD, len(self._flow_by_id))
        self._trace.record(
            datagram.flow_label, "opened", datagram.pin.status.value
        )
        return flow

    def _refuse(self, datagram: flow_module.InboundDatagram) -> None:
        self._metrics.count(FLOWS_REFUSED)
        self._trace.record(datagram.flow_label, "refused", "connections")
        if datagram.message is not None:
            flow_id = datagram.pin.flow_id or 0
            self.request_handler.refuse(
                flow_id, datagram, "too many connections"
            )

    def _bind_key(
        self, flow: flow_module.Flow, datagram: flow_module.InboundDatagram
    ) -> None:
        flow.last_used_s = anyio.current_time()
        self._flow_by_id.move_to_end(flow.flow_id)
        previous_flow = self._flow_by_key.get(datagram.key)
        if previous_flow is not flow:
            if previous_flow is not None:
                previous_flow.keys.discard(datagram.key)
            self._flow_by_key[datagram.key] = flow
            flow.keys.add(datagram.key)

    def _limit(self) -> int:
        endpoint = self._admission.own_endpoint.endpoint()
        return 0 if endpoint is None else endpoint.connections

    def _has_capacity(self) -> bool:
        if len(self._flow_by_id) < self._limit():
            return True
        return self._find_idle_flow() is not None

    def _find_idle_flow(self) -> flow_module.Flow | None:
        flows = iter(self._flow_by_id.values())
        for flow, _ in zip(flows, range(EVICTION_SCAN_LIMIT)):
            if not flow.is_busy():
                return flow
        return None

    def _evict_idle_flow(self) -> None:
        flow = self._find_idle_flow()
        if flow is not None:
            self._close(flow)

    def release_flow(self, flow: flow_module.Flow) -> None:
        """Close a flow after its requests have been refused."""
        if self._flow_by_id.get(flow.flow_id) is flow:
            self._close(flow)

    def _close(self, flow: flow_module.Flow) -> None:
        """Remove a flow; the records of its requests are kept."""
        del self._flow_by_id[flow.flow_id]
        for key in flow.keys:
            del self._flow_by_key[key]
        flow.keys.clear()
        flow.inbox_changed.set()

    def _close_idle_flows(self) -> None:
        idle_since_s = anyio.current_time() - FLOW_IDLE_S
        for flow in list(self._flow_by_id.values()):
            if flow.last_used_s > idle_since_s:
                break
            if not flow.is_busy():
                self._close(flow)
        self._metrics.gauge(FLOWS_HELD, len(self._flow_by_id))

    async def _serve(self, flow: flow_module.Flow) -> None:
        """Process a flow's datagrams until it is idle."""
        if self._admission.own_endpoint.is_datagram_service():
            await self._datagrams.serve(flow)
            return
        while True:
            while flow.inbox:
                self._handle(flow, flow.inbox.popleft())
            flow.inbox_changed = anyio.Event()
            with anyio.move_on_after(TASK_IDLE_S):
                await flow.inbox_changed.wait()
            if not flow.is_busy():
                break
        flow.has_task = False
        channel, flow.channel = flow.channel, None
        if channel is not None:
            await self._endpoint.close_channel(channel)

    def _handle(
        self, flow: flow_module.Flow, datagram: flow_module.InboundDatagram
    ) -> None:
        if coap.is_request(int(datagram.message.code)):
            self.request_handler.handle(flow, datagram)

"""The flows of this agent, each served by a task while it has work."""

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

# How many of the least recently used flows are looked at for one to close
# when the table is full; the others are busy.
CLOSE_CANDIDATES = 8

_OWN_PIN = (identity_module.PinStatus.FRESH, identity_module.PinStatus.STALE)

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
    """Owns the flows, their requests and tickets."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._flow_by_id: collections.OrderedDict[int, flow_module.Flow] = (
            collections.OrderedDict()
        )
        self._flow_by_key: dict[flow_module.Key, flow_module.Flow] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._admission: admission_module.Admission
        self.records: request_execution.RecordTable
        self.rules: request_handler_module.RequestHandler
        self.replies: replies_module.Replies

    async def start(self) -> None:
        """Build the parts that handle requests."""
        kernel = self.kernel
        self._admission = kernel.get("admission")
        self._endpoint = kernel.get("endpoint")
        self._identity = kernel.get("identity")
        self._metrics = kernel.get("metrics")
        self._trace = kernel.get("trace")
        limit = kernel.settings.limits.request_records
        self.records = request_execution.RecordTable(limit)
        self.replies = replies_module.Replies(kernel)
        runner = request_runner_module.Runner(
            kernel,
            self.replies,
            self.records,
            self.release,
            self._start_soon,
        )
        self.rules = request_handler_module.RequestHandler(
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
        """Run the flows' tasks, and close idle flows."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self.replies.run_announcements)
            while True:
                await anyio.sleep(SWEEP_INTERVAL_S)
                self._sweep()

    async def drain(self) -> None:
        """Admit nothing new; wait until the requests in flight have ended.

        An answer sent with its ACK is confirmed by nobody. So the drain goes
        on until the caller of a lost answer could have asked again.
        """
        self._admission.draining = True
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            while self._has_work() or self.replies.is_in_doubt():
                await anyio.sleep(DRAIN_POLL_S)

    def _has_work(self) -> bool:
        return any(flow.is_busy() for flow in self._flow_by_id.values())

    def holds(self, key: flow_module.Key) -> bool:
        """Tell whether this agent holds a flow."""
        return key in self._flow_by_key

    def keeps(self, key: flow_module.Key) -> bool:
        """Tell whether new requests of a flow without a pin belong here.

        A draining agent turns them away, so a caller that has been turned
        away must not be sent here again because of its other requests.
        """
        flow = self._flow_by_key.get(key)
        if flow is None or not self._admission.draining:
            return flow is not None
        if self._admission.own_endpoint.is_datagram_service():
            return True
        return anyio.current_time() < flow.transfer_until_s

    def state(self) -> typing.Any:
        """Return how this agent receives new flows."""
        return self._admission.state(flows_full=not self._has_room())

    def deliver(self, arrival: flow_module.Arrival) -> None:
        """Hand an arrival to its flow, which is opened if need be."""
        flow = self._find(arrival)
        if flow is None:
            flow = self._open(arrival)
        if flow is None:
            self._refuse(arrival)
            return
        self._attach(flow, arrival)
        if not flow.push(arrival):
            self._metrics.count(INBOX_FULL)
            return
        if not flow.has_task:
            flow.has_task = True
            self._start_soon(self._serve, flow)

    def has_pinned(self, check: identity_module.PinCheck) -> bool:
        """Tell whether the flow that a pin names is held."""
        return check.flow_id in self._flow_by_id

    def confirm(self, arrival: flow_module.Arrival) -> bool:
        """Match an ACK or RST with the answer that it acknowledges."""
        flow = self._flow_by_key.get(arrival.key)
        if flow is None:
            return False
        confirmed = flow.confirmed_by_mid.get(arrival.message.mid)
        if confirmed is None:
            return False
        confirmed.set()
        return True

    def _find(self, arrival: flow_module.Arrival) -> flow_module.Flow | None:
        if arrival.pin.status in _OWN_PIN:
            return self._flow_by_id.get(arrival.pin.flow_id)
        return self._flow_by_key.get(arrival.key)

    def _open(self, arrival: flow_module.Arrival) -> flow_module.Flow | None:
        if not self._has_room():
            return None
        if len(self._flow_by_id) >= self._limit():
            self._close_oldest()
        flow_id = arrival.pin.flow_id
        if flow_id is None:
            flow_id = self._identity.new_id()
        flow = flow_module.Flow(flow_id)
        flow.next_mid = flow_id % (1 << 16)
        self._flow_by_id[flow_id] = flow
        self._metrics.count(FLOWS_OPENED)
        self._metrics.gauge(FLOWS_HELD, len(self._flow_by_id))
        self._trace.record(
            arrival.flow_text, "opened", arrival.pin.status.value
        )
        return flow

    def _refuse(self, arrival: flow_module.Arrival) -> None:
        self._metrics.count(FLOWS_REFUSED)
        self._trace.record(arrival.flow_text, "refused", "connections")
        if arrival.message is not None:
            flow_id = arrival.pin.flow_id or 0
            self.rules.refuse(flow_id, arrival, "too many connections")

    def _attach(
        self, flow: flow_module.Flow, arrival: flow_module.Arrival
    ) -> None:
        flow.used_s = anyio.current_time()
        self._flow_by_id.move_to_end(flow.flow_id)
        before = self._flow_by_key.get(arrival.key)
        if before is not flow:
            if before is not None:
                before.keys.discard(arrival.key)
            self._flow_by_key[arrival.key] = flow
            flow.keys.add(arrival.key)

    def _limit(self) -> int:
        endpoint = self._admission.own_endpoint.endpoint()
        return 0 if endpoint is None else endpoint.connections

    def _has_room(self) -> bool:
        if len(self._flow_by_id) < self._limit():
            return True
        return self._oldest_idle() is not None

    def _oldest_idle(self) -> flow_module.Flow | None:
        flows = iter(self._flow_by_id.values())
        for flow, _ in zip(flows, range(CLOSE_CANDIDATES)):
            if not flow.is_busy():
                return flow
        return None

    def _close_oldest(self) -> None:
        flow = self._oldest_idle()
        if flow is not None:
            self._close(flow)

    def release(self, flow: flow_module.Flow) -> None:
        """Let a flow go, whose requests have been turned away."""
        if self._flow_by_id.get(flow.flow_id) is flow:
            self._close(flow)

    def _close(self, flow: flow_module.Flow) -> None:
        """Forget a flow; its requests' records stay for their lifetime."""
        del self._flow_by_id[flow.flow_id]
        for key in flow.keys:
            del self._flow_by_key[key]
        flow.keys.clear()
        flow.arrived.set()

    def _sweep(self) -> None:
        limit_s = anyio.current_time() - FLOW_IDLE_S
        for flow in list(self._flow_by_id.values()):
            if flow.used_s > limit_s:
                break
            if not flow.is_busy():
                self._close(flow)
        self._metrics.gauge(FLOWS_HELD, len(self._flow_by_id))

    async def _serve(self, flow: flow_module.Flow) -> None:
        """Read a flow's datagrams until it has been idle for a while."""
        if self._admission.own_endpoint.is_datagram_service():
            await self._datagrams.serve(flow)
            return
        while True:
            while flow.inbox:
                self._handle(flow, flow.inbox.popleft())
            flow.arrived = anyio.Event()
            with anyio.move_on_after(TASK_IDLE_S):
                await flow.arrived.wait()
            if not flow.is_busy():
                break
        flow.has_task = False
        channel, flow.channel = flow.channel, None
        if channel is not None:
            await self._endpoint.close_channel(channel)

    def _handle(
        self, flow: flow_module.Flow, arrival: flow_module.Arrival
    ) -> None:
        if coap.is_request(int(arrival.message.code)):
            self.rules.handle(flow, arrival)

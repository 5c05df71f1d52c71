"""Channels to this agent's endpoint, and polling of its health report."""

import anyio
import anyio.abc
import cbor2

from bramleypin.internal.agent import channel as channel_module
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import environment
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.wire import coap

_log = logs.get("agent")

HEALTH_PATH = (".well-known", "bramleypin")
HEALTH_INTERVAL_S = 0.5
HEALTH_TIMEOUT_S = 1.0

# After a refusal, answers already in transit are still accepted for this time
# before earlier requests are finished as lost.
REFUSAL_GRACE_S = 0.05
# After a health report with a new instance, requests sent to the previous
# instance may still be answered for this time, in case the report is wrong.
INSTANCE_GRACE_S = 5.0

DROPPED = metrics.declare(
    "agent.endpoint.dropped",
    "counter",
    "datagrams",
    "Datagrams of the endpoint that belong to no request.",
)
LATE = metrics.declare(
    "agent.endpoint.late",
    "counter",
    "answers",
    "Answers of the endpoint that came after their deadline.",
)
HEALTH_INVALID = metrics.declare(
    "agent.health.invalid", "counter", "reports", "Health reports not usable."
)


@kernel_module.service(
    "endpoint",
    roles=("agent",),
    needs=("view", "metrics", "trace", "admission"),
)
class Endpoint(kernel_module.Service):
    """Opens channels to the endpoint and polls its health report."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._address = kernel.settings.endpoint.endpoint_address
        self._channels: set[channel_module.Channel] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._instance: object = None
        self._instance_seen_s = 0.0
        self._reported_state = ""
        self.last_report: dict = {}

    async def start(self) -> None:
        """Look up the kernel services that receive this one's reports."""
        self._admission = self.kernel.get("admission")
        self._metrics = self.kernel.get("metrics")
        self._trace = self.kernel.get("trace")

    async def run(self) -> None:
        """Run the channel readers and poll health until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                # Only CoAP services have a health resource.
                if self._admission.own_endpoint.is_datagram_service():
                    await anyio.sleep(HEALTH_INTERVAL_S)
                else:
                    await self._poll_health()

    async def stop(self) -> None:
        """Close the channels."""
        for channel in list(self._channels):
            await self.close_channel(channel)

    async def open_channel(self) -> channel_module.Channel:
        """Open a channel and start its reader task."""
        port = await self.open_port()
        channel = channel_module.Channel(port, self.kernel.environment.random)
        self._channels.add(channel)
        assert self._tasks is not None
        self._tasks.start_soon(
            channel.read, self._count_dropped, self._on_refusal
        )
        return channel

    async def open_port(self) -> environment.EndpointPort:
        """Open a port connected to the endpoint."""
        return await self.kernel.environment.open_endpoint_port(self._address)

    async def close_channel(self, channel: channel_module.Channel) -> None:
        """Close a channel that has no further requests."""
        self._channels.discard(channel)
        await channel.aclose()

    def _count_dropped(self, reason: str) -> None:
        self._metrics.count(DROPPED)
        self._trace.record("endpoint", "dropped", reason)

    def count_late_answer(self, flow: str) -> None:
        """Count an answer that arrived after its deadline."""
        self._metrics.count(LATE)
        self._trace.record(flow, "dropped", "late_answer")

    def _on_refusal(self) -> None:
        self._admission.on_endpoint_down()
        assert self._tasks is not None
        self._tasks.start_soon(
            self._abandon_exchanges, anyio.current_time(), REFUSAL_GRACE_S
        )

    async def _abandon_exchanges(
        self, cutoff_s: float, grace_s: float
    ) -> None:
        await anyio.sleep(grace_s)
        for channel in self._channels:
            channel.finish_started_before(cutoff_s)

    async def _poll_health(self) -> None:
        channel = await self.open_channel()
        while channel.is_refusal_attributable:
            await self._request_health(channel)
            await anyio.sleep(HEALTH_INTERVAL_S)
        await self.close_channel(channel)

    async def _request_health(self, channel: channel_module.Channel) -> None:
        request = coap.message(coap.CON, coap.parse_code("0.01"), 0)
        request.opt.uri_path = HEALTH_PATH
        deadline_s = anyio.current_time() + HEALTH_TIMEOUT_S
        exchange = channel.start_exchange(
            request, deadline_s, retransmit=False
        )
        await exchange.wait(deadline_s)
        exchange.finish(channel_module.ExchangeResult.LOST)
        if exchange.result is not channel_module.ExchangeResult.ANSWERED:
            return
        answer = exchange.response
        if answer.code == coap.CONTENT:
            self._apply_health_report(answer.payload, exchange.started_s)
        else:
            # Without the health resource, any answer still shows that the
            # endpoint is up.
            self._admission.on_endpoint_up()

    def _apply_health_report(self, payload: bytes, requested_s: float) -> None:
        try:
            report = cbor2.loads(payload)
            instance = report["instance"]
            state = str(report["state"])
        except Exception as error:
            self._metrics.count(HEALTH_INVALID)
            _log.warn_throttled(
                "health", f"invalid health report from the endpoint: {error}"
            )
            return
        self.last_report = report
        if self._instance not in (None, instance):
            self._on_new_instance()
        elif state == "cold" and self._reported_state == "ready":
            self._admission.on_endpoint_cold("reported")
        if self._instance == instance:
            self._instance_seen_s = requested_s
        self._instance = instance
        self._reported_state = state
        self._admission.reported_draining = state == "draining"
        self._admission.on_endpoint_up()

    def _on_new_instance(self) -> None:
        self._admission.on_endpoint_cold("new_instance")
        # The previous instance received all requests that were sent before the
        # last health request that it answered, and they were lost with it. The
        # grace period covers wrong reports: without it, requests still running
        # at an endpoint that had not restarted were answered "unknown".
        assert self._tasks is not None
        self._tasks.start_soon(
            self._abandon_exchanges, self._instance_seen_s, INSTANCE_GRACE_S
        )

"""Reports the load of an agent's endpoint to the balancers."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import recent_hosts
from bramleypin.internal.stream import slot_queue
from bramleypin.internal.stream import stream_admission

REPORT_INTERVAL_S = 0.1
# Balancers that offered an opening within this time are told at once when the
# endpoint has no free slot any more, or has one again.
OFFER_AGE_S = 1.0
# The others are told of a changed load in this interval. A balancer ignores
# reports that are older than 1 s.
REFRESH_INTERVAL_S = 0.8
# Balancers that sent no frame for this long receive no more reports.
RECIPIENT_TIMEOUT_S = 3.0
# Large fleets have hundreds of balancers; an agent reports only to the most
# recent senders.
MAX_RECIPIENTS = 32
MAX_OFFERING_RECIPIENTS = 8

SLOT_REQUESTS_INVALID = metrics.declare(
    "stream.slot_requests_invalid",
    "counter",
    "messages",
    "Requests for a slot with a rank or deadline out of range.",
)

_log = logs.get("reports")


def _capacity(report: frames.Report) -> tuple[bool, bool, bool, str]:
    """Return what decides whether an endpoint is offered a new flow."""
    return (
        report.running_requests < report.slots,
        report.queue_full,
        report.cold_allowance == 0,
        report.state,
    )


@kernel_module.service(
    "reports",
    roles=("stream_agent",),
    needs=("view", "peer_port", "stream_admission", "metrics"),
)
class LoadReports(kernel_module.Service):
    """Sends load reports to the balancers that use this agent.

    The number of reports a second is bounded, whatever the number of
    balancers and requests.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._admission = kernel.get("stream_admission")
        self._metrics = kernel.get("metrics")
        self._recipients = recent_hosts.RecentHosts(RECIPIENT_TIMEOUT_S)
        self._offering = recent_hosts.RecentHosts(OFFER_AGE_S)
        self._last_report: frames.Report | None = None
        self._refreshed_report: frames.Report | None = None
        self._refreshed_s = float("-inf")
        self._slot_queue = slot_queue.SlotQueue()
        self._slot_freed = anyio.Event()
        self._admission.flows.on_request_end = self._on_request_end
        self._peers.set_handler(frames.SlotRequest, self._on_slot_request)

    def record_balancer(self, host: str) -> None:
        """Record that a balancer has sent a frame."""
        self._recipients.record(host)

    def record_offer(self, host: str) -> None:
        """Record that a balancer has offered an opening."""
        self._recipients.record(host)
        self._offering.record(host)
        self._slot_queue.record_offer(host)

    def current_report(self, host: str = "") -> frames.Report:
        """Return a report of the endpoint's current load and state.

        A slot that another balancer than ``host`` has been told of counts as
        taken.
        """
        flows = self._admission.flows
        slots = self._admission.slots()
        running_requests = flows.running_requests + self._slot_queue.promised(
            anyio.current_time(), host
        )
        return frames.Report(
            self.kernel.settings.host,
            self.kernel.settings.service,
            running_requests,
            slots,
            round(flows.service_time_s, 4),
            running_requests >= stream_admission.request_limit(slots),
            self._admission.cold_allowance(),
            self._admission.state(),
            self._view_manager.view.revision,
        )

    async def run(self) -> None:
        """Send changed reports and offer free slots until cancelled.

        While the queue is full, unchanged reports are sent too.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                guard.keep_running, self._metrics, self._offer_free_slots
            )
            while True:
                await anyio.sleep(REPORT_INTERVAL_S)
                now_s = anyio.current_time()
                guard.call(self._metrics, self._report_changes, now_s)

    def _report_changes(self, now_s: float) -> None:
        report = self.current_report()
        if now_s - self._refreshed_s >= REFRESH_INTERVAL_S:
            if report != self._refreshed_report:
                self.send(report)
        elif (
            report.queue_full
            or self._last_report is None
            or _capacity(report) != _capacity(self._last_report)
        ):
            hosts = self._offering.newest_first()
            self._send_to(hosts[:MAX_OFFERING_RECIPIENTS], report)

    def _on_slot_request(
        self, message: frames.SlotRequest, _: bytes, host: str
    ) -> None:
        if not slot_queue.is_valid(message.rank, message.deadline_ms):
            self._metrics.count(SLOT_REQUESTS_INVALID)
            _log.warn_throttled(
                "slot request",
                "slot request without valid urgency",
                host=host,
                rank=message.rank,
                deadline_ms=message.deadline_ms,
            )
        self._slot_queue.record(
            host, message.rank, message.deadline_ms, anyio.current_time()
        )
        self._slot_freed.set()

    def _on_request_end(self) -> None:
        self._slot_freed.set()

    async def _offer_free_slots(self) -> None:
        """Tell the most urgent balancers of the slots that become free.

        If all of them were told, each would offer an opening for each slot.
        """
        while True:
            timeout_s = None
            if len(self._slot_queue):
                # Promises end, and a cold endpoint may accept more requests.
                timeout_s = slot_queue.PROMISE_S
            with anyio.move_on_after(timeout_s):
                await self._slot_freed.wait()
            self._slot_freed = anyio.Event()
            self._promise_slots(anyio.current_time())

    def _promise_slots(self, now_s: float) -> None:
        """Promise each free slot to a balancer, and report it to them."""
        endpoint = self._admission.endpoint()
        cold_allowance = self._admission.cold_allowance()
        if (
            endpoint is None
            or endpoint.draining
            or cold_allowance == 0
            or self._admission.state() != "ready"
        ):
            return
        running_requests = self._admission.flows.running_requests
        room = int(
            stream_admission.request_limit(endpoint.slots) - running_requests
        )
        free_slots = max(0, endpoint.slots - running_requests)
        if cold_allowance > 0:
            room = min(room, cold_allowance)
            free_slots = min(free_slots, cold_allowance)
        hosts = []
        while host := self._slot_queue.pop(
            free_slots, room - free_slots, now_s
        ):
            hosts.append(host)
        for host in hosts:
            report = self.current_report(host)
            self._peers.send(host, frames.LoadReport(report))

    def send(self, report: frames.Report) -> None:
        """Send a report to the balancers that sent frames recently."""
        self._refreshed_report = report
        self._refreshed_s = anyio.current_time()
        hosts = self._recipients.newest_first()
        self._send_to(hosts[:MAX_RECIPIENTS], report)

    def _send_to(self, hosts: list[str], report: frames.Report) -> None:
        self._last_report = report
        self._peers.send_to_all(hosts, frames.LoadReport(report))

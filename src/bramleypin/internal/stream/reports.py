"""Reports the load of an agent's endpoint to the balancers."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import recent_hosts
from bramleypin.internal.stream import stream_admission

REPORT_INTERVAL_S = 0.1
# Interval while all slots are busy. It is shorter because balancers with
# postponed openings wait for the report of a free slot.
BUSY_REPORT_INTERVAL_S = 0.02
# Balancers that sent no frame for this long receive no more reports.
RECIPIENT_TIMEOUT_S = 3.0
# Large fleets have hundreds of balancers; an agent reports only to the most
# recent senders.
MAX_RECIPIENTS = 32


@kernel_module.service(
    "reports",
    roles=("stream_agent",),
    needs=("view", "peer_port", "stream_admission"),
)
class LoadReports(kernel_module.Service):
    """Sends load reports to the balancers that use this agent."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._admission = kernel.get("stream_admission")
        self._recipients = recent_hosts.RecentHosts(RECIPIENT_TIMEOUT_S)
        self._last_report: frames.Report | None = None

    def record_balancer(self, host: str) -> None:
        """Record that a balancer has sent a frame."""
        self._recipients.record(host)

    def current_report(self) -> frames.Report:
        """Return a report of the endpoint's current load and state."""
        flows = self._admission.flows
        slots = self._admission.slots()
        return frames.Report(
            self.kernel.settings.host,
            self.kernel.settings.service,
            flows.running_requests,
            slots,
            round(flows.service_time_s, 4),
            flows.running_requests >= stream_admission.request_limit(slots),
            self._admission.cold_allowance(),
            self._admission.state(),
            self._view_manager.view.revision,
        )

    async def run(self) -> None:
        """Send changed reports until cancelled.

        While the queue is full, unchanged reports are sent too.
        """
        while True:
            slots = self._admission.slots()
            all_slots_busy = self._admission.flows.running_requests >= slots
            await anyio.sleep(
                BUSY_REPORT_INTERVAL_S if all_slots_busy else REPORT_INTERVAL_S
            )
            report = self.current_report()
            if report != self._last_report or report.queue_full:
                self.send(report)

    def send(self, report: frames.Report) -> None:
        """Send a report to the balancers that sent frames recently."""
        self._last_report = report
        message = frames.LoadReport(report)
        for host in self._recipients.newest_first()[:MAX_RECIPIENTS]:
            self._peers.send(host, message)

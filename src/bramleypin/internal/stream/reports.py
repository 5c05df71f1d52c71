"""Reports the load of an agent's endpoint to the balancers."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import recent_hosts
from bramleypin.internal.stream import stream_admission

REPORT_INTERVAL_S = 0.1
# Time for which a balancer is told of a free slot that it asked for. It asks
# again while its openings wait.
SLOT_REQUEST_AGE_S = 0.3
# A slot that a balancer was told of and did not use is offered to the next one
# after this time.
SLOT_OFFER_S = 0.02
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
        self._waiting = recent_hosts.RecentHosts(SLOT_REQUEST_AGE_S)
        self._slot_freed = anyio.Event()
        self._admission.flows.on_request_end = self._on_request_end
        self._peers.set_handler(frames.SlotRequest, self._on_slot_request)

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
        """Send changed reports and offer free slots until cancelled.

        While the queue is full, unchanged reports are sent too.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._offer_free_slots)
            while True:
                await anyio.sleep(REPORT_INTERVAL_S)
                report = self.current_report()
                if report != self._last_report or report.queue_full:
                    self.send(report)

    def _on_slot_request(
        self, message: frames.SlotRequest, _: bytes, host: str
    ) -> None:
        self._waiting.record(host)
        self._slot_freed.set()

    def _on_request_end(self) -> None:
        self._slot_freed.set()

    async def _offer_free_slots(self) -> None:
        """Tell as many waiting balancers as there are free slots.

        If all of them were told, each would offer an opening for each slot.
        """
        while True:
            await self._slot_freed.wait()
            self._slot_freed = anyio.Event()
            waiting_hosts = self._waiting.oldest_first()
            if not waiting_hosts:
                continue
            flows = self._admission.flows
            free_slots = self._admission.slots() - flows.running_requests
            if free_slots <= 0:
                continue
            message = frames.LoadReport(self.current_report())
            for host in waiting_hosts[:free_slots]:
                self._waiting.forget(host)
                self._peers.send(host, message)
            await anyio.sleep(SLOT_OFFER_S)
            self._slot_freed.set()

    def send(self, report: frames.Report) -> None:
        """Send a report to the balancers that sent frames recently."""
        self._last_report = report
        message = frames.LoadReport(report)
        for host in self._recipients.newest_first()[:MAX_RECIPIENTS]:
            self._peers.send(host, message)

"""An agent's reports of its endpoint's load to the balancers."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import recent_hosts
from bramleypin.internal.stream import stream_admission

REPORT_INTERVAL_S = 0.1
# Balancers wait for the report that a busy endpoint has a free slot.
BUSY_REPORT_INTERVAL_S = 0.02
# Balancers that have sent nothing for this long get no more reports.
AUDIENCE_S = 3.0
# A target-size fleet has hundreds of balancers; an agent reports to some.
MAX_AUDIENCE = 32


@kernel_module.service(
    "reports",
    roles=("stream_agent",),
    needs=("view", "peer_port", "stream_admission"),
)
class Reports(kernel_module.Service):
    """Tells the balancers that send here what the endpoint can take."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._keeper = kernel.get("view")
        self._peers = kernel.get("peer_port")
        self._admission = kernel.get("stream_admission")
        self._audience = recent_hosts.RecentHosts(AUDIENCE_S)
        self._reported: frames.Report | None = None

    def heard(self, host: str) -> None:
        """Note that a balancer has sent something."""
        self._audience.heard(host)

    def report(self) -> frames.Report:
        """Return what balancers need to know of the endpoint."""
        flows = self._admission.flows
        slots = self._admission.slots()
        return frames.Report(
            self.kernel.settings.host,
            self.kernel.settings.service,
            flows.running,
            slots,
            round(flows.service_time_s, 4),
            flows.running >= stream_admission.queue_limit(slots),
            self._admission.room(),
            self._admission.state(),
            self._keeper.view.revision,
        )

    async def run(self) -> None:
        """Report what has changed, until cancelled."""
        while True:
            slots = self._admission.slots()
            busy = self._admission.flows.running >= slots
            await anyio.sleep(
                BUSY_REPORT_INTERVAL_S if busy else REPORT_INTERVAL_S
            )
            report = self.report()
            if report != self._reported or report.full:
                self.send(report)

    def send(self, report: frames.Report) -> None:
        """Send a report to the balancers that are in contact."""
        self._reported = report
        message = frames.Load(report)
        for host in self._audience.newest_first()[:MAX_AUDIENCE]:
            self._peers.send(host, message)

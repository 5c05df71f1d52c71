"""Drains a daemon between SIGTERM and its exit."""

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.observe import logs

# The fabric checks readiness twice a second and removes a daemon from rotation
# after two failed checks.
ROTATION_REMOVAL_S = 1.3
MIN_IDLE_S = 0.3
POLL_INTERVAL_S = 0.05
# Time that an agent forwards packets after its last answer to a search. A
# search and the trials after it take less.
LAST_ANSWER_S = 0.2
# Part of the grace period that is reserved for closing ports.
CLOSING_TIME_S = 0.7

_log = logs.get("leaving")


@kernel_module.service(
    "leaving_balancer",
    roles=("stream_balancer",),
    needs=("balancer", "openings", "owners", "trials", "readiness"),
)
class LeavingBalancer(kernel_module.Service):
    """Routes packets until the fabric sends none to this balancer.

    Openings that wait for a free slot send no packets for up to 0.8 s, so a
    pause between packets does not show that nobody waits.
    """

    async def drain(self) -> None:
        """Report not ready and wait until no more packets arrive.

        Returns in any case shortly before the grace period ends.
        """
        self.kernel.get("readiness").leaving = True
        balancer = self.kernel.get("balancer")
        grace_s = self.kernel.settings.bounds.shutdown_grace_s - CLOSING_TIME_S
        started_s = anyio.current_time()
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            now_s = anyio.current_time()
            is_idle = now_s - balancer.last_packet_s > MIN_IDLE_S
            is_idle &= not self._flows_in_progress()
            if now_s - started_s > ROTATION_REMOVAL_S and is_idle:
                break
            if now_s - started_s > grace_s:
                break
        _log.info("leaving", after_s=round(now_s - started_s, 3))

    def _flows_in_progress(self) -> int:
        return (
            len(self.kernel.get("openings").opening_by_flow)
            + len(self.kernel.get("owners").search_by_flow)
            + len(self.kernel.get("trials").trial_by_flow)
        )


@kernel_module.service(
    "leaving_agent",
    roles=("stream_agent",),
    needs=("agent", "lookups", "readiness", "flow_handover"),
)
class LeavingAgent(kernel_module.Service):
    """Refuses new flows and serves open ones until they end."""

    async def drain(self) -> None:
        """Refuse new flows and wait until none is open.

        Then hands over the flows that are still open. Returns in any case
        shortly before the grace period ends.
        """
        agent = self.kernel.get("agent")
        self.kernel.get("readiness").leaving = True
        self.kernel.get("stream_admission").leaving = True
        grace_s = self.kernel.settings.bounds.shutdown_grace_s - CLOSING_TIME_S
        started_s = anyio.current_time()
        reports = self.kernel.get("reports")
        reports.send(reports.current_report())
        open_flows = 0
        with anyio.move_on_after(grace_s):
            while True:
                await anyio.sleep(POLL_INTERVAL_S)
                open_flows = len(agent.flows.established_flows())
                if not open_flows and not agent.flows.half_open_by_key:
                    break
        self.kernel.get("lookups").answering = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep, LAST_ANSWER_S)
            await self.kernel.get("flow_handover").hand_over()
        after_s = anyio.current_time() - started_s
        _log.info("leaving", after_s=round(after_s, 3), open_flows=open_flows)

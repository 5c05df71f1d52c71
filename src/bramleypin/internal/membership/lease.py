"""The view lease: proof that the view in force is still the newest known.

A balancer forwards only while its lease is valid. The lease counts from the
sending of the request that confirmed it, so a process that was paused has no
valid lease when it wakes, whatever frames waited for it in buffers.
"""

import math
import typing

import anyio
import anyio.abc

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import metric_names

LEASE_S = 3.0
REQUEST_INTERVAL_S = 1.0
# Agents forward nothing on their own account. They ask less often, because
# each of the 16 children in an order costs its parent an answer.
AGENT_LEASE_S = 15.0
AGENT_REQUEST_INTERVAL_S = 5.0
# While the lease is not valid, every link is asked this often.
URGENT_INTERVAL_S = 0.2


@kernel_module.service(
    "lease", roles=("balancer", "agent"), needs=("view", "members", "metrics")
)
class Lease(kernel_module.Service):
    """Sends lease requests and knows until when the view is confirmed."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        balancer = kernel.settings.role == "balancer"
        self.lease_s = LEASE_S if balancer else AGENT_LEASE_S
        self._interval_s = (
            REQUEST_INTERVAL_S if balancer else AGENT_REQUEST_INTERVAL_S
        )
        self._confirmed_at = -math.inf
        self._alone_since = math.inf
        self._ticked_at = -math.inf
        self._last_id = 0
        self._turn = 0
        self._was_valid = False
        self._wanted = anyio.Event()

    async def start(self) -> None:
        """Look up the services that hold the state."""
        self._store = self.kernel.get("view")
        self._members = self.kernel.get("members")
        self._metrics = self.kernel.get("metrics")

    def is_valid(self) -> bool:
        """Tell whether the view is confirmed; asks at once when it is not."""
        if self._store.view.revision == 0:
            return False
        now = anyio.current_time()
        if now - self._confirmed_at < self.lease_s:
            return True
        if self._goes_on_alone(now):
            return True
        self._wanted.set()
        return False

    def confirm(self, sent_at: float, revision: int) -> bool:
        """Count an answer to a request that was sent at a time.

        Returns ``False`` when the answer names a newer revision. A process
        that has no view yet (revision 0) confirms nothing.
        """
        if revision > self._store.view.revision:
            return False
        if revision == 0:
            return True
        self._confirmed_at = max(self._confirmed_at, sent_at)
        return True

    def _goes_on_alone(self, now: float) -> bool:
        # A pause shows as a tick that is overdue; the process then waits for
        # the length of a lease before it trusts its view again.
        ticking = now - self._ticked_at < LEASE_S
        return ticking and now - self._alone_since >= LEASE_S

    async def run(self) -> None:
        """Ask for confirmation until cancelled."""
        await self.kernel.started.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self._tick()
                valid = self.is_valid()
                if self._was_valid and not valid:
                    self._metrics.count(metric_names.LEASE_LAPSES)
                self._was_valid = valid
                self._ask(tasks)
                await self._pause(valid)

    async def _pause(self, valid: bool) -> None:
        if not valid:
            await anyio.sleep(URGENT_INTERVAL_S)
            return
        self._wanted = anyio.Event()
        with anyio.move_on_after(self._interval_s):
            await self._wanted.wait()

    def _tick(self) -> None:
        now = anyio.current_time()
        paused = now - self._ticked_at > LEASE_S
        self._ticked_at = now
        if self._members.peers() or self.kernel.get("sync").links:
            self._alone_since = math.inf
        elif paused or self._alone_since == math.inf:
            self._alone_since = now

    def _ask(self, tasks: anyio.abc.TaskGroup) -> None:
        """Ask one link in turn, or all when answers are missing."""
        now = anyio.current_time()
        age = now - self._confirmed_at
        links = sorted(
            (link for link in self.kernel.get("sync").links if link.is_peer),
            key=lambda link: (not link.outgoing, link.peer.id),
        )
        if age < 1.6 * self._interval_s:
            links = self._next_in_turn(links)
        for link in links:
            self._last_id += 1
            tasks.start_soon(link.request_lease, self._last_id)

    def _next_in_turn(self, links: list[typing.Any]) -> list[typing.Any]:
        outgoing = [link for link in links if link.outgoing] or links
        if not outgoing:
            return []
        self._turn += 1
        return [outgoing[self._turn % len(outgoing)]]

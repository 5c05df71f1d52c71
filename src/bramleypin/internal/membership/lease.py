"""The view lease, which bounds the staleness of the active view.

A balancer forwards only while its lease is valid. The lease runs from the
time at which the confirming request was sent, not from the arrival of the
answer. A process that was paused therefore has no valid lease when it
resumes, whatever frames are waiting in its receive buffers.
"""

import math
import typing

import anyio
import anyio.abc

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import metric_names

LEASE_S = 3.0
REQUEST_INTERVAL_S = 1.0
# Agents make no forwarding decisions of their own, so a longer lease is safe
# for them. The longer interval reduces the number of answers that a parent
# sends: it serves 16 children in each tree.
AGENT_LEASE_S = 15.0
AGENT_REQUEST_INTERVAL_S = 5.0
# A confirmation older than this many request intervals means that an answer
# is missing; requests then go to every link instead of one.
OVERDUE_INTERVALS = 1.6
# Interval between requests on every link while the lease is not valid.
URGENT_INTERVAL_S = 0.2


@kernel_module.service(
    "lease", roles=("balancer", "agent"), needs=("view", "members", "metrics")
)
class Lease(kernel_module.Service):
    """Sends lease requests and decides whether the lease is valid."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        is_balancer = kernel.settings.role == "balancer"
        self.lease_s = LEASE_S if is_balancer else AGENT_LEASE_S
        self._interval_s = (
            REQUEST_INTERVAL_S if is_balancer else AGENT_REQUEST_INTERVAL_S
        )
        self._confirmed_at = -math.inf
        self._without_peers_since = math.inf
        self._last_tick_at = -math.inf
        self._last_id = 0
        self._round_robin_index = 0
        self._was_valid = False
        self._renewal_needed = anyio.Event()

    async def start(self) -> None:
        """Resolve the services that this one depends on."""
        self._view_store = self.kernel.get("view")
        self._members = self.kernel.get("members")
        self._metrics = self.kernel.get("metrics")

    def is_valid(self) -> bool:
        """Return whether the lease is valid.

        An invalid lease wakes the task that renews it, unless the process
        has no view yet.
        """
        if self._view_store.view.revision == 0:
            return False
        now = anyio.current_time()
        if now - self._confirmed_at < self.lease_s:
            return True
        if self._is_valid_without_peers(now):
            return True
        self._renewal_needed.set()
        return False

    def confirm(self, sent_at: float, revision: int) -> bool:
        """Extend the lease after an answer to a request.

        ``sent_at`` is the time at which the request was sent, ``revision``
        the peer's revision. Returns ``False`` when that revision is newer
        than the active one. A peer without a view (revision 0) does not
        extend the lease.
        """
        if revision > self._view_store.view.revision:
            return False
        if revision == 0:
            return True
        self._confirmed_at = max(self._confirmed_at, sent_at)
        return True

    def _is_valid_without_peers(self, now: float) -> bool:
        # No peer can confirm the view of a process that knows no peers and
        # has no links. Its lease is valid once this state has lasted for
        # LEASE_S. An overdue tick means that the process was paused; the lease
        # is then invalid for another LEASE_S.
        is_ticking = now - self._last_tick_at < LEASE_S
        return is_ticking and now - self._without_peers_since >= LEASE_S

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        await self.kernel.started.wait()
        async with anyio.create_task_group() as tasks:
            while True:
                self._tick()
                is_valid_now = self.is_valid()
                if self._was_valid and not is_valid_now:
                    self._metrics.count(metric_names.LEASE_LAPSES)
                self._was_valid = is_valid_now
                self._send_requests(tasks)
                await self._wait_for_next_request(is_valid_now)

    async def _wait_for_next_request(self, is_valid_now: bool) -> None:
        if not is_valid_now:
            await anyio.sleep(URGENT_INTERVAL_S)
            return
        self._renewal_needed = anyio.Event()
        with anyio.move_on_after(self._interval_s):
            await self._renewal_needed.wait()

    def _tick(self) -> None:
        now = anyio.current_time()
        was_paused = now - self._last_tick_at > LEASE_S
        self._last_tick_at = now
        if self._members.peers() or self.kernel.get("sync").links:
            self._without_peers_since = math.inf
        elif was_paused or self._without_peers_since == math.inf:
            self._without_peers_since = now

    def _send_requests(self, tasks: anyio.abc.TaskGroup) -> None:
        """Send a request on one link, or on all when answers are missing.

        The single link is chosen round-robin.
        """
        now = anyio.current_time()
        age = now - self._confirmed_at
        links = sorted(
            (link for link in self.kernel.get("sync").links if link.is_peer),
            key=lambda link: (not link.outgoing, link.peer.id),
        )
        if age < OVERDUE_INTERVALS * self._interval_s:
            links = self._select_round_robin(links)
        for link in links:
            self._last_id += 1
            tasks.start_soon(link.request_lease, self._last_id)

    def _select_round_robin(self, links: list[typing.Any]) -> list[typing.Any]:
        preferred_links = [link for link in links if link.outgoing] or links
        if not preferred_links:
            return []
        self._round_robin_index += 1
        return [
            preferred_links[self._round_robin_index % len(preferred_links)]
        ]

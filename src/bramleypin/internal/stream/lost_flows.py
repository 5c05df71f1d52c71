"""Decides when a flow that no endpoint holds is reset.

A reset lets the caller open another flow at once. Until it is certain that
no endpoint is missing from the view, a flow is kept and searched for again.
"""

import dataclasses
import heapq
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import guard
from bramleypin.internal.stream import owners
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import ticker

TICK_INTERVAL_S = 0.01
# Bounds the searches that start at the same time when registrations settle.
MAX_SEARCHES_PER_TICK = 8
# Delay after which a view that is older than an agent's has caught up.
NEWER_VIEW_DELAY_S = 0.2
# Callers transmit a packet again within 1.6 s, which starts a search as well.
MAX_WAIT_S = 3.0
# Delays of new searches after one that some agents did not answer. Agents
# that start take about 0.5 s, while the caller's next transmission may be
# 1.6 s away.
UNANSWERED_DELAYS_S = (0.2, 0.4)
# Time between two searches that are repeated because of missing answers.
# Answers are also missing when this process lacks processor time, and then
# more searches would keep it busy for good.
UNANSWERED_INTERVAL_S = 0.01
MAX_FLOWS = 5_000


@dataclasses.dataclass(slots=True)
class LostFlow:
    """A flow that was not found; ``packet`` is its caller's latest one.

    ``unanswered_searches`` counts the searches that lacked answers.
    """

    packet: segment.Segment
    search_s: float
    expires_s: float
    unanswered_searches: int = 0


@kernel_module.service(
    "lost_flows", roles=("stream_balancer",), needs=("view", "metrics")
)
class LostFlows(kernel_module.Service):
    """Resets lost flows, or searches for them again once that may help.

    The balancer sets the callbacks ``on_reset(packet)`` and
    ``on_retry(packet)``.
    """

    on_reset: typing.Callable[[segment.Segment], None]
    on_retry: typing.Callable[[segment.Segment], None]

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._metrics = kernel.get("metrics")
        self._lost_by_flow: dict[segment.Flow, LostFlow] = {}
        # Times of the searches, as a heap; those of found flows stay in it.
        self._searches: list[tuple[float, segment.Flow]] = []
        self._next_unanswered_s = float("-inf")
        self._ticker = ticker.Ticker(TICK_INTERVAL_S)

    def record(
        self, search: owners.OwnerSearch, packet: segment.Segment
    ) -> None:
        """Reset the flow of a search without a result, or keep it for later.

        ``packet`` is its caller's latest packet.
        """
        if not search.settled:
            self.record_unclear(search, packet)
            return
        lost = self._lost_by_flow.pop(search.flow, None)
        if packet.rst:
            return
        delay_s = self._delay_s(search, packet)
        if delay_s <= 0:
            self.on_reset(packet)
            return
        now_s = anyio.current_time()
        lost = lost or LostFlow(packet, 0.0, now_s + MAX_WAIT_S)
        self._keep(search.flow, lost, packet, now_s + delay_s)

    def record_unclear(
        self, search: owners.OwnerSearch, packet: segment.Segment
    ) -> None:
        """Keep a flow that may be open and whose owner is not known yet.

        ``packet`` is its caller's latest packet. Another search gives no other
        result if all agents have answered and some were not asked.
        """
        lost = self._lost_by_flow.pop(search.flow, None)
        if packet.rst or (search.all_answered and not search.settled):
            return
        now_s = anyio.current_time()
        lost = lost or LostFlow(packet, 0.0, now_s + MAX_WAIT_S)
        delay_s = UNANSWERED_DELAYS_S[min(lost.unanswered_searches, 1)]
        search_s = max(now_s + delay_s, self._next_unanswered_s)
        if self._keep(search.flow, lost, packet, search_s):
            self._next_unanswered_s = search_s + UNANSWERED_INTERVAL_S
            lost.unanswered_searches += 1

    def _keep(
        self,
        flow: segment.Flow,
        lost: LostFlow,
        packet: segment.Segment,
        search_s: float,
    ) -> bool:
        """Search for a flow again; false if it has expired by then."""
        if search_s >= lost.expires_s or len(self._searches) >= MAX_FLOWS:
            return False
        lost.packet, lost.search_s = packet, search_s
        self._lost_by_flow[flow] = lost
        heapq.heappush(self._searches, (search_s, flow))
        self._ticker.wake()
        return True

    def discard(self, flow: segment.Flow) -> None:
        """Forget a flow whose caller has begun another one instead."""
        self._lost_by_flow.pop(flow, None)

    def _delay_s(
        self, search: owners.OwnerSearch, packet: segment.Segment
    ) -> float:
        """Return the time until a reset may be allowed; 0 if it is now."""
        view_manager = self._view_manager
        if search.newest > view_manager.view.stamp:
            return NEWER_VIEW_DELAY_S
        configuration = view_manager.view.configuration
        route = configuration.route_by_address.get(packet.destination)
        # If an endpoint is missing from the view after a restart of the whole
        # deployment, its machine has most likely restarted too. A caller can
        # repeat a request of an idempotent route if this is wrong.
        if search.finds_restart and route is not None and route.idempotent:
            return 0.0
        return view_manager.registrations_settle_in_s()

    async def run(self) -> None:
        """Search for lost flows again when their time has come."""
        while True:
            await self._ticker.wait(self._searches)
            now_s = anyio.current_time()
            for _ in range(MAX_SEARCHES_PER_TICK):
                if not self._searches or self._searches[0][0] > now_s:
                    break
                search_s, flow = heapq.heappop(self._searches)
                guard.call(self._metrics, self._retry, flow, search_s)

    def _retry(self, flow: segment.Flow, search_s: float) -> None:
        lost = self._lost_by_flow.get(flow)
        # The entry is kept during the search, for its expiry.
        if lost is not None and lost.search_s == search_s:
            self.on_retry(lost.packet)

"""Chooses which waiting balancer is told of an endpoint's next free slot.

Handles a shortage at many balancers: each has openings of its own, and slots
become free one by one. Network and kernel are not used; times are passed in.
"""

import dataclasses
import heapq
import itertools

# Added to the deadline of an opening for each rank below the highest priority
# of its service, so that a higher priority delays a lower one by a bounded
# time.
PRIORITY_STEP_S = 0.1
MAX_PRIORITY_RANKS = 2
# Rank of an opening that can no longer meet its objective.
LATE_RANK = 100
# A balancer is told of a slot that it asked for within this time. It asks
# again while its openings wait.
REQUEST_AGE_S = 0.3
# A slot that a balancer was told of and did not use goes to the next one after
# this time.
PROMISE_S = 0.02
# Limits of the deadlines that a request may name.
MAX_DEADLINE_MS = 60_000
# Removed requests are cleared from the heap above this number.
MAX_REMOVED_REQUESTS = 64


@dataclasses.dataclass(slots=True)
class _Request:
    """A balancer's request for a slot."""

    host: str
    rank: int
    key: tuple[int, float]
    expires_s: float

    @property
    def may_queue(self) -> bool:
        """Whether the opening may wait in the endpoint's queue."""
        return self.rank < LATE_RANK


def is_valid(rank: int, deadline_ms: int) -> bool:
    """Return whether a request's rank and deadline are in their limits."""
    return rank >= 0 and abs(deadline_ms) <= MAX_DEADLINE_MS


class SlotQueue:
    """Balancers that ask for a slot, the most urgent one first.

    Requests of late openings come after the others, and those without a rank,
    of an older version, after these. Adding and taking one costs O(log n).
    Each balancer has at most one request.
    """

    def __init__(self) -> None:
        self._request_by_host: dict[str, _Request] = {}
        self._heap: list[tuple[tuple[int, float], int, _Request]] = []
        self._numbers = itertools.count()
        self._promised_until_s_by_host: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._request_by_host)

    def record(
        self, host: str, rank: int, deadline_ms: int, now_s: float
    ) -> None:
        """Record a balancer's request, which replaces its earlier one.

        ``deadline_ms`` is the time that its first opening has left. An
        invalid request counts as one without a rank. Requests without a rank
        are served in the order in which they arrive.
        """
        if rank > LATE_RANK or not is_valid(rank, deadline_ms):
            rank, group, due_s = LATE_RANK + 1, 2, now_s
            earlier = self._request_by_host.get(host)
            if earlier is not None and earlier.key[0] == group:
                due_s = earlier.key[1]
        else:
            group = int(rank == LATE_RANK)
            due_s = now_s + deadline_ms / 1000
            if not group:
                due_s += min(rank, MAX_PRIORITY_RANKS) * PRIORITY_STEP_S
        request = _Request(host, rank, (group, due_s), now_s + REQUEST_AGE_S)
        self._request_by_host[host] = request
        heapq.heappush(self._heap, (request.key, next(self._numbers), request))
        if len(self._heap) > 2 * len(self) + MAX_REMOVED_REQUESTS:
            self._heap = [item for item in self._heap if self._is_in(item[2])]
            heapq.heapify(self._heap)

    def _is_in(self, request: _Request) -> bool:
        return self._request_by_host.get(request.host) is request

    def _first(self, now_s: float) -> _Request | None:
        while self._heap:
            request = self._heap[0][2]
            if self._is_in(request):
                if request.expires_s >= now_s:
                    return request
                del self._request_by_host[request.host]
            heapq.heappop(self._heap)
        return None

    def pop(
        self, free_slots: int, queue_room: int, now_s: float
    ) -> str | None:
        """Return the balancer to tell of a slot, and promise it this slot.

        ``free_slots`` and ``queue_room`` are the endpoint's, without regard
        to slots promised earlier. Returns ``None`` if nobody waits or no slot
        is left.
        """
        promised = self.promised(now_s)
        request = self._first(now_s)
        if request is None:
            return None
        room = free_slots + (queue_room if request.may_queue else 0)
        if promised >= room:
            return None
        heapq.heappop(self._heap)
        del self._request_by_host[request.host]
        self._promised_until_s_by_host[request.host] = now_s + PROMISE_S
        return request.host

    def promised(self, now_s: float, except_host: str = "") -> int:
        """Return how many slots are promised to balancers but one."""
        promises = self._promised_until_s_by_host
        # All promises last equally long, so the oldest ones come first.
        while promises:
            host = next(iter(promises))
            if promises[host] > now_s:
                break
            del promises[host]
        return len(promises) - (except_host in promises)

    def record_offer(self, host: str) -> None:
        """Record that a balancer has offered an opening."""
        self._promised_until_s_by_host.pop(host, None)

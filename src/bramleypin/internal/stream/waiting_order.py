"""Orders the openings that wait for a slot of a service.

Handles a shortage: callers of several priorities compete for too few slots,
or one caller or route sends most of the openings. Network and kernel are not
used; times are passed in.
"""

import bisect
import collections
import collections.abc
import dataclasses
import heapq
import itertools
import math

from bramleypin.internal.stream import opening as opening_module
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import slot_queue
from bramleypin.internal.stream import view as view_module

# Added to the deadline of an opening whose caller was refused recently. Half a
# priority step: such an opening stays ahead of the next lower priority.
REPEAT_STEP_S = slot_queue.PRIORITY_STEP_S / 2
# Largest share of a service's slots in the last second that one caller
# address or one route gets while others wait.
MAX_CALLER_SHARE = 0.6
MAX_ROUTE_SHARE = 0.9
SHARE_WINDOW_S = 1.0
# With fewer slots in the window, a share says nothing.
MIN_SHARE_SLOTS = 10
# Older slots of the window are forgotten above this number, which shortens
# the window of a balancer that opens more flows per second.
MAX_SHARE_SLOTS = 2_048
# Resolution of the number of openings ahead. Deadlines of waiting openings
# lie within about 2.6 s, so there are at most some 50 intervals.
AHEAD_INTERVAL_S = 0.05

_CALLER, _ROUTE = "caller", "route"


class PriorityRanks:
    """The rank of each priority among the routes of a service.

    All ranks are computed once for each configuration.
    """

    def __init__(self) -> None:
        self._configuration: view_module.Configuration | None = None
        self._priorities_by_service: dict[str, list[float]] = {}

    def rank(
        self,
        configuration: view_module.Configuration,
        service: str,
        priority: float,
    ) -> int | None:
        """Return the rank of a priority; 0 is the highest.

        Returns ``None`` if the service's routes have a single priority, or if
        it is not one of theirs.
        """
        if configuration is not self._configuration:
            self._configuration = configuration
            self._priorities_by_service = _priorities(configuration)
        priorities = self._priorities_by_service.get(service, [])
        if len(priorities) < 2 or priority not in priorities:
            return None
        rank = bisect.bisect_left(priorities, priority)
        return min(rank, slot_queue.MAX_PRIORITY_RANKS)


def _priorities(
    configuration: view_module.Configuration,
) -> dict[str, list[float]]:
    priorities_by_service = collections.defaultdict(set)
    for route in configuration.route_by_address.values():
        for service, weight in route.weight_by_service:
            if weight > 0:
                priorities_by_service[service].add(route.priority)
    return {
        service: sorted(priorities)
        for service, priorities in priorities_by_service.items()
    }


def deadline_s(opening: opening_module.Opening) -> float:
    """Return when an opening should be taken, without its rank.

    For a service with several priorities and an opening that can still meet
    its objective, this is when the objective ends. Otherwise it is when the
    opening is reset, so that the order is that of age.
    """
    objective_s = opening.route.latency_objective_s
    wait_s = opening_module.MAX_OPENING_AGE_S
    if opening.rank is not None and not opening.is_late:
        if math.isfinite(objective_s) and 0 < objective_s < wait_s:
            wait_s = objective_s
    if opening.is_repeated and not opening.is_late:
        wait_s += REPEAT_STEP_S
    return opening.started_s + wait_s


def due_time_s(opening: opening_module.Opening) -> float:
    """Return the time by which an opening is ordered among its group.

    A rank adds a step to the deadline, so a higher priority delays a lower one
    by no more than the step and the difference of their objectives.
    """
    rank = 0 if opening.is_late else opening.rank or 0
    return deadline_s(opening) + rank * slot_queue.PRIORITY_STEP_S


class SlotShares:
    """The callers and routes that a service's latest slots went to.

    Keeps the slots of the last second, at most ``MAX_SHARE_SLOTS``.
    """

    def __init__(self) -> None:
        self._slots: collections.deque[tuple[float, int, str]] = (
            collections.deque()
        )
        self._count_by_key: dict[tuple[str, int | str], int] = {}

    def record(self, caller: int, route: str, now_s: float) -> None:
        """Record that a caller's opening on a route got a slot."""
        self._slots.append((now_s, caller, route))
        for key in ((_CALLER, caller), (_ROUTE, route)):
            self._count_by_key[key] = self._count_by_key.get(key, 0) + 1
        self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        while self._slots and (
            now_s - self._slots[0][0] > SHARE_WINDOW_S
            or len(self._slots) > MAX_SHARE_SLOTS
        ):
            _, caller, route = self._slots.popleft()
            for key in ((_CALLER, caller), (_ROUTE, route)):
                self._count_by_key[key] -= 1
                if not self._count_by_key[key]:
                    del self._count_by_key[key]

    def exceeds(self, key: tuple[str, int | str], now_s: float) -> bool:
        """Return whether another slot would exceed a key's share."""
        self._expire(now_s)
        slots = len(self._slots)
        if slots < MIN_SHARE_SLOTS:
            return False
        share = MAX_CALLER_SHARE if key[0] == _CALLER else MAX_ROUTE_SHARE
        return self._count_by_key.get(key, 0) + 1 > share * (slots + 1)


@dataclasses.dataclass(slots=True)
class _Entry:
    """A waiting opening; heaps hold removed ones until they reach the top."""

    opening: opening_module.Opening
    service: str
    is_late: bool
    due_s: float
    is_waiting: bool = True

    @property
    def caller_key(self) -> tuple[str, int]:
        return _CALLER, self.opening.flow.caller_host

    @property
    def route_key(self) -> tuple[str, str]:
        return _ROUTE, self.opening.route.name

    @property
    def interval(self) -> tuple[bool, int]:
        return self.is_late, int(self.due_s / AHEAD_INTERVAL_S)


_Heap = list[tuple[bool, float, int, _Entry]]


class _ServiceOrder:
    """The waiting openings of one service.

    Openings of callers and routes that exceed their shares are set aside in
    a heap for each such caller or route. Shares above one half cannot be
    exceeded by two callers at once, so there are few of these heaps.
    """

    def __init__(self) -> None:
        self.waiting_count = 0
        self.shares = SlotShares()
        self._heap: _Heap = []
        self._heap_by_excess: dict[tuple[str, int | str], _Heap] = {}
        self._count_by_key: collections.Counter = collections.Counter()
        self._kind_counts: collections.Counter = collections.Counter()
        self._count_by_interval: dict[tuple[bool, int], int] = {}
        self._numbers = itertools.count()

    def add(self, entry: _Entry) -> None:
        """Add an entry."""
        self.waiting_count += 1
        for key in (entry.caller_key, entry.route_key):
            self._kind_counts[key[0]] += not self._count_by_key[key]
            self._count_by_key[key] += 1
        interval = entry.interval
        counts = self._count_by_interval
        counts[interval] = counts.get(interval, 0) + 1
        self._push(self._heap, entry)

    def remove(self, entry: _Entry) -> None:
        """Remove an entry; its heap drops it later."""
        entry.is_waiting = False
        self.waiting_count -= 1
        for key in (entry.caller_key, entry.route_key):
            self._count_by_key[key] -= 1
            if not self._count_by_key[key]:
                del self._count_by_key[key]
                self._kind_counts[key[0]] -= 1
        counts = self._count_by_interval
        counts[entry.interval] -= 1
        if not counts[entry.interval]:
            del counts[entry.interval]

    def count_ahead(self, is_late: bool, due_s: float) -> int:
        """Return how many entries surely come before one with this key."""
        own = (is_late, int(due_s / AHEAD_INTERVAL_S))
        return sum(
            count
            for interval, count in self._count_by_interval.items()
            if interval < own
        )

    def exceeded_key(
        self, entry: _Entry, now_s: float
    ) -> tuple[str, int | str] | None:
        """Return the caller or route of an entry that exceeds its share.

        The result is ``None`` if neither does, or no other one waits.
        """
        for key in (entry.caller_key, entry.route_key):
            others = self._kind_counts[key[0]] - (key in self._count_by_key)
            if others > 0 and self.shares.exceeds(key, now_s):
                return key
        return None

    def first(self, now_s: float) -> tuple[_Entry | None, bool]:
        """Return the first entry, and whether it exceeds a share."""
        while True:
            for key in list(self._heap_by_excess):
                if not _first_waiting(self._heap_by_excess[key]):
                    del self._heap_by_excess[key]
            allowed, exceeding = [], []
            for own_key, heap in (
                (None, self._heap),
                *self._heap_by_excess.items(),
            ):
                entry = _first_waiting(heap)
                if entry is None:
                    continue
                key = self.exceeded_key(entry, now_s)
                if key is None:
                    allowed.append(heap[0])
                elif key == own_key:
                    exceeding.append(heap[0])
                else:
                    heapq.heappop(heap)
                    aside = self._heap_by_excess.setdefault(key, [])
                    self._push(aside, entry)
                    break
            else:
                # Without an allowed opening, a slot would stay unused.
                items = allowed or exceeding
                return (min(items)[-1] if items else None), not allowed

    def _push(self, heap: _Heap, entry: _Entry) -> None:
        item = (entry.is_late, entry.due_s, next(self._numbers), entry)
        heapq.heappush(heap, item)


def _first_waiting(heap: _Heap) -> _Entry | None:
    """Return a heap's first entry after dropping the removed ones."""
    while heap and not heap[0][-1].is_waiting:
        heapq.heappop(heap)
    return heap[0][-1] if heap else None


class WaitingOrder:
    """Openings that no endpoint could take, by service.

    Those that can still meet their objective come first, by deadline and
    rank; then late ones, by the time at which their callers give up. Adding,
    removing and finding the first one cost O(log n). State is kept for each
    waiting opening and for the slots of the last second.
    """

    def __init__(self) -> None:
        self._entry_by_flow: dict[segment.Flow, _Entry] = {}
        self._order_by_service: collections.defaultdict[str, _ServiceOrder] = (
            collections.defaultdict(_ServiceOrder)
        )

    def __len__(self) -> int:
        return len(self._entry_by_flow)

    def waiting_count(self, service: str) -> int:
        """Return the number of a service's waiting openings."""
        order = self._order_by_service.get(service)
        return 0 if order is None else order.waiting_count

    def add(self, opening: opening_module.Opening, now_s: float) -> None:
        """Add an opening, or move it to the place that it has now."""
        entry = self._entry_by_flow.get(opening.flow)
        due_s = due_time_s(opening)
        if entry is not None:
            if (entry.opening, entry.service, entry.is_late, entry.due_s) == (
                opening,
                opening.service,
                opening.is_late,
                due_s,
            ):
                return
            self.discard(opening.flow)
        entry = _Entry(opening, opening.service, opening.is_late, due_s)
        self._entry_by_flow[opening.flow] = entry
        self._order_by_service[opening.service].add(entry)

    def discard(self, flow: segment.Flow) -> None:
        """Remove a flow's opening, if it is here."""
        entry = self._entry_by_flow.pop(flow, None)
        if entry is not None:
            self._order_by_service[entry.service].remove(entry)

    def first(
        self, service: str, now_s: float
    ) -> opening_module.Opening | None:
        """Return the first opening of a service."""
        order = self._order_by_service.get(service)
        entry = None if order is None else order.first(now_s)[0]
        return None if entry is None else entry.opening

    def pop_next(
        self, service: str, now_s: float
    ) -> opening_module.Opening | None:
        """Remove and return the first opening of a service."""
        opening = self.first(service, now_s)
        if opening is not None:
            self.discard(opening.flow)
        return opening

    def pop_before(
        self, opening: opening_module.Opening, now_s: float
    ) -> opening_module.Opening | None:
        """Remove and return the first opening, if it precedes another one."""
        order = self._order_by_service.get(opening.service)
        entry, exceeds = (None, True) if order is None else order.first(now_s)
        if entry is None or entry.opening is opening:
            return None
        other = _Entry(
            opening, opening.service, opening.is_late, due_time_s(opening)
        )
        other_exceeds = order.exceeded_key(other, now_s) is not None
        if (exceeds, entry.is_late, entry.due_s) >= (
            other_exceeds,
            other.is_late,
            other.due_s,
        ):
            return None
        self.discard(entry.opening.flow)
        return entry.opening

    def count_ahead(self, opening: opening_module.Opening) -> int:
        """Return how many waiting openings surely come before another one.

        Shares are left out of account.
        """
        order = self._order_by_service.get(opening.service)
        if order is None:
            return 0
        return order.count_ahead(opening.is_late, due_time_s(opening))

    def record_slot(
        self, opening: opening_module.Opening, now_s: float
    ) -> None:
        """Record that an opening got a slot."""
        self._order_by_service[opening.service].shares.record(
            opening.flow.caller_host, opening.route.name, now_s
        )

"""Decides which openings are refused because they cannot be served in time.

Handles a backlog that is much longer than what the endpoints can take while
the callers still wait, and the return of the refused callers. Network and
kernel are not used; times are passed in.
"""

import collections
import dataclasses
import math
import typing

from bramleypin.internal.stream import segment

# A wrong refusal costs a caller one of its few tries, so the expected wait
# must exceed the remaining time by this factor.
WAIT_MARGIN = 1.5
RATE_WINDOW_S = 1.0
INTERVAL_S = 0.05
_WINDOW_INTERVALS = round(RATE_WINDOW_S / INTERVAL_S)
# Openings taken in the window below which nothing is estimated.
MIN_TAKEN = 20
# Ratio of the openings taken in the latest half of the window to those of the
# half before. Below it nothing is estimated: endpoints have failed together,
# and may return together.
MIN_LATER_RATIO = 0.5
# Nothing is estimated for this long after the process started, the service
# had no endpoint, openings were taken again after a pause, or began to wait:
# before they wait, the rate shows the demand and not what endpoints can take.
MIN_OBSERVED_S = 1.0
# A pause of this length means that all endpoints were away, although they stay
# registered for a while.
RESUMPTION_PAUSE_S = 0.25
# Callers return at once after a refusal. Copies of the refused opening are
# sent until 0.6 s after the first one.
REPEAT_WINDOW_S = 1.4
# Refusals beyond this number are forgotten, the oldest first.
MAX_REFUSED = 4_096
# Resets of one tick are spread over this time, so that their callers do not
# return simultaneously. Callers give up 0.2 s after the latest reset.
RESET_SPREAD_S = 0.1
TICK_S = 0.01
# Multiples of this fraction, modulo one, are spread evenly for any count.
_GOLDEN_FRACTION = (math.sqrt(5) - 1) / 2

_RefusedTimes = collections.OrderedDict[typing.Any, float]


@dataclasses.dataclass(slots=True)
class _Rate:
    """Openings taken of one service, in intervals of the last second."""

    backlog_since_s: float = math.inf
    no_endpoint_s: float = -math.inf
    resumed_s: float = -math.inf
    last_taken_s: float = -math.inf
    count_by_interval: dict[int, int] = dataclasses.field(default_factory=dict)


class ServiceRate:
    """Measures how many openings of each service are taken in a second.

    A service's state is a few numbers and the counts of twenty intervals.
    """

    def __init__(self, started_s: float):
        self._started_s = started_s
        self._rate_by_service: collections.defaultdict[str, _Rate] = (
            collections.defaultdict(_Rate)
        )

    def record_taken(self, service: str, now_s: float) -> None:
        """Record that an agent took an opening."""
        rate = self._rate_by_service[service]
        if now_s - rate.last_taken_s > RESUMPTION_PAUSE_S:
            rate.resumed_s = now_s
        rate.last_taken_s = now_s
        counts = rate.count_by_interval
        interval = int(now_s / INTERVAL_S)
        counts[interval] = counts.get(interval, 0) + 1
        while next(iter(counts)) < interval - _WINDOW_INTERVALS:
            del counts[next(iter(counts))]

    def record_waiting(
        self, service: str, waiting_count: int, now_s: float
    ) -> None:
        """Record how many openings of a service wait."""
        rate = self._rate_by_service[service]
        if not waiting_count:
            rate.backlog_since_s = math.inf
        elif math.isinf(rate.backlog_since_s):
            rate.backlog_since_s = now_s

    def record_no_endpoint(self, service: str, now_s: float) -> None:
        """Record that no endpoint of a service may receive new flows."""
        self._rate_by_service[service].no_endpoint_s = now_s

    def expected_wait_s(
        self, service: str, waiting_ahead: int, now_s: float
    ) -> float | None:
        """Return how long an opening behind others will wait.

        Returns ``None`` while this is not known: with too few openings, when
        they have not waited for a whole second, while the rate rises, as it
        does when endpoints return or warm up, and while it falls steeply.
        """
        rate = self._rate_by_service[service]
        observed_s = now_s - max(
            self._started_s,
            rate.no_endpoint_s,
            rate.resumed_s,
            rate.backlog_since_s,
        )
        if observed_s < MIN_OBSERVED_S:
            return None
        # The current interval is not over, so it would lower the rate.
        end = int(now_s / INTERVAL_S)
        middle = end - _WINDOW_INTERVALS // 2
        earlier = later = 0
        for interval, count in rate.count_by_interval.items():
            if middle <= interval < end:
                later += count
            elif end - _WINDOW_INTERVALS <= interval < middle:
                earlier += count
        if earlier + later < MIN_TAKEN:
            return None
        if not MIN_LATER_RATIO * earlier <= later <= earlier:
            return None
        return waiting_ahead / (earlier + later) * RATE_WINDOW_S

    def cannot_serve(
        self, service: str, waiting_ahead: int, left_s: float, now_s: float
    ) -> bool:
        """Return whether an opening surely waits longer than its caller.

        ``left_s`` is the time for which the opening may still wait.
        """
        wait_s = self.expected_wait_s(service, waiting_ahead, now_s)
        return wait_s is not None and wait_s > WAIT_MARGIN * max(0.0, left_s)


class RecentRefusals:
    """The openings that were refused lately, and their callers.

    A retry uses a new port, so only the caller's address tells it from a first
    try. A copy of an opening may cross its reset; its sequence number tells it
    from another opening of the port. At most ``MAX_REFUSED`` of each are
    kept. A forgotten caller is treated like one of first tries.
    """

    def __init__(self) -> None:
        self._refused_s_by_caller: _RefusedTimes = collections.OrderedDict()
        self._refused_s_by_opening: _RefusedTimes = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._refused_s_by_caller) + len(self._refused_s_by_opening)

    def record(
        self, flow: segment.Flow, opening_sequence: int, now_s: float
    ) -> None:
        """Record the refusal of an opening."""
        for times, key in (
            (self._refused_s_by_caller, flow.caller_host),
            (self._refused_s_by_opening, (flow, opening_sequence)),
        ):
            times[key] = now_s
            times.move_to_end(key)
            if len(times) > MAX_REFUSED:
                times.popitem(last=False)

    def includes_caller(self, caller: int, now_s: float) -> bool:
        """Return whether an opening of a caller was refused lately."""
        refused_s = self._refused_s_by_caller.get(caller, -math.inf)
        return now_s - refused_s < REPEAT_WINDOW_S

    def includes_opening(
        self, flow: segment.Flow, opening_sequence: int, now_s: float
    ) -> bool:
        """Return whether this opening was refused lately."""
        key = (flow, opening_sequence)
        refused_s = self._refused_s_by_opening.get(key, -math.inf)
        return now_s - refused_s < REPEAT_WINDOW_S


class ResetSpread:
    """Spreads the resets of one tick over ``RESET_SPREAD_S``.

    The first reset of a tick is not delayed.
    """

    def __init__(self) -> None:
        self._tick = -1
        self._reset_count = 0

    def delay_s(self, now_s: float) -> float:
        """Return for how long to delay the next reset."""
        tick = int(now_s / TICK_S)
        if tick != self._tick:
            self._tick, self._reset_count = tick, 0
        fraction = self._reset_count * _GOLDEN_FRACTION % 1.0
        self._reset_count += 1
        return fraction * RESET_SPREAD_S

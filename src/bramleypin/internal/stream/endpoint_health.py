"""Tells from the outcomes of its requests whether an endpoint is failing.

Load pattern: a few of a service's endpoints pass their health check and accept
flows, but reset, close or never answer a large part of their requests for some
seconds, while the others are well.

Nobody but the two ends reads the bytes of a flow, so an outcome is known only
from packets and times. Callers that leave say nothing about the endpoint, and
neither does a request that waits behind others at an overloaded one.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import typing

from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics

# Outcomes that are remembered, and for how long.
MAX_OUTCOMES = 16
OUTCOME_AGE_S = 10.0
# Fewer outcomes than this decide nothing.
MIN_OUTCOMES = 8
# Bounds of the failed fraction, above which a healthy endpoint is failing and
# below which a failing one is healthy again.
FAILING_FRACTION = 0.3
HEALTHY_FRACTION = 0.1
# An endpoint without a failure for this long is tried again by all balancers.
# If it still fails, its earlier outcomes mark it again with the first failure.
QUIET_S = 3.0
# A request without an answer after so many service times is unanswered. The
# slowest 3% take 7 service times, and those of a slowed endpoint 8.
ANSWER_TIMEOUT_SERVICE_TIMES = 12.0
MIN_ANSWER_TIMEOUT_S = 0.5
# Interval at which a request is judged again that may still be queued.
RECHECK_INTERVAL_S = 0.1
# Between checks this far apart the process was stalled, so answers of the
# endpoint may wait unread.
MAX_CHECK_GAP_S = 0.5
# Bound of the requests that are watched; others deliver an outcome only when
# they are answered, reset or closed.
MAX_WATCHED_REQUESTS = 4_096

REQUESTS_RESET = metrics.declare(
    "stream.requests_reset",
    "counter",
    "requests",
    "Requests whose flow the endpoint reset or closed without an answer.",
)
REQUESTS_UNANSWERED = metrics.declare(
    "stream.requests_unanswered",
    "counter",
    "requests",
    "Requests that the endpoint left unanswered while it had a slot for them.",
)
ENDPOINT_FAILED = metrics.declare(
    "stream.endpoint_failed",
    "counter",
    "changes",
    "How often the agent found its endpoint failing.",
)

_log = logs.get("endpoint_health")


class Outcome(enum.Enum):
    """How a request ended at the endpoint."""

    ANSWERED = "answered"
    RESET = "reset"
    UNANSWERED = "unanswered"


_METRIC_BY_OUTCOME = {
    Outcome.RESET: REQUESTS_RESET,
    Outcome.UNANSWERED: REQUESTS_UNANSWERED,
}


@dataclasses.dataclass(slots=True)
class WatchedRequest:
    """A request that the endpoint has received.

    ``received_s`` is the time of the request's latest data. ``in_free_slot``
    is true if the endpoint had a free slot when the first data arrived.
    """

    received_s: float
    in_free_slot: bool
    ended: bool = False
    unanswered: bool = False


class EndpointHealth:
    """Decides with hysteresis whether an endpoint is failing.

    The cost is O(log n) for each request, n being those of the last
    ``ANSWER_TIMEOUT_SERVICE_TIMES``. ``count(metric)`` counts a failure.
    """

    def __init__(self) -> None:
        self.failing = False
        self.count: typing.Callable[[str], None] = lambda metric: None
        self._outcomes: collections.deque[tuple[Outcome, float]] = (
            collections.deque(maxlen=MAX_OUTCOMES)
        )
        self._last_failure_s = float("-inf")
        # Requests by the time at which they are judged, as a heap.
        self._watched: list[tuple[float, int, WatchedRequest]] = []
        self._numbers = itertools.count()
        self._checked_s: float | None = None
        self._last_sign_s = float("-inf")
        # The latest arrival among all requests answered so far, and its past
        # values with their times.
        self._answered_arrival_s = float("-inf")
        self._arrivals: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=MAX_WATCHED_REQUESTS)
        )
        self._earlier_arrival_s = float("-inf")

    def record_data(
        self, request: WatchedRequest | None, in_free_slot: bool, now_s: float
    ) -> WatchedRequest:
        """Record data of a request, ``None`` if these are its first."""
        if request is not None:
            request.received_s = now_s
            return request
        request = WatchedRequest(now_s, in_free_slot)
        if len(self._watched) < MAX_WATCHED_REQUESTS:
            self._watch(request, now_s + MIN_ANSWER_TIMEOUT_S)
        return request

    def end(
        self,
        request: WatchedRequest | None,
        outcome: Outcome | None,
        now_s: float,
    ) -> None:
        """Record how a request ended.

        The outcome is ``None`` if the caller left or the endpoint has started
        anew. An answer after the request was found unanswered corrects this.
        An answer to no watched request shows that the endpoint works: it runs
        requests of callers that have left as well.
        """
        if outcome is Outcome.ANSWERED:
            self._last_sign_s = now_s
        if request is None or request.ended:
            return
        request.ended = True
        if outcome is Outcome.ANSWERED:
            self._on_answered(request, now_s)
        if not request.unanswered:
            if outcome is not None:
                self.record(outcome, now_s)
        elif outcome is Outcome.ANSWERED:
            self._correct(now_s)

    def expire(self, request: WatchedRequest | None, now_s: float) -> None:
        """Judge a request whose caller has waited for as long as it does."""
        if request is None or request.ended or request.unanswered:
            return
        if not self._may_be_queued(request):
            request.unanswered = True
            self.record(Outcome.UNANSWERED, now_s)

    def record(self, outcome: Outcome, now_s: float) -> None:
        """Record the outcome of a request."""
        if outcome is not Outcome.ANSWERED:
            self.count(_METRIC_BY_OUTCOME[outcome])
            self._last_failure_s = now_s
        self._outcomes.append((outcome, now_s))
        self._update(now_s)

    def check(self, service_time_s: float, now_s: float) -> None:
        """Judge the requests that are due, and forget old outcomes.

        ``service_time_s`` is 0 until it is known; until then no request is
        found unanswered.
        """
        gap_s = 0.0 if self._checked_s is None else now_s - self._checked_s
        self._checked_s = now_s
        if gap_s > MAX_CHECK_GAP_S:
            for _, _, request in self._watched:
                request.ended = True
            self._watched.clear()
        answer_timeout_s = max(
            MIN_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_SERVICE_TIMES * service_time_s
        )
        while (
            self._arrivals and self._arrivals[0][0] <= now_s - answer_timeout_s
        ):
            self._earlier_arrival_s = self._arrivals.popleft()[1]
        while self._watched and self._watched[0][0] <= now_s:
            request = heapq.heappop(self._watched)[2]
            if request.ended:
                continue
            due_s = request.received_s + answer_timeout_s
            if due_s > now_s:
                self._watch(request, due_s)
            elif not service_time_s or self._may_be_queued(request):
                self._watch(request, now_s + RECHECK_INTERVAL_S)
            else:
                request.unanswered = True
                self.record(Outcome.UNANSWERED, now_s)
        self._update(now_s)

    def _watch(self, request: WatchedRequest, due_s: float) -> None:
        heapq.heappush(self._watched, (due_s, next(self._numbers), request))

    def _may_be_queued(self, request: WatchedRequest) -> bool:
        """Return whether a request that is due may wait behind earlier ones.

        An endpoint runs requests in the order of their arrival. So one has
        begun if a later one was answered; unless it found a free slot, it may
        have begun only just before that. An endpoint that has sent nothing
        since the request arrived does not work on earlier ones either.
        """
        if self._last_sign_s <= request.received_s:
            return False
        answered_arrival_s = (
            self._answered_arrival_s
            if request.in_free_slot
            else self._earlier_arrival_s
        )
        return answered_arrival_s <= request.received_s

    def _on_answered(self, request: WatchedRequest, now_s: float) -> None:
        if request.received_s > self._answered_arrival_s:
            self._answered_arrival_s = request.received_s
            self._arrivals.append((now_s, request.received_s))

    def _correct(self, now_s: float) -> None:
        """Turn the latest unanswered outcome into an answered one."""
        for index in reversed(range(len(self._outcomes))):
            outcome, recorded_s = self._outcomes[index]
            if outcome is Outcome.UNANSWERED:
                self._outcomes[index] = (Outcome.ANSWERED, recorded_s)
                break
        self._update(now_s)

    def _update(self, now_s: float) -> None:
        outcomes = self._outcomes
        while outcomes and now_s - outcomes[0][1] > OUTCOME_AGE_S:
            outcomes.popleft()
        failed = sum(
            outcome is not Outcome.ANSWERED for outcome, _ in outcomes
        )
        total = len(outcomes)
        if self.failing:
            recovered = (
                total >= MIN_OUTCOMES and failed < HEALTHY_FRACTION * total
            )
            if recovered or now_s - self._last_failure_s >= QUIET_S:
                self.failing = False
                _log.info(
                    "the endpoint is tried again",
                    failed=failed,
                    outcomes=total,
                    reason="answers" if recovered else "no recent failure",
                )
        elif (
            total >= MIN_OUTCOMES
            and failed > FAILING_FRACTION * total
            and now_s - self._last_failure_s < QUIET_S
        ):
            self.failing = True
            self.count(ENDPOINT_FAILED)
            _log.warning(
                "the endpoint fails requests",
                failed=failed,
                outcomes=total,
                unanswered=sum(
                    outcome is Outcome.UNANSWERED for outcome, _ in outcomes
                ),
            )

"""Estimates the service time of an endpoint from its own requests.

Handles samples with a long tail (a few requests take seven times as long) and
kinds of requests whose work differs, in proportions that change.
"""

import dataclasses
import statistics

# Weight of a new sample in the mean work of a route, and in the ratio of the
# recent durations to it. Means change slowly, so that a slowdown shows in the
# ratio, which is independent of the mix of routes.
MEAN_WEIGHT = 0.005
RATIO_WEIGHT = 0.05
# A sample counts at most this many times the expected duration.
MAX_SAMPLE_RATIO = 3.0
# The mean work of a route is known after this many samples, as their median.
MIN_ROUTE_SAMPLES = 5
# After a pause of this length, the ratio is averaged anew.
MAX_PAUSE_S = 10.0
# Durations count as at least this, the resolution of the packets' times.
MIN_DURATION_S = 1e-6
# Bounds the state; the route that was used least recently is dropped.
MAX_ROUTES = 64


@dataclasses.dataclass(slots=True)
class _RouteWork:
    """The mean work of a route's requests, as their duration at ratio 1."""

    samples: int = 0
    mean_s: float = 0.0
    first_works_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def known(self) -> bool:
        return self.samples >= MIN_ROUTE_SAMPLES

    def add(self, work_s: float) -> None:
        self.samples += 1
        if self.samples <= MIN_ROUTE_SAMPLES:
            self.first_works_s.append(work_s)
            self.mean_s = statistics.median(self.first_works_s)
            return
        weight = max(1 / self.samples, MEAN_WEIGHT)
        self.mean_s += weight * (work_s - self.mean_s)


class ServiceTimeEstimate:
    """The mean service time of an endpoint.

    ``samples`` is the number of requests of routes whose mean work is known.
    The estimate's standard error is a tenth after 50 samples, and does not
    fall far below that.
    """

    def __init__(self) -> None:
        self.samples = 0
        self._work_by_route: dict[tuple[int, int], _RouteWork] = {}
        self._mean_work_s = 0.0
        self._ratio = 1.0
        self._ratio_samples = 0
        self._added_s = float("-inf")

    @property
    def seconds(self) -> float:
        """The service time; 0 until the first sample."""
        return self._mean_work_s * self._ratio

    def add(
        self, duration_s: float, route: tuple[int, int], now_s: float
    ) -> None:
        """Add a request that started in a free slot.

        ``route`` is the address and port of its route.
        """
        if now_s - self._added_s > MAX_PAUSE_S:
            self._ratio_samples = 0
        self._added_s = now_s
        work = self._work_by_route.pop(route, None) or _RouteWork()
        self._work_by_route[route] = work
        if len(self._work_by_route) > MAX_ROUTES:
            del self._work_by_route[next(iter(self._work_by_route))]
        work_s = max(duration_s, MIN_DURATION_S) / self._ratio
        if work.known:
            work_s = min(work_s, MAX_SAMPLE_RATIO * work.mean_s)
            self._add_ratio(self._ratio * work_s / work.mean_s)
        work.add(work_s)
        if work.known:
            self.samples += 1
            weight = max(1 / self.samples, MEAN_WEIGHT)
            self._mean_work_s += weight * (work.mean_s - self._mean_work_s)
        elif not self.samples:
            # The first answers are uncertain, but far better than a default.
            self._mean_work_s = work.mean_s

    def _add_ratio(self, ratio: float) -> None:
        self._ratio_samples += 1
        weight = max(1 / self._ratio_samples, RATIO_WEIGHT)
        self._ratio += weight * (ratio - self._ratio)

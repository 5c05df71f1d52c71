"""Limits the load on a cold endpoint and detects jumps in service time."""

import collections
import math

import anyio

from bramleypin.internal.model import view

# An endpoint that has answered a request or a health request within this time
# is assumed not to have restarted, unless its health report names a new
# instance, which restarts the ramp.
EVIDENCE_LIFETIME_S = 1.0

# A jump in service time is detected when the mean of the last RECENT_SAMPLES
# service times reaches JUMP_RATIO times the long-term mean. For exponentially
# distributed service times, the false positive rate is about one in ten
# million answers.
RECENT_SAMPLES = 8
JUMP_RATIO = 4.0

# Upper bound for the ratio of a single answer. Without it, one stall of the
# process, which makes one answer take 40 times as long as usual, would be
# taken for a cold endpoint.
MAX_RATIO = 2 * JUMP_RATIO
MIN_SAMPLE_WEIGHT = 1 / 128
MIN_TOTAL_SAMPLES = 32

SMOOTHING_TIME_S = 10.0

# Maximum number of kinds of requests with a mean of their own, which bounds
# memory. All further kinds share one mean.
MAX_KINDS = 64


class ColdRamp:
    """Raises the limit on requests in flight while an endpoint warms up.

    The limit rises linearly from ``cold_slots`` to ``slots`` over ``ramp_s``
    seconds.
    """

    def __init__(self) -> None:
        self.cold_since_s = anyio.current_time()
        self._last_evidence_s = -math.inf

    def restart(self) -> None:
        """Restart the ramp after the endpoint became cold."""
        self.cold_since_s = anyio.current_time()

    def record_evidence(self) -> None:
        """Record that the endpoint has just answered a request."""
        self._last_evidence_s = anyio.current_time()

    def is_cold(self, endpoint: view.EndpointView) -> bool:
        """Return whether the ramp is still in progress."""
        return anyio.current_time() < self.cold_since_s + endpoint.ramp_s

    def limit(self, endpoint: view.EndpointView) -> int:
        """Return the current limit on requests in flight.

        Without a recent answer the limit is ``cold_slots``, because the
        endpoint may have restarted unnoticed.
        """
        now = anyio.current_time()
        if now - self._last_evidence_s > EVIDENCE_LIFETIME_S:
            return endpoint.cold_slots
        if endpoint.ramp_s <= 0:
            return endpoint.slots
        share = min(1.0, (now - self.cold_since_s) / endpoint.ramp_s)
        rise = (endpoint.slots - endpoint.cold_slots) * share
        return endpoint.cold_slots + math.floor(rise)


class ServiceTimes:
    """Recent and long-term service times of the endpoint, in seconds.

    Each time is compared with the mean of its own kind of request. With a
    single mean, the fast later blocks of a download made the first block of
    the next one look like a jump, so a warm endpoint was treated as cold.
    """

    def __init__(self) -> None:
        self._recent_ratios: collections.deque[float] = collections.deque(
            maxlen=RECENT_SAMPLES
        )
        self._mean_by_kind: dict[str, RunningMean] = {}
        self._overall = RunningMean()
        self._count = 0

    @property
    def mean_s(self) -> float:
        """Mean over all kinds of requests; 0 before the first answer."""
        return self._overall.value_s

    def add(self, service_time_s: float, kind: str = "") -> None:
        """Record the service time of an answered request."""
        self._overall.add(service_time_s)
        self._count += 1
        if kind not in self._mean_by_kind:
            if len(self._mean_by_kind) >= MAX_KINDS:
                kind = ""
            self._mean_by_kind.setdefault(kind, RunningMean())
        mean = self._mean_by_kind[kind]
        mean.add(service_time_s)
        has_baseline = mean.count >= RECENT_SAMPLES and mean.value_s > 0
        ratio = service_time_s / mean.value_s if has_baseline else 1.0
        self._recent_ratios.append(min(ratio, MAX_RATIO))

    def recent_service_time_ratio(self) -> float:
        """Return the ratio of recent to long-term service times.

        Returns 1 until there are ``MIN_TOTAL_SAMPLES`` samples.
        """
        if self._count < MIN_TOTAL_SAMPLES or not self._recent_ratios:
            return 1.0
        return sum(self._recent_ratios) / len(self._recent_ratios)

    def has_jumped(self) -> bool:
        """Return whether service has suddenly become much slower."""
        return self.recent_service_time_ratio() >= JUMP_RATIO

    def reset_baseline(self) -> None:
        """Scale all long-term means by ``recent_service_time_ratio``.

        The recent times are discarded.
        """
        ratio = self.recent_service_time_ratio()
        for mean in (self._overall, *self._mean_by_kind.values()):
            mean.value_s *= ratio
        self._recent_ratios.clear()

    def discard_recent(self) -> None:
        """Discard recent times so that a jump is detected only once."""
        self._recent_ratios.clear()
        self._count = min(self._count, MIN_TOTAL_SAMPLES - RECENT_SAMPLES)


class RunningMean:
    """Arithmetic mean at first, then an exponential moving average."""

    def __init__(self) -> None:
        self.value_s = 0.0
        self.count = 0

    def add(self, service_time_s: float) -> None:
        """Add a value; its weight is at least ``MIN_SAMPLE_WEIGHT``."""
        self.count += 1
        weight = max(1 / self.count, MIN_SAMPLE_WEIGHT)
        self.value_s += weight * (service_time_s - self.value_s)


class Utilisation:
    """Exponentially smoothed share of busy slots.

    The time constant is ``SMOOTHING_TIME_S``.
    """

    def __init__(self) -> None:
        self._value = 0.0
        self._share = 0.0
        self._since_s = anyio.current_time()

    def set_share(self, share: float) -> None:
        """Set the current share of busy slots."""
        self._value = self.value()
        self._since_s = anyio.current_time()
        self._share = share

    def value(self) -> float:
        """Return the smoothed share.

        It exceeds 1 if more requests are running than the limit allows.
        """
        age_s = anyio.current_time() - self._since_s
        decay = math.exp(-age_s / SMOOTHING_TIME_S)
        return self._value * decay + self._share * (1 - decay)

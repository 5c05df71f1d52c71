"""How much a cold endpoint bears, and how coldness is noticed."""

import collections
import math

import anyio

from bramleypin.internal.model import view

# An answer or health report of the same instance within this time shows that
# the endpoint has not restarted unnoticed.
EVIDENCE_S = 1.0

# The mean of the last SAMPLES service times must reach JUMP times the long
# mean. With exponentially distributed service times this happens by chance
# about once in ten million answers.
SAMPLES = 8
JUMP = 4.0

# A ratio counts at most this much, so that one stall of the process, seen as
# one answer 40 times too late, does not look like a cold endpoint.
RATIO_LIMIT = 2 * JUMP
LONG_WEIGHT = 1 / 128
LONG_SAMPLES = 32

SMOOTHING_S = 10.0

# Further kinds of requests share one mean, so that memory stays bounded.
KINDS_KEPT = 64


class ColdRamp:
    """The limit on requests in flight of an endpoint that may be cold."""

    def __init__(self) -> None:
        self.cold_since_s = anyio.current_time()
        self._evidence_s = -math.inf

    def restart(self) -> None:
        """Begin again, because the endpoint has turned cold."""
        self.cold_since_s = anyio.current_time()

    def confirm(self) -> None:
        """Note that the endpoint answered as a warm one does."""
        self._evidence_s = anyio.current_time()

    def is_cold(self, endpoint: view.EndpointView) -> bool:
        """Tell whether the ramp is still in progress."""
        return anyio.current_time() < self.cold_since_s + endpoint.ramp_s

    def limit(self, endpoint: view.EndpointView) -> int:
        """Return how many requests may be in flight now."""
        now = anyio.current_time()
        if now - self._evidence_s > EVIDENCE_S:
            return endpoint.cold_slots
        if endpoint.ramp_s <= 0:
            return endpoint.slots
        share = min(1.0, (now - self.cold_since_s) / endpoint.ramp_s)
        rise = (endpoint.slots - endpoint.cold_slots) * share
        return endpoint.cold_slots + math.floor(rise)


class ServiceTimes:
    """Recent and long-term service times of the endpoint, in seconds.

    Times are compared with the mean of their own kind of request. Without
    that, a download's quick later blocks made its next first block look like
    a jump, and a warm endpoint was treated as cold.
    """

    def __init__(self) -> None:
        self._recent_ratios: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self._mean_by_kind: dict[str, Mean] = {}
        self._overall = Mean()
        self._count = 0

    @property
    def mean_s(self) -> float:
        """Mean over all kinds; 0 before the first answer."""
        return self._overall.value_s

    def add(self, service_time_s: float, kind: str = "") -> None:
        """Record the time of one answered request of a kind."""
        self._overall.add(service_time_s)
        self._count += 1
        if kind not in self._mean_by_kind:
            if len(self._mean_by_kind) >= KINDS_KEPT:
                kind = ""
            self._mean_by_kind.setdefault(kind, Mean())
        mean = self._mean_by_kind[kind]
        mean.add(service_time_s)
        known = mean.count >= SAMPLES and mean.value_s > 0
        ratio = service_time_s / mean.value_s if known else 1.0
        self._recent_ratios.append(min(ratio, RATIO_LIMIT))

    def recent_ratio(self) -> float:
        """Return recent over usual time; 1 if too few are known."""
        if self._count < LONG_SAMPLES or not self._recent_ratios:
            return 1.0
        return sum(self._recent_ratios) / len(self._recent_ratios)

    def has_jumped(self) -> bool:
        """Tell whether service has become much slower at once."""
        return self.recent_ratio() >= JUMP

    def rebase(self) -> None:
        """Take the recent times as the usual ones, for all kinds."""
        ratio = self.recent_ratio()
        for mean in (self._overall, *self._mean_by_kind.values()):
            mean.value_s *= ratio
        self._recent_ratios.clear()

    def clear(self) -> None:
        """Forget the recent times, so that one jump is noticed once."""
        self._recent_ratios.clear()
        self._count = min(self._count, LONG_SAMPLES - SAMPLES)


class Mean:
    """A mean that follows slow changes."""

    def __init__(self) -> None:
        self.value_s = 0.0
        self.count = 0

    def add(self, service_time_s: float) -> None:
        """Add a value with a weight that falls to ``LONG_WEIGHT``."""
        self.count += 1
        weight = max(1 / self.count, LONG_WEIGHT)
        self.value_s += weight * (service_time_s - self.value_s)


class Utilisation:
    """The share of slots that was busy, smoothed over ``SMOOTHING_S``."""

    def __init__(self) -> None:
        self._value = 0.0
        self._share = 0.0
        self._since_s = anyio.current_time()

    def note(self, share: float) -> None:
        """Learn the share of busy slots from now on."""
        self._value = self.value()
        self._since_s = anyio.current_time()
        self._share = share

    def value(self) -> float:
        """Return the smoothed share, 0 to 1 and above."""
        age_s = anyio.current_time() - self._since_s
        kept = math.exp(-age_s / SMOOTHING_S)
        return self._value * kept + self._share * (1 - kept)

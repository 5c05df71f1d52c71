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
LONG_WEIGHT = 1 / 128
LONG_SAMPLES = 32


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
    """Recent and long-term service times of the endpoint, in seconds."""

    def __init__(self) -> None:
        self._recent: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self.mean_s = 0.0
        self._count = 0

    def add(self, service_time_s: float) -> None:
        """Record the time of one answered request."""
        self._recent.append(service_time_s)
        self._count += 1
        weight = max(1 / self._count, LONG_WEIGHT)
        self.mean_s += weight * (service_time_s - self.mean_s)

    def recent_ratio(self) -> float:
        """Return the recent mean over the long one; 1 if too few are known."""
        if self._count < LONG_SAMPLES or self.mean_s <= 0:
            return 1.0
        return sum(self._recent) / len(self._recent) / self.mean_s

    def has_jumped(self) -> bool:
        """Tell whether service has become much slower at once."""
        return self.recent_ratio() >= JUMP

    def clear(self) -> None:
        """Forget the recent times, so that one jump is noticed once."""
        self._recent.clear()
        self._count = min(self._count, LONG_SAMPLES - SAMPLES)

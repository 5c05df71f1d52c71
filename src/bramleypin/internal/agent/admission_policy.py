"""Admission policies: how many requests may be in flight, by name."""

import math
import typing

from bramleypin.internal import registry

DECREASE = 0.7
CONGESTED_RATIO = 2.5
# Service that is at least this much as slow after a decrease as before has
# not become faster by it.
UNCHANGED = 0.8
# After a decrease, this many answers pass before the next one, because they
# were admitted under the older limit.
ANSWERS_BETWEEN_DECREASES = 8


class Policy(typing.Protocol):
    """Decides the limit below the endpoint's slots."""

    def limit(self, slots: int) -> int:
        """Return how many requests may be in flight, 1 to ``slots``."""

    def answered(self, running: int, recent_ratio: float) -> bool:
        """Learn of an answer; ``recent_ratio`` is recent over usual time.

        Returns ``True`` when service is slow whatever the limit, so that the
        recent time should be taken as the usual one from now on.
        """

    def overloaded(self) -> None:
        """Learn that the endpoint shed a request or did not answer."""


POLICIES: registry.Registry[typing.Callable[[], Policy]] = registry.Registry(
    "admission policy"
)


@POLICIES.register("fixed")
class Fixed:
    """The endpoint's slots, whatever happens; the baseline."""

    def limit(self, slots: int) -> int:
        """Return the slots."""
        return slots

    def answered(self, running: int, recent_ratio: float) -> bool:
        """Ignore it."""
        return False

    def overloaded(self) -> None:
        """Ignore it."""


@POLICIES.register("adaptive")
class Adaptive:
    """Additive increase and multiplicative decrease, at most the slots."""

    def __init__(self) -> None:
        self._limit = math.inf
        self._answers_to_wait = 0
        self._ratio_at_decrease = math.inf

    def limit(self, slots: int) -> int:
        """Return the current limit."""
        self._limit = max(1.0, min(self._limit, float(slots)))
        return math.floor(self._limit)

    def answered(self, running: int, recent_ratio: float) -> bool:
        """Decrease when service has become slow, increase otherwise."""
        if self._answers_to_wait:
            self._answers_to_wait -= 1
        if recent_ratio < CONGESTED_RATIO:
            self._limit += 1 / max(1.0, self._limit)
            self._ratio_at_decrease = math.inf
            return False
        if self._answers_to_wait:
            return False
        if recent_ratio > UNCHANGED * self._ratio_at_decrease:
            # Fewer requests did not help, so they are not the cause.
            self._limit = math.inf
            self._ratio_at_decrease = math.inf
            return True
        self._ratio_at_decrease = recent_ratio
        self._decrease()
        return False

    def overloaded(self) -> None:
        """Decrease."""
        self._decrease()

    def _decrease(self) -> None:
        if self._answers_to_wait == 0 and math.isfinite(self._limit):
            self._limit = max(1.0, self._limit * DECREASE)
            self._answers_to_wait = ANSWERS_BETWEEN_DECREASES

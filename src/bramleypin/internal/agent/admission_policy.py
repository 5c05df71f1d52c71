"""Admission policies: named strategies that limit requests in flight."""

import math
import typing

from bramleypin.internal import registry

DECREASE_FACTOR = 0.7
# The endpoint counts as congested if the ratio of recent to usual service time
# is at least this.
CONGESTED_RATIO = 2.5
# If the ratio after a decrease exceeds this fraction of the ratio before it,
# the decrease did not make service faster.
NO_IMPROVEMENT_RATIO = 0.8
# Minimum number of answers between two decreases. The first answers after a
# decrease belong to requests that were admitted under the previous limit.
ANSWERS_BETWEEN_DECREASES = 8


class Policy(typing.Protocol):
    """Sets a concurrency limit of at most the endpoint's slots."""

    def limit(self, slots: int) -> int:
        """Return the limit on requests in flight, from 1 to ``slots``."""

    def on_answer(self, running: int, recent_ratio: float) -> bool:
        """Update the limit after an answer.

        ``recent_ratio`` is the ratio of recent to usual service time. Returns
        ``True`` when service stays slow regardless of the limit; the caller
        should then use the recent service time as the new baseline.
        """

    def on_overload(self) -> None:
        """Update the limit after the endpoint shed or timed out a request."""


POLICIES: registry.Registry[typing.Callable[[], Policy]] = registry.Registry(
    "admission policy"
)


@POLICIES.register("fixed")
class Fixed:
    """Always allows all slots; the baseline for measuring other policies."""

    def limit(self, slots: int) -> int:
        """Return ``slots`` unchanged."""
        return slots

    def on_answer(self, running: int, recent_ratio: float) -> bool:
        """Do nothing; the limit is fixed."""
        return False

    def on_overload(self) -> None:
        """Do nothing; the limit is fixed."""


@POLICIES.register("adaptive")
class Adaptive:
    """Additive-increase, multiplicative-decrease limit, up to the slots."""

    def __init__(self) -> None:
        self._limit = math.inf
        self._answers_until_decrease = 0
        self._ratio_at_decrease = math.inf

    def limit(self, slots: int) -> int:
        """Return the current limit, clamped to the range 1 to ``slots``."""
        self._limit = max(1.0, min(self._limit, float(slots)))
        return math.floor(self._limit)

    def on_answer(self, running: int, recent_ratio: float) -> bool:
        """Decrease the limit if service is congested, else increase it."""
        if self._answers_until_decrease:
            self._answers_until_decrease -= 1
        if recent_ratio < CONGESTED_RATIO:
            self._limit += 1 / max(1.0, self._limit)
            self._ratio_at_decrease = math.inf
            return False
        if self._answers_until_decrease:
            return False
        if recent_ratio > NO_IMPROVEMENT_RATIO * self._ratio_at_decrease:
            # The decrease did not help, so concurrency is not the cause.
            self._limit = math.inf
            self._ratio_at_decrease = math.inf
            return True
        self._ratio_at_decrease = recent_ratio
        self._decrease()
        return False

    def on_overload(self) -> None:
        """Decrease the limit."""
        self._decrease()

    def _decrease(self) -> None:
        if self._answers_until_decrease == 0 and math.isfinite(self._limit):
            self._limit = max(1.0, self._limit * DECREASE_FACTOR)
            self._answers_until_decrease = ANSWERS_BETWEEN_DECREASES

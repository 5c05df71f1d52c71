"""Outcomes of requests per minute, for the report on service-level burn."""

import collections
import dataclasses

import anyio

from bramleypin.internal import kernel as kernel_module

BUCKET_S = 60.0
BUCKETS_KEPT = 360


@dataclasses.dataclass(slots=True)
class Bucket:
    """Counts of one minute, by service and outcome.

    ``slow_by_service`` counts answers over the objective's latency.
    """

    start_s: float
    count_by_outcome: dict[str, dict[str, int]]
    slow_by_service: dict[str, int]


@kernel_module.service("outcomes", roles=("balancer", "agent"))
class Outcomes(kernel_module.Service):
    """Outcome counts of the last 6 hours, or since the process started."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.buckets: collections.deque[Bucket] = collections.deque(
            maxlen=BUCKETS_KEPT
        )
        self.started_s = 0.0

    async def start(self) -> None:
        """Remember when counting began."""
        self.started_s = anyio.current_time()

    def record(
        self, service: str, outcome: str, latency_s: float, slow: bool = False
    ) -> None:
        """Count one request: answered, not_run, unknown or invalid."""
        bucket = self._current()
        counts = bucket.count_by_outcome.setdefault(service, {})
        counts[outcome] = counts.get(outcome, 0) + 1
        if slow:
            before = bucket.slow_by_service.get(service, 0)
            bucket.slow_by_service[service] = before + 1

    def _current(self) -> Bucket:
        start_s = anyio.current_time() // BUCKET_S * BUCKET_S
        if not self.buckets or self.buckets[-1].start_s != start_s:
            self.buckets.append(Bucket(start_s, {}, {}))
        return self.buckets[-1]

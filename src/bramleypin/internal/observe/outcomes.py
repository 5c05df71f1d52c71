"""Outcomes of requests per minute, for the report on service-level burn."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module

BUCKET_S = 60.0
BUCKETS_KEPT = 360
OUTCOMES = ("answered", "not_run", "unknown", "invalid")


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
    """Outcome counts of the last 6 hours, or since the process started.

    A request is recorded once, by the process that decides its outcome, so
    that the counts of all processes can be added.
    """

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
        self,
        service: str,
        outcome: str,
        latency_s: float,
        slow: bool | None = None,
    ) -> None:
        """Count one request: answered, not_run, unknown or invalid.

        Without ``slow``, an answer is slow when it took longer than the
        objective of the service in the view allows.
        """
        bucket = self._current()
        counts = bucket.count_by_outcome.setdefault(service, {})
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome != "answered":
            return
        if slow is None:
            objective = self._objective(service)
            slow = objective is not None and latency_s > objective[1]
        if slow:
            before = bucket.slow_by_service.get(service, 0)
            bucket.slow_by_service[service] = before + 1

    def report(self) -> dict[str, typing.Any]:
        """Return the counts for a burn request, as plain CBOR values.

        Times are ages in seconds, because the clocks of two machines cannot
        be compared. ``counts`` are in the order of ``OUTCOMES`` with the
        slow answers, which ``answered`` includes, at the end.
        """
        now = anyio.current_time()
        services: dict[str, dict[str, typing.Any]] = {}
        for bucket in self.buckets:
            age_s = now - bucket.start_s
            if age_s >= BUCKET_S * BUCKETS_KEPT:
                continue
            for name, counts in bucket.count_by_outcome.items():
                entry = services.setdefault(
                    name, {"objective": self._objective(name), "minutes": []}
                )
                row = [counts.get(outcome, 0) for outcome in OUTCOMES]
                row.append(bucket.slow_by_service.get(name, 0))
                entry["minutes"].append([age_s, row])
        return {
            "id": self.kernel.settings.id,
            "role": self.kernel.settings.role,
            "failure_domain": self.kernel.settings.failure_domain,
            "covered_s": now - self.started_s,
            "services": services,
        }

    def _objective(self, service: str) -> tuple[float, float] | None:
        store = self.kernel.service_by_name.get("view")
        found = None if store is None else store.view.service(service)
        if found is None:
            return None
        return found.objective.success, found.objective.max_latency_s

    def _current(self) -> Bucket:
        start_s = anyio.current_time() // BUCKET_S * BUCKET_S
        if not self.buckets or self.buckets[-1].start_s != start_s:
            self.buckets.append(Bucket(start_s, {}, {}))
        return self.buckets[-1]

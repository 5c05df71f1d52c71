"""Outcomes of requests per minute, for the error-budget report."""

import collections
import dataclasses
import typing

import anyio

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.wire import frames

BUCKET_S = 60.0
MAX_BUCKETS = 360  # 6 hours
OUTCOMES = ("answered", "not_run", "unknown", "invalid")
SAMPLE_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Bucket:
    """Counts of one minute, by service and outcome.

    ``slow_by_service`` counts answers slower than the objective's latency.
    ``running`` is the sum, over ``samples`` samples, of the requests that run
    at the endpoint. ``cold_excess`` is the highest number of requests above
    the limit of a cold endpoint in any sample.
    """

    start_s: float
    count_by_outcome: dict[str, dict[str, int]]
    slow_by_service: dict[str, int]
    samples: int = 0
    running: int = 0
    cold_excess: int = 0


@kernel_module.service("outcomes", roles=("balancer", "agent"))
class Outcomes(kernel_module.Service):
    """Counts outcomes over the last 6 hours, or since the process started.

    A request is recorded once, by the process that decides its outcome, so
    that the counts of all processes can be added.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.buckets: collections.deque[Bucket] = collections.deque(
            maxlen=MAX_BUCKETS
        )
        self.started_s = 0.0

    async def start(self) -> None:
        """Record the start time of the counts."""
        self.started_s = anyio.current_time()

    async def run(self) -> None:
        """Sample the endpoint's load; a balancer has no endpoint to sample."""
        await self.kernel.started.wait()
        admission = self.kernel.service_by_name.get("admission")
        while admission is not None:
            self._sample(admission)
            await anyio.sleep(SAMPLE_INTERVAL_S)

    def _sample(self, admission: typing.Any) -> None:
        bucket = self._current_bucket()
        bucket.samples += 1
        bucket.running += admission.running
        # Requests that were already running when the endpoint became cold
        # count too, because they load the endpoint in the same way.
        if admission.state() is frames.State.COLD:
            excess = admission.running - admission.limit()
            bucket.cold_excess = max(bucket.cold_excess, excess)

    def record(
        self,
        service: str,
        outcome: str,
        latency_s: float,
        slow: bool | None = None,
    ) -> None:
        """Count one request with its outcome, which is one of ``OUTCOMES``.

        If ``slow`` is ``None``, an answer is slow when its latency exceeds
        the objective of the service in the view.
        """
        bucket = self._current_bucket()
        counts = bucket.count_by_outcome.setdefault(service, {})
        counts[outcome] = counts.get(outcome, 0) + 1
        if outcome != "answered":
            return
        if slow is None:
            objective = self._find_objective(service)
            slow = objective is not None and latency_s > objective[1]
        if slow:
            slow_count = bucket.slow_by_service.get(service, 0)
            bucket.slow_by_service[service] = slow_count + 1

    def report(
        self, since_s: float = BUCKET_S * MAX_BUCKETS
    ) -> dict[str, typing.Any]:
        """Return the counts of the last ``since_s`` seconds as CBOR values.

        Times are ages in seconds, because the clocks of two machines cannot
        be compared. Each minute of a service is ``[age, counts]``. The counts
        are in the order of ``OUTCOMES``, followed by the number of slow
        answers, which ``answered`` includes. Each minute of an endpoint is
        ``[age, mean number of running requests, cold excess]``.
        """
        now = anyio.current_time()
        recent_buckets = [
            (now - bucket.start_s, bucket)
            for bucket in self.buckets
            if now - bucket.start_s < since_s
        ]
        services: dict[str, dict[str, typing.Any]] = {}
        for age_s, bucket in recent_buckets:
            for name, counts in bucket.count_by_outcome.items():
                entry = services.setdefault(
                    name,
                    {"objective": self._find_objective(name), "minutes": []},
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
            "endpoint": self._report_endpoint(recent_buckets),
        }

    def _report_endpoint(
        self, recent_buckets: list[tuple[float, Bucket]]
    ) -> dict[str, typing.Any] | None:
        settings = self.kernel.settings.endpoint
        if settings is None:
            return None
        view_store = self.kernel.service_by_name.get("view")
        service = (
            None
            if view_store is None
            else view_store.view.service(settings.service)
        )
        endpoint = None if service is None else service.endpoint(settings.id)
        return {
            "service": settings.service,
            "id": settings.id,
            "slots": 0 if endpoint is None else endpoint.slots,
            "weight": 0.0 if endpoint is None else endpoint.weight,
            "minutes": [
                [age_s, bucket.running / bucket.samples, bucket.cold_excess]
                for age_s, bucket in recent_buckets
                if bucket.samples
            ],
        }

    def _find_objective(self, service: str) -> tuple[float, float] | None:
        view_store = self.kernel.service_by_name.get("view")
        service_view = (
            None if view_store is None else view_store.view.service(service)
        )
        if service_view is None:
            return None
        return (
            service_view.objective.success,
            service_view.objective.max_latency_s,
        )

    def _current_bucket(self) -> Bucket:
        start_s = anyio.current_time() // BUCKET_S * BUCKET_S
        if not self.buckets or self.buckets[-1].start_s != start_s:
            self.buckets.append(Bucket(start_s, {}, {}))
        return self.buckets[-1]

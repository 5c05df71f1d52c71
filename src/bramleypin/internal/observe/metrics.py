"""Metrics, sent to statsd; each is declared with its unit and meaning."""

import bisect
import dataclasses

import anyio
import statsd

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal import registry


@dataclasses.dataclass(frozen=True)
class Metric:
    """The declaration of a metric; ``kind`` is one of ``KINDS``."""

    name: str
    kind: str
    unit: str
    meaning: str


KINDS = ("counter", "gauge", "timing", "histogram")
# Upper bounds of a histogram's buckets in seconds, from the latency of a frame
# within a failure domain to a caller's timeout for an opening.
BUCKETS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.4)

METRICS: registry.Registry[Metric] = registry.Registry("metric")


def declare(name: str, kind: str, unit: str, meaning: str) -> str:
    """Declare a metric at import time and return its name.

    :raises errors.UnknownName: when the kind is not one of ``KINDS``.
    """
    if kind not in KINDS:
        raise errors.UnknownName("kind of metric", kind, list(KINDS))
    METRICS.register(name)(Metric(name, kind, unit, meaning))
    return name


@dataclasses.dataclass(slots=True)
class Histogram:
    """Counts of durations by bucket; the last bucket has no upper bound."""

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS_S) + 1)
    )
    sum_s: float = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.sum_s += seconds


@kernel_module.service(
    "metrics",
    roles=("balancer", "agent", "stream_balancer", "stream_agent"),
)
class Metrics(kernel_module.Service):
    """Keeps the metrics in memory and sends changes periodically."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.count_by_name: dict[str, int] = {}
        self.gauge_by_name: dict[str, float] = {}
        self.histogram_by_name: dict[str, Histogram] = {}
        self._sent_by_name: dict[str, int] = {}
        self._client: statsd.StatsClient | None = None

    async def start(self) -> None:
        """Create the statsd client unless it is disabled (port 0)."""
        settings = self.kernel.settings.metrics
        if settings.port:
            self._client = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        self.count_by_name[name] = self.count_by_name.get(name, 0) + n

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauge_by_name[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Send a duration; only the latest value is kept in memory."""
        self.gauge_by_name[name] = seconds
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self.histogram_by_name.get(name)
        if histogram is None:
            histogram = self.histogram_by_name[name] = Histogram()
        histogram.add(seconds)
        if self._client is not None:
            self._client.timing(name, seconds * 1000)

    def snapshot(self) -> dict[str, dict[str, float]]:
        """Return all counters and gauges since the process started."""
        return {
            "counts": dict(sorted(self.count_by_name.items())),
            "gauges": dict(sorted(self.gauge_by_name.items())),
        }

    async def run(self) -> None:
        """Send changes once per ``interval_s``."""
        while self._client is not None:
            await anyio.sleep(self.kernel.settings.metrics.interval_s)
            self._flush(self._client)

    async def stop(self) -> None:
        """Send the last increments, which would otherwise be lost."""
        if self._client is not None:
            self._flush(self._client)
            self._client.close()

    def _flush(self, client: statsd.StatsClient) -> None:
        with client.pipeline() as pipe:
            for name, value in self.count_by_name.items():
                increment = value - self._sent_by_name.get(name, 0)
                if increment:
                    pipe.incr(name, increment)
                    self._sent_by_name[name] = value
            for name, value in self.gauge_by_name.items():
                pipe.gauge(name, value)

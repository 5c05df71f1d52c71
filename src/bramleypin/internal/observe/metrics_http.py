"""Serves the metrics as text in the Prometheus exposition format."""

import collections.abc
import typing

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import http_server
from bramleypin.internal.observe import metrics as metrics_module

PATH = b"/metrics"
PREFIX = "bramleypin_"


class Collector:
    """Hands the counters of this process to the client library."""

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Yield every declared metric that has a value.

        Counters that nothing has counted yet are 0, so that a rate can be
        computed from their first increment on.
        """
        # Imported on the first request: a daemon that nobody scrapes saves
        # the memory, and a restarted one needs the time for its callers.
        from prometheus_client import core

        for name, metric in metrics_module.METRICS.entry_by_name.items():
            own = PREFIX + name.replace(".", "_")
            if metric.kind == "counter":
                value = self._metrics.count_by_name.get(name, 0)
                yield core.CounterMetricFamily(own, metric.meaning, value)
            elif metric.kind == "histogram":
                yield self._histogram(core, own, name, metric)
            elif name in self._metrics.gauge_by_name:
                value = self._metrics.gauge_by_name[name]
                yield core.GaugeMetricFamily(own, metric.meaning, value)

    def _histogram(
        self,
        core: typing.Any,
        own: str,
        name: str,
        metric: metrics_module.Metric,
    ) -> typing.Any:
        known = self._metrics.histogram_by_name.get(name)
        histogram = known or metrics_module.Histogram()
        bounds = [str(bound) for bound in metrics_module.BUCKETS_S]
        buckets = []
        total = 0
        for bound, count in zip((*bounds, "+Inf"), histogram.counts):
            total += count
            buckets.append((bound, total))
        return core.HistogramMetricFamily(
            f"{own}_seconds",
            metric.meaning,
            buckets=buckets,
            sum_value=histogram.sum_s,
        )


@kernel_module.service(
    "metrics_http",
    roles=("stream_balancer", "stream_agent"),
    needs=("metrics",),
)
class MetricsHttp(kernel_module.Service):
    """Answers scrapes; without an address it serves nothing."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._collector = Collector(kernel.get("metrics"))
        self._server = http_server.HttpServer(self._page, "metrics")
        self._listener = None

    def _page(self, path: bytes) -> http_server.Answer:
        if path != PATH:
            return http_server.Answer(404)
        from prometheus_client import exposition

        text = exposition.generate_latest(self._collector)
        return http_server.Answer(
            200, text, exposition.CONTENT_TYPE_PLAIN_0_0_4
        )

    async def start(self) -> None:
        """Open the listener."""
        at = self.kernel.settings.metrics_address
        if at is not None:
            self._listener = await self.kernel.environment.open_listener(at)

    async def run(self) -> None:
        """Serve scrapes until cancelled."""
        if self._listener is not None:
            await self._listener.serve(self._server.serve)

    async def stop(self) -> None:
        """Close the listener."""
        if self._listener is not None:
            await self._listener.aclose()

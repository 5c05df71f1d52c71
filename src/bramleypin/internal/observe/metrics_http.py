"""Serves the metrics in the Prometheus text exposition format."""

import collections.abc
import typing

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import http_server
from bramleypin.internal.observe import metrics as metrics_module

PATH = b"/metrics"
PREFIX = "bramleypin_"

# Returns the answer to a request, given the query of its target.
Page = typing.Callable[[bytes], http_server.Answer]


class Collector:
    """Exposes the metrics of this process to the Prometheus client library."""

    def __init__(self, metrics: metrics_module.Metrics):
        self._metrics = metrics

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Yield the declared metrics; gauges and timings only once set.

        Counters without an increment are 0, so that a rate includes their
        first increment. Histograms without a value are empty.
        """
        # Imported on the first scrape: a daemon that is never scraped does
        # not need the memory, and an import at start would delay a restart.
        from prometheus_client import core

        for name, metric in metrics_module.METRICS.entry_by_name.items():
            exported_name = PREFIX + name.replace(".", "_")
            if metric.kind == "counter":
                value = self._metrics.count_by_name.get(name, 0)
                yield core.CounterMetricFamily(
                    exported_name, metric.meaning, value
                )
            elif metric.kind == "histogram":
                yield self._histogram_family(core, exported_name, name, metric)
            elif name in self._metrics.gauge_by_name:
                value = self._metrics.gauge_by_name[name]
                yield core.GaugeMetricFamily(
                    exported_name, metric.meaning, value
                )

    def _histogram_family(
        self,
        core: typing.Any,
        exported_name: str,
        name: str,
        metric: metrics_module.Metric,
    ) -> typing.Any:
        existing = self._metrics.histogram_by_name.get(name)
        histogram = existing or metrics_module.Histogram()
        bounds = [str(bound) for bound in metrics_module.BUCKETS_S]
        buckets = []
        cumulative = 0
        for bound, count in zip((*bounds, "+Inf"), histogram.counts):
            cumulative += count
            buckets.append((bound, cumulative))
        return core.HistogramMetricFamily(
            f"{exported_name}_seconds",
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
    """Answers scrapes and requests for the pages that services add.

    Without a configured address it does not listen.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._collector = Collector(kernel.get("metrics"))
        self._server = http_server.HttpServer(self._page, "metrics")
        self._listener = None
        self._page_by_path: dict[bytes, Page] = {PATH: self._metrics_page}

    def add_page(self, path: bytes, page: Page) -> None:
        """Serve another page at a path."""
        self._page_by_path[path] = page

    def _page(self, target: bytes) -> http_server.Answer:
        path, _, query = target.partition(b"?")
        page = self._page_by_path.get(path)
        return http_server.Answer(404) if page is None else page(query)

    def _metrics_page(self, _: bytes) -> http_server.Answer:
        from prometheus_client import exposition

        page = exposition.generate_latest(self._collector)
        return http_server.Answer(
            200, page, exposition.CONTENT_TYPE_PLAIN_0_0_4
        )

    async def start(self) -> None:
        """Open the listener."""
        listen_address = self.kernel.settings.metrics_address
        if listen_address is not None:
            self._listener = await self.kernel.environment.open_listener(
                listen_address
            )

    async def run(self) -> None:
        """Serve scrapes until cancelled."""
        if self._listener is not None:
            await self._listener.serve(self._server.serve)

    async def stop(self) -> None:
        """Close the listener."""
        if self._listener is not None:
            await self._listener.aclose()

"""Tests of the metrics page and of the HTTP server behind it."""

import pathlib
import tomllib
import unittest

import anyio
import parameterized
from prometheus_client import parser

from bramleypin.internal.net import http_server
from bramleypin.internal.observe import metrics
from bramleypin.internal.observe import metrics_http
from bramleypin.platform import boot

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


class _Settings:
    metrics = None
    metrics_address = None


class _Kernel:
    settings = _Settings()

    def __init__(self):
        self._metrics = metrics.Metrics(self)

    def get(self, name):
        return self._metrics


def scrape(kernel: _Kernel):
    """Return the samples of the metrics page by name and labels."""
    page = metrics_http.MetricsHttp(kernel)._page(b"/metrics")
    text = page.body.decode()
    return {
        (sample.name, tuple(sample.labels.items())): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


class MetricsPageTest(unittest.TestCase):
    def setUp(self):
        """Declare one metric of each kind until the end of the test."""
        self._original_entries = dict(metrics.METRICS.entry_by_name)
        metrics.declare("test.count", "counter", "things", "Things.")
        metrics.declare("test.level", "gauge", "things", "Things now.")
        metrics.declare("test.wait", "histogram", "seconds", "A wait.")

    def tearDown(self):
        """Restore the original declarations."""
        metrics.METRICS.entry_by_name.clear()
        metrics.METRICS.entry_by_name.update(self._original_entries)

    def test_a_scrape_shows_counters_gauges_and_histograms(self):
        """Guards against a page that a scraper cannot parse."""
        kernel = _Kernel()
        kernel.get("metrics").count("test.count", 3)
        kernel.get("metrics").gauge("test.level", 7)
        for seconds in (0.0005, 0.05, 0.05, 9.0):
            kernel.get("metrics").observe("test.wait", seconds)
        samples = scrape(kernel)
        name = "bramleypin_test_wait_seconds"
        self.assertEqual(3, samples["bramleypin_test_count_total", ()])
        self.assertEqual(7, samples["bramleypin_test_level", ()])
        self.assertEqual(1, samples[f"{name}_bucket", (("le", "0.001"),)])
        self.assertEqual(3, samples[f"{name}_bucket", (("le", "0.1"),)])
        self.assertEqual(4, samples[f"{name}_bucket", (("le", "+Inf"),)])
        self.assertEqual(4, samples[f"{name}_count", ()])
        self.assertAlmostEqual(9.1005, samples[f"{name}_sum", ()])

    def test_a_counter_without_increments_is_shown_as_0(self):
        """Guards against rates that miss the first increment."""
        samples = scrape(_Kernel())
        self.assertEqual(0, samples["bramleypin_test_count_total", ()])

    def test_other_paths_are_not_found(self):
        """Guards against metrics that are served at undocumented paths."""
        page = metrics_http.MetricsHttp(_Kernel())._page(b"/")
        self.assertEqual(404, page.status)

    def test_the_deploy_file_names_the_port_that_daemons_open(self):
        """Guards against a deploy file with a port that no daemon opens."""
        deploy_file = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for role in deploy_file["roles"].values():
            port, _, path = role["metrics"].partition("/")
            self.assertEqual(boot.METRICS_PORT, int(port))
            self.assertEqual(metrics_http.PATH, b"/" + path.encode())


class HttpServerTest(unittest.TestCase):
    def exchange(self, request: bytes, closes: bool = False) -> bytes:
        """Send bytes to a server over loopback and return its responses.

        With ``closes``, the client closes its side after sending.
        """

        async def main():
            server = http_server.HttpServer(
                lambda path: http_server.Answer(200, path), "test"
            )
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(
                anyio.abc.SocketAttribute.local_port
            )
            received = b""
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.serve)
                stream = await anyio.connect_tcp("127.0.0.1", port)
                async with stream:
                    await stream.send(request)
                    if closes:
                        await stream.send_eof()
                    with anyio.move_on_after(5):
                        while received.count(b"HTTP/1.1") < request.count(
                            b"GET"
                        ) or not received.endswith(b"/x"):
                            received += await stream.receive()
                tasks.cancel_scope.cancel()
            return received

        return anyio.run(main)

    def test_an_error_in_a_page_closes_only_its_connection(self):
        """Guards against a request that ends the daemon."""

        async def main():
            def page(path: bytes) -> http_server.Answer:
                if path == b"/bad":
                    raise ValueError("test")
                return http_server.Answer(200, path)

            server = http_server.HttpServer(page, "test")
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(
                anyio.abc.SocketAttribute.local_port
            )
            received = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, server.serve)
                for path in (b"/bad", b"/x"):
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    async with stream:
                        await stream.send(
                            b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n\r\n"
                        )
                        try:
                            received.append(await stream.receive())
                        except anyio.EndOfStream:
                            received.append(b"")
                tasks.cancel_scope.cancel()
            return received

        bad, good = anyio.run(main)
        self.assertEqual(b"", bad)
        self.assertTrue(good.startswith(b"HTTP/1.1 200"))

    @parameterized.parameterized.expand([("one", 1), ("two", 2)])
    def test_each_request_of_a_connection_is_answered(self, _, count):
        """Guards against a connection that is closed after one request."""
        answer = self.exchange(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n" * count)
        self.assertEqual(count, answer.count(b"HTTP/1.1 200"))
        self.assertTrue(answer.endswith(b"/x"))

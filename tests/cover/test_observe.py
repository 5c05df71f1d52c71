"""Tests of a daemon's logs, metrics, trace, outcomes and status."""

import types
import unittest

import anyio
import cbor2
import loguru
import parameterized
import trio.testing

from bramleypin import errors
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module
from bramleypin.internal.observe import logs
from bramleypin.internal.observe import metrics
from bramleypin.internal.observe import outcomes
from bramleypin.internal.observe import status
from bramleypin.internal.observe import trace
from bramleypin.internal.wire import frames
from bramleypin import settings as settings_module

SETTINGS = settings_module.Settings(
    role="agent",
    id="s-1",
    failure_domain="waco",
    keys=("00" * 32,),
    addresses=settings_module.Addresses("127.0.0.1:1", "127.0.0.1:2"),
    endpoint=settings_module.Endpoint("scheduler", "s-1", "127.0.0.1:3"),
    limits=settings_module.Limits(trace_entries=4),
)


def kernel():
    """Return a minimal kernel with a view, for services of ``observe``."""
    endpoint = configuration.Endpoint(
        "s-1", "waco", "127.0.0.1:1", "127.0.0.1:2", 5, weight=5.0
    )
    service = configuration.Service(
        "scheduler", ("127.0.0.9:5683",), (endpoint,)
    )
    encoded = configuration.encode(service)
    view = view_module.View(
        view_module.EMPTY_MANIFEST, {"scheduler": encoded}, {}, {}
    )
    started = anyio.Event()
    started.set()
    return types.SimpleNamespace(
        settings=SETTINGS,
        started=started,
        service_by_name={"view": types.SimpleNamespace(view=view)},
    )


def run(main):
    """Run a coroutine function under a virtual clock."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


class TestOutcomes(unittest.TestCase):
    def test_counts_older_than_six_hours_are_discarded(self):
        """Guards against unbounded memory and alarms on old outcomes."""

        async def main():
            service = outcomes.Outcomes(kernel())
            await service.start()
            for _ in range(400):
                service.record("scheduler", "answered", 0.1)
                await anyio.sleep(60)
            report = service.report()
            self.assertEqual(360, len(service.buckets))
            minutes = report["services"]["scheduler"]["minutes"]
            self.assertEqual(359, len(minutes))
            self.assertEqual(24_000.0, report["covered_s"])
            recent_outcomes = service.report(300.0)["services"]["scheduler"]
            self.assertEqual(4, len(recent_outcomes["minutes"]))
            # Reports are sent as CBOR, which must support all their types.
            self.assertEqual(
                4, len(cbor2.loads(cbor2.dumps(recent_outcomes))["minutes"])
            )

        run(main)

    @parameterized.parameterized.expand(
        [
            ("in time", "answered", 2.0, None, [1, 0, 0, 0, 0]),
            ("late", "answered", 2.1, None, [1, 0, 0, 0, 1]),
            ("marked as late", "answered", 0.1, True, [1, 0, 0, 0, 1]),
            ("not run", "not_run", 9.0, None, [0, 1, 0, 0, 0]),
            ("unknown", "unknown", 9.0, None, [0, 0, 1, 0, 0]),
            ("invalid", "invalid", 9.0, None, [0, 0, 0, 1, 0]),
        ]
    )
    def test_answers_over_the_objective_count_as_slow(
        self, name, outcome, latency_s, slow, expected
    ):
        """Guards against late answers that do not count against the budget."""

        async def main():
            service = outcomes.Outcomes(kernel())
            await service.start()
            service.record("scheduler", outcome, latency_s, slow)
            (minute,) = service.report()["services"]["scheduler"]["minutes"]
            self.assertEqual(expected, minute[1])

        run(main)

    def test_the_load_of_a_cold_endpoint_is_sampled(self):
        """Guards against unreported load above the cold limit."""

        async def main():
            agent_kernel = kernel()
            agent_kernel.service_by_name["admission"] = types.SimpleNamespace(
                running=3,
                limit=lambda: 1,
                state=lambda: frames.State.COLD,
            )
            service = outcomes.Outcomes(agent_kernel)
            await service.start()
            with anyio.move_on_after(30.5):
                await service.run()
            entry = service.report()["endpoint"]
            ((_, running, excess),) = entry["minutes"]
            self.assertEqual((5, 3.0, 2), (entry["slots"], running, excess))

        run(main)


class TestStatusAndTrace(unittest.TestCase):
    def test_a_failing_section_does_not_hide_the_others(self):
        """Guards against a status request that fails with one section."""

        async def main():
            service = status.Status(kernel())
            await service.start()
            service.register("broken", lambda: {}["x"] or {})
            service.register("flows", lambda: {"held": 3})
            await anyio.sleep(7)
            sections = service.collect()
            self.assertEqual({"held": 3}, sections["flows"])
            self.assertIn("KeyError", sections["broken"]["error"])
            self.assertEqual(7.0, sections["uptime_s"])

        run(main)

    def test_the_ring_keeps_the_latest_decisions(self):
        """Guards against an unbounded trace, or one that drops new entries."""

        async def main():
            service = trace.Trace(kernel())
            for number in range(9):
                service.record(f"10.0.0.9:{number}", "run", "test")
                await anyio.sleep(1)
            entries = service.report("10.0.0.9", 2)
            self.assertEqual(4, len(service.entries))
            self.assertEqual(
                ["10.0.0.9:7", "10.0.0.9:8"],
                [entry["flow"] for entry in entries],
            )
            self.assertEqual(1.0, entries[-1]["age_s"])

        run(main)


class TestLogsAndMetrics(unittest.TestCase):
    def test_repeats_are_counted_and_their_keys_bounded(self):
        """Guards against log floods and an unbounded number of keys."""
        lines = []
        logs.configure(settings_module.Logs(level="CRITICAL"))
        sink = loguru.logger.add(lines.append, format="{message}")
        self.addCleanup(loguru.logger.remove, sink)
        log = logs.get("balancer")
        for _ in range(3):
            log.warn_throttled("mac", "dropped a frame", reason="mac")
        self.assertEqual(["balancer: dropped a frame [reason=mac]\n"], lines)
        for number in range(2 * logs.MAX_REPEAT_KEYS):
            log.warn_throttled(f"caller {number}", "dropped a datagram")
        self.assertEqual(logs.MAX_REPEAT_KEYS, len(log._allowed_at_by_key))

    def test_a_metric_of_an_unknown_kind_is_refused(self):
        """Guards against metric kinds that statsd does not support."""
        with self.assertRaises(errors.UnknownName):
            metrics.declare("x", "summary", "s", "Nothing.")
        self.assertNotIn("x", metrics.METRICS.entry_by_name)

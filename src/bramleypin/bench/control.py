"""Measures the cost of the control path in one daemon at the target size.

Section 1.7 of docs/design.md states the target.

The load of a day is compressed: each kind of event is sent as fast as the
daemon handles it. Its cost is read from the daemon's own processor clock and
link counters, and multiplied by the number of such events in a day.

The daemon has the position with the highest load: it is a reader of the
platform, it is the parent of 16 children in each of the two trees, and each of
its three upstream links sends every change.
"""

import collections.abc
import dataclasses
import functools
import statistics
import subprocess
import sys
import typing

import anyio

from bramleypin.bench import control_harness
from bramleypin.bench import rows
from bramleypin.internal.membership import lease

SIZES = {
    "1/8": control_harness.Size(450, 925, 124),
    "1/4": control_harness.Size(900, 1_850, 248),
    "1/2": control_harness.Size(1_800, 3_700, 495),
    "1": control_harness.Size(3_600, 7_400, 990),
}
MEMORY_BOUND_MB = 32.0
BYTES_BOUND_PER_S = 14_000.0
PROCESSOR_BOUND = 1.1  # Percent of a core.
DAY_S = 86_400.0
CHANGES_PER_DAY = 3_900
# Each of 2,000 replacements is two changes: the old VM leaves, and later its
# successor is live.
VM_CHANGES_PER_DAY = 2 * 2_000
BALANCER_SHARE = 1_500 / 8_900
CHANGE_SAMPLES = 60
LEASE_REQUEST_ROUNDS = 40
IDLE_DURATION_S = 5.0
# Memory is also measured after this many further changes of each service,
# published in revisions that change CHANGES_PER_REVISION services each.
EARLIER_VERSIONS = 4
CHANGES_PER_REVISION = 100
# Overhead of a message: IPv4 and TCP headers with timestamps (52 bytes), a
# WebSocket header (up to 8 bytes) and a TCP acknowledgement without data (52
# bytes).
WIRE_OVERHEAD_BYTES = 112


@dataclasses.dataclass
class Cost:
    """Processor seconds of one event, and its bytes in both directions."""

    cpu_s: float
    bytes: float


@dataclasses.dataclass
class Result:
    """Figures of one view size.

    Resident sizes and ``view_bytes`` are in bytes.
    """

    interpreter_rss: int
    rss: int
    rss_with_versions: int
    peak_rss: int
    all_changed_peak_rss: int
    change: Cost
    vm_change: Cost
    lease_request: Cost
    idle_cpu_share: float
    idle_bytes_per_s: float
    hop_s: float
    view_bytes: int

    def lease_requests_per_s(self) -> float:
        """Return the rate of lease requests from the 32 children.

        Balancers and agents send lease requests at different intervals.
        """
        balancers = BALANCER_SHARE / lease.REQUEST_INTERVAL_S
        agents = (1.0 - BALANCER_SHARE) / lease.AGENT_REQUEST_INTERVAL_S
        return control_harness.CHILDREN * (balancers + agents)

    def _sum_per_s(self, field: str) -> float:
        """Return a ``Cost`` field summed over all events of a second.

        The rate of each kind of event is averaged over a day.
        """
        return (
            getattr(self.change, field) * CHANGES_PER_DAY / DAY_S
            + getattr(self.vm_change, field) * VM_CHANGES_PER_DAY / DAY_S
            + getattr(self.lease_request, field) * self.lease_requests_per_s()
        )

    def processor_share(self) -> float:
        """Return the average share of a core over a day."""
        return self._sum_per_s("cpu_s") + self.idle_cpu_share

    def bytes_per_s(self) -> float:
        """Return the average bytes a second over a day, in both directions."""
        return self._sum_per_s("bytes") + self.idle_bytes_per_s


def bare_interpreter_bytes() -> int:
    """Return the resident bytes of an interpreter that imports nothing."""
    code = (
        "print(next(line.split()[1] for line in open('/proc/self/status')"
        " if line.startswith('VmRSS')))"
    )
    process = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True
    )
    return int(process.stdout) * 1024


async def _measure_cost(
    harness: control_harness.Harness,
    event: typing.Callable[[], typing.Awaitable[typing.Any]],
    calls: int,
    events_per_call: int,
    messages_per_event: float,
) -> tuple[Cost, list[typing.Any]]:
    """Return the cost of one event, and the results of the calls.

    ``event`` is called ``calls`` times, and each call causes
    ``events_per_call`` events. ``WIRE_OVERHEAD_BYTES`` is added for each of
    the ``messages_per_event`` messages.
    """
    overhead = await _measure_usage_overhead(harness)
    usage_before = await harness.usage()
    results = [await event() for _ in range(calls)]
    usage_after = await harness.usage()
    event_count = calls * events_per_call
    cpu_s = usage_after["cpu_s"] - usage_before["cpu_s"] - overhead.cpu_s
    transferred = sum(
        usage_after[key] - usage_before[key] for key in ("sent", "received")
    )
    bytes_per_event = (transferred - overhead.bytes) / event_count
    bytes_per_event += messages_per_event * WIRE_OVERHEAD_BYTES
    return Cost(max(cpu_s, 0.0) / event_count, bytes_per_event), results


async def _measure_usage_overhead(harness: control_harness.Harness) -> Cost:
    """Return the cost of a usage request, which each measurement includes."""
    samples = [await harness.usage() for _ in range(4)]
    first_sample, last_sample = samples[0], samples[-1]
    transferred = sum(
        last_sample[key] - first_sample[key] for key in ("sent", "received")
    )
    intervals = len(samples) - 1
    return Cost(
        (last_sample["cpu_s"] - first_sample["cpu_s"]) / intervals,
        transferred / intervals,
    )


async def _measure(
    harness: control_harness.Harness, interpreter_rss: int
) -> Result:
    initial_usage = await harness.usage()
    children = control_harness.CHILDREN
    change, hops_s = await _measure_cost(
        harness,
        harness.propagate_change,
        CHANGE_SAMPLES,
        1,
        children + control_harness.UPSTREAM_LINKS,
    )
    vm_change, _ = await _measure_cost(
        harness, harness.propagate_vm_change, CHANGE_SAMPLES, 1, children
    )
    # Two messages for each event: the request and its answer.
    lease_request, _ = await _measure_cost(
        harness,
        harness.exchange_lease_requests,
        LEASE_REQUEST_ROUNDS,
        children,
        2,
    )
    # The daemon itself sends a lease request each second and gets an answer.
    idle_cost, _ = await _measure_cost(
        harness,
        functools.partial(anyio.sleep, IDLE_DURATION_S),
        1,
        1,
        2 * IDLE_DURATION_S,
    )
    # Enough for EARLIER_VERSIONS changes of each service, rounded up.
    revisions = -(
        -EARLIER_VERSIONS * harness.size.services // CHANGES_PER_REVISION
    )
    for _ in range(revisions):
        await harness.propagate_change(CHANGES_PER_REVISION)
    versions_usage = await harness.usage()
    await harness.propagate_change(harness.size.services)
    await anyio.sleep(1.0)
    all_changed_usage = await harness.usage()
    return Result(
        interpreter_rss,
        initial_usage["rss"],
        versions_usage["rss"],
        versions_usage["peak_rss"],
        all_changed_usage["peak_rss"],
        change,
        vm_change,
        lease_request,
        idle_cost.cpu_s / IDLE_DURATION_S,
        idle_cost.bytes / IDLE_DURATION_S,
        statistics.median(hops_s),
        harness.view_bytes(),
    )


def measure(size: control_harness.Size) -> Result:
    """Measure a daemon that holds a view of the given size."""

    async def main() -> Result:
        harness = control_harness.Harness(size)
        try:
            async with anyio.create_task_group() as tasks:
                await harness.start(tasks)
                result = await _measure(harness, bare_interpreter_bytes())
                tasks.cancel_scope.cancel()
        finally:
            harness.stop()
        return result

    return anyio.run(main)


@rows.BENCHES.register("control")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure four view sizes, the last of which is the target's."""
    for name, size in SIZES.items():
        result = measure(size)
        megabyte = 1e6
        figures = (
            ("memory", result.rss / megabyte, MEMORY_BOUND_MB, "MB"),
            (
                "memory above a bare interpreter",
                (result.rss - result.interpreter_rss) / megabyte,
                MEMORY_BOUND_MB,
                "MB",
            ),
            (
                "memory with 4 earlier versions of each service",
                result.rss_with_versions / megabyte,
                MEMORY_BOUND_MB,
                "MB",
            ),
            ("peak memory", result.peak_rss / megabyte, None, "MB"),
            (
                "peak memory when all services change at once",
                result.all_changed_peak_rss / megabyte,
                None,
                "MB",
            ),
            (
                "processor, day compressed",
                100 * result.processor_share(),
                PROCESSOR_BOUND,
                "% of a core",
            ),
            (
                "bytes, day compressed",
                result.bytes_per_s(),
                BYTES_BOUND_PER_S,
                "bytes/s",
            ),
            ("change", 1e3 * result.change.cpu_s, None, "ms"),
            ("change", result.change.bytes, None, "bytes"),
            ("VM change", 1e3 * result.vm_change.cpu_s, None, "ms"),
            ("VM change", result.vm_change.bytes, None, "bytes"),
            ("lease request", 1e3 * result.lease_request.cpu_s, None, "ms"),
            ("lease request", result.lease_request.bytes, None, "bytes"),
            ("idle", 100 * result.idle_cpu_share, None, "% of a core"),
            ("whole view", result.view_bytes, None, "bytes"),
            ("hop to the last of 32 children", 1e3 * result.hop_s, None, "ms"),
        )
        for label, value, bound, unit in figures:
            yield rows.Row(
                "control",
                f"{name} of the target: {label}",
                round(value, 4),
                None,
                "",
                bound,
                unit,
                1,
            )

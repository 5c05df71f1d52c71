"""Measures how long a configuration change takes to reach all processes.

The bench also counts the platform calls and bytes that changes cause. It runs
in virtual time.
"""

import collections.abc
import dataclasses
import random

import anyio

from bramleypin.bench import rows
from bramleypin import errors
from bramleypin.internal.membership import metric_names
from bramleypin.internal.model import configuration
from bramleypin.standins import fleet as fleet_module
from bramleypin.standins import platform

SIZES = (10, 40, 120, 300)
DOMAINS = ("austin", "san-marcos", "waco")
SERVICE_COUNT = 40
CHANGE_COUNT = 5
# The target deployment has 3,900 configuration changes a day.
CHANGE_INTERVAL_S = 86_400 / 3_900
OUTAGE_S = 60.0
PROPAGATION_TIMEOUT_S = 60.0
PROPAGATION_BOUND_S = 5.0
# Target limit for the platform reads per second of the busiest process.
READS_BOUND = 0.2
POLL_INTERVAL_S = 1.0
SEED = 1
BASELINE_NAME = "every process polls the platform each second"


@dataclasses.dataclass
class Result:
    """Figures of one run.

    ``spread_s`` is the longest time until all processes have a change, in
    seconds. ``after_outage_s`` is that time for a change published during a
    platform outage, from the end of the outage. The rate of platform reads is
    ``reads_per_s`` for the busiest process (for the baseline, the mean of the
    pollers) and ``platform_calls_per_s`` for all processes. ``bytes_a_change``
    counts bytes for each change and process.
    """

    spread_s: float
    after_outage_s: float
    reads_per_s: float
    platform_calls_per_s: float
    bytes_a_change: float


def _counter_values(fleet: fleet_module.Fleet, metric_name: str) -> list[int]:
    return [
        member.get("metrics").count_by_name.get(metric_name, 0)
        for member in fleet.live_members()
    ]


def _transferred_bytes(fleet: fleet_module.Fleet) -> int:
    sent_bytes = sum(_counter_values(fleet, metric_names.SENT_BYTES))
    return sent_bytes + fleet.platform.bytes_read


async def _propagation_s(fleet: fleet_module.Fleet, revision: int) -> float:
    propagation_s = await fleet.wait_for_revision(
        revision, PROPAGATION_TIMEOUT_S
    )
    return PROPAGATION_TIMEOUT_S if propagation_s is None else propagation_s


async def _measure_changes(fleet: fleet_module.Fleet) -> tuple[float, float]:
    """Return the longest propagation, and bytes per change and process."""
    longest_s = 0.0
    total_bytes = 0
    for _ in range(CHANGE_COUNT):
        bytes_before = _transferred_bytes(fleet)
        longest_s = max(
            longest_s, await _propagation_s(fleet, fleet.publish())
        )
        # Long enough for every parent to have sent the change, and short
        # enough that few heartbeats are counted.
        await anyio.sleep(0.05)
        total_bytes += _transferred_bytes(fleet) - bytes_before
        await anyio.sleep(CHANGE_INTERVAL_S)
    return longest_s, total_bytes / CHANGE_COUNT / len(fleet.live_members())


async def _measure(fleet: fleet_module.Fleet) -> Result:
    start_s = anyio.current_time()
    reads_before = _counter_values(fleet, metric_names.PLATFORM_READS)
    spread_s, bytes_a_change = await _measure_changes(fleet)
    fleet.platform.set_down(True)
    await anyio.sleep(OUTAGE_S / 2)
    revision = fleet.publish()
    await anyio.sleep(OUTAGE_S / 2)
    fleet.platform.set_down(False)
    after_outage_s = await _propagation_s(fleet, revision)
    await anyio.sleep(CHANGE_INTERVAL_S)
    later_spread_s, _ = await _measure_changes(fleet)
    elapsed_s = anyio.current_time() - start_s
    reads_after = _counter_values(fleet, metric_names.PLATFORM_READS)
    read_counts = [
        after - before
        for before, after in zip(reads_before, reads_after, strict=True)
    ]
    return Result(
        max(spread_s, later_spread_s),
        after_outage_s,
        max(read_counts) / elapsed_s,
        sum(read_counts) / elapsed_s,
        bytes_a_change,
    )


class Poller:
    """Baseline process that reads manifest and changed shards each second."""

    def __init__(
        self, platform_source: platform.MemoryPlatform, rng: random.Random
    ):
        self.revision = 0
        self._platform = platform_source
        self._random = rng
        self._digest_by_shard: dict[int, bytes] = {}

    async def run(self) -> None:
        """Poll the platform until the task is cancelled."""
        await anyio.sleep(self._random.uniform(0.0, POLL_INTERVAL_S))
        while True:
            try:
                await self._poll()
            except errors.PlatformUnavailable:
                pass
            await anyio.sleep(POLL_INTERVAL_S)

    async def _poll(self) -> None:
        stored = await self._platform.read("bramleypin/manifest")
        manifest = configuration.decode(
            stored.value, configuration.Manifest, "manifest"
        )
        if manifest.revision <= self.revision:
            return
        for number, digest in manifest.digest_by_shard.items():
            if self._digest_by_shard.get(number) != digest:
                await self._platform.read(f"bramleypin/shard/{number:02d}")
        self._digest_by_shard = manifest.digest_by_shard
        self.revision = manifest.revision


async def _baseline_propagation_s(
    fleet: fleet_module.Fleet, pollers: list[Poller], revision: int
) -> float:
    start_s = anyio.current_time()
    while any(poller.revision < revision for poller in pollers):
        await anyio.sleep(0.01)
    return anyio.current_time() - start_s


async def _measure_baseline(
    fleet: fleet_module.Fleet, pollers: list[Poller]
) -> Result:
    start_s = anyio.current_time()
    calls_before = fleet.platform.calls
    bytes_before = fleet.platform.bytes_read
    longest_s = 0.0
    for _ in range(CHANGE_COUNT):
        propagation_s = await _baseline_propagation_s(
            fleet, pollers, fleet.publish()
        )
        longest_s = max(longest_s, propagation_s)
        await anyio.sleep(CHANGE_INTERVAL_S)
    bytes_read = fleet.platform.bytes_read - bytes_before
    fleet.platform.set_down(True)
    await anyio.sleep(OUTAGE_S / 2)
    revision = fleet.publish()
    await anyio.sleep(OUTAGE_S / 2)
    fleet.platform.set_down(False)
    after_outage_s = await _baseline_propagation_s(fleet, pollers, revision)
    elapsed_s = anyio.current_time() - start_s
    calls_per_s = (fleet.platform.calls - calls_before) / elapsed_s
    return Result(
        longest_s,
        after_outage_s,
        calls_per_s / len(pollers),
        calls_per_s,
        bytes_read / CHANGE_COUNT / len(pollers),
    )


def run_baseline(count: int) -> Result:
    """Measure the baseline: ``count`` pollers without any other process."""

    async def scenario(fleet: fleet_module.Fleet) -> Result:
        pollers = [
            Poller(fleet.platform, random.Random(f"{SEED} {number}"))
            for number in range(count)
        ]
        for poller in pollers:
            fleet.tasks.start_soon(poller.run)
        await anyio.sleep(5.0)
        return await _measure_baseline(fleet, pollers)

    return fleet_module.run(scenario, 0, DOMAINS, SERVICE_COUNT, SEED)


def run_fleet(count: int) -> Result:
    """Measure a fleet of ``count`` processes of the system."""
    return fleet_module.run(
        _measure, count, DOMAINS, SERVICE_COUNT, SEED, settle_s=30.0
    )


@rows.BENCHES.register("config")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Compare the system with polling processes, for four fleet sizes."""
    figures = (
        ("spread_s", "until in force", PROPAGATION_BOUND_S, "s"),
        ("after_outage_s", "in force after outage", PROPAGATION_BOUND_S, "s"),
        (
            "reads_per_s",
            "reads, busiest process",
            READS_BOUND,
            "reads/s",
        ),
        ("platform_calls_per_s", "platform", None, "calls/s"),
        ("bytes_a_change", "bytes a process", None, "bytes/change"),
    )
    for count in SIZES:
        system_result = run_fleet(count)
        baseline_result = run_baseline(count)
        for field, label, bound, unit in figures:
            yield rows.Row(
                "config",
                f"{count} processes: {label}",
                round(getattr(system_result, field), 4),
                round(getattr(baseline_result, field), 4),
                BASELINE_NAME,
                bound,
                unit,
                SEED,
            )

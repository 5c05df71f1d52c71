"""How fast and at what cost a change reaches a fleet, in virtual time."""

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
SERVICES = 40
CHANGES = 5
# The target size has 3,900 changes a day.
CHANGE_INTERVAL_S = 86_400 / 3_900
OUTAGE_S = 60.0
TIMEOUT_S = 60.0
SPREAD_BOUND_S = 5.0
READS_BOUND = 0.2
POLL_INTERVAL_S = 1.0
SEED = 1
BASELINE_NAME = "every process polls the platform each second"


@dataclasses.dataclass
class Result:
    """Figures of one run.

    Times are in seconds, ``reads_per_s`` is that of the busiest process, and
    bytes are for each change and process.
    """

    spread_s: float
    after_outage_s: float
    reads_per_s: float
    platform_calls_per_s: float
    bytes_a_change: float


def _total(fleet: fleet_module.Fleet, name: str) -> list[int]:
    return [
        member.get("metrics").count_by_name.get(name, 0)
        for member in fleet.live_members()
    ]


def _bytes(fleet: fleet_module.Fleet) -> int:
    sent = sum(_total(fleet, metric_names.SENT_BYTES))
    return sent + fleet.platform.bytes_read


async def _spread(fleet: fleet_module.Fleet, revision: int) -> float:
    took_s = await fleet.wait_for_revision(revision, TIMEOUT_S)
    return TIMEOUT_S if took_s is None else took_s


async def _changes(fleet: fleet_module.Fleet) -> tuple[float, float]:
    """Return the slowest spread, and bytes for each change and process."""
    slowest_s = 0.0
    total = 0
    for _ in range(CHANGES):
        before = _bytes(fleet)
        slowest_s = max(slowest_s, await _spread(fleet, fleet.publish()))
        # Every parent has sent by then; few heartbeats fall into the time.
        await anyio.sleep(0.05)
        total += _bytes(fleet) - before
        await anyio.sleep(CHANGE_INTERVAL_S)
    return slowest_s, total / CHANGES / len(fleet.live_members())


async def _measure(fleet: fleet_module.Fleet) -> Result:
    begun_s = anyio.current_time()
    before = _total(fleet, metric_names.PLATFORM_READS)
    spread_s, bytes_a_change = await _changes(fleet)
    fleet.platform.set_down(True)
    await anyio.sleep(OUTAGE_S / 2)
    revision = fleet.publish()
    await anyio.sleep(OUTAGE_S / 2)
    fleet.platform.set_down(False)
    after_outage_s = await _spread(fleet, revision)
    await anyio.sleep(CHANGE_INTERVAL_S)
    later_s, _ = await _changes(fleet)
    elapsed_s = anyio.current_time() - begun_s
    after = _total(fleet, metric_names.PLATFORM_READS)
    reads = [b - a for a, b in zip(before, after, strict=True)]
    return Result(
        max(spread_s, later_s),
        after_outage_s,
        max(reads) / elapsed_s,
        sum(reads) / elapsed_s,
        bytes_a_change,
    )


class Poller:
    """The baseline: a process that reads the manifest each second."""

    def __init__(self, source: platform.MemoryPlatform, rng: random.Random):
        self.revision = 0
        self._source = source
        self._random = rng
        self._digest_by_shard: dict[int, bytes] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        await anyio.sleep(self._random.uniform(0.0, POLL_INTERVAL_S))
        while True:
            try:
                await self._poll()
            except errors.PlatformUnavailable:
                pass
            await anyio.sleep(POLL_INTERVAL_S)

    async def _poll(self) -> None:
        value = await self._source.read("bramleypin/manifest")
        manifest = configuration.decode(
            value.value, configuration.Manifest, "manifest"
        )
        if manifest.revision <= self.revision:
            return
        for number, digest in manifest.digest_by_shard.items():
            if self._digest_by_shard.get(number) != digest:
                await self._source.read(f"bramleypin/shard/{number:02d}")
        self._digest_by_shard = manifest.digest_by_shard
        self.revision = manifest.revision


async def _baseline_spread(
    fleet: fleet_module.Fleet, pollers: list[Poller], revision: int
) -> float:
    begun_s = anyio.current_time()
    while any(poller.revision < revision for poller in pollers):
        await anyio.sleep(0.01)
    return anyio.current_time() - begun_s


async def _measure_baseline(
    fleet: fleet_module.Fleet, pollers: list[Poller]
) -> Result:
    begun_s = anyio.current_time()
    calls_before = fleet.platform.calls
    bytes_before = fleet.platform.bytes_read
    spread_s = 0.0
    for _ in range(CHANGES):
        took_s = await _baseline_spread(fleet, pollers, fleet.publish())
        spread_s = max(spread_s, took_s)
        await anyio.sleep(CHANGE_INTERVAL_S)
    read = fleet.platform.bytes_read - bytes_before
    fleet.platform.set_down(True)
    await anyio.sleep(OUTAGE_S / 2)
    revision = fleet.publish()
    await anyio.sleep(OUTAGE_S / 2)
    fleet.platform.set_down(False)
    after_outage_s = await _baseline_spread(fleet, pollers, revision)
    elapsed_s = anyio.current_time() - begun_s
    calls_per_s = (fleet.platform.calls - calls_before) / elapsed_s
    return Result(
        spread_s,
        after_outage_s,
        calls_per_s / len(pollers),
        calls_per_s,
        read / CHANGES / len(pollers),
    )


def run_baseline(count: int) -> Result:
    """Measure as many pollers; no process of the system runs."""

    async def scenario(fleet: fleet_module.Fleet) -> Result:
        pollers = [
            Poller(fleet.platform, random.Random(f"{SEED} {number}"))
            for number in range(count)
        ]
        for poller in pollers:
            fleet.tasks.start_soon(poller.run)
        await anyio.sleep(5.0)
        return await _measure_baseline(fleet, pollers)

    return fleet_module.run(scenario, 0, DOMAINS, SERVICES, SEED)


def run_ours(count: int) -> Result:
    """Measure a fleet of the system's own processes."""
    return fleet_module.run(
        _measure, count, DOMAINS, SERVICES, SEED, settle_s=30.0
    )


@rows.BENCHES.register("config")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Compare dissemination with polling, at four sizes."""
    cells = (
        ("spread_s", "until in force", SPREAD_BOUND_S, "s"),
        ("after_outage_s", "in force after outage", SPREAD_BOUND_S, "s"),
        ("reads_per_s", "reads, busiest process", READS_BOUND, "reads/s"),
        ("platform_calls_per_s", "platform", None, "calls/s"),
        ("bytes_a_change", "bytes a process", None, "bytes/change"),
    )
    for count in SIZES:
        ours = run_ours(count)
        baseline = run_baseline(count)
        for field, label, bound, unit in cells:
            yield rows.Row(
                "config",
                f"{count} processes: {label}",
                round(getattr(ours, field), 4),
                round(getattr(baseline, field), 4),
                BASELINE_NAME,
                bound,
                unit,
                SEED,
            )

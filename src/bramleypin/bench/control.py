"""Measures the cost of the control path in one daemon at the target's size.

Each kind of event is sent as fast as the daemon handles it. Its cost is read
from the daemon's own processor clock and link counters, and multiplied by the
number of such events in a day. The daemon has the most loaded position there
is: it reads from the platform, is the parent of 16 children in each of the two
trees, and has three upstream links that each send every change.
"""

import collections.abc
import dataclasses
import functools
import statistics
import subprocess
import sys
import typing

import anyio

from bramleypin.bench import control_world
from bramleypin.bench import rows
from bramleypin.internal.membership import lease

SIZES = {
    "1/8": control_world.Size(450, 925, 124),
    "1/4": control_world.Size(900, 1_850, 248),
    "1/2": control_world.Size(1_800, 3_700, 495),
    "1": control_world.Size(3_600, 7_400, 990),
}
MEMORY_BOUND_MB = 32.0
BYTES_BOUND = 14_000.0
PROCESSOR_BOUND = 1.1
DAY_S = 86_400.0
CHANGES_A_DAY = 3_900
# Each of 2,000 replacements is two changes: the old VM leaves, and later its
# successor is live.
VM_CHANGES_A_DAY = 2 * 2_000
BALANCER_SHARE = 1_500 / 8_900
SAMPLES = 60
BEATS = 40
IDLE_S = 5.0
EARLIER_VERSIONS = 4
AGED_AT_ONCE = 100
# Each message adds IPv4 and TCP headers with timestamps (52 bytes), a WebSocket
# header (up to 8 bytes) and a TCP acknowledgement without data (52 bytes).
WIRE_BYTES_A_MESSAGE = 112


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

    bare_rss: int
    rss: int
    aged_rss: int
    peak_rss: int
    whole_peak_rss: int
    change: Cost
    members: Cost
    heartbeat: Cost
    idle_cpu_share: float
    idle_bytes_per_s: float
    hop_s: float
    view_bytes: int

    def heartbeats_per_s(self) -> float:
        """Return the rate of lease requests from 32 children of both roles."""
        balancers = BALANCER_SHARE / lease.REQUEST_INTERVAL_S
        agents = (1.0 - BALANCER_SHARE) / lease.AGENT_REQUEST_INTERVAL_S
        return control_world.CHILDREN * (balancers + agents)

    def _per_s(self, field: str) -> float:
        return (
            getattr(self.change, field) * CHANGES_A_DAY / DAY_S
            + getattr(self.members, field) * VM_CHANGES_A_DAY / DAY_S
            + getattr(self.heartbeat, field) * self.heartbeats_per_s()
        )

    def processor_share(self) -> float:
        """Return the average share of a core over a day."""
        return self._per_s("cpu_s") + self.idle_cpu_share

    def bytes_per_s(self) -> float:
        """Return the average bytes a second over a day, in both directions."""
        return self._per_s("bytes") + self.idle_bytes_per_s


def bare_interpreter_bytes() -> int:
    """Return the resident bytes of an interpreter that imports nothing."""
    code = (
        "print(next(line.split()[1] for line in open('/proc/self/status')"
        " if line.startswith('VmRSS')))"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], check=True, capture_output=True
    )
    return int(done.stdout) * 1024


async def _cost(
    world: control_world.World,
    event: typing.Callable[[], typing.Awaitable[typing.Any]],
    count: int,
    events_each: int,
    messages: float,
) -> tuple[Cost, list[typing.Any]]:
    """Return the cost of one event, and what each call of ``event`` gave.

    ``event`` is called ``count`` times, and each call is ``events_each``
    events. ``messages`` is the number of messages of one event, for the bytes
    that the protocols below add.
    """
    empty = await _usage_cost(world)
    before = await world.usage()
    results = [await event() for _ in range(count)]
    after = await world.usage()
    total = count * events_each
    cpu_s = after["cpu_s"] - before["cpu_s"] - empty.cpu_s
    moved = sum(after[k] - before[k] for k in ("sent", "received"))
    per_event = (moved - empty.bytes) / total
    per_event += messages * WIRE_BYTES_A_MESSAGE
    return Cost(max(cpu_s, 0.0) / total, per_event), results


async def _usage_cost(world: control_world.World) -> Cost:
    """Return the cost of one usage request, which each measurement includes."""
    samples = [await world.usage() for _ in range(4)]
    first, last = samples[0], samples[-1]
    moved = sum(last[k] - first[k] for k in ("sent", "received"))
    steps = len(samples) - 1
    return Cost((last["cpu_s"] - first["cpu_s"]) / steps, moved / steps)


async def _measure(world: control_world.World, bare: int) -> Result:
    fresh = await world.usage()
    children = control_world.CHILDREN
    change, hops = await _cost(
        world, world.change_configuration, SAMPLES, 1, children + 3
    )
    members, _ = await _cost(world, world.change_members, SAMPLES, 1, children)
    heartbeat, _ = await _cost(world, world.heartbeat, BEATS, children, 2)
    idle, _ = await _cost(
        world, functools.partial(anyio.sleep, IDLE_S), 1, 1, 2 * IDLE_S
    )
    steps = -(-EARLIER_VERSIONS * world.size.services // AGED_AT_ONCE)
    for _ in range(steps):
        await world.change_configuration(AGED_AT_ONCE)
    aged = await world.usage()
    await world.change_configuration(world.size.services)
    await anyio.sleep(1.0)
    whole = await world.usage()
    return Result(
        bare,
        fresh["rss"],
        aged["rss"],
        aged["peak_rss"],
        whole["peak_rss"],
        change,
        members,
        heartbeat,
        idle.cpu_s / IDLE_S,
        idle.bytes / IDLE_S,
        statistics.median(hops),
        world.view_bytes(),
    )


def measure(size: control_world.Size) -> Result:
    """Measure a daemon that holds a view of the given size."""

    async def main() -> Result:
        world = control_world.World(size)
        try:
            async with anyio.create_task_group() as tasks:
                await world.start(tasks)
                result = await _measure(world, bare_interpreter_bytes())
                tasks.cancel_scope.cancel()
        finally:
            world.stop()
        return result

    return anyio.run(main)


@rows.BENCHES.register("control")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure four view sizes, the last of which is the target's."""
    for name, size in SIZES.items():
        result = measure(size)
        mega = 1e6
        cells = (
            ("memory", result.rss / mega, MEMORY_BOUND_MB, "MB"),
            (
                "memory above a bare interpreter",
                (result.rss - result.bare_rss) / mega,
                MEMORY_BOUND_MB,
                "MB",
            ),
            (
                "memory with 4 earlier versions of each service",
                result.aged_rss / mega,
                MEMORY_BOUND_MB,
                "MB",
            ),
            ("peak memory", result.peak_rss / mega, None, "MB"),
            (
                "peak memory when all services change at once",
                result.whole_peak_rss / mega,
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
                BYTES_BOUND,
                "bytes/s",
            ),
            ("change", 1e3 * result.change.cpu_s, None, "ms"),
            ("change", result.change.bytes, None, "bytes"),
            ("VM change", 1e3 * result.members.cpu_s, None, "ms"),
            ("VM change", result.members.bytes, None, "bytes"),
            ("lease request", 1e3 * result.heartbeat.cpu_s, None, "ms"),
            ("lease request", result.heartbeat.bytes, None, "bytes"),
            ("idle", 100 * result.idle_cpu_share, None, "% of a core"),
            ("whole view", result.view_bytes, None, "bytes"),
            ("hop to the last of 32 children", 1e3 * result.hop_s, None, "ms"),
        )
        for label, value, bound, unit in cells:
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

"""Generates the tables of ``docs/CAPACITY.md`` from bench rows.

Usage::

    python -m bramleypin.bench config control flow_state \
        > docs/capacity.jsonl
    python -m bramleypin.bench.capacity \
        docs/capacity.jsonl docs/CAPACITY.md

Every figure is a bench row, or is computed from bench rows and the target
size that the constants below state.
"""

import collections.abc
import math
import pathlib
import sys
import typing

from bramleypin.bench import capacity_rows
from bramleypin.bench import config
from bramleypin.bench import control
from bramleypin.bench import control_world
from bramleypin.internal.membership import lease
from bramleypin.internal.membership import platform_reader
from bramleypin.internal.membership import trees
from bramleypin.internal import registry

# Target size and rates, from section 1.7 of docs/design.md.
BALANCERS = 1_500
AGENTS = 7_400
PROCESSES = BALANCERS + AGENTS
OPEN_FLOWS = 24_000_000
FAILURE_DOMAINS = 9
PLATFORM_CALLS_PER_S = 2_000
SPREAD_BOUND_S = 15.0
FAILED_A_DAY = 30
REPLACED_A_DAY = 2_000
# Assumed values, which the target does not specify.
RACK_VMS = 40
PARTITION_S = 600.0
HOP_LATENCY_S = 0.001
PLATFORM_ANSWER_S = 0.003

_BEGIN = "<!-- table: {} -->"
_END = "<!-- end -->"

Table = typing.Callable[[capacity_rows.Rows], collections.abc.Iterable[tuple]]

TABLES: registry.Registry[Table] = registry.Registry("table")


def _whole_events(rows: capacity_rows.Rows) -> dict[str, tuple[float, float]]:
    """Return milliseconds and bytes of each event at the full target size."""
    return {
        label: (
            rows.control("1", label, "ms"),
            rows.control("1", label, "bytes"),
        )
        for label in ("change", "VM change", "lease request")
    }


@TABLES.register("slopes")
def slopes(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Fit each figure of the bench ``control`` over its four sizes."""
    yield ("figure", "unit", *control.SIZES, "fit over hosts", "R²", "bound")
    cells = (
        ("memory", "MB", control.MEMORY_BOUND_MB),
        ("memory above a bare interpreter", "MB", control.MEMORY_BOUND_MB),
        (
            "memory with 4 earlier versions of each service",
            "MB",
            control.MEMORY_BOUND_MB,
        ),
        ("processor, day compressed", "% of a core", control.PROCESSOR_BOUND),
        ("bytes, day compressed", "bytes/s", control.BYTES_BOUND),
        ("change", "ms", None),
        ("change", "bytes", None),
        ("VM change", "ms", None),
        ("VM change", "bytes", None),
        ("lease request", "ms", None),
        ("whole view", "bytes", None),
        ("hop to the last of 32 children", "ms", None),
    )
    for label, unit, bound in cells:
        points = rows.control_points(label, unit)
        line = capacity_rows.fit(points)
        intercept = capacity_rows.number(line.intercept)
        text = f"{intercept} + {capacity_rows.number(line.slope)} x"
        last = points[-1][1]
        verdict = capacity_rows.verdict(last, bound)
        yield (
            label,
            unit,
            *(capacity_rows.number(y) for _, y in points),
            text,
            f"{line.r_squared:.3f}",
            f"{capacity_rows.number(bound)} ({verdict})" if bound else "",
        )


@TABLES.register("spread by size")
def spread_by_size(
    rows: capacity_rows.Rows,
) -> collections.abc.Iterator[tuple]:
    """Compare the rows of the bench ``config`` by number of processes."""
    yield ("figure", "unit", *config.SIZES, "baseline at the largest", "bound")
    cells = (
        ("until in force", "s"),
        ("in force after outage", "s"),
        ("reads, busiest process", "reads/s"),
        ("platform", "calls/s"),
        ("bytes a process", "bytes/change"),
    )
    for label, unit in cells:
        found = [rows.config(count, label, unit) for count in config.SIZES]
        worst = max(row["ours"] for row in found)
        bound = found[-1]["bound"]
        text = (
            f"{bound:g} ({capacity_rows.verdict(worst, bound)})"
            if bound
            else ""
        )
        yield (
            label,
            unit,
            *(capacity_rows.number(row["ours"]) for row in found),
            capacity_rows.number(found[-1]["baseline"]),
            text,
        )


@TABLES.register("places")
def places(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the control load by role and position in the trees."""
    yield (
        "role and place",
        "children",
        "lease requests sent/s",
        "answered/s",
        "control messages/s",
        "bytes/s",
        "% of a core",
    )
    events = _whole_events(rows)
    worst = control_world.CHILDREN
    idle = rows.control("1", "idle", "% of a core")
    for role, interval_s in (
        ("balancer", lease.REQUEST_INTERVAL_S),
        ("agent", lease.AGENT_REQUEST_INTERVAL_S),
    ):
        for place, children in (
            ("leaf", 0),
            ("parent in one order", trees.FANOUT),
            ("parent in both orders, reader", worst),
        ):
            share = (children + 2) / (worst + 3)
            asked = 1 / interval_s
            answered = children * (
                control.BALANCER_SHARE / lease.REQUEST_INTERVAL_S
                + (1 - control.BALANCER_SHARE) / lease.AGENT_REQUEST_INTERVAL_S
            )
            updates_per_s = {
                "change": control.CHANGES_A_DAY / control.DAY_S,
                "VM change": control.VM_CHANGES_A_DAY / control.DAY_S,
            }
            moved = (asked + answered) * events["lease request"][1]
            busy = answered * events["lease request"][0] / 10 + idle
            for label, per_s in updates_per_s.items():
                # Bytes grow with the number of links. Part of the processor
                # time does not, so its full amount is counted.
                moved += events[label][1] * share * per_s
                busy += events[label][0] * per_s / 10
            messages = 2 * (asked + answered)
            messages += (children + 2) * sum(updates_per_s.values())
            yield (
                f"{role}, {place}",
                children,
                capacity_rows.number(asked),
                capacity_rows.number(answered),
                capacity_rows.number(messages),
                capacity_rows.number(moved),
                capacity_rows.number(busy),
            )


@TABLES.register("flow state")
def flows(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Fit the size of the flow cache and extrapolate it to the target."""
    points = rows.flow_points()
    line = capacity_rows.fit(points)
    yield ("flow cache", "MB")
    for count, megabytes in points:
        yield (f"{count:,.0f} flows", capacity_rows.number(megabytes))
    share = OPEN_FLOWS / BALANCERS
    yield (
        f"fit: {line.slope * 1e6:.0f} bytes a flow, R²",
        f"{line.r_squared:.3f}",
    )
    yield (
        f"{share:,.0f} flows, 24 million spread over 1,500 balancers",
        capacity_rows.number(line.intercept + line.slope * share),
    )


@TABLES.register("platform")
def platform(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the load on the configuration service."""
    yield ("quantity", "value", "from")
    readers = FAILURE_DOMAINS * trees.READERS_PER_DOMAIN * trees.TREE_COUNT
    worst = max(
        rows.config(count, "reads, busiest process", "reads/s")["ours"]
        for count in config.SIZES
    )
    yield ("readers", readers, "9 failure domains, 2 orders, 3 each")
    yield (
        "calls/s of a reader",
        capacity_rows.number(worst),
        "row config, busiest process, at 3,900 changes a day",
    )
    yield (
        "calls/s of all readers for the configuration",
        capacity_rows.number(worst * readers),
        "the line above times the readers",
    )
    changes = control.VM_CHANGES_A_DAY / control.DAY_S
    per_reader = (
        changes / (1 - math.exp(-changes * platform_reader.WATCH_WAIT_S))
        + changes
    )
    yield (
        "calls/s of a reader for the VM list",
        capacity_rows.number(per_reader),
        "a watch of at most 30 s and one part for each VM change",
    )
    # The measured rate already includes the watch of a VM list that never
    # changes in the bench; those calls are subtracted.
    both = worst + per_reader - 1 / (platform_reader.WATCH_WAIT_S + 1)
    yield (
        "calls/s of a reader for both",
        capacity_rows.number(both),
        f"bound 0.2 ({capacity_rows.verdict(both, config.READS_BOUND)})",
    )
    yield (
        "calls/s of all readers for both",
        capacity_rows.number(both * readers),
        f"of {PLATFORM_CALLS_PER_S:,} calls/s",
    )
    fresh = REPLACED_A_DAY / control.DAY_S * (FAILURE_DOMAINS + 1)
    yield (
        "calls/s of new processes",
        capacity_rows.number(fresh),
        "VM index and 9 parts each; the view comes from a peer",
    )
    start_s = PROCESSES * (FAILURE_DOMAINS + 1) / PLATFORM_CALLS_PER_S
    yield (
        "s to start all processes at once",
        capacity_rows.number(start_s),
        "8,900 processes, 10 calls each",
    )
    polling = PROCESSES
    yield (
        "calls/s if every process polled each second",
        f"{polling:,}",
        "baseline of the bench config",
    )


def tree_depth(members: int) -> int:
    """Return the hops from the readers to the last member of a tree."""
    depth, rank = 0, members - 1
    while (parent := trees.parent_rank(rank)) is not None:
        rank = parent
        depth += 1
    return depth


@TABLES.register("spread")
def spread(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the time until a change is in force at the target size."""
    yield ("step", "s", "from")
    members = -(-PROCESSES // FAILURE_DOMAINS)
    hop_s = rows.control("1", "hop to the last of 32 children", "ms") / 1e3
    read_s = 2 * PLATFORM_ANSWER_S
    yield (
        "watch answers, shard is read",
        capacity_rows.number(read_s),
        "two calls of 3 ms each (assumed; the platform answers in ms)",
    )
    depth = tree_depth(members)
    hops_s = depth * (hop_s + HOP_LATENCY_S)
    hop_text = capacity_rows.number(hop_s)
    yield (
        f"{depth} hops down a tree of {members}",
        capacity_rows.number(hops_s),
        f"row control, hop {hop_text} s each, and 1 ms latency",
    )
    total_s = read_s + hops_s
    verdict = capacity_rows.verdict(total_s, SPREAD_BOUND_S)
    yield (
        "in force everywhere",
        capacity_rows.number(total_s),
        f"bound 15 s ({verdict})",
    )
    yield (
        "after an outage, at most",
        capacity_rows.number(total_s + 7.5),
        "readers retry after 2.5 s to 7.5 s",
    )


@TABLES.register("day")
def day(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the cost of the failures that the target expects in a day."""
    yield ("failure", "a process pays", "fleet-wide", "mechanism")
    milliseconds, moved = _whole_events(rows)["VM change"]
    view = rows.control("1", "whole view", "bytes")
    change = rows.control("1", "change", "bytes") / (
        control_world.CHILDREN + 3
    )
    yield (
        f"{FAILED_A_DAY} VMs fail",
        f"{FAILED_A_DAY * milliseconds / 1e3:.2f} s of processor a day",
        f"at most {FAILED_A_DAY * control_world.CHILDREN} links reconnect",
        "second parent; helpers after 2 s; list update",
    )
    yield (
        f"{REPLACED_A_DAY:,} VMs replaced",
        f"{2 * REPLACED_A_DAY * milliseconds / 1e3:.0f} s of processor and "
        f"{2 * REPLACED_A_DAY * moved / 1e6:.0f} MB a day at the worst place",
        f"{REPLACED_A_DAY * view / 1e9:.1f} GB of whole views a day",
        "list updates; each new process takes the view from one peer",
    )
    yield (
        f"a rack of {RACK_VMS} (assumed) fails",
        f"{RACK_VMS * milliseconds / 1e3:.2f} s of processor if listed singly",
        f"at most {RACK_VMS * control_world.CHILDREN:,} children reconnect",
        "as above; orphans ask 3 members at once, then the platform",
    )
    members = -(-PROCESSES // FAILURE_DOMAINS)
    yield (
        f"a failure domain of {members} fails",
        f"{trees.READERS_PER_DOMAIN * trees.TREE_COUNT} readers of the domain "
        "before it lose a link",
        f"{members * view / 1e9:.1f} GB when it starts again",
        "each domain has its own readers and trees",
    )
    missed = PARTITION_S * control.CHANGES_A_DAY / control.DAY_S
    yield (
        f"regions apart for {PARTITION_S / 60:.0f} min (assumed)",
        f"{missed * change / 1e3:.0f} kB, {missed:.0f} changes as a delta",
        f"{PROCESSES * missed * change / 1e6:.0f} MB if nobody had them",
        "log of 64 changes; cross-domain links; NOTICE",
    )


def render(cells: collections.abc.Iterable[tuple]) -> str:
    """Return rows of cells as a Markdown table; the first is the header."""
    lines = [
        "| " + " | ".join(str(cell) for cell in row) + " |" for row in cells
    ]
    columns = lines[0].count("|") - 1
    lines.insert(1, "|" + " --- |" * columns)
    return "\n".join(lines)


def update(page: str, rows: capacity_rows.Rows) -> str:
    """Return the page with each table between its markers regenerated.

    Tables without a marker on the page are left out.
    """
    for name, table in TABLES.entry_by_name.items():
        mark = _BEGIN.format(name)
        before, found, rest = page.partition(mark)
        if not found:
            continue
        _, _, after = rest.partition(_END)
        page = f"{before}{mark}\n\n{render(table(rows))}\n\n{_END}{after}"
    return page


def main(rows_path: str, page_path: str) -> None:
    """Regenerate the tables of a page from a file of JSON rows."""
    lines = pathlib.Path(rows_path).read_text(encoding="utf-8").splitlines()
    page = pathlib.Path(page_path)
    text = update(page.read_text(encoding="utf-8"), capacity_rows.Rows(lines))
    page.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main(*sys.argv[1:])

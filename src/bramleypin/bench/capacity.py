"""Generates the tables of ``docs/CAPACITY.md`` from bench rows.

Usage::

    python -m bramleypin.bench config control flow_state > docs/capacity.jsonl
    python -m bramleypin.bench.capacity docs/capacity.jsonl docs/CAPACITY.md

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
from bramleypin.bench import control_harness
from bramleypin.internal.membership import lease
from bramleypin.internal.membership import platform_reader as reader
from bramleypin.internal.membership import trees
from bramleypin.internal import registry

# Target size and rates, from section 1.7 of docs/design.md.
BALANCERS = 1_500
AGENTS = 7_400
PROCESSES = BALANCERS + AGENTS
OPEN_FLOWS = 24_000_000
FAILURE_DOMAINS = 9
PLATFORM_CALL_LIMIT_PER_S = 2_000
PROPAGATION_BOUND_S = 15.0
FAILED_PER_DAY = 30
REPLACED_PER_DAY = 2_000
# Assumed values, which the target does not specify.
VMS_PER_RACK = 40
PARTITION_S = 600.0
HOP_LATENCY_S = 0.001
PLATFORM_LATENCY_S = 0.003

_START_MARK = "<!-- table: {} -->"
_END_MARK = "<!-- end -->"

Table = typing.Callable[[capacity_rows.Rows], collections.abc.Iterable[tuple]]

TABLES: registry.Registry[Table] = registry.Registry("table")


def _event_costs(rows: capacity_rows.Rows) -> dict[str, tuple[float, float]]:
    """Return pairs of milliseconds and bytes by event, at the target size."""
    return {
        label: (
            rows.control("1", label, "ms"),
            rows.control("1", label, "bytes"),
        )
        for label in ("change", "VM change", "lease request")
    }


@TABLES.register("slopes")
def scaling_fits(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Fit each figure of the bench ``control`` over its four sizes."""
    yield ("figure", "unit", *control.SIZES, "fit over hosts", "R²", "bound")
    figures = (
        ("memory", "MB", control.MEMORY_BOUND_MB),
        ("memory above a bare interpreter", "MB", control.MEMORY_BOUND_MB),
        (
            "memory with 4 earlier versions of each service",
            "MB",
            control.MEMORY_BOUND_MB,
        ),
        ("processor, day compressed", "% of a core", control.PROCESSOR_BOUND),
        ("bytes, day compressed", "bytes/s", control.BYTES_BOUND_PER_S),
        ("change", "ms", None),
        ("change", "bytes", None),
        ("VM change", "ms", None),
        ("VM change", "bytes", None),
        ("lease request", "ms", None),
        ("whole view", "bytes", None),
        ("hop to the last of 32 children", "ms", None),
    )
    for label, unit, bound in figures:
        points = rows.control_points(label, unit)
        line = capacity_rows.fit(points)
        intercept = capacity_rows.format_cell(line.intercept)
        formula = f"{intercept} + {capacity_rows.format_cell(line.slope)} x"
        largest_value = points[-1][1]
        status = capacity_rows.bound_status(largest_value, bound)
        yield (
            label,
            unit,
            *(capacity_rows.format_cell(y) for _, y in points),
            formula,
            f"{line.r_squared:.3f}",
            f"{capacity_rows.format_cell(bound)} ({status})" if bound else "",
        )


@TABLES.register("spread by size")
def propagation_by_size(
    rows: capacity_rows.Rows,
) -> collections.abc.Iterator[tuple]:
    """Compare the rows of the bench ``config`` by number of processes."""
    yield ("figure", "unit", *config.SIZES, "baseline at the largest", "bound")
    figures = (
        ("until in force", "s"),
        ("in force after outage", "s"),
        ("reads, busiest process", "reads/s"),
        ("platform", "calls/s"),
        ("bytes a process", "bytes/change"),
    )
    for label, unit in figures:
        size_rows = [rows.config(count, label, unit) for count in config.SIZES]
        worst_value = max(row["ours"] for row in size_rows)
        bound = size_rows[-1]["bound"]
        bound_text = (
            f"{bound:g} ({capacity_rows.bound_status(worst_value, bound)})"
            if bound
            else ""
        )
        yield (
            label,
            unit,
            *(capacity_rows.format_cell(row["ours"]) for row in size_rows),
            capacity_rows.format_cell(size_rows[-1]["baseline"]),
            bound_text,
        )


@TABLES.register("places")
def position_load(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
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
    costs = _event_costs(rows)
    max_children = control_harness.CHILDREN
    idle = rows.control("1", "idle", "% of a core")
    for role, interval_s in (
        ("balancer", lease.REQUEST_INTERVAL_S),
        ("agent", lease.AGENT_REQUEST_INTERVAL_S),
    ):
        for position, children in (
            ("leaf", 0),
            ("parent in one order", trees.FANOUT),
            ("parent in both orders, reader", max_children),
        ):
            link_share = (children + 2) / (
                max_children + control_harness.UPSTREAM_LINKS
            )
            sent_rate = 1 / interval_s
            answer_rate = children * (
                control.BALANCER_SHARE / lease.REQUEST_INTERVAL_S
                + (1 - control.BALANCER_SHARE) / lease.AGENT_REQUEST_INTERVAL_S
            )
            rate_by_event = {
                "change": control.CHANGES_PER_DAY / control.DAY_S,
                "VM change": control.VM_CHANGES_PER_DAY / control.DAY_S,
            }
            bytes_per_s = (sent_rate + answer_rate) * costs["lease request"][1]
            # 1 ms of processor time a second is 0.1 % of a core.
            core_percent = answer_rate * costs["lease request"][0] / 10 + idle
            for label, per_s in rate_by_event.items():
                # Bytes grow with the number of links. Part of the processor
                # time does not, so its full amount is counted.
                bytes_per_s += costs[label][1] * link_share * per_s
                core_percent += costs[label][0] * per_s / 10
            # A lease request and its answer are two messages.
            messages_per_s = 2 * (sent_rate + answer_rate)
            messages_per_s += (children + 2) * sum(rate_by_event.values())
            yield (
                f"{role}, {position}",
                children,
                capacity_rows.format_cell(sent_rate),
                capacity_rows.format_cell(answer_rate),
                capacity_rows.format_cell(messages_per_s),
                capacity_rows.format_cell(bytes_per_s),
                capacity_rows.format_cell(core_percent),
            )


@TABLES.register("flow state")
def cache_size(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Fit the size of the flow cache and extrapolate it to the target."""
    points = rows.flow_cache_points()
    line = capacity_rows.fit(points)
    yield ("flow cache", "MB")
    for count, megabytes in points:
        yield (f"{count:,.0f} flows", capacity_rows.format_cell(megabytes))
    flow_share = OPEN_FLOWS / BALANCERS
    yield (
        f"fit: {line.slope * 1e6:.0f} bytes a flow, R²",
        f"{line.r_squared:.3f}",
    )
    yield (
        f"{flow_share:,.0f} flows, 24 million spread over 1,500 balancers",
        capacity_rows.format_cell(line.intercept + line.slope * flow_share),
    )


@TABLES.register("platform")
def platform_load(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the load on the configuration service."""
    yield ("quantity", "value", "from")
    readers = FAILURE_DOMAINS * trees.READERS_PER_DOMAIN * trees.TREE_COUNT
    reader_rate = max(
        rows.config(count, "reads, busiest process", "reads/s")["ours"]
        for count in config.SIZES
    )
    yield ("readers", readers, "9 failure domains, 2 orders, 3 each")
    yield (
        "calls/s of a reader",
        capacity_rows.format_cell(reader_rate),
        "row config, busiest process, at 3,900 changes a day",
    )
    yield (
        "calls/s of all readers for the configuration",
        capacity_rows.format_cell(reader_rate * readers),
        "the line above times the readers",
    )
    vm_change_rate = control.VM_CHANGES_PER_DAY / control.DAY_S
    # A watch ends at the first change or after WATCH_WAIT_S. With Poisson
    # arrivals of changes it lasts (1 - exp(-rate * wait)) / rate on average.
    # Each change adds the read of one part of the list.
    vm_list_rate = (
        vm_change_rate / (1 - math.exp(-vm_change_rate * reader.WATCH_WAIT_S))
        + vm_change_rate
    )
    yield (
        "calls/s of a reader for the VM list",
        capacity_rows.format_cell(vm_list_rate),
        "a watch of at most 30 s and one part for each VM change",
    )
    # The measured rate already includes watches of the VM list. The list never
    # changes in the bench, so each watch lasts WATCH_WAIT_S, and a pause of
    # 1 s follows. These calls are subtracted.
    total_rate = reader_rate + vm_list_rate - 1 / (reader.WATCH_WAIT_S + 1)
    yield (
        "calls/s of a reader for both",
        capacity_rows.format_cell(total_rate),
        "bound 0.2 "
        f"({capacity_rows.bound_status(total_rate, config.READS_BOUND)})",
    )
    yield (
        "calls/s of all readers for both",
        capacity_rows.format_cell(total_rate * readers),
        f"of {PLATFORM_CALL_LIMIT_PER_S:,} calls/s",
    )
    start_call_rate = REPLACED_PER_DAY / control.DAY_S * (FAILURE_DOMAINS + 1)
    yield (
        "calls/s of new processes",
        capacity_rows.format_cell(start_call_rate),
        "VM index and 9 parts each; the view comes from a peer",
    )
    startup_s = PROCESSES * (FAILURE_DOMAINS + 1) / PLATFORM_CALL_LIMIT_PER_S
    yield (
        "s to start all processes at once",
        capacity_rows.format_cell(startup_s),
        "8,900 processes, 10 calls each",
    )
    polling_rate = PROCESSES
    yield (
        "calls/s if every process polled each second",
        f"{polling_rate:,}",
        "baseline of the bench config",
    )


def tree_depth(member_count: int) -> int:
    """Return the hops from the readers to the last member of a tree."""
    depth, rank = 0, member_count - 1
    while (parent := trees.parent_rank(rank)) is not None:
        rank = parent
        depth += 1
    return depth


@TABLES.register("spread")
def propagation(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the time until a change is in force at the target size."""
    yield ("step", "s", "from")
    members_per_domain = -(-PROCESSES // FAILURE_DOMAINS)
    hop_s = rows.control("1", "hop to the last of 32 children", "ms") / 1e3
    read_s = 2 * PLATFORM_LATENCY_S
    yield (
        "watch answers, shard is read",
        capacity_rows.format_cell(read_s),
        "two calls of 3 ms each (assumed; the platform answers in ms)",
    )
    depth = tree_depth(members_per_domain)
    hops_s = depth * (hop_s + HOP_LATENCY_S)
    hop_text = capacity_rows.format_cell(hop_s)
    yield (
        f"{depth} hops down a tree of {members_per_domain}",
        capacity_rows.format_cell(hops_s),
        f"row control, hop {hop_text} s each, and 1 ms latency",
    )
    total_s = read_s + hops_s
    status = capacity_rows.bound_status(total_s, PROPAGATION_BOUND_S)
    yield (
        "in force everywhere",
        capacity_rows.format_cell(total_s),
        f"bound 15 s ({status})",
    )
    yield (
        "after an outage, at most",
        capacity_rows.format_cell(total_s + reader.RETRY_MAX_S),
        "readers retry after 2.5 s to 7.5 s",
    )


@TABLES.register("day")
def failure_cost(rows: capacity_rows.Rows) -> collections.abc.Iterator[tuple]:
    """Calculate the cost of the failures that the target expects in a day."""
    yield ("failure", "a process pays", "fleet-wide", "mechanism")
    vm_ms, vm_bytes = _event_costs(rows)["VM change"]
    view_bytes = rows.control("1", "whole view", "bytes")
    change_bytes = rows.control("1", "change", "bytes") / (
        control_harness.CHILDREN + control_harness.UPSTREAM_LINKS
    )
    yield (
        f"{FAILED_PER_DAY} VMs fail",
        f"{FAILED_PER_DAY * vm_ms / 1e3:.2f} s of processor a day",
        f"at most {FAILED_PER_DAY * control_harness.CHILDREN} links reconnect",
        "second parent; helpers after 2 s; list update",
    )
    yield (
        f"{REPLACED_PER_DAY:,} VMs replaced",
        f"{2 * REPLACED_PER_DAY * vm_ms / 1e3:.0f} s of processor and "
        f"{2 * REPLACED_PER_DAY * vm_bytes / 1e6:.0f} MB a day "
        "at the worst place",
        f"{REPLACED_PER_DAY * view_bytes / 1e9:.1f} GB of whole views a day",
        "list updates; each new process takes the view from one peer",
    )
    yield (
        f"a rack of {VMS_PER_RACK} (assumed) fails",
        f"{VMS_PER_RACK * vm_ms / 1e3:.2f} s of processor if listed singly",
        f"at most {VMS_PER_RACK * control_harness.CHILDREN:,} "
        "children reconnect",
        "as above; orphans ask 3 members at once, then the platform",
    )
    members_per_domain = -(-PROCESSES // FAILURE_DOMAINS)
    yield (
        f"a failure domain of {members_per_domain} fails",
        f"{trees.READERS_PER_DOMAIN * trees.TREE_COUNT} readers of the domain "
        "before it lose a link",
        f"{members_per_domain * view_bytes / 1e9:.1f} GB when it starts again",
        "each domain has its own readers and trees",
    )
    missed = PARTITION_S * control.CHANGES_PER_DAY / control.DAY_S
    yield (
        f"regions apart for {PARTITION_S / 60:.0f} min (assumed)",
        f"{missed * change_bytes / 1e3:.0f} kB, "
        f"{missed:.0f} changes as a delta",
        f"{PROCESSES * missed * change_bytes / 1e6:.0f} MB if nobody had them",
        "log of 64 changes; cross-domain links; NOTICE",
    )


def render(table: collections.abc.Iterable[tuple]) -> str:
    """Return rows of cells as a Markdown table; the first is the header."""
    lines = [
        "| " + " | ".join(str(cell) for cell in row) + " |" for row in table
    ]
    columns = lines[0].count("|") - 1
    lines.insert(1, "|" + " --- |" * columns)
    return "\n".join(lines)


def update(page: str, rows: capacity_rows.Rows) -> str:
    """Return the page with each table between its markers regenerated."""
    for name, table in TABLES.entry_by_name.items():
        mark = _START_MARK.format(name)
        head, found_mark, tail = page.partition(mark)
        if not found_mark:
            continue
        _, _, suffix = tail.partition(_END_MARK)
        page = f"{head}{mark}\n\n{render(table(rows))}\n\n{_END_MARK}{suffix}"
    return page


def main(rows_path: str, page_path: str) -> None:
    """Regenerate the tables of a page from a file of JSON rows."""
    lines = pathlib.Path(rows_path).read_text(encoding="utf-8").splitlines()
    page = pathlib.Path(page_path)
    text = update(page.read_text(encoding="utf-8"), capacity_rows.Rows(lines))
    page.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main(*sys.argv[1:])

"""Measures with the daemons' counters whether promises to callers are kept."""

import collections.abc
import dataclasses
import typing

from bramleypin.internal.tool import burn

StatusSections = dict[str, typing.Any]

# Counters that are summed for each figure; the daemons' code declares them.
BROKEN_FLOW_COUNTERS = (
    "agent.dropped.stale_incarnation",
    "agent.answers.unconfirmed",
    "balancer.dropped.silent",
    "balancer.dropped.no_candidates",
)
REFUSAL_COUNTERS = (
    "balancer.refused",
    "agent.records.full",
    "agent.flows.refused",
)
DOMAIN_OUT_COUNTERS = ("agent.dropped.domain_out",)
WRONG_SERVICE_COUNTERS = ("agent.dropped.wrong_service",)

# Highest utilisation divided by the mean. At low load, random variation alone
# can exceed this limit.
MAX_IMBALANCE = 1.05


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure and its expected value.

    ``good`` is ``None`` for a figure without a limit or without a value.
    """

    name: str
    value: float | None
    wanted: str
    good: bool | None
    meaning: str


def figures(
    statuses: collections.abc.Sequence[StatusSections],
    usages: collections.abc.Sequence[burn.EndpointUsage],
) -> list[Figure]:
    """Return the figures of the whole fleet since its daemons started."""
    count_by_name: dict[str, float] = {}
    for status in statuses:
        counts = status.get("metrics", {}).get("counts", {})
        for name, value in counts.items():
            count_by_name[name] = count_by_name.get(name, 0) + value
    result = [
        _counter_figure(
            "flows broken or retried",
            BROKEN_FLOW_COUNTERS,
            count_by_name,
            None,
            "datagrams for endpoints that restarted, answers that a caller "
            "never confirmed, and openings without a live endpoint",
        ),
        _counter_figure(
            "requests refused before an endpoint was asked",
            REFUSAL_COUNTERS,
            count_by_name,
            None,
            "not in the burn rate, which counts requests that agents accepted",
        ),
        _counter_figure(
            "packets into a failure domain that is out",
            DOMAIN_OUT_COUNTERS,
            count_by_name,
            None,
            "a few arrive in the first 3 s after a failure domain is taken "
            "out; the count must not grow after that",
        ),
        _counter_figure(
            "packets for another service",
            WRONG_SERVICE_COUNTERS,
            count_by_name,
            0,
            "refused by an agent; none of them reached an endpoint",
        ),
        _cold_excess_figure(usages),
    ]
    names = sorted({usage.service for usage in usages})
    result.extend(_imbalance_figure(name, usages) for name in names)
    return result


def _counter_figure(
    name: str,
    counters: collections.abc.Iterable[str],
    count_by_name: dict[str, float],
    maximum: int | None,
    meaning: str,
) -> Figure:
    value = sum(count_by_name.get(counter, 0) for counter in counters)
    if maximum is None:
        return Figure(name, value, "does not grow", None, meaning)
    return Figure(name, value, f"at most {maximum}", value <= maximum, meaning)


def _cold_excess_figure(
    usages: collections.abc.Sequence[burn.EndpointUsage],
) -> Figure:
    value = max((usage.cold_excess for usage in usages), default=None)
    return Figure(
        "cold-start excess",
        value,
        "at most 0",
        None if value is None else value <= 0,
        "highest number of requests at a cold endpoint above its limit; "
        "requests that were running when it turned cold are counted too",
    )


def _imbalance_figure(
    name: str, usages: collections.abc.Sequence[burn.EndpointUsage]
) -> Figure:
    value = burn.imbalance(usage for usage in usages if usage.service == name)
    return Figure(
        f"imbalance of {name}",
        value,
        f"at most {MAX_IMBALANCE}",
        None if value is None else value <= MAX_IMBALANCE,
        "highest utilisation of its endpoints over 5 min, divided by the "
        "mean; not meaningful while they are nearly idle",
    )

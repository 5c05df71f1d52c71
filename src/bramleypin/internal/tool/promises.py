"""Measures the promises to callers with the counters of the daemons."""

import collections.abc
import dataclasses
import typing

from bramleypin.internal.tool import burn

Answer = dict[str, typing.Any]

# Counters that each figure adds up; the daemons' code declares all of them.
FLOWS_BROKEN = (
    "agent.dropped.stale_incarnation",
    "agent.answers.unconfirmed",
    "balancer.dropped.silent",
    "balancer.dropped.no_candidates",
)
REFUSED = (
    "balancer.refused",
    "agent.records.full",
    "agent.flows.refused",
)
INTO_DOMAIN_OUT = ("agent.dropped.domain_out",)
WRONG_SERVICE = ("agent.dropped.wrong_service",)

# Highest over mean utilisation. At low load it is higher by chance.
IMBALANCE_LIMIT = 1.05


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
    statuses: collections.abc.Sequence[Answer],
    uses: collections.abc.Sequence[burn.EndpointUse],
) -> list[Figure]:
    """Return the figures of the whole fleet since its daemons started."""
    count_by_name: dict[str, float] = {}
    for status in statuses:
        counts = status.get("metrics", {}).get("counts", {})
        for name, value in counts.items():
            count_by_name[name] = count_by_name.get(name, 0) + value
    result = [
        _counted(
            "flows broken or retried",
            FLOWS_BROKEN,
            count_by_name,
            None,
            "datagrams for endpoints that restarted, answers that a caller "
            "never confirmed, and openings without a live endpoint",
        ),
        _counted(
            "requests refused before an endpoint was asked",
            REFUSED,
            count_by_name,
            None,
            "not in the burn rate, which counts requests that agents accepted",
        ),
        _counted(
            "packets into a failure domain that is out",
            INTO_DOMAIN_OUT,
            count_by_name,
            None,
            "a few arrive in the first 3 s after a failure domain is taken "
            "out; the count must not grow after that",
        ),
        _counted(
            "packets for another service",
            WRONG_SERVICE,
            count_by_name,
            0,
            "refused by an agent; none of them reached an endpoint",
        ),
        _cold_excess(uses),
    ]
    names = sorted({use.service for use in uses})
    result.extend(_imbalance(name, uses) for name in names)
    return result


def _counted(
    name: str,
    counters: collections.abc.Iterable[str],
    count_by_name: dict[str, float],
    most: int | None,
    meaning: str,
) -> Figure:
    value = sum(count_by_name.get(counter, 0) for counter in counters)
    if most is None:
        return Figure(name, value, "does not grow", None, meaning)
    return Figure(name, value, f"at most {most}", value <= most, meaning)


def _cold_excess(uses: collections.abc.Sequence[burn.EndpointUse]) -> Figure:
    value = max((use.cold_excess for use in uses), default=None)
    return Figure(
        "cold-start excess",
        value,
        "at most 0",
        None if value is None else value <= 0,
        "highest number of requests at a cold endpoint above its limit; "
        "requests that were running when it turned cold are counted too",
    )


def _imbalance(
    name: str, uses: collections.abc.Sequence[burn.EndpointUse]
) -> Figure:
    value = burn.imbalance(use for use in uses if use.service == name)
    return Figure(
        f"imbalance of {name}",
        value,
        f"at most {IMBALANCE_LIMIT}",
        None if value is None else value <= IMBALANCE_LIMIT,
        "highest utilisation of its endpoints over 5 min, divided by the "
        "mean; not meaningful while they are nearly idle",
    )

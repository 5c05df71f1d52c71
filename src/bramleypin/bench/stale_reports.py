"""Compares choices of an endpoint by load reports that are old.

``python -m bramleypin.bench.stale_reports`` prints the table of
``docs/design/endpoint-load.md``.
"""

import random
import typing

from bramleypin.bench import report_model
from bramleypin.internal import registry
from bramleypin.internal.stream import load_estimate
from bramleypin.internal.stream import loads

POLICIES: registry.Registry[report_model.Policy] = registry.Registry(
    "choice of endpoint"
)


def _register(
    name: str,
    passes: int | None = report_model.MAX_PASSES,
    **fields: typing.Any,
) -> typing.Callable[[report_model.Rank], report_model.Rank]:
    """Register policies with this rank, without and with passes."""

    def register(rank: report_model.Rank) -> report_model.Rank:
        POLICIES.register(name)(report_model.Policy(rank, **fields))
        if passes is not None:
            policy = report_model.Policy(rank, passes=passes, **fields)
            POLICIES.register(f"{name}, passes")(policy)
        return rank

    return register


def _expected_s(
    server: report_model.Server, requests: float, spread: float
) -> float:
    queued = max(0.0, requests + 1 - server.slots)
    return server.service_s * (1 + queued / server.slots) * spread


def _jitter(rng: random.Random) -> float:
    return 1 + load_estimate.MIN_SPREAD * rng.random()


@_register("best of all by report")
def _by_report(server, estimate, now_s, rng):
    return _expected_s(server, server.reported_requests, _jitter(rng))


@_register("two random choices", passes=1, candidates=2)
def _by_report_of_two(server, estimate, now_s, rng):
    return _expected_s(server, server.reported_requests, _jitter(rng))


@_register("own offers")
def _by_own_offers(server, estimate, now_s, rng):
    return _expected_s(server, estimate.known_requests(now_s), _jitter(rng))


@_register("own offers, by age")
def _by_age(server, estimate, now_s, rng):
    return _expected_s(server, estimate.running_requests(now_s), _jitter(rng))


@_register("own offers, by age, randomised")
def _randomised(server, estimate, now_s, rng):
    requests = estimate.running_requests(now_s)
    spread = 1 + estimate.spread(now_s) * (2 * rng.random() - 1)
    is_full = requests > server.slots - loads.FULL_TOLERANCE
    return is_full, _expected_s(server, requests, spread)


@_register("exact knowledge", passes=None, hop_s=0.0)
def _exact(server, estimate, now_s, rng):
    return _expected_s(server, server.requests, _jitter(rng))


def simulate(cell: report_model.Cell, name: str) -> report_model.Result:
    """Run one policy in one cell."""
    return report_model.Simulation(cell, POLICIES.get(name)).run()


def cells() -> dict[str, report_model.Cell]:
    """Return the cells of the table: one base, and one change in each."""
    return {
        "base": report_model.Cell(),
        "1 balancer": report_model.Cell(balancers=1),
        "5": report_model.Cell(balancers=5),
        "200": report_model.Cell(balancers=200),
        "equal speed": report_model.Cell(unequal=False),
        "38 of 2 slots": report_model.Cell(endpoints=38, slots=2),
        "0.1 s": report_model.Cell(report_age_s=0.1),
        "2 s": report_model.Cell(report_age_s=2.0, duration_s=2.4),
        "load 0.6": report_model.Cell(utilisation=0.6),
    }


def print_table() -> None:
    """Print the table of the design note."""
    print("| policy |", " | ".join(cells()), "|")
    print("|---" * (len(cells()) + 1) + "|")
    for name in POLICIES.entry_by_name:
        results = [simulate(cell, name) for cell in cells().values()]
        figures = [
            f"{result.queue_p99:.2g} {result.idle_share:.0%}"
            f" {result.wait_s * 1_000:.0f}"
            for result in results
        ]
        print(f"| {name} |", " | ".join(figures), "|")


if __name__ == "__main__":
    print_table()

"""Counts packets that still enter a failure domain after it is taken out.

The domain is taken out under load, while one balancer is paused for 10 s and
another reads a stale replica of the configuration service. The run is a cell
of the fault matrix under the virtual clock, and ``bench`` counts the
violations that the checks of the matrix report.
"""

import collections.abc

from bramleypin.bench import rows
from bramleypin.matrix import cell
from bramleypin.matrix import checker

SEEDS = (1, 2, 3)
# The waits of 0 s replace the default pause between two faults.
FAULTS = ("balancer-paused", "0s", "replica-stale", "0s", "domain-out")
MATRIX_STEP = "running"
COUNT_BOUND = 0.0


def _row(case: str, count: int, unit: str, seed: int) -> rows.Row:
    return rows.Row(
        bench="domain",
        case=case,
        ours=float(count),
        baseline=None,
        baseline_name="none",
        bound=COUNT_BOUND,
        unit=unit,
        seed=seed,
    )


@rows.BENCHES.register("domain")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Count packets into the domain and lost requests, for each seed."""
    for seed in SEEDS:
        journal = cell.run_and_get_journal(
            cell.CellSpec(FAULTS, MATRIX_STEP, seed)
        )
        packets = len(list(checker.check_domains_out(journal)))
        lost_requests = len(list(checker.check_established_flows(journal)))
        yield _row("packets into it after 3 s", packets, "packets", seed)
        yield _row(
            "established requests of other domains lost",
            lost_requests,
            "requests",
            seed,
        )

"""What a failure domain receives after it is taken out under load.

One balancer is paused for 10 s and another reads a stale replica of the
configuration service meanwhile. The run is a cell of the fault matrix under
the virtual clock; ``bench`` counts what its checks see.
"""

import collections.abc

from bramleypin.bench import rows
from bramleypin.matrix import cell
from bramleypin.matrix import checker

SEEDS = (1, 2, 3)
FAULTS = ("balancer-paused", "0s", "replica-stale", "0s", "domain-out")
STEP = "running"
BOUND = 0.0


def _row(case: str, ours: int, unit: str, seed: int) -> rows.Row:
    return rows.Row(
        bench="domain",
        case=case,
        ours=float(ours),
        baseline=None,
        baseline_name="none",
        bound=BOUND,
        unit=unit,
        seed=seed,
    )


@rows.BENCHES.register("domain")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Yield both counts for each seed."""
    for seed in SEEDS:
        journal = cell.run_and_get_journal(cell.CellSpec(FAULTS, STEP, seed))
        packets = len(list(checker.check_domains_out(journal)))
        lost = len(list(checker.check_established_flows(journal)))
        yield _row("packets into it after 3 s", packets, "packets", seed)
        yield _row(
            "established requests of other domains lost",
            lost,
            "requests",
            seed,
        )

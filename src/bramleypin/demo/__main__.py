"""Runs the demonstration: ``python -m bramleypin.demo``."""

import dataclasses
import json
import sys
import typing

import anyio
import rich.console
import rich.progress
import rich.table
import typer

from bramleypin.demo import deployment as deployment_module
from bramleypin.demo import outcome as outcome_module
from bramleypin.demo import traffic
from bramleypin.internal.observe import logs
from bramleypin import settings as settings_module

SEED = 2026


@dataclasses.dataclass(frozen=True)
class Step:
    """A planned change and how long traffic goes on after it, in seconds."""

    label: str
    change: str | None
    then_s: float


STEPS = (
    Step("traffic begins", None, 2.0),
    Step("an endpoint gets another weight", "revise_weight", 2.0),
    Step("an endpoint leaves", "endpoint_leaves", 2.0),
    Step("a new endpoint joins, cold", "endpoint_joins", 2.0),
    Step("a balancer drains and stops", "balancer_stops", 1.5),
    Step("a new balancer joins", "balancer_joins", 1.5),
    Step("failure domain waco is taken out", "domain_out", 5.0),
    Step("failure domain waco returns", "domain_returns", 2.0),
)


async def run(
    progress: rich.progress.Progress, seed: int
) -> outcome_module.Outcome:
    """Run the deployment through all steps under traffic."""
    records: list[traffic.Record] = []
    finish = anyio.Event()
    time_by_change: dict[str | None, float] = {}
    total_s = sum(step.then_s for step in STEPS)
    bar = progress.add_task("starting", total=total_s)
    async with anyio.create_task_group() as tasks:
        fleet = deployment_module.Deployment(tasks, seed)
        await fleet.start()
        async with anyio.create_task_group() as crews:
            await crews.start(traffic.run_crews, fleet, records, finish)
            for step in STEPS:
                progress.update(bar, description=step.label)
                time_by_change[step.change] = anyio.current_time()
                if step.change is not None:
                    await getattr(fleet, step.change)()
                await anyio.sleep(step.then_s)
                progress.advance(bar, step.then_s)
            finish.set()
        result = outcome_module.measure(
            fleet,
            records,
            time_by_change["domain_out"],
            time_by_change["domain_returns"],
        )
        tasks.cancel_scope.cancel()
    return result


def _print(result: outcome_module.Outcome) -> None:
    table = rich.table.Table(title="bramleypin demonstration")
    table.add_column("figure")
    table.add_column("value", justify="right")
    for name, value in dataclasses.asdict(result).items():
        text = f"{value:.2f}" if isinstance(value, float) else str(value)
        table.add_row(name.replace("_", " "), text)
    console = rich.console.Console()
    console.print(table)
    kept = "kept" if result.promises_kept else "BROKEN"
    console.print(f"promises: {kept}")


def main(
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
    seed: typing.Annotated[int, typer.Option(help="Random seed.")] = SEED,
    verbose: typing.Annotated[
        bool, typer.Option(help="Show the daemons' logs.")
    ] = False,
) -> None:
    """Run a small deployment on loopback through planned changes.

    Takes about 20 seconds; exits with 1 if a promise was broken.
    """
    level = "INFO" if verbose else "ERROR"
    logs.configure(settings_module.Logs(level))
    console = rich.console.Console(stderr=True)
    with rich.progress.Progress(console=console) as progress:
        result = anyio.run(run, progress, seed)
    if as_json:
        print(json.dumps(dataclasses.asdict(result)))
    else:
        _print(result)
    if not result.promises_kept:
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)

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
    """A planned change and the seconds of traffic after it.

    ``change`` names a method of the deployment; ``None`` changes nothing.
    """

    label: str
    change: str | None
    traffic_s: float


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
    """Apply all steps to a deployment under traffic and measure it."""
    records: list[traffic.RequestRecord] = []
    stop_event = anyio.Event()
    time_by_change: dict[str | None, float] = {}
    total_s = sum(step.traffic_s for step in STEPS)
    task = progress.add_task("starting", total=total_s)
    async with anyio.create_task_group() as tasks:
        deployment = deployment_module.Deployment(tasks, seed)
        await deployment.start()
        async with anyio.create_task_group() as crew_tasks:
            await crew_tasks.start(
                traffic.run_crews, deployment, records, stop_event
            )
            for step in STEPS:
                progress.update(task, description=step.label)
                time_by_change[step.change] = anyio.current_time()
                if step.change is not None:
                    await getattr(deployment, step.change)()
                await anyio.sleep(step.traffic_s)
                progress.advance(task, step.traffic_s)
            stop_event.set()
        result = outcome_module.measure(
            deployment,
            records,
            time_by_change["domain_out"],
            time_by_change["domain_returns"],
        )
        tasks.cancel_scope.cancel()
    return result


def _print_outcome(result: outcome_module.Outcome) -> None:
    table = rich.table.Table(title="bramleypin demonstration")
    table.add_column("figure")
    table.add_column("value", justify="right")
    for name, value in dataclasses.asdict(result).items():
        text = f"{value:.2f}" if isinstance(value, float) else str(value)
        table.add_row(name.replace("_", " "), text)
    console = rich.console.Console()
    console.print(table)
    verdict = "kept" if result.promises_kept else "BROKEN"
    console.print(f"promises: {verdict}")


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
        _print_outcome(result)
    if not result.promises_kept:
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)

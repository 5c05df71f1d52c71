"""The command ``bramleypin-matrix``."""

import collections.abc
import json
import typing

import rich.console
import rich.progress
import typer

from bramleypin import errors
from bramleypin.matrix import cell as cell_module
from bramleypin.matrix import pool
from bramleypin.matrix import registries
from bramleypin.matrix import selection
from bramleypin.matrix import variant_check
from bramleypin.matrix import variants

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
SHOWN_VIOLATIONS = 5


def repeat_command(result: cell_module.Result) -> str:
    """Return the command that runs the same cell again on its own."""
    return f"bramleypin-matrix --cell {result.cell} --seed {result.seed}"


def _as_json(result: cell_module.Result) -> str:
    return json.dumps(
        {
            "cell": result.cell,
            "seed": result.seed,
            "violations": result.violations,
            "calls": result.calls,
            "answered": result.answered,
            "runs": result.runs,
            "faulted": result.injection_started,
        }
    )


def _with_progress(
    results: collections.abc.Iterator[cell_module.Result], total: int
) -> collections.abc.Iterator[cell_module.Result]:
    console = rich.console.Console(stderr=True)
    with rich.progress.Progress(console=console, transient=True) as bar:
        task = bar.add_task("cells", total=total)
        for result in results:
            bar.advance(task)
            yield result


def _run_cells(
    specs: list[cell_module.CellSpec], workers: int, as_json: bool
) -> int:
    """Run cells, print the failed ones and return their number."""
    failed = []
    for result in _with_progress(pool.run(specs, workers), len(specs)):
        if as_json:
            typer.echo(_as_json(result))
        if result.violations:
            failed.append(result)
    if not as_json:
        for result in sorted(failed, key=lambda item: item.cell):
            _print_failure(result)
        typer.echo(f"{len(specs)} cells run, {len(failed)} failed")
    return len(failed)


def _print_failure(result: cell_module.Result) -> None:
    typer.echo(f"{result.cell}: {len(result.violations)} violations")
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        typer.echo(f"    {violation}")
    omitted = len(result.violations) - SHOWN_VIOLATIONS
    if omitted > 0:
        typer.echo(f"    and {omitted} more")
    typer.echo(f"    repeat: {repeat_command(result)}")


def _run_variants(workers: int, as_json: bool) -> int:
    """Run all broken variants and return how many were not caught."""
    caught = 0
    outcomes = variant_check.run_all(workers)
    for outcome in _with_progress(outcomes, len(variants.names())):
        caught += bool(outcome.caught_by)
        if as_json:
            typer.echo(json.dumps(outcome.as_dict()))
        else:
            typer.echo(outcome.as_line())
    total = len(registries.VARIANTS.entry_by_name)
    if not as_json:
        typer.echo(f"caught {caught} of {total}")
    return total - caught


@application.command()
def run(
    cell: typing.Annotated[
        list[str], typer.Option(help="FAULT@STEP or FAULT+FAULT@STEP.")
    ] = [],  # noqa: B006
    seed: typing.Annotated[int, typer.Option(help="Seed of the cells.")] = 1,
    singles: typing.Annotated[
        bool, typer.Option(help="Run every fault at every step.")
    ] = False,
    pairs: typing.Annotated[
        int, typer.Option(help="Run a sample of this many pairs of faults.")
    ] = 0,
    everything: typing.Annotated[
        bool, typer.Option("--all", help="Run all single faults and pairs.")
    ] = False,
    show_variants: typing.Annotated[
        bool,
        typer.Option(
            "--variants", help="Check that broken variants are caught."
        ),
    ] = False,
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="One JSON object a line.")
    ] = False,
    workers: typing.Annotated[
        int, typer.Option(help="Worker processes, at most 6.")
    ] = pool.MAX_WORKERS,
) -> None:
    """Run cells of the fault matrix: faults at steps of a request.

    Example: bramleypin-matrix --cell balancer-dies@running --seed 7
    """
    specs = [cell_module.parse(text, seed) for text in cell]
    if singles or everything:
        specs += selection.singles(seed)
    if everything:
        specs += selection.pairs(seed)
    elif pairs:
        specs += selection.sample_of_pairs(pairs, seed)
    failed = 0
    if show_variants:
        failed += _run_variants(workers, as_json)
    elif not specs:
        specs = selection.singles(seed)
    if specs:
        failed += _run_cells(specs, workers, as_json)
    raise typer.Exit(1 if failed else 0)


def main() -> None:
    """Run the command; print an error as one line and set the exit code."""
    try:
        application()
    except errors.BramleypinError as error:
        typer.echo(f"bramleypin-matrix: {error}", err=True)
        raise SystemExit(error.exit_code) from None


if __name__ == "__main__":
    main()

"""Commands of ``bramleypin configuration``."""

import dataclasses
import pathlib
import typing

import typer

from bramleypin import errors
from bramleypin.internal.tool import answers_file
from bramleypin.internal.tool import capacity
from bramleypin.internal.tool import checks
from bramleypin.internal.tool import diff as diff_module
from bramleypin.internal.tool import documents
from bramleypin.internal.tool import domains
from bramleypin.internal.tool import explain as explain_module
from bramleypin.internal.tool import generate as generate_module
from bramleypin.internal.tool import output

application = typer.Typer(
    no_args_is_help=True,
    help="Generate, check and compare the configuration of a deployment.",
)

Json = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON instead of a table.")
]
Folder = typing.Annotated[
    pathlib.Path, typer.Argument(help="A folder with a generated revision.")
]

CAPACITY_COLUMNS = (
    "service",
    "without",
    "endpoints left",
    "requests/s carried",
    "requests/s offered",
    "used",
)


@application.command()
def generate(
    answers: typing.Annotated[
        pathlib.Path, typer.Argument(help="The answers file (TOML).")
    ],
    folder: typing.Annotated[
        pathlib.Path, typer.Option("--output", help="Folder to write to.")
    ],
    previous: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Folder with the revision in force; defaults to the output "
            "folder if that holds a revision."
        ),
    ] = None,
    revision: typing.Annotated[
        int | None,
        typer.Option(help="Number of the revision; defaults to the next one."),
    ] = None,
    force: typing.Annotated[
        bool,
        typer.Option(
            "--force",
            help="Write the revision even if it lacks capacity or breaks "
            "flows.",
        ),
    ] = False,
) -> None:
    """Derive the next revision from the answers and check it.

    Writes manifest.cbor and shard-NN.cbor, which are to be published, shards
    first, and configuration.json in readable form. Equal answers give equal
    bytes. When nothing has changed, the previous revision is kept, and nothing
    is written to its folder.

    Example: bramleypin configuration generate answers.toml --output new
    --previous current
    """
    if previous is None and documents.exists(folder):
        previous = folder
    previous_bundle = None if previous is None else documents.read(previous)
    if previous_bundle is None and revision is not None and revision > 1:
        output.note(
            "no previous revision given: this revision has every failure "
            "domain in service and no retired address"
        )
    loaded_answers = answers_file.load(answers)
    bundle = generate_module.bundle(loaded_answers, previous_bundle, revision)
    if previous_bundle is not None and revision is None:
        if generate_module.same_contents(bundle, previous_bundle):
            bundle = previous_bundle
    if bundle is not previous_bundle:
        for finding in checks.require_passing(bundle, previous_bundle, force):
            output.note(f"written in spite of: {finding}")
    elif previous == folder:
        output.line(f"nothing has changed since revision {bundle.revision}")
        return
    documents.write(bundle, folder)
    output.line(f"{folder}: revision {bundle.revision} written")
    _note_high_utilisation(bundle)


def _note_high_utilisation(bundle: documents.Bundle) -> None:
    for item in domains.remaining_capacities(bundle):
        share = item.available.utilisation(item.demand)
        if share >= capacity.HIGH_UTILISATION:
            output.note(item.text())


@application.command()
def check(
    folder: Folder,
    previous: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder with the revision that is in force."),
    ] = None,
    json: Json = False,
) -> None:
    """Check that a revision keeps the promises to callers.

    Example: bramleypin configuration check new --previous current
    """
    bundle = documents.read(folder)
    previous_bundle = None if previous is None else documents.read(previous)
    findings = checks.run(bundle, previous_bundle)
    if json:
        output.as_json({"revision": bundle.revision, "findings": findings})
    if findings:
        raise errors.GuaranteeViolated(findings)
    if not json:
        _print_capacity(bundle)
        output.line(f"{folder}: revision {bundle.revision} is valid")


def _print_capacity(bundle: documents.Bundle) -> None:
    rows = [
        (
            name,
            missing_domains,
            available.endpoints,
            available.requests_per_s,
            bundle.demand_by_service[name].requests_per_s,
            f"{available.utilisation(bundle.demand_by_service[name]):.0%}",
        )
        for name in bundle.demand_by_service
        for missing_domains, available in _capacity_by_missing_domains(
            bundle, name
        ).items()
    ]
    output.table(CAPACITY_COLUMNS, rows)


def _capacity_by_missing_domains(
    bundle: documents.Bundle, name: str
) -> dict[str, capacity.Capacity]:
    """Return the remaining capacity of a service without failure domains.

    While domains are out of service, the only entry is the capacity without
    all of them; otherwise, there is an entry for the loss of each domain.
    """
    service = bundle.service_by_name[name]
    demand = bundle.demand_by_service[name]
    domains_out = bundle.out_domains()
    if not domains_out:
        return capacity.without_each_domain(service, demand)
    serving_endpoints = capacity.serving_endpoints(service, set(domains_out))
    return {
        ", ".join(domains_out): capacity.of_endpoints(
            serving_endpoints, demand
        )
    }


@application.command()
def diff(
    old: typing.Annotated[
        pathlib.Path, typer.Argument(help="Folder with the old revision.")
    ],
    new: typing.Annotated[
        pathlib.Path, typer.Argument(help="Folder with the new revision.")
    ],
    json: Json = False,
) -> None:
    """Show the effects of a change and the share of flows that move.

    Example: bramleypin configuration diff current new
    """
    old_bundle = documents.read(old)
    new_bundle = documents.read(new)
    general_changes = diff_module.general_changes(old_bundle, new_bundle)
    count = len({*old_bundle.service_by_name, *new_bundle.service_by_name})
    service_changes = list(
        output.progress(
            diff_module.changes(old_bundle, new_bundle),
            count,
            "comparing services",
        )
    )
    if json:
        services = [dataclasses.asdict(item) for item in service_changes]
        output.as_json({"general": general_changes, "services": services})
        return
    for text in general_changes:
        output.line(text)
    for item in service_changes:
        output.line(item.text())
    if not service_changes:
        output.line("no service changes")


@application.command()
def explain(
    key: typing.Annotated[
        str | None,
        typer.Argument(
            help="Key of a value or of a group; defaults to all values."
        ),
    ] = None,
    answers: typing.Annotated[
        pathlib.Path, typer.Option(help="The answers file (TOML).")
    ] = pathlib.Path("answers.toml"),
    json: Json = False,
) -> None:
    """Show which answer a value of the configuration came from.

    Example: bramleypin configuration explain
    scheduler.endpoints.scheduler-1.weight --answers answers.toml
    """
    found_origins = explain_module.find_origins(
        answers_file.load(answers), key
    )
    if json:
        output.as_json([dataclasses.asdict(item) for item in found_origins])
        return
    for item in found_origins:
        output.line(f"{item.key} = {item.value!r}", style="bold")
        if item.answer is not None:
            output.line(f"  answer: {item.answer} ({item.question})")
        output.line(f"  rule: {item.rule}")

"""Commands of ``bramleypin domain``."""

import pathlib
import typing

import typer

from bramleypin.internal.tool import documents
from bramleypin.internal.tool import domains
from bramleypin.internal.tool import output

application = typer.Typer(
    no_args_is_help=True,
    help="Take a failure domain out of service, or return it to service.",
)

Name = typing.Annotated[
    str, typer.Argument(help="Name of the failure domain.")
]
Folder = typing.Annotated[
    pathlib.Path,
    typer.Option(
        "--configuration", help="Folder with the revision that is in force."
    ),
]
Output = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--output",
        help="Folder to write to; defaults to the configuration folder.",
    ),
]
Json = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON instead of sentences.")
]


@application.command()
def out(
    name: Name,
    configuration: Folder,
    folder: Output = None,
    force: typing.Annotated[
        bool,
        typer.Option(
            "--force",
            help="Write the revision even if the remaining endpoints cannot "
            "carry the load.",
        ),
    ] = False,
    json: Json = False,
) -> None:
    """Write the next revision, with a failure domain out of service.

    Flows whose endpoint is in the failure domain are abandoned. A few seconds
    after the revision has been published, no packet is sent to the domain.

    Example: bramleypin domain out waco --configuration current --output new
    """
    _write_next_revision(
        name, True, configuration, folder or configuration, force, json
    )


@application.command(name="return")
def return_(
    name: Name,
    configuration: Folder,
    folder: Output = None,
    json: Json = False,
) -> None:
    """Write the next revision, with a failure domain back in service.

    Its endpoints are cold, and warm up before they get their full share of
    the requests.

    Example: bramleypin domain return waco --configuration current
    """
    # A returning domain only adds capacity, so ``force`` skips the check.
    _write_next_revision(
        name, False, configuration, folder or configuration, True, json
    )


def _write_next_revision(
    name: str,
    is_out: bool,
    configuration: pathlib.Path,
    folder: pathlib.Path,
    force: bool,
    json: bool,
) -> None:
    bundle = domains.with_domain_state(
        documents.read(configuration), name, is_out
    )
    if not force:
        domains.require_capacity(bundle)
    documents.write(bundle, folder)
    remaining_capacities = domains.remaining_capacities(bundle)
    if json:
        output.as_json(
            {
                "revision": bundle.revision,
                "out": bundle.out_domains(),
                "services": [
                    {
                        "service": item.service,
                        "endpoints": item.available.endpoints,
                        "carries_requests_per_s": (
                            item.available.requests_per_s
                        ),
                        "offered_requests_per_s": item.demand.requests_per_s,
                        "enough": item.available.carries(item.demand),
                    }
                    for item in remaining_capacities
                ],
            }
        )
        return
    state = "out of service" if is_out else "in service"
    output.line(f"failure domain {name} is {state} in this revision")
    for item in remaining_capacities:
        output.line(item.text())
    # The shards are unchanged, so only the manifest needs to be published.
    output.line(
        f"{folder}: revision {bundle.revision} written; publish "
        f"{folder / documents.MANIFEST_FILE}"
    )

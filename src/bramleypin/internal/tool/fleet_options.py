"""Options and helpers of the commands that query running daemons."""

import collections.abc
import pathlib
import typing

import anyio
import typer

from bramleypin import errors
from bramleypin.internal.tool import fleet
from bramleypin.internal.tool import output
from bramleypin import settings as settings_module

Settings = typing.Annotated[
    pathlib.Path,
    typer.Option(
        "--settings",
        help="Settings file of any daemon, for the key and the platform.",
    ),
]
Peers = typing.Annotated[
    list[str] | None,
    typer.Option(
        "--peer",
        metavar="HOST:PORT",
        help="Control address of a daemon to query; may be repeated. Without "
        "it, all VMs in the platform's list are queried.",
    ),
]
Vms = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--vms", help="File with a VM list (CBOR); all its VMs are queried."
    ),
]
Json = typing.Annotated[
    bool, typer.Option("--json", help="Print JSON instead of a table.")
]


def ask_daemons(
    settings: pathlib.Path,
    peers: list[str] | None,
    vm_file: pathlib.Path | None,
    messages: collections.abc.Sequence[typing.Any],
) -> list[fleet.Answers]:
    """Send each message to all daemons; return the answers to each, in order.

    A progress bar appears if the daemons take long to answer.

    :raises errors.NoDaemonAnswered: when no daemon has answered.
    """
    loaded_settings = settings_module.load(settings)

    async def run() -> list[fleet.Answers]:
        addresses = await fleet.resolve_peers(
            loaded_settings, peers or [], vm_file
        )
        if not addresses:
            raise errors.NoDaemonAnswered({"VM list": "contains no daemon"})
        ask_one = fleet.make_ask_one(loaded_settings)
        total = len(addresses) * len(messages)
        with output.Bar(total, "asking daemons") as bar:
            return [
                await fleet.ask_all(ask_one, addresses, message, bar.advance)
                for message in messages
            ]

    results = anyio.run(run)
    for result in results:
        result.require_any()
    return results


def report_faults(answers: fleet.Answers) -> None:
    """Print the daemons that did not answer, and exit if there are any.

    :raises typer.Exit: with ``EXIT_PARTIAL``, unless all have answered.
    """
    for peer, text in answers.fault_by_peer.items():
        output.note(f"{peer}: {text}")
    if answers.fault_by_peer:
        output.note(
            f"{len(answers.fault_by_peer)} daemons did not answer; what is "
            "shown is partial"
        )
        raise typer.Exit(output.EXIT_PARTIAL)

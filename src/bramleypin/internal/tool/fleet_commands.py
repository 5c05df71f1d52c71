"""Commands ``bramleypin status`` and ``bramleypin trace``."""

import collections.abc
import pathlib
import time
import typing

import typer

from bramleypin import errors
from bramleypin.internal.tool import fleet
from bramleypin.internal.tool import fleet_options
from bramleypin.internal.tool import output
from bramleypin.internal.wire import control

WATCH_INTERVAL_S = 2.0
MAX_TRACE_ENTRIES = 256

Row = list[typing.Any]

STATUS_COLUMNS = (
    "daemon",
    "role",
    "failure domain",
    "revision",
    "state",
    "flows",
    "running",
    "limit",
    "up",
    "version",
)


def status(
    settings: fleet_options.Settings,
    peer: fleet_options.Peers = None,
    vms: fleet_options.Vms = None,
    json: fleet_options.Json = False,
    watch: typing.Annotated[
        bool, typer.Option("--watch", help="Repeat every 2 s until Ctrl-C.")
    ] = False,
) -> None:
    """Show the state of running daemons.

    Example: bramleypin status --settings entry-1.toml --peer 127.10.1.1:7001
    """
    while watch:
        _watch_once(settings, peer, vms, json)
        time.sleep(WATCH_INTERVAL_S)
    answers = _status(settings, peer, vms)
    _print_status(answers, json)
    fleet_options.report_faults(answers)


def _watch_once(
    settings: pathlib.Path,
    peers: list[str] | None,
    vms: pathlib.Path | None,
    json: bool,
) -> None:
    try:
        answers = _status(settings, peers, vms)
    except (errors.NoDaemonAnswered, errors.PlatformUnavailable) as error:
        # Keep watching, because the daemons may come back.
        output.note(str(error))
        return
    if not json:
        output.clear()
    _print_status(answers, json)
    for peer, text in answers.fault_by_peer.items():
        output.note(f"{peer}: {text}")


def _status(
    settings: pathlib.Path, peers: list[str] | None, vms: pathlib.Path | None
) -> fleet.Answers:
    request = control.StatusRequest()
    (answers,) = fleet_options.ask_daemons(settings, peers, vms, [request])
    return answers


def _print_status(answers: fleet.Answers, json: bool) -> None:
    statuses = [item.sections for item in answers.answer_by_peer.values()]
    if json:
        output.as_json(
            {
                "daemons": statuses,
                "silent": _with_text_keys(answers.fault_by_peer),
            }
        )
        return
    statuses.sort(key=lambda item: (item["role"], item["id"]))
    output.table(STATUS_COLUMNS, [_status_row(item) for item in statuses])
    for text in status_notes(statuses):
        output.note(text)


def _with_text_keys(value_by_peer: dict) -> dict[str, str]:
    return {str(peer): value for peer, value in value_by_peer.items()}


def _status_row(sections: dict[str, typing.Any]) -> Row:
    flows = sections.get("flows", {})
    balancer = sections.get("balancer", {})
    return [
        sections["id"],
        sections["role"],
        sections["failure_domain"],
        sections["revision"],
        flows.get("state", _balancer_state(sections)),
        flows.get("held", balancer.get("flows_cached")),
        flows.get("running"),
        flows.get("limit"),
        format_duration(sections["uptime_s"]),
        sections["version"],
    ]


def _balancer_state(sections: dict[str, typing.Any]) -> str | None:
    if sections.get("balancer", {}).get("draining"):
        return "draining"
    lease_valid = sections.get("sync", {}).get("lease_valid")
    if lease_valid is None:
        return None
    return "confirmed" if lease_valid else "not confirmed"


def format_duration(seconds: float) -> str:
    """Return a duration in the largest unit of which it has at least 2."""
    for unit, length_s in (("d", 86_400), ("h", 3_600), ("min", 60)):
        if seconds >= 2 * length_s:
            return f"{seconds / length_s:.0f} {unit}"
    return f"{seconds:.0f} s"


def status_notes(
    statuses: collections.abc.Sequence[dict[str, typing.Any]],
) -> list[str]:
    """Return notes on conditions that an operator should investigate."""
    newest = max(item["revision"] for item in statuses)
    outdated = [item["id"] for item in statuses if item["revision"] < newest]
    result = []
    if outdated:
        result.append(
            f"behind revision {newest}: {', '.join(outdated)}; check again in "
            "5 s, then see docs/OPERATIONS.md, 'a daemon stays behind'"
        )
    unconfirmed_ids = [
        item["id"]
        for item in statuses
        if item.get("sync", {}).get("lease_valid") is False
    ]
    if unconfirmed_ids:
        result.append(
            f"not forwarding until their view is confirmed: "
            f"{', '.join(unconfirmed_ids)}"
        )
    conflicting_ids = [
        item["id"]
        for item in statuses
        if item.get("sync", {}).get("conflicts")
    ]
    if conflicting_ids:
        result.append(
            "received one revision with two different contents: "
            f"{', '.join(conflicting_ids)}; publish a higher revision"
        )
    versions = sorted({item["version"] for item in statuses})
    if len(versions) > 1:
        result.append(f"mixed versions: {', '.join(versions)}")
    return result


def trace(
    text: typing.Annotated[
        str,
        typer.Argument(
            help="Part of a flow's identity, such as 10.0.0.9:4711."
        ),
    ],
    settings: fleet_options.Settings,
    peer: fleet_options.Peers = None,
    vms: fleet_options.Vms = None,
    json: fleet_options.Json = False,
) -> None:
    """Show the decisions on a flow or request and their reasons.

    Daemons keep only their latest decisions, and lose them on a restart.

    Example: bramleypin trace 10.0.0.9 --settings entry-1.toml
    --peer 127.10.1.1:7001 --peer 127.10.1.11:7001
    """
    request = control.TraceRequest(text, MAX_TRACE_ENTRIES)
    (answers,) = fleet_options.ask_daemons(settings, peer, vms, [request])
    entries = [
        {"daemon": str(peer), **entry}
        for peer, answer in answers.answer_by_peer.items()
        for entry in answer.entries
    ]
    entries.sort(key=lambda entry: -entry["age_s"])
    if json:
        output.as_json(entries)
    elif entries:
        columns = ("age_s", "daemon", "flow", "decision", "reason", "revision")
        titles = ("seconds ago", *columns[1:])
        rows = [[entry[name] for name in columns] for entry in entries]
        output.table(titles, rows)
    else:
        output.line(f"no daemon has a decision on a flow with {text!r}")
    fleet_options.report_faults(answers)

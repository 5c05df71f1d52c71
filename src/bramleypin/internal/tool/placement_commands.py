"""Command ``bramleypin placement``."""

import typing
import urllib.parse

import anyio
import msgspec
import typer

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import http_client
from bramleypin.internal.stream import placement_answer
from bramleypin.internal.tool import fleet_options
from bramleypin.internal.tool import output

ANSWER_TIMEOUT_S = 5.0
# An answer has a few hundred bytes for each of at most 20 endpoints.
MAX_ANSWER_BYTES = 65_536
EXAMPLE_BY_OPTION = {
    "SERVICE": "198.18.0.1:443",
    "CALLER": "100.64.0.7:40001",
    "--metrics": "10.0.0.1:9102",
}
COLUMNS = (
    "rank",
    "host",
    "endpoint",
    "domain",
    "running",
    "slots",
    "service ms",
    "state",
    "report s",
    "expected ms",
    "deviation",
    "not first because",
)


def placement(
    service: typing.Annotated[
        str, typer.Argument(help="Address and port of the service.")
    ],
    caller: typing.Annotated[
        str, typer.Argument(help="Address and port of the caller.")
    ],
    metrics: typing.Annotated[
        str,
        typer.Option(
            "--metrics",
            metavar="HOST:PORT",
            help="Address at which the stream balancer serves its metrics.",
        ),
    ],
    json: fleet_options.Json = False,
) -> None:
    """Show where a balancer would place a new flow now, and why.

    Nothing is sent to the endpoints, and later decisions stay the same.

    Example: bramleypin placement 198.18.0.1:443 100.64.0.7:40001
    --metrics 10.0.0.1:9102
    """
    query = urllib.parse.urlencode(
        {
            "service": _parse("SERVICE", service),
            "caller": _parse("CALLER", caller),
        },
        safe=":",
    )
    peer = _parse("--metrics", metrics)
    answer = anyio.run(_ask, peer, f"{placement_answer.PATH}?{query}")
    if json:
        output.as_json(msgspec.to_builtins(answer))
    if answer.reason == placement_answer.NO_ROUTE:
        raise errors.NoRoute(service, answer.balancer, answer.version)
    if not json:
        _print(answer)


def _parse(option: str, text: str) -> address.Address:
    """Return an address of the command line.

    :raises errors.InvalidSettings: when it is not an address and a port.
    """
    try:
        return address.parse_remote(text)
    except errors.InvalidFrame:
        raise errors.InvalidSettings(
            "command line",
            option,
            text,
            "write an IPv4 address and a port, for example "
            f"{EXAMPLE_BY_OPTION[option]}",
        ) from None


async def _ask(peer: address.Address, target: str) -> placement_answer.Answer:
    """Return a balancer's answer.

    :raises errors.BalancerSilent: when there is no valid HTTP response.
    :raises errors.OtherAnswerVersion: when it cannot be read.
    """
    connection = http_client.HttpConnection(peer, MAX_ANSWER_BYTES)
    try:
        status, _, body = await connection.get(target, ANSWER_TIMEOUT_S)
    except errors.PlatformAnswerTooLong as error:
        raise errors.OtherAnswerVersion(str(peer), str(error)) from error
    except errors.PlatformUnavailable as error:
        raise errors.BalancerSilent(str(peer), str(error)) from error
    finally:
        await connection.aclose()
    if status != 200:
        reason = f"HTTP status {status} for {placement_answer.PATH}"
        raise errors.OtherAnswerVersion(str(peer), reason)
    try:
        return placement_answer.decode(body)
    except ValueError as error:
        raise errors.OtherAnswerVersion(str(peer), str(error)) from error


def _print(answer: placement_answer.Answer) -> None:
    output.line(
        f"{answer.flow} at {answer.balancer} ({answer.failure_domain}), "
        f"version {answer.version}, revision {answer.revision}"
    )
    output.line(f"this flow: {_flow_text(answer.flow_state)}")
    if answer.route:
        weights = ", ".join(
            f"{name} {weight:g}"
            for name, weight in answer.weight_by_service.items()
        )
        output.line(
            f"route {answer.route}: its weights choose "
            f"{answer.chosen_service or 'no service'} ({weights})"
        )
    output.line(f"a new flow: {_outcome_text(answer)}", style="bold")
    if answer.candidates:
        output.line(
            f"candidates of {answer.endpoint_count} endpoints of "
            f"{answer.service}:"
        )
        output.table(COLUMNS, [_row(item) for item in answer.candidates])
    for text in answer.notes:
        output.line(f"note: {text}")


def _flow_text(state: placement_answer.FlowState) -> str:
    host = f"{state.host} ({state.endpoint or 'not registered'})"
    if state.state == "held":
        return f"held by {host}, latest packet {state.age_s:.1f} s ago"
    if state.state == "opening" and state.host:
        return f"being opened for {state.age_s:.2f} s, offered to {host}"
    if state.state == "opening":
        return f"being opened for {state.age_s:.2f} s, postponed"
    if state.state in ("searched", "tried"):
        return "its endpoint is being searched for"
    return "not known to this balancer"


def _outcome_text(answer: placement_answer.Answer) -> str:
    if answer.outcome != placement_answer.OFFERED:
        return f"{answer.outcome}: {answer.reason}"
    first, *others = answer.hosts
    text = f"offered to {first} ({answer.reason})"
    return f"{text}, then {', '.join(others)}" if others else text


def _row(item: placement_answer.Candidate) -> list[typing.Any]:
    running = item.running_requests
    return [
        item.rank or None,
        item.host,
        item.endpoint,
        item.failure_domain,
        None if running is None else round(running, 2),
        item.slots,
        _to_ms(item.service_time_s or None),
        item.state,
        item.report_age_s,
        _to_ms(item.expected_s),
        None if item.deviation is None else f"{item.deviation:.0%}",
        item.reason,
    ]


def _to_ms(seconds: float | None) -> float | None:
    return None if seconds is None else seconds * 1000

"""Commands of ``bramleypin report``."""

import dataclasses
import datetime
import pathlib
import typing

import typer

from bramleypin.internal.tool import burn as burn_module
from bramleypin.internal.tool import burn_page
from bramleypin.internal.tool import fleet
from bramleypin.internal.tool import fleet_options
from bramleypin.internal.tool import output
from bramleypin.internal.tool import promises
from bramleypin.internal.wire import control

application = typer.Typer(
    no_args_is_help=True, help="Report on the error budgets of the services."
)


# Without a callback, typer omits the name of a group's only command.
@application.callback()
def _group() -> None:
    """Report on the error budgets of the services."""


@application.command()
def burn(
    settings: fleet_options.Settings,
    peer: fleet_options.Peers = None,
    vms: fleet_options.Vms = None,
    json: fleet_options.Json = False,
    html: typing.Annotated[
        pathlib.Path | None,
        typer.Option("--html", help="Write the report to this HTML file."),
    ] = None,
    check: typing.Annotated[
        bool,
        typer.Option(
            "--check", help="Exit with 8 when a service has an alarm."
        ),
    ] = False,
) -> None:
    """Report how fast the services use up their error budgets.

    Example: bramleypin report burn --settings entry-1.toml
    --peer 127.10.1.11:7001 --html burn.html
    """
    requests = [
        control.OutcomesRequest(burn_module.LONGEST_WINDOW_S),
        control.StatusRequest(),
    ]
    burn_answers, status_answers = fleet_options.ask_daemons(
        settings, peer, vms, requests
    )
    report = build_report(burn_answers, status_answers)
    if html is not None:
        output.write_report(html, burn_page.render(report))
    if json:
        output.as_json(_json_value(report))
    else:
        _print_report(report)
    if check and report.level != "ok":
        raise typer.Exit(output.EXIT_BUDGET_ALARM)
    fleet_options.report_faults(burn_answers)


def build_report(
    burn_answers: fleet.Answers, status_answers: fleet.Answers
) -> burn_page.Report:
    """Build a report from the answers of the daemons."""
    answers = [item.data for item in burn_answers.answer_by_peer.values()]
    usages = burn_module.endpoints(answers)
    statuses = [
        item.sections for item in status_answers.answer_by_peer.values()
    ]
    now = datetime.datetime.now(datetime.UTC)
    return burn_page.Report(
        made_at=f"Asked on {now:%Y-%m-%d at %H:%M} UTC",
        services=burn_module.services(
            answers, len(burn_answers.fault_by_peer)
        ),
        endpoints=usages,
        figures=promises.figures(statuses, usages),
        answered=len(answers),
        silent=[str(peer) for peer in burn_answers.fault_by_peer],
    )


def _json_value(report: burn_page.Report) -> dict[str, typing.Any]:
    value = dataclasses.asdict(report)
    value["level"] = report.level
    for service, item in zip(value["services"], report.services, strict=True):
        service["level"] = item.level
    return value


def _print_report(report: burn_page.Report) -> None:
    rows = [
        [
            service.service,
            name,
            burn_page.format_burn_rate(window.burn),
            window.bad,
            window.total,
            f"{window.covered:.0%}",
        ]
        for service in report.services
        for name, window in service.window_by_name.items()
    ]
    columns = ("service", "last", "burn rate", "bad", "requests", "covered")
    output.table(columns, rows)
    for service in report.services:
        for level, text in service.alarms:
            output.line(f"{level}: {service.service}: {text}", style="bold")
    output.line("")
    output.table(
        ("promise", "measured", "should be"),
        [
            [figure.name, burn_page.format_figure(figure.value), figure.wanted]
            for figure in report.figures
        ],
    )
    output.line(report.verdict())

"""Commands of ``bramleypin logs``."""

import html as html_module
import math
import pathlib
import typing

import typer

from bramleypin import errors
from bramleypin.internal.tool import fleet_options
from bramleypin.internal.tool import log_lines
from bramleypin.internal.tool import log_views
from bramleypin.internal.tool import output
from bramleypin.internal.tool import svg

# The summary lists gaps of at least this length between log lines. A busy
# fleet writes at least one line in this time.
MIN_SILENCE_S = 0.8
# --context shows this much before the first and after the last line of a flow.
CONTEXT_S = 1.0

application = typer.Typer(
    no_args_is_help=True,
    help="Explain a failure from the structured logs of the daemons.",
)

Files = typing.Annotated[
    list[pathlib.Path],
    typer.Argument(help="Files with log lines of daemons."),
]


@application.callback()
def _group() -> None:
    """Explain a failure from the structured logs of the daemons."""


@application.command()
def flow(
    identity: typing.Annotated[
        str,
        typer.Argument(
            help="Identity of the flow, or a part of it: "
            "CALLER:PORT>SERVICE:PORT."
        ),
    ],
    files: Files,
    json: fleet_options.Json = False,
    context: typing.Annotated[
        bool,
        typer.Option(
            "--context",
            help="Also show lines of the same processes at that time that "
            "concern no flow, such as starts and views.",
        ),
    ] = False,
) -> None:
    """Show the log lines of a flow in order, with the ages of the views.

    Example: bramleypin logs flow 100.64.0.7:40001 daemons.log
    """
    lines = log_lines.read(files)
    steps = log_lines.flow_steps(lines, identity)
    if not steps:
        raise errors.UnknownName("flow", identity, _example_flows(lines))
    if json:
        output.as_json(
            [
                {
                    "time": step.line.time_s,
                    "process": step.line.process,
                    "part": step.line.part,
                    "event": step.line.event,
                    "view_age_s": step.view_age_s,
                    **step.line.fields,
                }
                for step in steps
            ]
        )
        return
    first_s = steps[0].line.time_s
    rows = [_line_row(step.line, first_s, step.view_age_s) for step in steps]
    if context:
        processes = {step.line.process for step in steps}
        nearby_lines = log_lines.lines_without_flow(
            lines,
            processes,
            first_s - CONTEXT_S,
            steps[-1].line.time_s + CONTEXT_S,
        )
        rows += [_line_row(line, first_s, None) for line in nearby_lines]
        rows.sort(key=lambda row: float(row[0]))
    output.table(
        ("after ms", "process", "part", "event", "view age s", "details"),
        rows,
    )


def _line_row(
    line: log_lines.Line, first_s: float, view_age_s: float | None
) -> list[str]:
    return [
        f"{(line.time_s - first_s) * 1000:.1f}",
        line.process,
        line.part,
        line.event,
        "" if view_age_s is None else f"{view_age_s:.2f}",
        line.details(),
    ]


def _example_flows(lines: list[log_lines.Line]) -> list[str]:
    flows = dict.fromkeys(
        str(line.fields["flow"]) for line in lines if "flow" in line.fields
    )
    return list(flows)[:5]


@application.command()
def waits(
    files: Files,
    json: fleet_options.Json = False,
    count: typing.Annotated[
        int, typer.Option("--count", min=1, help="How many openings to show.")
    ] = 20,
) -> None:
    """Show the openings that waited longest until an agent took them.

    After a wait of just over 200 ms or 600 ms, the caller's second or third
    copy was taken, because the earlier copies reached no balancer.

    Example: bramleypin logs waits daemons.log --count 50
    """
    lines = log_lines.read(files)
    first_s = lines[0].time_s
    entries = [
        {
            "after_s": round(line.time_s - first_s, 3),
            "process": line.process,
            **{
                key: line.fields.get(key, "")
                for key in ("waited_ms", "offers", "flow", "host")
            },
        }
        for line in log_lines.longest_waits(lines, count)
    ]
    if json:
        output.as_json(entries)
        return
    columns = ("after_s", "process", "waited_ms", "offers", "flow", "host")
    output.table(
        columns, [[str(row[name]) for name in columns] for row in entries]
    )


@application.command()
def views(files: Files, json: fleet_options.Json = False) -> None:
    """Show how fast configurations were in force, and what stopped readers.

    Lists each version with the process that had it last, the periods in which
    a process could not follow the store, and the data that were left out.

    Example: bramleypin logs views front-*.log side-*.log
    """
    lines = log_lines.read(files)
    first_s = lines[0].time_s
    version_rows = []
    for adoption in log_views.adoptions(lines):
        process, lag_s = adoption.slowest()
        version_rows.append(
            {
                "version": adoption.version,
                "after_s": round(adoption.first_s - first_s, 3),
                "processes": len(adoption.lag_s_by_process),
                "slowest": process,
                "lag_s": round(lag_s, 3) if math.isfinite(lag_s) else None,
            }
        )
    outage_rows = [
        {
            "process": outage.process,
            "after_s": round(outage.first_s - first_s, 3),
            "for_s": round(outage.last_s - outage.first_s, 3),
            "event": outage.event,
            "error": outage.error,
        }
        for outage in log_views.outages(lines)
    ]
    skipped_rows = [
        {"lines": count, "event": event, "item": item, "error": error}
        for (event, item, error), count in log_views.skipped(
            lines
        ).most_common()
    ]
    if json:
        output.as_json(
            {
                "versions": version_rows,
                "outages": outage_rows,
                "skipped": skipped_rows,
            }
        )
        return
    for title, rows in (
        ("configurations", version_rows),
        ("calls to the store that failed", outage_rows),
        ("data left out", skipped_rows),
    ):
        if not rows:
            output.line(f"{title}: none")
            continue
        output.line(f"{title}:")
        output.table(
            tuple(rows[0]),
            [
                ["never" if value is None else str(value) for value in values]
                for values in (row.values() for row in rows)
            ],
        )


@application.command()
def summary(
    files: Files,
    json: fleet_options.Json = False,
    interval_s: typing.Annotated[
        float, typer.Option("--interval", min=0.1, help="Seconds per count.")
    ] = 1.0,
    html: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            "--html", help="Write counts and plots to this HTML file."
        ),
    ] = None,
) -> None:
    """Count the reasons for lost openings and flows over time.

    Example: bramleypin logs summary daemons.log --html losses.html
    """
    lines = log_lines.read(files)
    counts_by_reason = log_lines.losses(lines, interval_s)
    first_s = lines[0].time_s
    silences = [
        (start_s - first_s, end_s - first_s)
        for start_s, end_s in log_lines.silences(lines, MIN_SILENCE_S)
    ]
    interval_count = int((lines[-1].time_s - first_s) / interval_s) + 1
    series_by_reason = {
        reason: [counts.get(number, 0) for number in range(interval_count)]
        for reason, counts in sorted(
            counts_by_reason.items(), key=lambda item: -item[1].total()
        )
    }
    if html is not None:
        output.write_report(
            html, _html_page(series_by_reason, silences, interval_s)
        )
    if json:
        output.as_json(
            {
                "interval_s": interval_s,
                "first_time": first_s,
                "counts_by_reason": series_by_reason,
                "silences_s": silences,
            }
        )
        return
    output.table(
        ("reason", "lines", "most in an interval", "at s"),
        [
            [
                reason,
                str(sum(series)),
                str(max(series)),
                f"{series.index(max(series)) * interval_s:g}",
            ]
            for reason, series in series_by_reason.items()
        ],
    )
    for start_s, end_s in silences:
        output.line(f"no log line from {start_s:.2f} to {end_s:.2f} s")


def _html_page(
    series_by_reason: dict[str, list[int]],
    silences: list[tuple[float, float]],
    interval_s: float,
) -> str:
    plots = "".join(
        f"<h2>{html_module.escape(reason)}</h2>"
        f"<p>{sum(series)} lines, most in {interval_s:g} s: {max(series)}</p>"
        f"{svg.sparkline([float(value) for value in series])}"
        for reason, series in series_by_reason.items()
    )
    silence_items = "".join(
        f"<li>no log line from {start_s:.2f} to {end_s:.2f} s</li>"
        for start_s, end_s in silences
    )
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        "<title>Lost openings and flows</title><style>"
        "body{font:14px sans-serif;max-width:46rem;margin:2rem auto}"
        ".spark{width:100%;height:4rem}"
        ".curve{fill:none;stroke:#0b62a4;stroke-width:1.5}"
        ".grid{stroke:#bbb}</style><h1>Lost openings and flows</h1>"
        f"{plots or '<p>No line reports a loss.</p>'}"
        f"<ul>{silence_items}</ul></html>"
    )

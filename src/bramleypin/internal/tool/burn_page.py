"""Renders the report on error budgets as one self-contained HTML page."""

import collections.abc
import dataclasses
import html

from bramleypin.internal.tool import burn
from bramleypin.internal.tool import promises
from bramleypin.internal.tool import svg

_STYLE = """
:root{--ink:#1d2733;--soft:#5b6876;--line:#dfe4ea;--paper:#fff;--back:#f4f6f8;
--curve:#2563a8;--ok:#1f7a4d;--warn:#b26a00;--page:#b3261e;--track:#e6ebf0}
@media (prefers-color-scheme:dark){:root{--ink:#e6ebf0;--soft:#9aa7b4;
--line:#33404d;--paper:#1b232c;--back:#12181f;--curve:#6fb1f2;--ok:#5cc48f;
--warn:#f0ad4e;--page:#ff8a80;--track:#2b3742}}
*{box-sizing:border-box}
body{margin:0;background:var(--back);color:var(--ink);
font:16px/1.5 system-ui,"Segoe UI","DejaVu Sans",sans-serif}
main{max-width:860px;margin:0 auto;padding:28px 20px 48px}
h1{font-size:26px;margin:0}h2{font-size:19px;margin:0}
h3{font-size:15px;margin:22px 0 6px;color:var(--soft);font-weight:600}
p{margin:6px 0}.soft{color:var(--soft)}
section{background:var(--paper);border:1px solid var(--line);
border-radius:10px;padding:20px 22px;margin-top:20px}
.head{display:flex;gap:12px;align-items:baseline;flex-wrap:wrap}
.badge{border:1px solid;border-radius:99px;padding:1px 10px;font-size:13px;
font-weight:600}.ok{color:var(--ok)}.warn{color:var(--warn)}
.page{color:var(--page)}.verdict{font-size:18px;margin-top:10px}
table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th{text-align:left;font-size:13px;color:var(--soft);font-weight:600}
th,td{padding:5px 12px 5px 0;border-bottom:1px solid var(--line);
vertical-align:top}tr:last-child td{border-bottom:0}
td.n,th.n{text-align:right}svg{width:100%;height:auto;display:block}
svg.spark{width:260px;height:26px}svg.bar{width:190px;height:14px;margin-top:5px}
.grid{stroke:var(--line)}.axis{fill:var(--soft);color:var(--soft);
font-size:11px}.curve{fill:none;stroke:var(--curve);stroke-width:2;
stroke-linejoin:round}.thin{stroke-width:1.5}.limit{stroke-dasharray:5 4}
.limit.page{stroke:var(--page)}.limit.warn{stroke:var(--warn)}
.label{font-size:11px}.label.page{fill:var(--page)}
.label.warn{fill:var(--warn)}.track{fill:var(--track)}
.fill{fill:var(--curve)}.fill.high{fill:var(--warn)}
.label{paint-order:stroke;stroke:var(--paper);stroke-width:4px}
.even{table-layout:fixed}.wanted{white-space:nowrap}
.scroll{overflow-x:auto}
"""

# If the counts cover less than this fraction of the last hour, a report
# without alarms states the covered fraction.
MIN_TRUSTED_COVERAGE = 0.5

_LABEL_BY_LEVEL = {"ok": "within budget", "warn": "warning", "page": "act now"}


@dataclasses.dataclass(frozen=True)
class Report:
    """Contents of the report.

    ``made_at`` says when the daemons were asked, as a sentence without a full
    stop. ``answered`` is the number of daemons that answered, and ``silent``
    lists the others.
    """

    made_at: str
    services: list[burn.ServiceBurn]
    endpoints: list[burn.EndpointUsage]
    figures: list[promises.Figure]
    answered: int
    silent: list[str]

    @property
    def level(self) -> str:
        """The most urgent alarm level of all services."""
        levels = [service.level for service in self.services]
        for name in ("page", "warn"):
            if name in levels:
                return name
        return "ok"

    def verdict(self) -> str:
        """Return a summary of the alarms in one or two sentences."""
        for level, description in (
            (
                "page",
                "using up the error budget so fast that immediate action "
                "is needed",
            ),
            ("warn", "using up the error budget too fast"),
        ):
            names = [
                item.service for item in self.services if item.level == level
            ]
            if names:
                verb = "is" if len(names) == 1 else "are"
                return f"{' and '.join(names)} {verb} {description}."
        windows = [service.window_by_name["1 h"] for service in self.services]
        if not any(window.total for window in windows):
            return "No daemon has counted any request in the last hour."
        text = "All services are within their error budgets."
        covered_share = min(window.covered for window in windows)
        if covered_share < MIN_TRUSTED_COVERAGE:
            text += (
                f" The counts cover only {covered_share:.0%} of the last hour."
            )
        return text


def render(report: Report) -> str:
    """Return the page (HTML); it loads no other files."""
    levels_by_urgency = ("page", "warn", "ok")
    sorted_services = sorted(
        report.services, key=lambda item: levels_by_urgency.index(item.level)
    )
    sections = [_service_section(item, report) for item in sorted_services]
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        '<meta name="viewport" content="width=device-width">'
        f"<title>Error budgets: {html.escape(report.verdict())}</title>"
        f"<style>{_STYLE}</style></head><body><main>"
        f"<h1>Error budgets of the last 6 hours</h1>"
        f'<p class="verdict {report.level}">{html.escape(report.verdict())}'
        f"</p>{_source_note(report)}{''.join(sections)}"
        f"{_promise_section(report)}{_explanation()}</main></body></html>\n"
    )


def _source_note(report: Report) -> str:
    text = f"{report.made_at}. {report.answered} daemons answered."
    if report.silent:
        names = ", ".join(html.escape(name) for name in report.silent)
        text += (
            f" {len(report.silent)} did not, so their counts are missing: "
            f"{names}."
        )
    return f'<p class="soft">{text}</p>'


def _service_section(item: burn.ServiceBurn, report: Report) -> str:
    usages = [
        usage for usage in report.endpoints if usage.service == item.service
    ]
    alarms = "".join(
        f'<p class="{level}">{_LABEL_BY_LEVEL[level]}: {html.escape(text)}</p>'
        for level, text in item.alarms
    )
    lines = [
        svg.Line(1.0, "1: budget lasts exactly 30 days", "warn"),
        svg.Line(6.0, "6: pages after 6 h", "page"),
        svg.Line(14.4, "14.4: pages after 1 h", "page"),
    ]
    label = f"Burn rate of {item.service} over the last 6 hours"
    return (
        f'<section><div class="head"><h2>{html.escape(item.service)}</h2>'
        f'<span class="badge {item.level}">{_LABEL_BY_LEVEL[item.level]}'
        f"</span></div>{_objective_note(item)}{alarms}"
        "<h3>Burn rate over 5 minutes</h3>"
        f"{svg.time_series(item.series, label, lines)}"
        f"{_window_table(item)}{_endpoint_table(usages)}</section>"
    )


def _objective_note(item: burn.ServiceBurn) -> str:
    if item.success is None:
        return '<p class="soft">No daemon knows the objective.</p>'
    return (
        f'<p class="soft">{100 * item.success:.6g}% of requests must be '
        f"answered within {item.max_latency_s:g} s.</p>"
    )


def _window_table(item: burn.ServiceBurn) -> str:
    rows = "".join(
        f"<tr><td>{name}</td>"
        f'<td class="n">{format_burn_rate(window.burn)}</td>'
        f'<td class="n">{window.bad:,}</td>'
        f'<td class="n">{window.total:,}</td>'
        f'<td class="n">{window.covered:.0%}</td></tr>'
        for name, window in item.window_by_name.items()
    )
    return (
        '<h3>Windows</h3><table class="even"><tr><th>last</th>'
        '<th class="n">burn rate</th><th class="n">bad requests</th>'
        '<th class="n">requests</th><th class="n">window covered</th></tr>'
        f"{rows}</table>"
    )


def format_burn_rate(value: float | None) -> str:
    """Return a burn rate as text; ``None`` means that nothing was counted."""
    return "no requests" if value is None else f"{value:.2f}"


def _endpoint_table(
    usages: collections.abc.Sequence[burn.EndpointUsage],
) -> str:
    if not usages:
        return ""
    rows = "".join(
        f"<tr><td>{html.escape(usage.id)}</td>"
        f"<td>{html.escape(usage.failure_domain)}</td>"
        f"<td>{svg.utilisation_bar(usage.utilisation)}</td>"
        f"<td>{svg.sparkline(usage.series)}</td></tr>"
        for usage in usages
    )
    return (
        '<h3>Utilisation of the endpoints</h3><div class="scroll"><table><tr>'
        "<th>endpoint</th><th>failure domain</th>"
        "<th>slots in use, last 5 min</th><th>last 6 h</th></tr>"
        f"{rows}</table></div>"
    )


def _promise_section(report: Report) -> str:
    rows = []
    for figure in report.figures:
        style = {True: "ok", False: "page", None: ""}[figure.good]
        rows.append(
            f"<tr><td>{html.escape(figure.name)}<br>"
            f'<span class="soft">{html.escape(figure.meaning)}</span></td>'
            f'<td class="n {style}">{format_figure(figure.value)}</td>'
            f'<td class="wanted">{html.escape(figure.wanted)}</td></tr>'
        )
    return (
        "<section><h2>Promises to callers</h2>"
        '<p class="soft">Counted since each daemon started.</p><table><tr>'
        '<th>figure</th><th class="n">measured</th><th>should be</th></tr>'
        f"{''.join(rows)}</table></section>"
    )


def format_figure(value: float | None) -> str:
    """Return a figure as text; whole numbers have no decimals."""
    if value is None:
        return "not counted"
    return f"{value:,.0f}" if value == int(value) else f"{value:.3f}"


def _explanation() -> str:
    return (
        "<section><h2>How to read this report</h2><p>A burn rate of 1 uses up "
        "exactly the whole error budget in 30 days; 14.4 uses up 2% of it in "
        "an hour. A request is bad when its answer came late, when it was "
        "not run, or when its outcome is unknown; invalid requests do not "
        "count. An alarm is raised when the burn rate is too high both in a "
        "long window, which shows that a large part of the budget is used up, "
        "and in a short one, which shows that it is still being used up (The "
        "Site Reliability Workbook, chapter 5).</p><p>VMs store no counts: "
        "a daemon that was restarted has lost its earlier ones. &ldquo;Window "
        "covered&rdquo; is the share of the window that the counts cover.</p>"
        "</section>"
    )

"""Writes docs/metrics.md from the metrics that the code declares.

Run ``python -m bramleypin.internal.tool.metrics_page > docs/metrics.md``
after a metric has been added or changed.
"""

import importlib
import pkgutil
import sys

from bramleypin import internal
from bramleypin.internal.observe import metrics

_HEADER = """\
# Metrics

Generated from the code by `python -m
bramleypin.internal.tool.metrics_page > docs/metrics.md`; do not edit it.

Daemons send these by statsd when `metrics.port` is set in their settings, each
under the prefix `metrics.prefix`. Counters are sent as increments and gauges
as they are, every `metrics.interval_s` seconds; timings are sent at once, in
milliseconds. `bramleypin status --json` shows the same names with the totals
since the daemon started.
"""

_TITLE_BY_PART = {
    "agent": "Agent",
    "balancer": "Balancer",
    "control": "Control links",
    "lease": "View lease",
    "sync": "Configuration",
}


def load_declarations() -> None:
    """Import the modules of both roles, so that all metrics are declared."""
    for module in pkgutil.walk_packages(
        internal.__path__, f"{internal.__name__}."
    ):
        if not module.name.startswith("bramleypin.internal.tool"):
            importlib.import_module(module.name)


def render() -> str:
    """Return the page (Markdown)."""
    load_declarations()
    metrics_by_part: dict[str, list[metrics.Metric]] = {}
    for name, metric in sorted(metrics.METRICS.entry_by_name.items()):
        part = name.partition(".")[0]
        metrics_by_part.setdefault(part, []).append(metric)
    sections = [_HEADER]
    for part, entries in sorted(metrics_by_part.items()):
        sections.append(
            f"\n## {_TITLE_BY_PART.get(part, part.capitalize())}\n"
        )
        sections.append("| name | kind | unit | meaning |\n|---|---|---|---|")
        sections.extend(_row(metric) for metric in entries)
    return "\n".join(sections) + "\n"


def _row(metric: metrics.Metric) -> str:
    meaning = metric.meaning[:1].upper() + metric.meaning[1:].rstrip(".")
    return f"| `{metric.name}` | {metric.kind} | {metric.unit} | {meaning}. |"


if __name__ == "__main__":
    sys.stdout.write(render())

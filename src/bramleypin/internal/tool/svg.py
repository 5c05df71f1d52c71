"""Renders the plots of HTML reports as inline SVG."""

import collections.abc
import html
import typing

# Size and margins of a time series in SVG units.
WIDTH = 720
HEIGHT = 190
MARGIN_LEFT = 44
MARGIN_RIGHT = 8
MARGIN_TOP = 10
MARGIN_BOTTOM = 26

Series = collections.abc.Sequence[float | None]


class Line(typing.NamedTuple):
    """A horizontal line with a label, such as a limit."""

    value: float
    label: str
    style: str


def _paths(
    series: Series,
    x_of: typing.Callable[[int], float],
    y_of: typing.Callable[[float], float],
) -> list[str]:
    """Return an SVG path for each run of values without a gap."""
    paths: list[str] = []
    points: list[str] = []
    for position, value in enumerate([*series, None]):
        if value is not None:
            points.append(f"{x_of(position):.1f},{y_of(value):.1f}")
        elif points:
            # A path of a single point is invisible, so a short dash is added.
            dash = "h2" if len(points) == 1 else ""
            paths.append(f"M{' L'.join(points)}{dash}")
            points = []
    return paths


def time_series(
    series: Series,
    label: str,
    lines: collections.abc.Sequence[Line] = (),
    hours: int = 6,
) -> str:
    """Return a plot of the last hours, one value per minute, newest last.

    Lines are drawn only if they lie in the range of the plot.
    """
    values = [value for value in series if value is not None]
    # The margin of 15% leaves room for limits just above the curve; those far
    # above it lie outside the plot.
    highest = max([1.5, *values]) * 1.15
    plot_width = WIDTH - MARGIN_LEFT - MARGIN_RIGHT
    plot_height = HEIGHT - MARGIN_TOP - MARGIN_BOTTOM

    def x_of(position: int) -> float:
        return MARGIN_LEFT + plot_width * position / max(1, len(series) - 1)

    def y_of(value: float) -> float:
        return MARGIN_TOP + plot_height * (1 - value / highest)

    parts = [
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" '
        f'aria-label="{html.escape(label)}">'
    ]
    for value in _tick_values(highest):
        y = y_of(value)
        parts.append(
            f'<line class="grid" x1="{MARGIN_LEFT}" '
            f'x2="{WIDTH - MARGIN_RIGHT}" y1="{y:.1f}" y2="{y:.1f}"/>'
            f'<text class="axis" x="{MARGIN_LEFT - 6}" y="{y + 4:.1f}" '
            f'text-anchor="end">{value:g}</text>'
        )
    for hour in range(hours + 1):
        x = MARGIN_LEFT + plot_width * (hours - hour) / hours
        name = "now" if hour == 0 else f"{hour} h ago"
        anchor = {0: "end", hours: "start"}.get(hour, "middle")
        parts.append(
            f'<text class="axis" x="{x:.1f}" y="{HEIGHT - 8}" '
            f'text-anchor="{anchor}">{name}</text>'
        )
    for line in lines:
        if line.value <= highest:
            parts.append(_limit_line(line, y_of(line.value)))
    for path in _paths(series, x_of, y_of):
        parts.append(f'<path class="curve" d="{path}"/>')
    if not values:
        parts.append(
            f'<text class="axis" x="{WIDTH / 2}" y="{HEIGHT / 2}" '
            'text-anchor="middle">no requests were counted</text>'
        )
    parts.append("</svg>")
    return "".join(parts)


def _limit_line(line: Line, y: float) -> str:
    return (
        f'<line class="limit {line.style}" x1="{MARGIN_LEFT}" '
        f'x2="{WIDTH - MARGIN_RIGHT}" y1="{y:.1f}" y2="{y:.1f}"/>'
        f'<text class="label {line.style}" x="{MARGIN_LEFT + 6}" '
        f'y="{y - 4:.1f}">{html.escape(line.label)}</text>'
    )


def _tick_values(highest: float) -> list[float]:
    """Return round values from 0 up to the highest, in at most 5 steps."""
    # The steps are 0.5, 1, 2.5, 5, 10, 25 and so on.
    step = 0.5
    factors = (2, 2.5, 2)
    count = 0
    while highest / step > 5:
        step *= factors[count % 3]
        count += 1
    return [step * number for number in range(int(highest / step) + 1)]


def sparkline(series: Series, highest: float = 1.0) -> str:
    """Return a small curve without axes.

    The vertical range ends at ``highest``, or at the largest value of the
    series if that is higher.
    """
    width, height = 260, 26
    upper_bound = max(
        [highest, *(value for value in series if value is not None)]
    )

    def x_of(position: int) -> float:
        return width * position / max(1, len(series) - 1)

    def y_of(value: float) -> float:
        return 1 + (height - 2) * (1 - value / upper_bound)

    curves = "".join(
        f'<path class="curve thin" d="{path}"/>'
        for path in _paths(series, x_of, y_of)
    )
    return (
        f'<svg class="spark" viewBox="0 0 {width} {height}" '
        f'aria-hidden="true"><line class="grid" x1="0" x2="{width}" '
        f'y1="{height - 1}" y2="{height - 1}"/>{curves}</svg>'
    )


def utilisation_bar(share: float | None) -> str:
    """Return a bar for a utilisation; a full bar means all slots in use."""
    if share is None:
        return '<span class="axis">nothing counted</span>'
    filled = min(1.0, share) * 160
    style = "high" if share >= 0.8 else ""
    return (
        '<svg class="bar" viewBox="0 0 210 14" aria-hidden="true">'
        '<rect class="track" width="160" height="14" rx="3"/>'
        f'<rect class="fill {style}" width="{filled:.1f}" height="14" '
        f'rx="3"/><text class="axis" x="168" y="11">{share:.0%}</text></svg>'
    )

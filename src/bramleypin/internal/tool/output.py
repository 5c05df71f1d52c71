"""Prints results as tables for people or as JSON for programs.

Colour follows the NO_COLOR convention (https://no-color.org), which rich
implements, and is omitted when the output is not a terminal.
"""

import collections.abc
import json
import pathlib
import sys
import time
import typing

import rich.console
import rich.progress
import rich.table
import rich.text

from bramleypin import errors

# A progress bar appears when work takes longer than this.
PROGRESS_DELAY_S = 2.0
# Width in columns without a terminal, where rich would use 80.
WIDTH_WITHOUT_TERMINAL = 160

EXIT_CODES = {
    0: "done",
    1: "another error, for example an unknown name",
    2: "the command line, the settings or the answers are wrong",
    3: "a service of the daemon failed (bramleypind only)",
    4: "a configuration document is malformed or was edited by hand",
    5: "refused, because it would break a promise to callers",
    6: "no daemon answered",
    7: "some daemons did not answer; what is shown is partial",
    8: "report burn --check: a service uses up its error budget too fast",
    9: "placement: no route has the service address",
    10: "placement: the balancer answered in another version of the format",
    130: "interrupted from the terminal",
}
EXIT_PARTIAL = 7
EXIT_BUDGET_ALARM = 8

T = typing.TypeVar("T")


def console(stderr: bool = False) -> rich.console.Console:
    """Return a console on the current standard output or standard error."""
    stream = sys.stderr if stderr else sys.stdout
    width = None if stream.isatty() else WIDTH_WITHOUT_TERMINAL
    return rich.console.Console(file=stream, width=width, highlight=False)


def line(text: str, style: str = "") -> None:
    """Print a line verbatim; brackets are not interpreted as markup."""
    console().print(rich.text.Text(text, style=style), soft_wrap=True)


def note(text: str) -> None:
    """Print a note to standard error, separate from the result."""
    styled = rich.text.Text(text, style="yellow")
    console(stderr=True).print(styled, soft_wrap=True)


def error(text: str) -> None:
    """Print an error to standard error; each line has the program's name."""
    for part in text.splitlines():
        styled = rich.text.Text("bramleypin: ", style="bold red")
        console(stderr=True).print(styled + part, soft_wrap=True)


def clear() -> None:
    """Clear the screen if the output is a terminal."""
    console().clear()


def write_report(path: pathlib.Path, text: str) -> None:
    """Write the HTML page of ``--html`` to a file.

    :raises errors.InvalidSettings: when the file cannot be written.
    """
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise errors.InvalidSettings(
            "command line", "--html", str(path), f"{error.strerror}"
        ) from error
    note(f"{path}: report written")


def as_json(value: object) -> None:
    """Print a value as one JSON document; keys keep their order."""
    text = json.dumps(value, indent=2, ensure_ascii=False, default=str)
    sys.stdout.write(text + "\n")


def table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[object]],
    title: str | None = None,
) -> None:
    """Print a table; columns of numbers are right-aligned."""
    content = [[_format_cell(value) for value in row] for row in rows]
    result = rich.table.Table(title=title, box=None, title_justify="left")
    for position, name in enumerate(columns):
        cells = [row[position] for row in content]
        is_numeric = bool(cells) and all(_is_number(cell) for cell in cells)
        result.add_column(
            name, justify="right" if is_numeric else "left", overflow="fold"
        )
    for row in content:
        result.add_row(*[rich.text.Text(cell) for cell in row])
    console().print(result)


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"
    if isinstance(value, list | tuple):
        return ", ".join(str(item) for item in value)
    return str(value)


def _is_number(text: str) -> bool:
    """Return whether a cell is a number, or "-" for a missing value."""
    digits = text.rstrip("%").replace(".", "", 1).replace("-", "0", 1)
    return digits.isdigit()


class Bar:
    """A progress bar on standard error that appears only for slow work."""

    def __init__(self, total: int, text: str):
        self._total = total
        self._text = text
        self._done = 0
        self._started_s = time.monotonic()
        self._bar: rich.progress.Progress | None = None
        self._task: typing.Any = None

    def __enter__(self) -> "Bar":
        return self

    def __exit__(self, *exception: object) -> None:
        if self._bar is not None:
            self._bar.stop()

    def advance(self) -> None:
        """Count one step; show the bar after ``PROGRESS_DELAY_S``."""
        self._done += 1
        is_slow = time.monotonic() - self._started_s > PROGRESS_DELAY_S
        if self._bar is None and is_slow:
            self._bar = rich.progress.Progress(
                console=console(stderr=True), transient=True
            )
            self._bar.start()
            self._task = self._bar.add_task(self._text, total=self._total)
        if self._bar is not None:
            self._bar.update(self._task, completed=self._done)


def progress(
    items: collections.abc.Iterable[T], total: int, text: str
) -> collections.abc.Iterator[T]:
    """Yield the items and show a progress bar if the work takes long."""
    with Bar(total, text) as bar:
        for item in items:
            yield item
            bar.advance()

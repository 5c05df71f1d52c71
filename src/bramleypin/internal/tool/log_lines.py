"""Reads and searches structured log lines of several processes."""

import collections
import dataclasses
import json
import pathlib
import typing

from bramleypin import errors

# Events of openings and flows that ended without an answer. The two events for
# resets, which can have various reasons, come first. ``losses`` groups lines
# by event and ``reason``, or by event alone if a line has no reason.
LOSS_EVENTS = (
    "opening reset",
    "flow reset",
    "no agent holds the flow",
    "the endpoint does not hold a flow",
    "agent did not answer",
    "an agent refused an opening",
)
_STANDARD_FIELDS = ("time", "level", "part", "event")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line: its Unix time, its process and its fields."""

    time_s: float
    process: str
    level: str
    part: str
    event: str
    fields: dict[str, typing.Any]

    @property
    def base_event(self) -> str:
        """The event without its number of suppressed lines."""
        return self.event.partition(" (")[0]

    def details(self) -> str:
        """Return the fields as text."""
        return " ".join(f"{key}={value}" for key, value in self.fields.items())


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A log line of a flow, with the age of the view at that time.

    ``view_age_s`` counts from the process's first line with the same revision;
    it is ``None`` when the line names no revision.
    """

    line: Line
    view_age_s: float | None


def read(files: list[pathlib.Path]) -> list[Line]:
    """Return the lines of all files, sorted by time.

    A line may have text before its JSON object, such as a time and the name
    of the machine. The last word of that text names the process; without such
    text, the file's name does. Lines without a JSON object are skipped.

    :raises errors.InvalidSettings: when a file cannot be read, or none has a
        structured line.
    """
    lines: list[Line] = []
    for file in files:
        try:
            text = file.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise errors.InvalidSettings(
                "command line", "FILE", str(file), f"{error.strerror}"
            ) from error
        for raw_line in text.splitlines():
            line = _parse(raw_line, file.stem)
            if line is not None:
                lines.append(line)
    if not lines:
        raise errors.InvalidSettings(
            "command line",
            "FILE",
            ", ".join(map(str, files)),
            "has no structured log line; name a file with the log of a daemon",
        )
    lines.sort(key=lambda line: line.time_s)
    return lines


def _parse(raw_line: str, process: str) -> Line | None:
    json_start = raw_line.find('{"time":')
    if json_start < 0:
        return None
    try:
        record = json.loads(raw_line[json_start:])
    except (ValueError, RecursionError):
        # Daemons truncate lines that a pipe does not accept in one write.
        return None
    prefix_words = raw_line[:json_start].split()
    fields = {
        key: value
        for key, value in record.items()
        if key not in _STANDARD_FIELDS
    }
    return Line(
        float(record["time"]),
        prefix_words[-1] if prefix_words else process,
        str(record.get("level", "")),
        str(record.get("part", "")),
        str(record.get("event", "")),
        fields,
    )


def flow_steps(lines: list[Line], text: str) -> list[Step]:
    """Return the lines of the flows whose identity contains ``text``.

    A line that names only the number of an opening belongs to a flow when a
    line of that flow names the same number.
    """
    openings = {
        (line.fields["opening"], line.fields.get("origin", ""))
        for line in lines
        if text in str(line.fields.get("flow", ""))
        and "opening" in line.fields
    }
    opening_numbers = {number for number, _ in openings}
    first_s_by_revision: dict[tuple[str, object], float] = {}
    steps: list[Step] = []
    for line in lines:
        revision = line.fields.get("revision")
        age_s = None
        if revision is not None:
            key = (line.process, revision)
            age_s = line.time_s - first_s_by_revision.setdefault(
                key, line.time_s
            )
        names_flow = text in str(line.fields.get("flow", ""))
        if names_flow or line.fields.get("opening") in opening_numbers:
            steps.append(Step(line, age_s))
    return steps


def lines_without_flow(
    lines: list[Line], processes: set[str], start_s: float, end_s: float
) -> list[Line]:
    """Return the lines of ``processes`` that concern no flow or opening.

    Starts, views, and lost or regained dependencies can be the cause of a
    failure even though no line of the flow names it.
    """
    return [
        line
        for line in lines
        if start_s <= line.time_s <= end_s
        and line.process in processes
        and "flow" not in line.fields
        and "opening" not in line.fields
    ]


def silences(lines: list[Line], min_s: float) -> list[tuple[float, float]]:
    """Return the periods of at least ``min_s`` without any log line.

    All processes are silent at once when every machine has lost power.
    """
    periods = []
    for line, next_line in zip(lines, lines[1:]):
        if next_line.time_s - line.time_s >= min_s:
            periods.append((line.time_s, next_line.time_s))
    return periods


def losses(
    lines: list[Line], interval_s: float
) -> dict[str, collections.Counter]:
    """Return the number of lines in each interval, by reason.

    Intervals are numbered from the first line. Lines that a process dropped
    and reports only as a count are not included.
    """
    first_s = lines[0].time_s
    counts_by_reason: dict[str, collections.Counter] = {}
    for line in lines:
        event = line.base_event
        if event not in LOSS_EVENTS:
            continue
        reason = line.fields.get("reason")
        name = f"{event}: {reason}" if reason else event
        interval = int((line.time_s - first_s) / interval_s)
        counts_by_reason.setdefault(name, collections.Counter())[interval] += 1
    return counts_by_reason


def longest_waits(lines: list[Line], count: int) -> list[Line]:
    """Return the lines of the openings that waited longest for an agent."""
    taken_lines = [line for line in lines if line.event == "opening taken"]
    taken_lines.sort(
        key=lambda line: -float(line.fields.get("waited_ms", 0.0))
    )
    return taken_lines[:count]

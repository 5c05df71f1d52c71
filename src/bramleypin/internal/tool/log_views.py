"""Finds in structured logs when each process followed the store."""

import collections
import dataclasses
import math

from bramleypin.internal.tool import log_lines

VERSION_EVENTS = (
    "configuration in force",
    "installed the view of another daemon",
)
# Events of failed calls, and those that end such a period.
FAILURE_EVENTS = (
    "the store does not answer",
    "an answer of the store cannot be used",
)
RECOVERY_EVENTS = (
    "the store answers again",
    "first listing of the store complete",
    "starting",
)
SKIPPED_EVENT_START = "skipped "


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """How a version of the configuration reached the processes.

    ``first_s`` is the Unix time at which the first process had it.
    ``lag_s_by_process`` is the time from then until a process had this version
    or a later one; it is infinite if the log shows neither.
    """

    version: int
    first_s: float
    lag_s_by_process: dict[str, float]

    def slowest(self) -> tuple[str, float]:
        """Return the process that was last, and its lag in seconds."""
        return max(self.lag_s_by_process.items(), key=lambda item: item[1])


@dataclasses.dataclass(slots=True)
class Outage:
    """A period in which a process could not follow the store."""

    process: str
    event: str
    error: str
    first_s: float
    last_s: float


def adoptions(lines: list[log_lines.Line]) -> list[Adoption]:
    """Return the adoption of each version that a process reported.

    A process counts if it was running when the first one had the version: it
    wrote a line before and a line afterwards.
    """
    times_by_process: dict[str, list[float]] = collections.defaultdict(list)
    versions_by_process: dict[str, list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    first_s_by_version: dict[int, float] = {}
    for line in lines:
        times_by_process[line.process].append(line.time_s)
        version = line.fields.get("version")
        if line.base_event in VERSION_EVENTS and isinstance(version, int):
            versions_by_process[line.process].append((line.time_s, version))
            first_s_by_version.setdefault(version, line.time_s)
    return [
        Adoption(
            version,
            first_s,
            {
                process: _lag_s(versions_by_process[process], version, first_s)
                for process, times_s in times_by_process.items()
                if times_s[0] <= first_s <= times_s[-1]
            },
        )
        for version, first_s in sorted(first_s_by_version.items())
    ]


def _lag_s(
    versions: list[tuple[float, int]], version: int, first_s: float
) -> float:
    return min(
        (
            max(0.0, time_s - first_s)
            for time_s, reported in versions
            if reported >= version
        ),
        default=math.inf,
    )


def outages(lines: list[log_lines.Line]) -> list[Outage]:
    """Return the periods of failed calls to the store, by start."""
    periods: list[Outage] = []
    open_by_process: dict[str, Outage] = {}
    for line in lines:
        event = line.base_event
        outage = open_by_process.get(line.process)
        if event in RECOVERY_EVENTS and outage is not None:
            outage.last_s = line.time_s
            del open_by_process[line.process]
        elif event in FAILURE_EVENTS and outage is None:
            outage = Outage(
                line.process,
                event,
                str(line.fields.get("error", "")),
                line.time_s,
                line.time_s,
            )
            periods.append(outage)
            open_by_process[line.process] = outage
        elif event in FAILURE_EVENTS and outage is not None:
            outage.last_s = line.time_s
    return periods


def skipped(lines: list[log_lines.Line]) -> collections.Counter[tuple]:
    """Count the lines about data that was left out, by event and error."""
    return collections.Counter(
        (
            line.base_event,
            str(line.fields.get("item", "")),
            str(line.fields.get("error", "")),
        )
        for line in lines
        if line.event.startswith(SKIPPED_EVENT_START)
    )

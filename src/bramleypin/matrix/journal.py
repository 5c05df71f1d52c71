"""What callers, endpoints and the network saw during a cell.

The checker reads this record and nothing else; times are seconds of the
virtual clock.
"""

import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class Call:
    """A request as its caller sees it.

    ``outcome`` is "answered", "not_run", "unknown", "invalid" or, while the
    caller waits, "pending". ``established`` means that an earlier call of
    the same flow was answered, the last of which began at ``since_s``.
    """

    id: str
    caller: str
    flow: int
    service: str
    method: str
    kind: str
    started_s: float
    established: bool
    since_s: float
    deadline_s: float
    outcome: str = "pending"
    payload: bytes = b""
    detail: str = ""
    ended_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Run:
    """A request as an endpoint runs it.

    ``running`` counts the requests in progress, this one included, and
    ``bearable`` is what the endpoint could bear at its start.
    """

    call_id: str
    endpoint: str
    instance: int
    service: str
    named_service: str
    method: str
    started_s: float
    running: int
    bearable: int
    block: int = 0
    ended_s: float | None = None


@dataclasses.dataclass(slots=True)
class Span:
    """A time during which something was the case, for example a pause.

    ``kind`` names it, and ``subject`` is a process, endpoint or domain.
    """

    kind: str
    subject: str
    start_s: float
    end_s: float | None = None

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Tell whether the span has a time in common with another."""
        own_end_s = float("inf") if self.end_s is None else self.end_s
        return self.start_s <= end_s and start_s <= own_end_s


@dataclasses.dataclass(slots=True)
class DataPacket:
    """A datagram as it was sent, without its content.

    ``revision`` is what the sender announced in a frame, or ``None``.
    """

    sent_s: float
    sender: str
    sender_start: int
    sender_role: str
    receiver: str
    receiver_role: str
    receiver_domain: str
    kind: str
    revision: int | None


@dataclasses.dataclass(slots=True)
class Published:
    """A revision that was published."""

    revision: int
    published_s: float


@dataclasses.dataclass
class Journal:
    """The record of one cell.

    ``final_s`` is when all faults have ended and everything must work.
    """

    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    spans: list[Span] = dataclasses.field(default_factory=list)
    packets: list[DataPacket] = dataclasses.field(default_factory=list)
    published: list[Published] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)
    owner_by_flow: dict[tuple[str, int], set[str]] = dataclasses.field(
        default_factory=dict
    )
    announced_s: dict[int, float] = dataclasses.field(default_factory=dict)
    final_s: float = math.inf
    ended_s: float = 0.0

    def announce(self, revision: int, now_s: float) -> None:
        """Note that a daemon announced a revision."""
        if revision not in self.announced_s:
            self.announced_s[revision] = now_s

    def first_announced(self, revision: int) -> float:
        """Return when a revision or a later one was first announced."""
        times = [
            at_s
            for number, at_s in self.announced_s.items()
            if number >= revision
        ]
        return min(times, default=math.inf)

    def begin(self, kind: str, subject: str, now_s: float) -> Span:
        """Open a span."""
        span = Span(kind, subject, now_s)
        self.spans.append(span)
        return span

    def find_spans(
        self, kinds: typing.Iterable[str], subject: str | None = None
    ) -> list[Span]:
        """Return the spans of some kinds, of one subject or of all."""
        wanted = set(kinds)
        return [
            span
            for span in self.spans
            if span.kind in wanted
            and (subject is None or span.subject == subject)
        ]

    def runs_of(self, call_id: str) -> list[Run]:
        """Return the runs of a call, in order."""
        return [run for run in self.runs if run.call_id == call_id]

"""The record of a cell, written by its callers, endpoints and network.

The checker reads this record only. Times are seconds of the virtual clock.
"""

import dataclasses
import math
import typing


@dataclasses.dataclass(slots=True)
class Call:
    """A request, as seen by its caller.

    ``outcome`` is "answered", "not_run", "unknown", "invalid", "silent" when
    the client did not return, or "pending" while the caller waits.
    ``established`` means that an earlier call of the same flow was answered.
    ``window_start_s`` is the start of the last such call, or of this call if
    there is none; faults from then on may affect the call.
    """

    id: str
    caller: str
    flow: int
    service: str
    method: str
    kind: str
    started_s: float
    established: bool
    window_start_s: float
    deadline_s: float
    outcome: str = "pending"
    payload: bytes = b""
    detail: str = ""
    ended_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a request at an endpoint.

    At the start of the run, ``running`` is the number of requests in
    progress, including this one, and ``capacity`` is the number that the
    endpoint can run at once. ``service`` is the service the endpoint belongs
    to; ``named_service`` is the one named in the request. ``block`` is the
    block number of a download.
    """

    call_id: str
    endpoint: str
    instance: int
    service: str
    named_service: str
    method: str
    started_s: float
    running: int
    capacity: int
    block: int = 0
    ended_s: float | None = None


@dataclasses.dataclass(slots=True)
class Span:
    """An interval during which a fault or state lasts, such as a pause.

    ``kind`` names the fault or state, and ``subject`` is the process,
    endpoint or failure domain concerned. ``end_s`` is ``None`` while it
    lasts.
    """

    kind: str
    subject: str
    start_s: float
    end_s: float | None = None

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the span overlaps a closed interval."""
        own_end_s = float("inf") if self.end_s is None else self.end_s
        return self.start_s <= end_s and start_s <= own_end_s


@dataclasses.dataclass(slots=True)
class DataPacket:
    """The metadata of a datagram that a daemon sent.

    ``revision`` is the revision that the sender announced in a frame, or
    ``None``. ``sender_start`` counts the restarts of the sending process.
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
class PublishedRevision:
    """A published revision of the configuration."""

    revision: int
    published_s: float


@dataclasses.dataclass
class Journal:
    """The record of one cell.

    ``failures`` describes daemons that ended with an error. All faults have
    ended by ``final_phase_s``; every later call must be answered. The keys of
    ``endpoints_by_flow`` are pairs of the caller's name and the flow's number.
    """

    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    spans: list[Span] = dataclasses.field(default_factory=list)
    packets: list[DataPacket] = dataclasses.field(default_factory=list)
    published_revisions: list[PublishedRevision] = dataclasses.field(
        default_factory=list
    )
    failures: list[str] = dataclasses.field(default_factory=list)
    endpoints_by_flow: dict[tuple[str, int], set[str]] = dataclasses.field(
        default_factory=dict
    )
    announced_s_by_revision: dict[int, float] = dataclasses.field(
        default_factory=dict
    )
    final_phase_s: float = math.inf
    ended_s: float = 0.0

    def record_announcement(self, revision: int, now_s: float) -> None:
        """Record when a revision is first announced by a daemon."""
        if revision not in self.announced_s_by_revision:
            self.announced_s_by_revision[revision] = now_s

    def first_announced_s(self, revision: int) -> float:
        """Return when a revision or a later one was first announced.

        The time is infinite if no daemon has announced one.
        """
        times = [
            announced_s
            for number, announced_s in self.announced_s_by_revision.items()
            if number >= revision
        ]
        return min(times, default=math.inf)

    def begin_span(self, kind: str, subject: str, now_s: float) -> Span:
        """Add a span that starts now."""
        span = Span(kind, subject, now_s)
        self.spans.append(span)
        return span

    def find_spans(
        self, kinds: typing.Iterable[str], subject: str | None = None
    ) -> list[Span]:
        """Return the spans of the given kinds, of one subject or of all."""
        kind_set = set(kinds)
        return [
            span
            for span in self.spans
            if span.kind in kind_set
            and (subject is None or span.subject == subject)
        ]

    def runs_of(self, call_id: str) -> list[Run]:
        """Return the runs of a call, in the order of their start."""
        return [run for run in self.runs if run.call_id == call_id]

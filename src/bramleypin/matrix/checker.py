"""Checks the ten promises on the record of a cell.

Each check yields one sentence for each violation. What a fault may break is
stated here, next to the promise, and nowhere else.
"""

import collections
import typing

from bramleypin.matrix import deployment as deployment_module
from bramleypin.matrix import endpoint as endpoint_module
from bramleypin.matrix import journal as journal_module
from bramleypin.matrix import registries

OUT_BOUND_S = 3.0
LEAVING_BOUND_S = 3.0
FORCE_BOUND_S = 5.0
# The agent learns of an unannounced cold start by an answer, a refusal or
# its next question to the endpoint.
COLD_DETECTION_S = 2.0

# A reader has read a revision whole after this time.
READING_S = 1.0

# Faults that end what runs at an endpoint, or the memory of it.
DESTROYING = ("endpoint-crashes", "agent-restarts", "domain-out")
# An agent that has drained and is replaced forgets its flows; what ran when
# the drain began must still be answered (P9).
REPLACED = ("replaced",)
PARTITIONS = ("partition-two-way", "partition-one-way")
PLATFORM = ("platform-down", "platform-stale", "platform-older")
# What is sent into a failure domain for callers, by kind of packet. Answers
# to requests that a balancer there has passed on are not among them, nor are
# an agent's questions to the endpoint on its own VM.
WORK = ("Forward", "Probe", "request")
COLD = ("cold", "endpoint-crashes", "agent-restarts", "replaced")

Journal = journal_module.Journal
Call = journal_module.Call
Violations = typing.Iterator[str]


def check(journal: Journal) -> list[str]:
    """Return all violations, each with the promise it breaks."""
    found = [f"P1: {item}" for item in journal.failures]
    for promise, function in registries.CHECKS.entry_by_name.items():
        found.extend(f"{promise}: {item}" for item in function(journal))
    return found


def _owners(journal: Journal, call: Call) -> set[str]:
    """Return the endpoints that have served the call's flow."""
    known = journal.owner_by_flow.get((call.caller, call.flow), set())
    return known | {run.endpoint for run in journal.runs_of(call.id)}


def _domain(name: str) -> str:
    return name.split("-", 1)[1]


def _disturbed(
    journal: Journal,
    call: Call,
    kinds: typing.Iterable[str],
    aftermath_s: float = 0.0,
) -> bool:
    """Tell whether a fault of some kinds hit an owner of the call's flow.

    ``aftermath_s`` is how long the fault may be felt after its end.
    """
    owners = _owners(journal, call)
    domains = {_domain(name) for name in owners}
    return any(
        span.subject in owners | domains
        and span.overlaps(call.since_s - aftermath_s, call.ended_s)
        for span in journal.find_spans(kinds)
    )


def _may_fail(journal: Journal, call: Call) -> bool:
    if _disturbed(journal, call, DESTROYING):
        return True
    # The pin names an agent that retransmissions reach only while some
    # balancer does; a cut that lasts longer may exhaust them.
    if _disturbed(journal, call, PARTITIONS):
        return True
    if call.outcome == "not_run":
        # Such faults lower the endpoint's limit to that of a cold one, which
        # rises over the ramp (design page, section 6).
        lowering = ("endpoint-sheds", "endpoint-lies", *COLD)
        ramp_s = deployment_module.RAMP_S
        return _disturbed(journal, call, lowering, ramp_s)
    return False


@registries.check("P1")
def check_established_flows(journal: Journal) -> Violations:
    """An established flow survives all but the loss of its endpoint."""
    for call in journal.calls.values():
        if call.outcome == "answered":
            continue
        replaced = _disturbed(journal, call, REPLACED)
        if call.established and not replaced and not _may_fail(journal, call):
            yield _describe(call, "of an established flow")
        elif call.started_s >= journal.final_s:
            yield _describe(call, "after all faults had ended")


def _describe(call: Call, what: str) -> str:
    return (
        f"call {call.id} ({call.method} by {call.caller} from "
        f"{call.started_s:.3f} s) {what} was {call.outcome} at "
        f"{call.ended_s:.3f} s ({call.detail})"
    )


@registries.check("P2")
def check_services(journal: Journal) -> Violations:
    """No endpoint sees a request that names another service."""
    for run in journal.runs:
        if run.service != run.named_service:
            yield (
                f"call {run.call_id} for {run.named_service} ran at "
                f"{run.endpoint} at {run.started_s:.3f} s"
            )


@registries.check("P3")
def check_cold_start(journal: Journal) -> Violations:
    """A cold endpoint runs no more at once than it bears."""
    for run in journal.runs:
        if run.running <= run.bearable:
            continue
        if not _cold_was_unknown(journal, run):
            yield (
                f"{run.endpoint} ran {run.running} requests at "
                f"{run.started_s:.3f} s and bore {run.bearable}"
            )


def _cold_was_unknown(journal: Journal, run: journal_module.Run) -> bool:
    for span in journal.find_spans(COLD, run.endpoint):
        start_s = span.start_s
        if span.kind == "endpoint-crashes" and span.end_s is not None:
            start_s = span.end_s
        if start_s <= run.started_s <= start_s + COLD_DETECTION_S:
            return True
    return any(
        span.overlaps(run.started_s, run.started_s)
        for span in journal.find_spans(("endpoint-lies",), run.endpoint)
    )


def _known_since(journal: Journal, item: journal_module.Published) -> float:
    """Return when the system could first learn of a revision.

    A platform that fails while its readers read gives nobody the whole
    revision. Once one daemon announces it, the others must follow.
    """
    since_s = item.published_s
    for span in journal.find_spans(PLATFORM):
        if span.overlaps(since_s, since_s + READING_S):
            since_s = journal.ended_s if span.end_s is None else span.end_s
    return min(since_s, journal.first_announced(item.revision))


def _revision_at(journal: Journal, start_s: float) -> journal_module.Published:
    """Return the revision that was published last at a time."""
    return [item for item in journal.published if item.published_s <= start_s][
        -1
    ]


@registries.check("P4")
def check_domains_out(journal: Journal) -> Violations:
    """Nothing is sent into a failure domain 3 s after it is taken out."""
    for span in journal.find_spans(("domain-out",)):
        bound_s = (
            _known_since(journal, _revision_at(journal, span.start_s))
            + OUT_BOUND_S
        )
        end_s = journal.ended_s if span.end_s is None else span.end_s
        for packet in journal.packets:
            inside = bound_s < packet.sent_s < end_s
            if not inside or packet.receiver_domain != span.subject:
                continue
            if packet.kind in WORK:
                yield (
                    f"{packet.sender} sent {packet.kind} to "
                    f"{packet.receiver} at {packet.sent_s:.3f} s, "
                    f"{packet.sent_s - span.start_s:.3f} s after "
                    f"{span.subject} was taken out"
                )


@registries.check("P5")
def check_answers(journal: Journal) -> Violations:
    """An answer is whole and belongs to the caller's own request."""
    for call in journal.calls.values():
        if call.outcome != "answered":
            continue
        if call.kind == "plan":
            endpoints = {run.endpoint for run in journal.runs_of(call.id)}
            valid = [
                endpoint_module.document(call.id, item) for item in endpoints
            ]
        else:
            valid = [endpoint_module.answer_of(call.id, call.kind)]
        if call.payload not in valid:
            yield (
                f"call {call.id} was answered with {call.payload[:60]!r} "
                f"({len(call.payload)} bytes)"
            )


@registries.check("P6")
def check_not_run(journal: Journal) -> Violations:
    """A request whose caller was told "not run" has not run."""
    for call in journal.calls.values():
        if call.outcome != "not_run":
            continue
        for run in journal.runs_of(call.id):
            yield (
                f"call {call.id} ({call.method}) was told not run at "
                f"{call.ended_s:.3f} s and ran at {run.endpoint} at "
                f"{run.started_s:.3f} s"
            )


@registries.check("P7")
def check_runs_once(journal: Journal) -> Violations:
    """A non-idempotent request runs at most once."""
    count_by_call = collections.Counter(
        run.call_id for run in journal.runs if run.method == "POST"
    )
    for call_id, count in count_by_call.items():
        if count > 1:
            places = [
                f"{run.endpoint} at {run.started_s:.3f} s"
                for run in journal.runs_of(call_id)
            ]
            yield f"call {call_id} ran {count} times: {', '.join(places)}"


@registries.check("P8")
def check_leaving(journal: Journal) -> Violations:
    """A leaving endpoint gets no new flow 3 s after it is announced."""
    for span in journal.find_spans(("leaving",)):
        bound_s = (
            _known_since(journal, _revision_at(journal, span.start_s))
            + LEAVING_BOUND_S
        )
        end_s = journal.ended_s if span.end_s is None else span.end_s
        for run in journal.runs:
            call = journal.calls.get(run.call_id)
            if run.endpoint != span.subject or call is None:
                continue
            is_new = not call.established and call.started_s > bound_s
            if is_new and run.started_s < end_s:
                yield (
                    f"call {call.id} opened a flow at {run.endpoint} at "
                    f"{run.started_s:.3f} s, "
                    f"{run.started_s - span.start_s:.3f} s after it "
                    "was announced as leaving"
                )


@registries.check("P9")
def check_shutdown(journal: Journal) -> Violations:
    """A graceful shutdown cuts no request that was running."""
    for span in journal.find_spans(("draining",)):
        for run in journal.runs:
            call = journal.calls.get(run.call_id)
            if run.endpoint != span.subject or call is None:
                continue
            end_s = journal.ended_s if run.ended_s is None else run.ended_s
            if not run.started_s <= span.start_s <= end_s:
                continue
            if call.outcome != "answered" and not _may_fail(journal, call):
                yield _describe(call, f"running at {span.subject}")


@registries.check("P10")
def check_revisions(journal: Journal) -> Violations:
    """Announced revisions never fall, and follow within 5 s."""
    highest: dict[tuple[str, int], int] = {}
    late: set[tuple[str, int]] = set()
    for packet in journal.packets:
        if packet.revision is None:
            continue
        key = (packet.sender, packet.sender_start)
        before = highest.get(key, 0)
        if packet.revision < before:
            yield (
                f"{packet.sender} announced revision {packet.revision} at "
                f"{packet.sent_s:.3f} s after {before}"
            )
        highest[key] = max(before, packet.revision)
        due = _due_revision(journal, packet)
        if packet.revision < due and key not in late:
            late.add(key)
            yield (
                f"{packet.sender} announced revision {packet.revision} at "
                f"{packet.sent_s:.3f} s, when {due} was due"
            )


def _due_revision(journal: Journal, packet: journal_module.DataPacket) -> int:
    """Return the revision that must be in force at a packet's sender."""
    due = 0
    for item in journal.published:
        since_s = _known_since(journal, item)
        for span in journal.find_spans(("paused",), packet.sender):
            if span.overlaps(since_s, since_s):
                since_s = packet.sent_s if span.end_s is None else span.end_s
        if packet.sent_s > since_s + FORCE_BOUND_S:
            due = max(due, item.revision)
    return due

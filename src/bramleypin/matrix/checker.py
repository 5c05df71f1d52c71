"""Checks the ten promises of the design page on the journal of a cell.

Each check yields one sentence for each violation. Only this module states
which promises do not hold under which faults.
"""

import collections
import typing

from bramleypin.matrix import deployment as deployment_module
from bramleypin.matrix import endpoint as endpoint_module
from bramleypin.matrix import journal as journal_module
from bramleypin.matrix import registries

DOMAIN_OUT_BOUND_S = 3.0
LEAVING_BOUND_S = 3.0
REVISION_BOUND_S = 5.0
# Time in which the agent detects an unannounced cold start, from an answer, a
# refusal or its next poll of the endpoint.
COLD_DETECTION_S = 2.0

# Maximum time that a reader takes to read a revision completely.
REVISION_READ_S = 1.0

# Faults that abort requests running at an endpoint, or lose their records.
STATE_LOSS_KINDS = ("endpoint-crashes", "agent-restarts", "domain-out")
# An agent that is replaced after draining loses its flows; requests that ran
# when the drain began must still be answered (P9).
REPLACEMENT_KINDS = ("replaced",)
PARTITION_KINDS = ("partition-two-way", "partition-one-way")
PLATFORM_KINDS = ("platform-down", "platform-stale", "platform-older")
# Kinds of packets that carry callers' requests into a failure domain. Answers
# to requests that a balancer in the domain has forwarded do not count, nor do
# an agent's polls of the endpoint on its own VM.
REQUEST_PACKET_KINDS = ("Forward", "Probe", "request")
COLD_START_KINDS = ("cold", "endpoint-crashes", "agent-restarts", "replaced")

Journal = journal_module.Journal
Call = journal_module.Call
Violations = typing.Iterator[str]


def check(journal: Journal) -> list[str]:
    """Return all violations, each prefixed with the promise it breaks."""
    violations = [f"P1: {item}" for item in journal.failures]
    for promise, function in registries.CHECKS.entry_by_name.items():
        violations.extend(f"{promise}: {item}" for item in function(journal))
    return violations


def _serving_endpoints(journal: Journal, call: Call) -> set[str]:
    """Return the endpoints that have served the call's flow."""
    earlier = journal.endpoints_by_flow.get((call.caller, call.flow), set())
    return earlier | {run.endpoint for run in journal.runs_of(call.id)}


def _domain_of(name: str) -> str:
    """Return the failure domain in an endpoint's name."""
    return name.split("-", 1)[1]


def _was_affected(
    journal: Journal,
    call: Call,
    kinds: typing.Iterable[str],
    recovery_s: float = 0.0,
) -> bool:
    """Return whether a fault affected an endpoint that serves the call's flow.

    ``kinds`` are the kinds of spans to consider. ``recovery_s`` is the time
    for which a fault may have an effect after its end.
    """
    endpoints = _serving_endpoints(journal, call)
    domains = {_domain_of(name) for name in endpoints}
    return any(
        span.subject in endpoints | domains
        and span.overlaps(call.window_start_s - recovery_s, call.ended_s)
        for span in journal.find_spans(kinds)
    )


def _is_failure_allowed(journal: Journal, call: Call) -> bool:
    if _was_affected(journal, call, STATE_LOSS_KINDS):
        return True
    # Retransmissions reach the pinned agent only while some balancer reaches
    # it; a long partition may exhaust them.
    if _was_affected(journal, call, PARTITION_KINDS):
        return True
    if call.outcome == "not_run":
        # These faults lower the endpoint's limit of concurrent requests to
        # that of a cold one, which rises over the ramp (design page,
        # section 6).
        limit_lowering_kinds = (
            "endpoint-sheds",
            "endpoint-lies",
            *COLD_START_KINDS,
        )
        ramp_s = deployment_module.RAMP_S
        return _was_affected(journal, call, limit_lowering_kinds, ramp_s)
    return False


@registries.check("P1")
def check_established_flows(journal: Journal) -> Violations:
    """An established flow survives all faults but the loss of its endpoint.

    After all faults have ended, every call must be answered.
    """
    for call in journal.calls.values():
        if call.outcome == "answered":
            continue
        was_replaced = _was_affected(journal, call, REPLACEMENT_KINDS)
        if (
            call.established
            and not was_replaced
            and not _is_failure_allowed(journal, call)
        ):
            yield _describe_failure(call, "of an established flow")
        elif call.started_s >= journal.final_phase_s:
            yield _describe_failure(call, "after all faults had ended")


def _describe_failure(call: Call, context: str) -> str:
    return (
        f"call {call.id} ({call.method} by {call.caller} from "
        f"{call.started_s:.3f} s) {context} was {call.outcome} at "
        f"{call.ended_s:.3f} s ({call.detail})"
    )


@registries.check("P2")
def check_services(journal: Journal) -> Violations:
    """No endpoint receives a request that names another service."""
    for run in journal.runs:
        if run.service != run.named_service:
            yield (
                f"call {run.call_id} for {run.named_service} ran at "
                f"{run.endpoint} at {run.started_s:.3f} s"
            )


@registries.check("P3")
def check_cold_start(journal: Journal) -> Violations:
    """An endpoint runs no more requests at once than its capacity.

    The capacity is lower after a cold start. It may be exceeded until the
    agent detects the cold start, and while the endpoint reports falsely.
    """
    for run in journal.runs:
        if run.running <= run.capacity:
            continue
        if not _was_cold_start_undetected(journal, run):
            yield (
                f"{run.endpoint} ran {run.running} requests at "
                f"{run.started_s:.3f} s with a capacity of {run.capacity}"
            )


def _was_cold_start_undetected(
    journal: Journal, run: journal_module.Run
) -> bool:
    for span in journal.find_spans(COLD_START_KINDS, run.endpoint):
        start_s = span.start_s
        # A crashed endpoint is cold from its restart, which ends the span.
        if span.kind == "endpoint-crashes" and span.end_s is not None:
            start_s = span.end_s
        if start_s <= run.started_s <= start_s + COLD_DETECTION_S:
            return True
    return any(
        span.overlaps(run.started_s, run.started_s)
        for span in journal.find_spans(("endpoint-lies",), run.endpoint)
    )


def _available_since_s(
    journal: Journal, item: journal_module.PublishedRevision
) -> float:
    """Return when the daemons could first read a revision completely.

    A platform failure during the read of a revision delays the revision until
    the failure ends. Once one daemon announces this or a later revision, it
    counts as available to all.
    """
    since_s = item.published_s
    for span in journal.find_spans(PLATFORM_KINDS):
        if span.overlaps(since_s, since_s + REVISION_READ_S):
            since_s = journal.ended_s if span.end_s is None else span.end_s
    return min(since_s, journal.first_announced_s(item.revision))


def _latest_revision_at(
    journal: Journal, start_s: float
) -> journal_module.PublishedRevision:
    """Return the last revision published by ``start_s``."""
    return [
        item
        for item in journal.published_revisions
        if item.published_s <= start_s
    ][-1]


@registries.check("P4")
def check_domains_out(journal: Journal) -> Violations:
    """No request is sent into a domain more than 3 s after it is taken out."""
    for span in journal.find_spans(("domain-out",)):
        bound_s = (
            _available_since_s(
                journal, _latest_revision_at(journal, span.start_s)
            )
            + DOMAIN_OUT_BOUND_S
        )
        end_s = journal.ended_s if span.end_s is None else span.end_s
        for packet in journal.packets:
            is_while_out = bound_s < packet.sent_s < end_s
            if not is_while_out or packet.receiver_domain != span.subject:
                continue
            if packet.kind in REQUEST_PACKET_KINDS:
                yield (
                    f"{packet.sender} sent {packet.kind} to "
                    f"{packet.receiver} at {packet.sent_s:.3f} s, "
                    f"{packet.sent_s - span.start_s:.3f} s after "
                    f"{span.subject} was taken out"
                )


@registries.check("P5")
def check_answers(journal: Journal) -> Violations:
    """An answer is complete and belongs to the caller's own request."""
    for call in journal.calls.values():
        if call.outcome != "answered":
            continue
        if call.kind == "plan":
            endpoints = {run.endpoint for run in journal.runs_of(call.id)}
            valid = [
                endpoint_module.plan_payload(call.id, item)
                for item in endpoints
            ]
        else:
            valid = [endpoint_module.expected_payload(call.id, call.kind)]
        if call.payload not in valid:
            yield (
                f"call {call.id} was answered with {call.payload[:60]!r} "
                f"({len(call.payload)} bytes)"
            )


@registries.check("P6")
def check_not_run(journal: Journal) -> Violations:
    """A request that was reported to its caller as "not run" has not run."""
    for call in journal.calls.values():
        if call.outcome != "not_run":
            continue
        for run in journal.runs_of(call.id):
            yield (
                f"call {call.id} ({call.method}) was reported not run at "
                f"{call.ended_s:.3f} s but ran at {run.endpoint} at "
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
    """A leaving endpoint gets no new flow 3 s after the announcement."""
    for span in journal.find_spans(("leaving",)):
        bound_s = (
            _available_since_s(
                journal, _latest_revision_at(journal, span.start_s)
            )
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
    """A graceful shutdown aborts no running request."""
    for span in journal.find_spans(("draining",)):
        for run in journal.runs:
            call = journal.calls.get(run.call_id)
            if run.endpoint != span.subject or call is None:
                continue
            end_s = journal.ended_s if run.ended_s is None else run.ended_s
            if not run.started_s <= span.start_s <= end_s:
                continue
            if call.outcome != "answered" and not _is_failure_allowed(
                journal, call
            ):
                yield _describe_failure(call, f"running at {span.subject}")


@registries.check("P10")
def check_revisions(journal: Journal) -> Violations:
    """Announced revisions never decrease, and are in force within 5 s."""
    highest_by_sender: dict[tuple[str, int], int] = {}
    late_senders: set[tuple[str, int]] = set()
    for packet in journal.packets:
        if packet.revision is None:
            continue
        sender = (packet.sender, packet.sender_start)
        previous = highest_by_sender.get(sender, 0)
        if packet.revision < previous:
            yield (
                f"{packet.sender} announced revision {packet.revision} at "
                f"{packet.sent_s:.3f} s after {previous}"
            )
        highest_by_sender[sender] = max(previous, packet.revision)
        due_revision = _find_due_revision(journal, packet)
        if packet.revision < due_revision and sender not in late_senders:
            late_senders.add(sender)
            yield (
                f"{packet.sender} announced revision {packet.revision} at "
                f"{packet.sent_s:.3f} s, when {due_revision} was due"
            )


def _find_due_revision(
    journal: Journal, packet: journal_module.DataPacket
) -> int:
    """Return the oldest revision that the sender of a packet may still use.

    If the sender was paused when a revision became available, the time limit
    starts at the end of the pause.
    """
    due_revision = 0
    for item in journal.published_revisions:
        since_s = _available_since_s(journal, item)
        for span in journal.find_spans(("paused",), packet.sender):
            if span.overlaps(since_s, since_s):
                since_s = packet.sent_s if span.end_s is None else span.end_s
        if packet.sent_s > since_s + REVISION_BOUND_S:
            due_revision = max(due_revision, item.revision)
    return due_revision

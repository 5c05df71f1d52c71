"""The answer of a balancer that is asked where a new flow would go."""

import msgspec

# Number of the format. It rises when a field changes its meaning or is
# removed; readers ignore fields that they do not know.
FORMAT = 1
PATH = "/placement"

# Outcomes of a new flow.
OFFERED = "offered"
POSTPONED = "postponed"
RESET = "reset"
KEPT = "kept"
# Reason of a reset that the tool reports as an error.
NO_ROUTE = "no route"


class Candidate(msgspec.Struct):
    """An endpoint at which the flow may be opened, or is not for a reason.

    ``rank`` is 1 for the endpoint that comes first, or 0 if the endpoint may
    receive no new flow. ``reason`` says why it is not first, "" if it is.
    ``running_requests`` is the balancer's estimate, ``service_time_s`` is 0
    when unknown and ``report_age_s`` ``None`` without a report.
    ``expected_s`` is the score: the expected time to an answer, and a penalty
    in another failure domain. A real opening changes it at random by at most
    the fraction ``deviation``.
    """

    host: str
    endpoint: str
    failure_domain: str
    rank: int
    reason: str
    state: str
    slots: int
    running_requests: float | None = None
    service_time_s: float | None = None
    report_age_s: float | None = None
    expected_s: float | None = None
    deviation: float | None = None


class FlowState(msgspec.Struct):
    """What the balancer knows of a flow with these addresses and ports.

    ``state`` is ``unknown``, ``held``, ``opening``, ``searched`` (its owner is
    being searched for) or ``tried`` (at endpoints that may hold it). ``host``
    holds the flow or is expected to answer its opening; "" if none does.
    ``endpoint`` is that host's endpoint, and ``age_s`` the time since the
    caller's latest packet or, of an opening, since its start.
    """

    state: str
    host: str = ""
    endpoint: str = ""
    age_s: float | None = None


class Answer(msgspec.Struct):
    """Where a new flow would go.

    ``outcome`` is ``offered``, ``postponed``, ``reset`` or, until a
    configuration is loaded, ``kept``; ``reason`` says why. ``hosts`` are the
    agents that the opening is offered and passed on to, in this order.
    ``chosen_service`` is that of the route's weights, ``service`` the one
    that the flow goes to.
    """

    balancer: str
    failure_domain: str
    flow: str
    outcome: str
    reason: str
    version: int
    revision: int
    flow_state: FlowState
    format: int = FORMAT
    route: str = ""
    weight_by_service: dict[str, float] = msgspec.field(default_factory=dict)
    chosen_service: str = ""
    service: str = ""
    endpoint_count: int = 0
    hosts: list[str] = msgspec.field(default_factory=list)
    candidates: list[Candidate] = msgspec.field(default_factory=list)
    notes: list[str] = msgspec.field(default_factory=list)


class _Format(msgspec.Struct):
    """The only part of an answer that all formats share."""

    format: int


def decode(body: bytes) -> Answer:
    """Decode an answer.

    :raises ValueError: when it is malformed or of another format.
    """
    number = msgspec.json.decode(body, type=_Format).format
    if number != FORMAT:
        raise ValueError(f"format {number}, not {FORMAT}")
    return msgspec.json.decode(body, type=Answer)

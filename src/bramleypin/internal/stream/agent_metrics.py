"""Counters of the agent of a stream endpoint."""

from bramleypin.internal.observe import metrics

FLOWS_TAKEN = metrics.declare(
    "stream.flows_taken", "counter", "flows", "Openings given to the endpoint."
)
OPENINGS_PASSED = metrics.declare(
    "stream.openings_passed", "counter", "flows", "Openings passed on."
)
OPENING_COPIES = metrics.declare(
    "stream.opening_copies",
    "counter",
    "packets",
    "Openings given to the endpoint unchecked, as their flow is known.",
)
OPENINGS_DECLINED = metrics.declare(
    "stream.openings_declined",
    "counter",
    "flows",
    "Openings that no agent in the offer could take.",
)
PACKETS_BOUNCED = metrics.declare(
    "stream.packets_bounced",
    "counter",
    "packets",
    "Packets that the endpoint returned, as it does not hold their flow.",
)
PACKETS_TO_CALLERS = metrics.declare(
    "stream.packets_to_callers", "counter", "packets", "Packets to callers."
)
FLOWS_RESET = metrics.declare(
    "stream.flows_reset",
    "counter",
    "flows",
    "Flows reset, as their endpoint has started anew.",
)
PACKETS_NOT_HELD = metrics.declare(
    "stream.packets_not_held",
    "counter",
    "packets",
    "Packets returned to a balancer, as their flow is not here.",
)
RESETS_WITHHELD = metrics.declare(
    "stream.resets_withheld",
    "counter",
    "packets",
    "Resets by an endpoint that has not shown that it holds the flow.",
)
LATE_ANSWERS_DROPPED = metrics.declare(
    "stream.late_answers_dropped",
    "counter",
    "packets",
    "Data of an earlier flow with the same addresses and ports.",
)

"""Metrics of the openings at a balancer."""

from bramleypin.internal.observe import metrics

OPENINGS_TAKEN = metrics.declare(
    "stream.openings_taken", "counter", "flows", "Openings an agent took."
)
OPENINGS_REFUSED = metrics.declare(
    "stream.openings_refused",
    "counter",
    "flows",
    "Openings reset, because no endpoint could take them.",
)
OPENINGS_NOT_IN_TIME = metrics.declare(
    "stream.openings_not_in_time",
    "counter",
    "flows",
    "Openings reset early, because they cannot be served in time.",
)
OPENINGS_WAITING = metrics.declare(
    "stream.openings_waiting",
    "gauge",
    "flows",
    "Openings that wait for a slot.",
)
OPENINGS_UNANSWERED = metrics.declare(
    "stream.openings_unanswered",
    "counter",
    "offers",
    "Offers of an opening that an agent did not answer in time.",
)
OPENING_WAIT = metrics.declare(
    "stream.opening_wait",
    "histogram",
    "seconds",
    "How long callers waited until an agent took their opening.",
)

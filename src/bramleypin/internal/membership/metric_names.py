"""Declarations of the membership and dissemination metrics."""

from bramleypin.internal.observe import metrics

APPLIED = metrics.declare(
    "sync.applied", "counter", "revisions", "Revisions put in force."
)
REVISION = metrics.declare(
    "sync.revision", "gauge", "revision", "Revision that is in force."
)
CONFLICTS = metrics.declare(
    "sync.conflicts",
    "counter",
    "offers",
    "Offers of the revision in force with other contents, all refused.",
)
INVALID = metrics.declare(
    "sync.invalid", "counter", "offers", "Configurations refused as invalid."
)
STALE = metrics.declare(
    "sync.stale",
    "counter",
    "offers",
    "Offers of a revision that is not newer, all ignored.",
)
PLATFORM_READS = metrics.declare(
    "sync.platform_reads", "counter", "calls", "Calls to the platform."
)
PLATFORM_FAILURES = metrics.declare(
    "sync.platform_failures",
    "counter",
    "calls",
    "Calls to the platform that gave no value.",
)
LINKS = metrics.declare(
    "control.links", "gauge", "links", "Control links that are open."
)
LINKS_REFUSED = metrics.declare(
    "control.links_refused",
    "counter",
    "links",
    "Incoming control links refused because too many were open.",
)
SENT_BYTES = metrics.declare(
    "control.sent_bytes", "counter", "bytes", "Bytes sent on control links."
)
RECEIVED_BYTES = metrics.declare(
    "control.received_bytes",
    "counter",
    "bytes",
    "Bytes received on control links.",
)
LEASE_LAPSES = metrics.declare(
    "lease.lapses", "counter", "lapses", "Times the view lease ran out."
)

REJECTED_BY_REASON = {
    reason: metrics.declare(
        f"control.rejected.{reason}", "counter", "links", meaning
    )
    for reason, meaning in {
        "authentication": "Links ended because the peer proved no valid key.",
        "control_truncated": "Links ended by a frame that is too short.",
        "control_oversized": "Links ended by a message over the limit.",
        "control_mac": "Links ended by a frame with a wrong MAC.",
        "control_replayed": "Links ended by a wrong sequence number.",
        "control_malformed": "Links ended by an undecodable message.",
        "control_unexpected": "Links ended by a message out of place.",
    }.items()
}

"""Lists the modules that define the services of each role.

A daemon imports only the modules of its role, because every imported module
counts towards the 32 MB of memory that a daemon may use for its control plane.
"""

import importlib

_COAP_MODULES = (
    "bramleypin.internal.net.data_port",
    "bramleypin.internal.membership.view_store",
    "bramleypin.internal.membership.members",
    "bramleypin.internal.membership.sync",
    "bramleypin.internal.membership.lease",
    "bramleypin.internal.membership.control_server",
    "bramleypin.internal.observe.metrics",
    "bramleypin.internal.observe.trace",
    "bramleypin.internal.observe.outcomes",
    "bramleypin.internal.observe.status",
    "bramleypin.internal.observe.requests",
)

_STREAM_MODULES = (
    "bramleypin.internal.observe.metrics",
    "bramleypin.internal.observe.metrics_http",
    "bramleypin.internal.stream.view_manager",
    "bramleypin.internal.stream.view_reader",
    "bramleypin.internal.stream.peer_port",
    "bramleypin.internal.stream.relay",
    "bramleypin.internal.stream.readiness",
    "bramleypin.internal.stream.leaving",
    "bramleypin.internal.stream.exchange",
    "bramleypin.internal.stream.flow_tables",
)

MODULES_BY_ROLE: dict[str, tuple[str, ...]] = {
    "balancer": (
        *_COAP_MODULES,
        "bramleypin.internal.balancer.ingress",
        "bramleypin.internal.balancer.forwarder",
        "bramleypin.internal.balancer.openings",
        "bramleypin.internal.balancer.receiver",
    ),
    "agent": (
        *_COAP_MODULES,
        "bramleypin.internal.agent.admission",
        "bramleypin.internal.agent.endpoint",
        "bramleypin.internal.agent.flows",
        "bramleypin.internal.agent.receiver",
    ),
    "stream_balancer": (
        *_STREAM_MODULES,
        "bramleypin.internal.stream.candidates",
        "bramleypin.internal.stream.loads",
        "bramleypin.internal.stream.openings",
        "bramleypin.internal.stream.lost_flows",
        "bramleypin.internal.stream.owners",
        "bramleypin.internal.stream.trials",
        "bramleypin.internal.stream.balancer",
        "bramleypin.internal.stream.placement_report",
    ),
    "stream_agent": (
        *_STREAM_MODULES,
        "bramleypin.internal.stream.stream_admission",
        "bramleypin.internal.stream.reports",
        "bramleypin.internal.stream.agent",
        "bramleypin.internal.stream.lookups",
        "bramleypin.internal.stream.handover",
    ),
}


def load(role: str) -> None:
    """Import the modules of a role; this registers their services."""
    for name in MODULES_BY_ROLE[role]:
        importlib.import_module(name)

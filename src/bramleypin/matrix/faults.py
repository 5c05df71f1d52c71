"""The faults of the design page's fault model.

Most faults affect the processes that the watched request passed through last.
Each fault ends by itself, so all calls of the cell's final phase must succeed.
"""

import typing

from bramleypin.matrix import packets
from bramleypin.matrix import registries
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_platform

RESTART_AFTER_S = 6.0
PAUSE_S = 10.0
PARTITION_S = 8.0
# Longer than a pause, so that a paused process resumes while the domain is
# out of service.
DOMAIN_OUT_S = 12.0
PLATFORM_FAULT_S = 20.0
SHEDDING_S = 4.0
FALSE_REPORT_S = 8.0
DELAY_S = 30.0
REORDER_JITTER_S = 0.2
# CoAP sends a request up to five times (RFC 7252, MAX_RETRANSMIT 4), so it
# tolerates the loss of four datagrams: two for each fault of a pair.
LOST_DATAGRAMS = 2
DUPLICATED_DATAGRAMS = 12
SLOW_SPEED = 0.25

# Paths between hosts. An endpoint and its agent share a VM, whose loopback
# interface neither loses nor delays datagrams.
NETWORK_HOPS = (
    ("caller", "fabric"),
    ("fabric", "balancer"),
    ("balancer", "agent"),
    ("agent", "agent"),
    ("agent", "balancer"),
    ("balancer", "fabric"),
    ("fabric", "caller"),
)


@registries.fault("balancer-dies")
async def balancer_dies(cell: typing.Any) -> None:
    """The balancer that forwarded the request dies and is restarted."""
    name = cell.step_tracker.balancer
    cell.deployment.kill_daemon(name)
    span = cell.begin_span("balancer-dies", name)
    cell.call_later(RESTART_AFTER_S, cell.restart_daemon, name, span)


@registries.fault("balancer-joins")
async def balancer_joins(cell: typing.Any) -> None:
    """A fourth balancer joins and receives its share of datagrams at once."""
    cell.deployment.add_balancer("balancer-new", "waco")
    cell.end_span(cell.begin_span("balancer-joins", "balancer-new"))


@registries.fault("agent-restarts")
async def agent_restarts(cell: typing.Any) -> None:
    """The agent of the request dies and is restarted after 0.2 s."""
    name = cell.step_tracker.agent
    cell.deployment.kill_daemon(name)
    span = cell.begin_span("agent-restarts", name)
    cell.call_later(0.2, cell.restart_daemon, name, span)


@registries.fault("endpoint-crashes")
async def endpoint_crashes(cell: typing.Any) -> None:
    """The endpoint of the request crashes and is restarted, cold."""
    name = cell.step_tracker.agent
    cell.deployment.crash_endpoint(name)
    span = cell.begin_span("endpoint-crashes", name)
    cell.call_later(1.0, cell.restart_endpoint, name, span)


@registries.fault("endpoint-turns-cold")
async def endpoint_turns_cold(cell: typing.Any) -> None:
    """The endpoint of the request becomes cold without announcing it."""
    name = cell.step_tracker.agent
    endpoint = cell.deployment.endpoint_by_name[name]
    endpoint.turn_cold()
    cell.call_later(
        endpoint.ramp_s, cell.end_span, cell.begin_span("cold", name)
    )


@registries.fault("endpoint-sheds")
async def endpoint_sheds(cell: typing.Any) -> None:
    """The endpoint of the request refuses all requests for some time."""
    name = cell.step_tracker.agent
    behaviour = cell.deployment.endpoint_by_name[name].behaviour
    behaviour.sheds = True
    span = cell.begin_span("endpoint-sheds", name)

    def stop() -> None:
        behaviour.sheds = False
        cell.end_span(span)

    cell.call_later(SHEDDING_S, stop)


@registries.fault("endpoint-lies")
async def endpoint_lies(cell: typing.Any) -> None:
    """The endpoint reports readiness and no load although it is slow."""
    name = cell.step_tracker.agent
    behaviour = cell.deployment.endpoint_by_name[name].behaviour
    behaviour.reports_falsely = True
    behaviour.speed = SLOW_SPEED
    span = cell.begin_span("endpoint-lies", name)

    def stop() -> None:
        behaviour.reports_falsely = False
        behaviour.speed = 1.0
        cell.end_span(span)

    cell.call_later(FALSE_REPORT_S, stop)


@registries.fault("domain-out")
async def domain_out(cell: typing.Any) -> None:
    """The request's failure domain is taken out of service and returned."""
    cell.take_domain_out(cell.target_domain(), DOMAIN_OUT_S)


@registries.fault("domain-returns")
async def domain_returns(cell: typing.Any) -> None:
    """The request's failure domain, out until now, returns to service."""
    cell.return_domain(cell.target_domain())


@registries.fault("platform-down")
async def platform_down(cell: typing.Any) -> None:
    """The configuration service answers no reader."""
    cell.set_platform_mode(virtual_platform.Mode.DOWN, PLATFORM_FAULT_S)


@registries.fault("platform-stale")
async def platform_stale(cell: typing.Any) -> None:
    """The configuration service keeps returning its current values."""
    cell.set_platform_mode(virtual_platform.Mode.STALE, PLATFORM_FAULT_S)


@registries.fault("platform-older")
async def platform_older(cell: typing.Any) -> None:
    """The configuration service returns an older revision."""
    cell.set_platform_mode(virtual_platform.Mode.OLDER, PLATFORM_FAULT_S)


@registries.fault("replica-stale")
async def replica_stale(cell: typing.Any) -> None:
    """A balancer other than the request's reads a stale replica."""
    name = next(
        item.name
        for item in cell.deployment.balancers()
        if item.name != cell.step_tracker.balancer
    )
    platform = cell.deployment.platform
    platform.set_mode(virtual_platform.Mode.STALE, name)
    span = cell.begin_span("replica-stale", name)

    def stop() -> None:
        platform.clear_mode(name)
        cell.end_span(span)

    cell.call_later(PLATFORM_FAULT_S, stop)


@registries.fault("vm-list-lags")
async def vm_list_lags(cell: typing.Any) -> None:
    """A balancer and an agent die, and the VM list lags by 25 s."""
    cell.deployment.vms_lag_s = 25.0
    for name in ("balancer-waco", "planstore-waco"):
        if cell.deployment.daemon_by_name[name].process.alive:
            cell.deployment.kill_daemon(name)
            span = cell.begin_span("vm-list-lags", name)
            cell.call_later(RESTART_AFTER_S, cell.restart_daemon, name, span)


@registries.fault("balancer-paused")
async def balancer_paused(cell: typing.Any) -> None:
    """The balancer is paused during a change and resumes with its old view."""
    cell.pause_daemon(cell.step_tracker.balancer, PAUSE_S)


@registries.fault("agent-paused")
async def agent_paused(cell: typing.Any) -> None:
    """The agent is paused during a change and resumes with its old view."""
    cell.pause_daemon(cell.step_tracker.agent, PAUSE_S)


@registries.fault("partition-two-way")
async def partition_two_way(cell: typing.Any) -> None:
    """The request's failure domain is partitioned from the others."""
    cell.partition_domain(cell.target_domain(), True, PARTITION_S)


@registries.fault("partition-one-way")
async def partition_one_way(cell: typing.Any) -> None:
    """Datagrams from the request's failure domain to others are lost."""
    cell.partition_domain(cell.target_domain(), False, PARTITION_S)


def _add_datagram_rule(
    cell: typing.Any, datagrams: int, **options: typing.Any
) -> None:
    """Apply a rule to the next datagrams of the watched caller, on any hop."""

    def match(packet: typing.Any) -> bool:
        return packets.hop(packet) in NETWORK_HOPS and cell.is_fault_target(
            packet
        )

    cell.network.add_rule(
        virtual_network.Rule(match, remaining=datagrams, **options)
    )


@registries.fault("datagram-lost")
async def datagram_lost(cell: typing.Any) -> None:
    """The next two datagrams of the watched caller are lost."""
    _add_datagram_rule(cell, LOST_DATAGRAMS, loss=1.0)


@registries.fault("datagram-duplicated")
async def datagram_duplicated(cell: typing.Any) -> None:
    """The next 12 datagrams of the watched caller arrive twice."""
    _add_datagram_rule(
        cell, DUPLICATED_DATAGRAMS, duplicate=1.0, jitter_s=REORDER_JITTER_S
    )


@registries.fault("datagram-reordered")
async def datagram_reordered(cell: typing.Any) -> None:
    """Datagrams of all flows are reordered for some time."""

    def match(packet: typing.Any) -> bool:
        return packets.hop(packet) in NETWORK_HOPS

    rule = cell.network.add_rule(
        virtual_network.Rule(match, jitter_s=REORDER_JITTER_S)
    )
    cell.call_later(4.0, cell.network.remove_rule, rule)


@registries.fault("datagram-delayed")
async def datagram_delayed(cell: typing.Any) -> None:
    """The next two datagrams of the watched caller arrive 30 s late."""
    _add_datagram_rule(cell, LOST_DATAGRAMS, delay_s=DELAY_S)

"""The faults, as the fault model of the design page lists them.

Each strikes the processes that the watched request went through last, and
ends by itself, so that a cell can settle.
"""

import typing

from bramleypin.matrix import packets
from bramleypin.matrix import registries
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_platform

RESTART_AFTER_S = 6.0
PAUSE_S = 10.0
PARTITION_S = 8.0
# Longer than a pause, so that a process can wake while the domain is out.
DOMAIN_OUT_S = 12.0
PLATFORM_S = 20.0
SHED_S = 4.0
LIE_S = 8.0
DELAY_S = 30.0
REORDER_S = 0.2
# CoAP sends a request five times (RFC 7252, MAX_RETRANSMIT 4), so it bears
# the loss of four datagrams: two by each fault of a pair.
LOST_DATAGRAMS = 2
DUPLICATED_DATAGRAMS = 12
SLOW_SPEED = 0.25

# Paths between hosts; endpoint and agent share a VM, whose loopback neither
# loses nor delays.
HOPS = (
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
    """The balancer that carried the request dies and is replaced."""
    name = cell.watch.balancer
    cell.deployment.kill_daemon(name)
    span = cell.begin("balancer-dies", name)
    cell.later(RESTART_AFTER_S, cell.restart_daemon, name, span)


@registries.fault("balancer-joins")
async def balancer_joins(cell: typing.Any) -> None:
    """A fourth balancer joins and gets its share of datagrams at once."""
    cell.deployment.add_balancer("balancer-new", "waco")
    cell.end(cell.begin("balancer-joins", "balancer-new"))


@registries.fault("agent-restarts")
async def agent_restarts(cell: typing.Any) -> None:
    """The agent of the request dies and starts again at once."""
    name = cell.watch.agent
    cell.deployment.kill_daemon(name)
    span = cell.begin("agent-restarts", name)
    cell.later(0.2, cell.restart_daemon, name, span)


@registries.fault("endpoint-crashes")
async def endpoint_crashes(cell: typing.Any) -> None:
    """The endpoint of the request crashes and starts again, cold."""
    name = cell.watch.agent
    cell.deployment.crash_endpoint(name)
    span = cell.begin("endpoint-crashes", name)
    cell.later(1.0, cell.restart_endpoint, name, span)


@registries.fault("endpoint-turns-cold")
async def endpoint_turns_cold(cell: typing.Any) -> None:
    """The endpoint of the request becomes cold without a word."""
    name = cell.watch.agent
    endpoint = cell.deployment.endpoint_by_name[name]
    endpoint.turn_cold()
    cell.later(endpoint.ramp_s, cell.end, cell.begin("cold", name))


@registries.fault("endpoint-sheds")
async def endpoint_sheds(cell: typing.Any) -> None:
    """The endpoint of the request refuses all work for some time."""
    name = cell.watch.agent
    behaviour = cell.deployment.endpoint_by_name[name].behaviour
    behaviour.shed = True
    span = cell.begin("endpoint-sheds", name)

    def stop() -> None:
        behaviour.shed = False
        cell.end(span)

    cell.later(SHED_S, stop)


@registries.fault("endpoint-lies")
async def endpoint_lies(cell: typing.Any) -> None:
    """The endpoint reports health and no load while it is slow."""
    name = cell.watch.agent
    behaviour = cell.deployment.endpoint_by_name[name].behaviour
    behaviour.lie = True
    behaviour.speed = SLOW_SPEED
    span = cell.begin("endpoint-lies", name)

    def stop() -> None:
        behaviour.lie = False
        behaviour.speed = 1.0
        cell.end(span)

    cell.later(LIE_S, stop)


@registries.fault("domain-out")
async def domain_out(cell: typing.Any) -> None:
    """The failure domain of the request is taken out, and returned."""
    cell.take_out(cell.target_domain(), DOMAIN_OUT_S)


@registries.fault("domain-returns")
async def domain_returns(cell: typing.Any) -> None:
    """A failure domain that was taken out before is returned."""
    cell.return_domain(cell.target_domain())


@registries.fault("platform-down")
async def platform_down(cell: typing.Any) -> None:
    """The configuration service answers nobody."""
    cell.set_platform(virtual_platform.Mode.DOWN, PLATFORM_S)


@registries.fault("platform-stale")
async def platform_stale(cell: typing.Any) -> None:
    """The configuration service stays at today's values."""
    cell.set_platform(virtual_platform.Mode.STALE, PLATFORM_S)


@registries.fault("platform-older")
async def platform_older(cell: typing.Any) -> None:
    """The configuration service answers with an older revision."""
    cell.set_platform(virtual_platform.Mode.OLDER, PLATFORM_S)


@registries.fault("replica-stale")
async def replica_stale(cell: typing.Any) -> None:
    """One balancer is answered from a stale replica of the service."""
    name = next(
        item.name
        for item in cell.deployment.balancers()
        if item.name != cell.watch.balancer
    )
    platform = cell.deployment.platform
    platform.set_mode(virtual_platform.Mode.STALE, name)
    span = cell.begin("replica-stale", name)

    def stop() -> None:
        platform.clear_mode(name)
        cell.end(span)

    cell.later(PLATFORM_S, stop)


@registries.fault("vm-list-lags")
async def vm_list_lags(cell: typing.Any) -> None:
    """A balancer and an agent go, and the VM list keeps them for long."""
    cell.deployment.vms_lag_s = 25.0
    for name in ("balancer-waco", "planstore-waco"):
        if cell.deployment.daemon_by_name[name].process.alive:
            cell.deployment.kill_daemon(name)
            span = cell.begin("vm-list-lags", name)
            cell.later(RESTART_AFTER_S, cell.restart_daemon, name, span)


@registries.fault("balancer-paused")
async def balancer_paused(cell: typing.Any) -> None:
    """The balancer pauses and wakes after a change, on its old view."""
    cell.pause(cell.watch.balancer, PAUSE_S)


@registries.fault("agent-paused")
async def agent_paused(cell: typing.Any) -> None:
    """The agent pauses and wakes after a change, on its old view."""
    cell.pause(cell.watch.agent, PAUSE_S)


@registries.fault("partition-two-way")
async def partition_two_way(cell: typing.Any) -> None:
    """The request's failure domain loses contact with the others."""
    cell.cut(cell.target_domain(), True, PARTITION_S)


@registries.fault("partition-one-way")
async def partition_one_way(cell: typing.Any) -> None:
    """Nothing gets out of the request's failure domain to the others."""
    cell.cut(cell.target_domain(), False, PARTITION_S)


def _rule(cell: typing.Any, datagrams: int, **options: typing.Any) -> None:
    """Strike the next datagrams of the watched caller, on any hop."""

    def match(packet: typing.Any) -> bool:
        return packets.hop(packet) in HOPS and cell.may_disturb(packet)

    cell.network.add_rule(
        virtual_network.Rule(match, remaining=datagrams, **options)
    )


@registries.fault("datagram-lost")
async def datagram_lost(cell: typing.Any) -> None:
    """The next datagrams of the request are lost."""
    _rule(cell, LOST_DATAGRAMS, loss=1.0)


@registries.fault("datagram-duplicated")
async def datagram_duplicated(cell: typing.Any) -> None:
    """The next datagrams of the request arrive twice."""
    _rule(cell, DUPLICATED_DATAGRAMS, duplicate=1.0, jitter_s=REORDER_S)


@registries.fault("datagram-reordered")
async def datagram_reordered(cell: typing.Any) -> None:
    """Datagrams of all flows overtake each other for some time."""

    def match(packet: typing.Any) -> bool:
        return packets.hop(packet) in HOPS

    rule = cell.network.add_rule(
        virtual_network.Rule(match, jitter_s=REORDER_S)
    )
    cell.later(4.0, cell.network.remove_rule, rule)


@registries.fault("datagram-delayed")
async def datagram_delayed(cell: typing.Any) -> None:
    """The next datagrams of the request arrive 30 s late."""
    _rule(cell, LOST_DATAGRAMS, delay_s=DELAY_S)

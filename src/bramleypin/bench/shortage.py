"""Measures what callers get while a service lacks capacity.

Each scenario runs a simulated fleet under the virtual clock. Callers behave as
those of the users: a request is tried at most three times, each try in a flow
of its own, until it is answered or its caller gives up.
"""

import collections
import collections.abc
import dataclasses
import random
import typing
from unittest import mock

import anyio

from bramleypin.bench import rows
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import peer_port
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

SEEDS = (1, 2, 3)
BALANCERS = 6
ENDPOINTS = 12
SLOTS = 2
WORK_S = 0.05
# 24 slots that each serve 20 requests a second.
CAPACITY_PER_S = ENDPOINTS * SLOTS / WORK_S
DURATION_S = 4.0
MAX_TRIES = 3
OFFERS_BOUND = 1.5


@dataclasses.dataclass(frozen=True)
class Demand:
    """Requests of one kind, sent at random times from several callers."""

    name: str
    rate_per_s: float
    callers: tuple[str, ...]
    port: int = 443
    objective_s: float = 0.336
    timeout_s: float = 2.376


@dataclasses.dataclass
class Served:
    """What the callers of one demand got."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    resets: int = 0


@dataclasses.dataclass
class OfferCount:
    """Openings that balancers offered to agents, and these offers."""

    offers: int = 0
    offered_packets: set[bytes] = dataclasses.field(default_factory=set)

    @property
    def offers_per_opening(self) -> float:
        """Mean number of offers that balancers made of an opening.

        Openings that are refused before any offer are left out.
        """
        return self.offers / max(1, len(self.offered_packets))


class _CountedOffers:
    """Counts offers while it is entered."""

    def __init__(self) -> None:
        self.count = OfferCount()

    def __enter__(self) -> OfferCount:
        count = self.count
        original_send = peer_port.PeerPort.send

        def send(port, host, message, packet=b""):
            if isinstance(message, frames.Offer):
                # Agents pass offers on.
                role = port.kernel.settings.role
                if role == "stream_balancer":
                    count.offers += 1
                    count.offered_packets.add(packet)
            original_send(port, host, message, packet)

        self._patch = mock.patch.object(peer_port.PeerPort, "send", send)
        self._patch.start()
        return count

    def __exit__(self, *_: object) -> None:
        self._patch.stop()


async def _request(caller, demand: Demand, served: Served) -> None:
    served.sent += 1
    started_s = anyio.current_time()
    address = (stream_fleet.SERVICE_HOST, demand.port)
    for _ in range(MAX_TRIES):
        remaining_s = demand.timeout_s - (anyio.current_time() - started_s)
        if remaining_s <= 0:
            return
        outcome = await caller.request(address, remaining_s)
        seconds = anyio.current_time() - started_s
        if outcome.kind == "answered":
            if seconds <= demand.objective_s:
                served.in_time += 1
            else:
                served.late += 1
            return
        served.resets += outcome.kind == "reset"


async def _send(
    fleet, demand: Demand, served: Served, duration_s: float, seed: int
) -> None:
    rng = random.Random(f"{demand.name} {seed}")
    callers = [fleet.add_caller(host) for host in demand.callers]
    await anyio.sleep(0.01)
    end_s = anyio.current_time() + duration_s
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < end_s:
            caller = rng.choice(callers)
            tasks.start_soon(_request, caller, demand, served)
            await anyio.sleep(rng.expovariate(demand.rate_per_s))


def start_fleet(fleet, *routes) -> None:
    """Start balancers and endpoints in three failure domains."""
    fleet.store.configure(stream_fleet.configuration(1, *routes))
    for number in range(ENDPOINTS):
        fleet.add_endpoint(
            f"e{number}",
            f"10.0.1.{number}",
            "abc"[number % 3],
            slots=SLOTS,
            work_s=WORK_S,
        )
    for number in range(BALANCERS):
        domain = "abc"[number % 3]
        fleet.add_balancer(f"b{number}", f"10.0.0.{number + 1}", domain)


def play(
    routes,
    demands: collections.abc.Sequence[Demand],
    seed: int,
    fault: typing.Callable[..., typing.Awaitable[None]] | None = None,
    duration_s: float = DURATION_S,
) -> tuple[dict[str, Served], OfferCount]:
    """Play one scenario; return what each demand got and the offers."""
    served_by_name = {demand.name: Served() for demand in demands}

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = stream_fleet.StreamFleet(tasks, seed)
            start_fleet(fleet, *routes)
            await anyio.sleep(3.5)
            async with anyio.create_task_group() as load:
                for demand in demands:
                    served = served_by_name[demand.name]
                    load.start_soon(
                        _send, fleet, demand, served, duration_s, seed
                    )
                if fault is not None:
                    load.start_soon(fault, fleet)
            tasks.cancel_scope.cancel()

    with _CountedOffers() as count:
        virtual_network.run(main, seed)
    return served_by_name, count


def hosts(count: int, network: int = 0) -> tuple[str, ...]:
    """Return addresses of callers."""
    return tuple(f"100.64.{network}.{n + 1}" for n in range(count))


async def return_all_endpoints(fleet) -> None:
    """Stop all endpoints and agents for 1.5 s, then start them together."""
    await anyio.sleep(1.0)
    for name, agent in fleet.agent_by_name.items():
        agent.kill()
        fleet.endpoint_by_name[name].silent = True
        fleet.endpoint_by_name[name].crash()
    await anyio.sleep(1.5)
    for name, agent in fleet.agent_by_name.items():
        fleet.endpoint_by_name[name].silent = False
        agent.start()


LESSONS = (
    Demand("bookings", 0.33 * CAPACITY_PER_S, hosts(20), 8443, 0.393, 2.88),
    Demand("practice", 1.17 * CAPACITY_PER_S, hosts(20, 1)),
)
SCENARIOS: dict[str, tuple] = {
    "two_priorities": (
        (
            stream_fleet.route(8443, priority=1, latency_objective_s=0.393),
            stream_fleet.route(443, priority=2, latency_objective_s=0.336),
        ),
        LESSONS,
        None,
    ),
    "one_caller_sends_half": (
        (stream_fleet.route(443, latency_objective_s=0.336),),
        (
            Demand("one caller", 0.75 * CAPACITY_PER_S, hosts(1)),
            Demand("others", 0.75 * CAPACITY_PER_S, hosts(20, 1)),
        ),
        None,
    ),
    "endpoints_return": (
        (
            stream_fleet.route(8443, priority=1, latency_objective_s=0.393),
            stream_fleet.route(443, priority=2, latency_objective_s=0.336),
        ),
        (
            Demand(
                "bookings", 0.18 * CAPACITY_PER_S, hosts(20), 8443, 0.393, 2.88
            ),
            Demand("practice", 0.57 * CAPACITY_PER_S, hosts(20, 1)),
        ),
        return_all_endpoints,
    ),
}


def _play_seeds(routes, demands, fault) -> tuple[dict[str, Served], float]:
    """Play a scenario with each seed; return sums and the mean of offers."""
    total_by_name = {demand.name: Served() for demand in demands}
    offers_per_opening = 0.0
    for seed in SEEDS:
        served_by_name, count = play(routes, demands, seed, fault)
        offers_per_opening += count.offers_per_opening / len(SEEDS)
        for name, served in served_by_name.items():
            total = total_by_name[name]
            total.sent += served.sent
            total.in_time += served.in_time
            total.late += served.late
            total.resets += served.resets
    return total_by_name, offers_per_opening


@rows.BENCHES.register("shortage")
def measure() -> collections.abc.Iterator[rows.Row]:
    """Yield what each demand gets in each scenario, and the offers."""
    for scenario, arguments in SCENARIOS.items():
        total_by_name, offers_per_opening = _play_seeds(*arguments)
        yield rows.Row(
            "shortage",
            f"{scenario}, offers per opening",
            round(offers_per_opening, 3),
            None,
            "",
            OFFERS_BOUND,
            "offers",
        )
        for name, total in total_by_name.items():
            for kind, count in (
                ("in time", total.in_time),
                ("late", total.late),
                ("not answered", total.sent - total.in_time - total.late),
                ("resets", total.resets),
            ):
                yield rows.Row(
                    "shortage",
                    f"{scenario}, {name}, {kind} per request",
                    round(count / total.sent, 3),
                    None,
                    "",
                    None,
                    "ratio",
                )

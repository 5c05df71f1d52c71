"""Measures the round trips and time that a pin adds to a first booking."""

import collections.abc

import anyio

from bramleypin.bench import imbalance
from bramleypin.bench import rows
from bramleypin.bench import small_fleet
from bramleypin import client as client_module
from bramleypin.standins import virtual_network

SEED = 1
FLOW_COUNT = 50


async def _measure_request(
    client: client_module.Client, method: str
) -> tuple[float, int]:
    """Return the seconds and the round trips of a request."""
    start_s = anyio.current_time()
    result = await client.request(method, "bookings", b"booking")
    return anyio.current_time() - start_s, result.round_trips


def measure(
    deployment: small_fleet.Deployment, seed: int
) -> collections.abc.Iterator[rows.Row]:
    """Return the rows of one deployment without other load.

    All endpoints have the same, constant service time, so that service times
    do not differ between first and later bookings.
    """
    first_bookings: list[tuple[float, int]] = []
    later_bookings: list[tuple[float, int]] = []

    async def main() -> None:
        fleet = small_fleet.Fleet(
            deployment,
            seed,
            adjust_profile=lambda _, profile: setattr(
                profile, "exponential", False
            ),
        )
        for rig in fleet.rigs:
            rig.endpoint.profile.speed = 1.0
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            for _ in range(FLOW_COUNT):
                client, port = await fleet.new_client(tasks)
                first_bookings.append(await _measure_request(client, "POST"))
                later_bookings.append(await _measure_request(client, "POST"))
                await port.aclose()
            tasks.cancel_scope.cancel()

    virtual_network.run(main, seed)
    first_round_trips = sum(item[1] for item in first_bookings) / FLOW_COUNT
    later_round_trips = sum(item[1] for item in later_bookings) / FLOW_COUNT
    extra_s = (
        sum(i[0] for i in first_bookings) - sum(i[0] for i in later_bookings)
    ) / FLOW_COUNT
    yield rows.Row(
        "first_request",
        f"{deployment.name}: extra round trips of a flow's first booking",
        round(first_round_trips - 1, 3),
        round(later_round_trips - 1, 3),
        "later bookings of the flow",
        None,
        "round trips",
        seed,
    )
    yield rows.Row(
        "first_request",
        f"{deployment.name}: extra time of a flow's first booking",
        round(extra_s * 1000, 3),
        0.0,
        "later bookings of the flow",
        None,
        "ms",
        seed,
    )


@rows.BENCHES.register("first_request")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure the booking services of both deployments."""
    for deployment in (imbalance.DEPLOYMENTS[0], imbalance.DEPLOYMENTS[2]):
        yield from measure(deployment, SEED)

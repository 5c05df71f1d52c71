"""Measures goodput at twice the load that the endpoints can serve."""

import collections.abc
import math
import random

import anyio

from bramleypin.bench import imbalance
from bramleypin.bench import rows
from bramleypin.bench import small_fleet
from bramleypin import client as client_module
from bramleypin.internal import retry_budget
from bramleypin.standins import virtual_network

OFFERED = 2.0
DEADLINE_S = 2.0
WARM_UP_S = 3.0
LENGTH_S = 20.0
SEED = 1
GOODPUT_BOUND = 0.9

# One endpoint slows down when the measurement starts, and for one second all
# answers are lost, so that all callers retransmit and retry.
SLOW_ENDPOINT = 2
SLOWDOWN = 5.0
BLACKOUT_AT_S = 8.0
BLACKOUT_S = 1.0


class _Run:
    """Applies open-loop load whose requests have a deadline of 2 s."""

    def __init__(
        self,
        deployment: small_fleet.Deployment,
        budget: retry_budget.RetryBudget,
        seed: int,
    ):
        self.deployment = deployment
        self.budget = budget
        self.seed = seed
        self.random = random.Random(f"overload {seed}")
        self.fleet: small_fleet.Fleet
        self.answered = 0

    def capacity(self) -> float:
        """Return the requests a second that the endpoints can serve."""
        speeds = list(self.deployment.speeds)
        speeds[SLOW_ENDPOINT] /= SLOWDOWN
        slots = self.deployment.slots
        return sum(speeds) * slots / self.deployment.service_time_s

    def goodput(self) -> float:
        """Return the rate of answers in time as a share of the capacity."""
        return self.answered / LENGTH_S / self.capacity()

    async def main(self) -> None:
        """Run the load, inject the faults and stop the fleet."""
        self.fleet = small_fleet.Fleet(self.deployment, self.seed)
        async with anyio.create_task_group() as tasks:
            await self.fleet.start(tasks)
            async with anyio.create_task_group() as callers:
                await self._arrive(callers, WARM_UP_S)
                profile = self.fleet.rigs[SLOW_ENDPOINT].endpoint.profile
                profile.speed /= SLOWDOWN
                self.answered = 0
                callers.start_soon(self._lose_answers)
                await self._arrive(callers, LENGTH_S)
                callers.cancel_scope.cancel()
            tasks.cancel_scope.cancel()

    async def _lose_answers(self) -> None:
        await anyio.sleep(BLACKOUT_AT_S)
        network = self.fleet.network
        rule = network.add_rule(
            virtual_network.Rule(
                lambda packet: packet.destination.host.startswith("10.8."),
                loss=1.0,
            )
        )
        await anyio.sleep(BLACKOUT_S)
        network.remove_rule(rule)

    async def _arrive(
        self, callers: anyio.abc.TaskGroup, length_s: float
    ) -> None:
        rate = OFFERED * self.capacity()
        end_s = anyio.current_time() + length_s
        while anyio.current_time() < end_s:
            await anyio.sleep(self.random.expovariate(rate))
            callers.start_soon(self._call, callers)

    async def _call(self, tasks: anyio.abc.TaskGroup) -> None:
        client, port = await self.fleet.new_client(tasks, self.budget)
        result = await client.request("GET", "sheet", deadline_s=DEADLINE_S)
        if isinstance(result, client_module.Answered):
            self.answered += 1
        await port.aclose()


def measure(
    deployment: small_fleet.Deployment, seed: int
) -> collections.abc.Iterator[rows.Row]:
    """Return the row that compares retries with and without a budget."""
    goodputs = []
    for budget in (
        retry_budget.RetryBudget(),
        retry_budget.RetryBudget(share=math.inf, initial=math.inf),
    ):
        run = _Run(deployment, budget, seed)
        virtual_network.run(run.main, seed)
        goodputs.append(round(run.goodput(), 3))
    yield rows.Row(
        "overload",
        f"{deployment.name}: goodput over capacity, slow endpoint and storm",
        goodputs[0],
        goodputs[1],
        "retries without a budget",
        GOODPUT_BOUND,
        "ratio",
        seed,
    )


@rows.BENCHES.register("overload")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure a small service of each deployment."""
    for deployment in (imbalance.DEPLOYMENTS[1], imbalance.DEPLOYMENTS[3]):
        yield from measure(deployment, SEED)

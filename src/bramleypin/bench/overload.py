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

OFFERED_LOAD_RATIO = 2.0
DEADLINE_S = 2.0
WARM_UP_S = 3.0
DURATION_S = 20.0
SEED = 1
GOODPUT_BOUND = 0.9

# The endpoint with this index slows down when the measurement starts.
SLOW_ENDPOINT = 2
SLOWDOWN_FACTOR = 5.0
# From this time, all answers are lost for one second, so that all callers
# retransmit and retry.
ANSWER_LOSS_START_S = 8.0
ANSWER_LOSS_DURATION_S = 1.0


class _OverloadRun:
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
        self.answered_in_time = 0

    def capacity(self) -> float:
        """Return the servable requests a second after the slowdown."""
        speeds = list(self.deployment.speeds)
        speeds[SLOW_ENDPOINT] /= SLOWDOWN_FACTOR
        slots = self.deployment.slots
        return sum(speeds) * slots / self.deployment.service_time_s

    def goodput(self) -> float:
        """Return the rate of answers that met their deadline.

        The rate is a fraction of the capacity.
        """
        return self.answered_in_time / DURATION_S / self.capacity()

    async def main(self) -> None:
        """Run the load, inject the faults and stop the fleet."""
        self.fleet = small_fleet.Fleet(self.deployment, self.seed)
        async with anyio.create_task_group() as tasks:
            await self.fleet.start(tasks)
            async with anyio.create_task_group() as callers:
                await self._generate_load(callers, WARM_UP_S)
                profile = self.fleet.rigs[SLOW_ENDPOINT].endpoint.profile
                profile.speed /= SLOWDOWN_FACTOR
                self.answered_in_time = 0
                callers.start_soon(self._drop_answers)
                await self._generate_load(callers, DURATION_S)
                callers.cancel_scope.cancel()
            tasks.cancel_scope.cancel()

    async def _drop_answers(self) -> None:
        await anyio.sleep(ANSWER_LOSS_START_S)
        network = self.fleet.network
        rule = network.add_rule(
            virtual_network.Rule(
                lambda packet: packet.destination.host.startswith("10.8."),
                loss=1.0,
            )
        )
        await anyio.sleep(ANSWER_LOSS_DURATION_S)
        network.remove_rule(rule)

    async def _generate_load(
        self, callers: anyio.abc.TaskGroup, duration_s: float
    ) -> None:
        requests_per_s = OFFERED_LOAD_RATIO * self.capacity()
        end_s = anyio.current_time() + duration_s
        while anyio.current_time() < end_s:
            await anyio.sleep(self.random.expovariate(requests_per_s))
            callers.start_soon(self._send_request, callers)

    async def _send_request(self, tasks: anyio.abc.TaskGroup) -> None:
        client, port = await self.fleet.new_client(tasks, self.budget)
        result = await client.request("GET", "sheet", deadline_s=DEADLINE_S)
        if isinstance(result, client_module.Answered):
            self.answered_in_time += 1
        await port.aclose()


def measure(
    deployment: small_fleet.Deployment, seed: int
) -> collections.abc.Iterator[rows.Row]:
    """Return the row that compares retries with and without a budget."""
    goodputs = []
    for budget in (
        retry_budget.RetryBudget(),
        retry_budget.RetryBudget(share=math.inf, initial_tokens=math.inf),
    ):
        run = _OverloadRun(deployment, budget, seed)
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
    """Yield the overload measurements of planstore and cert-archive."""
    for deployment in (imbalance.DEPLOYMENTS[1], imbalance.DEPLOYMENTS[3]):
        yield from measure(deployment, SEED)

"""Measures utilisation and delay with endpoints of different speeds."""

import collections.abc
import random

import anyio

from bramleypin.bench import queue_model
from bramleypin.bench import rows
from bramleypin.bench import small_fleet
from bramleypin import client as client_module
from bramleypin.internal import retry_budget
from bramleypin.standins import virtual_network

LOAD = 0.8
LENGTH_S = 60.0
WARM_UP_S = 2.0
WORK_S = 0.2
REPORT_AGE_S = 2.0
SEED = 1

# One flow in ten sends this many requests; the others send one.
LONG_FLOW_SHARE = 0.1
LONG_FLOW_REQUESTS = 3

IMBALANCE_BOUND = 1.05
DELAY_BOUND = 1.3

TEXAS = ("austin", "waco", "san-marcos")
SWEDEN = ("vasteras", "orebro", "uppsala", "eskilstuna")


def _speeds(count: int) -> tuple[float, ...]:
    return tuple((1.0, 2.0, 4.0)[number % 3] for number in range(count))


def _deployment(
    name: str,
    domains: tuple[str, ...],
    hosts: int,
    slots: int,
    caller_latency_s: float,
) -> small_fleet.Deployment:
    return small_fleet.Deployment(
        name,
        domains,
        _speeds(hosts),
        slots,
        WORK_S,
        caller_latency_s=caller_latency_s,
    )


DEPLOYMENTS = (
    _deployment("lone-star/scheduler", TEXAS, 7, 5, 0.001),
    _deployment("lone-star/planstore", TEXAS, 3, 5, 0.001),
    _deployment("vattermandel/mill-desk", SWEDEN, 7, 3, 0.003),
    _deployment("vattermandel/cert-archive", SWEDEN, 4, 3, 0.003),
)


def rate(deployment: small_fleet.Deployment) -> float:
    """Return the requests a second that take ``LOAD`` of the capacity."""
    speed = sum(deployment.speeds) * deployment.slots
    return LOAD * speed / deployment.service_time_s


class _Run:
    """Applies open-loop load to a fleet and records the callers' delays."""

    def __init__(self, deployment: small_fleet.Deployment, seed: int):
        self.deployment = deployment
        self.random = random.Random(f"load {seed}")
        self.seed = seed
        self.fleet: small_fleet.Fleet
        self.budget = retry_budget.RetryBudget()
        self.delays_s: list[float] = []
        self.failed = 0

    async def main(self) -> None:
        """Run the load, calculate the utilisation and stop the fleet."""
        self.fleet = small_fleet.Fleet(self.deployment, self.seed)
        async with anyio.create_task_group() as tasks:
            await self.fleet.start(tasks)
            async with anyio.create_task_group() as callers:
                await self._arrive(callers, WARM_UP_S)
                began_s = anyio.current_time()
                before = self._busy()
                self.delays_s.clear()
                await self._arrive(callers, LENGTH_S)
                took_s = anyio.current_time() - began_s
                after = self._busy()
            slots = self.deployment.slots
            self.measured = queue_model.Measured(
                self.delays_s,
                [
                    (late - early) / slots / took_s
                    for early, late in zip(before, after, strict=True)
                ],
            )
            tasks.cancel_scope.cancel()

    def _busy(self) -> list[float]:
        return [rig.endpoint.busy_s for rig in self.fleet.rigs]

    async def _arrive(
        self, callers: anyio.abc.TaskGroup, length_s: float
    ) -> None:
        per_flow = 1 + LONG_FLOW_SHARE * (LONG_FLOW_REQUESTS - 1)
        flows = rate(self.deployment) / per_flow
        end_s = anyio.current_time() + length_s
        while anyio.current_time() < end_s:
            await anyio.sleep(self.random.expovariate(flows))
            callers.start_soon(self._flow, callers)

    async def _flow(self, tasks: anyio.abc.TaskGroup) -> None:
        client, port = await self.fleet.new_client(tasks, self.budget)
        long = self.random.random() < LONG_FLOW_SHARE
        for _ in range(LONG_FLOW_REQUESTS if long else 1):
            began_s = anyio.current_time()
            result = await client.request("GET", "sheet")
            if isinstance(result, client_module.Answered):
                self.delays_s.append(anyio.current_time() - began_s)
            else:
                self.failed += 1
        await port.aclose()


def _model(
    deployment: small_fleet.Deployment, seed: int, choose: queue_model.Choose
) -> queue_model.Measured:
    rng = random.Random(f"jobs {seed}")
    servers = [
        queue_model.Server(speed, deployment.slots)
        for speed in deployment.speeds
    ]
    arrivals = queue_model.jobs(rate(deployment), LENGTH_S, WORK_S, rng)
    return queue_model.simulate(arrivals, servers, choose)


def measure(
    deployment: small_fleet.Deployment, seed: int
) -> collections.abc.Iterator[rows.Row]:
    """Return the rows that compare one deployment with queueing models."""
    run = _Run(deployment, seed)
    virtual_network.run(run.main, seed)
    ours = run.measured
    rng = random.Random(f"choices {seed}")
    ideal = _model(deployment, seed, queue_model.join_idle_queue(rng))
    baselines = {
        "weighted random": queue_model.weighted_random(rng),
        "least loaded on reports 2 s old": queue_model.least_loaded_reports(
            rng, REPORT_AGE_S
        ),
    }
    for name, choose in baselines.items():
        other = _model(deployment, seed, choose)
        yield rows.Row(
            "imbalance",
            f"{deployment.name}: highest over mean utilisation",
            round(ours.imbalance(), 3),
            round(other.imbalance(), 3),
            name,
            IMBALANCE_BOUND,
            "ratio",
            seed,
        )
        yield rows.Row(
            "imbalance",
            f"{deployment.name}: p99 delay over join-idle-queue's",
            round(ours.p99_s() / ideal.p99_s(), 3),
            round(other.p99_s() / ideal.p99_s(), 3),
            name,
            DELAY_BOUND,
            "ratio",
            seed,
        )
    asked = len(run.delays_s) + run.failed
    yield rows.Row(
        "imbalance",
        f"{deployment.name}: requests without an answer",
        round(run.failed / asked, 5),
        round(ideal.imbalance(), 3),
        "utilisation ratio of join-idle-queue",
        None,
        "share",
        seed,
    )


@rows.BENCHES.register("imbalance")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure all services of both deployments."""
    for deployment in DEPLOYMENTS:
        yield from measure(deployment, SEED)

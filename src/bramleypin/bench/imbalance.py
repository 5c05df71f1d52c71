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

TARGET_UTILISATION = 0.8
DURATION_S = 60.0
WARM_UP_S = 2.0
MEAN_WORK_S = 0.2
REPORT_AGE_S = 2.0
SEED = 1

# One flow in ten sends this many requests; the others send one.
LONG_FLOW_SHARE = 0.1
LONG_FLOW_REQUESTS = 3

IMBALANCE_BOUND = 1.05
DELAY_BOUND = 1.3

TEXAS_DOMAINS = ("austin", "waco", "san-marcos")
SWEDEN_DOMAINS = ("vasteras", "orebro", "uppsala", "eskilstuna")


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
        MEAN_WORK_S,
        caller_latency_s=caller_latency_s,
    )


DEPLOYMENTS = (
    _deployment("lone-star/scheduler", TEXAS_DOMAINS, 7, 5, 0.001),
    _deployment("lone-star/planstore", TEXAS_DOMAINS, 3, 5, 0.001),
    _deployment("vattermandel/mill-desk", SWEDEN_DOMAINS, 7, 3, 0.003),
    _deployment("vattermandel/cert-archive", SWEDEN_DOMAINS, 4, 3, 0.003),
)


def request_rate(deployment: small_fleet.Deployment) -> float:
    """Return the requests a second that cause ``TARGET_UTILISATION``."""
    total_speed = sum(deployment.speeds) * deployment.slots
    return TARGET_UTILISATION * total_speed / deployment.service_time_s


class _LoadRun:
    """Applies open-loop load to a fleet and records delays and failures."""

    def __init__(self, deployment: small_fleet.Deployment, seed: int):
        self.deployment = deployment
        self.random = random.Random(f"load {seed}")
        self.seed = seed
        self.fleet: small_fleet.Fleet
        self.budget = retry_budget.RetryBudget()
        self.delays_s: list[float] = []
        self.failed_requests = 0

    async def main(self) -> None:
        """Run the load, calculate the utilisation and stop the fleet."""
        self.fleet = small_fleet.Fleet(self.deployment, self.seed)
        async with anyio.create_task_group() as tasks:
            await self.fleet.start(tasks)
            async with anyio.create_task_group() as callers:
                await self._generate_load(callers, WARM_UP_S)
                start_s = anyio.current_time()
                busy_before_s = self._busy_times_s()
                self.delays_s.clear()
                await self._generate_load(callers, DURATION_S)
                elapsed_s = anyio.current_time() - start_s
                busy_after_s = self._busy_times_s()
            slots = self.deployment.slots
            self.measurement = queue_model.Measurement(
                self.delays_s,
                [
                    (after_s - before_s) / slots / elapsed_s
                    for before_s, after_s in zip(
                        busy_before_s, busy_after_s, strict=True
                    )
                ],
            )
            tasks.cancel_scope.cancel()

    def _busy_times_s(self) -> list[float]:
        return [rig.endpoint.busy_s for rig in self.fleet.rigs]

    async def _generate_load(
        self, callers: anyio.abc.TaskGroup, duration_s: float
    ) -> None:
        requests_per_flow = 1 + LONG_FLOW_SHARE * (LONG_FLOW_REQUESTS - 1)
        flows_per_s = request_rate(self.deployment) / requests_per_flow
        end_s = anyio.current_time() + duration_s
        while anyio.current_time() < end_s:
            await anyio.sleep(self.random.expovariate(flows_per_s))
            callers.start_soon(self._run_flow, callers)

    async def _run_flow(self, tasks: anyio.abc.TaskGroup) -> None:
        client, port = await self.fleet.new_client(tasks, self.budget)
        is_long = self.random.random() < LONG_FLOW_SHARE
        for _ in range(LONG_FLOW_REQUESTS if is_long else 1):
            start_s = anyio.current_time()
            result = await client.request("GET", "sheet")
            if isinstance(result, client_module.Answered):
                self.delays_s.append(anyio.current_time() - start_s)
            else:
                self.failed_requests += 1
        await port.aclose()


def _simulate(
    deployment: small_fleet.Deployment, seed: int, policy: queue_model.Policy
) -> queue_model.Measurement:
    rng = random.Random(f"jobs {seed}")
    servers = [
        queue_model.Server(speed, deployment.slots)
        for speed in deployment.speeds
    ]
    arrivals = queue_model.poisson_jobs(
        request_rate(deployment), DURATION_S, MEAN_WORK_S, rng
    )
    return queue_model.simulate(arrivals, servers, policy)


def measure(
    deployment: small_fleet.Deployment, seed: int
) -> collections.abc.Iterator[rows.Row]:
    """Return rows that compare one deployment with queueing models."""
    run = _LoadRun(deployment, seed)
    virtual_network.run(run.main, seed)
    system = run.measurement
    rng = random.Random(f"choices {seed}")
    ideal_model = _simulate(deployment, seed, queue_model.join_idle_queue(rng))
    baselines = {
        "weighted random": queue_model.weighted_random(rng),
        "least loaded on reports 2 s old": queue_model.least_loaded_reports(
            rng, REPORT_AGE_S
        ),
    }
    for name, policy in baselines.items():
        baseline_model = _simulate(deployment, seed, policy)
        yield rows.Row(
            "imbalance",
            f"{deployment.name}: highest over mean utilisation",
            round(system.imbalance(), 3),
            round(baseline_model.imbalance(), 3),
            name,
            IMBALANCE_BOUND,
            "ratio",
            seed,
        )
        yield rows.Row(
            "imbalance",
            f"{deployment.name}: p99 delay over join-idle-queue's",
            round(system.p99_s() / ideal_model.p99_s(), 3),
            round(baseline_model.p99_s() / ideal_model.p99_s(), 3),
            name,
            DELAY_BOUND,
            "ratio",
            seed,
        )
    requests = len(run.delays_s) + run.failed_requests
    yield rows.Row(
        "imbalance",
        f"{deployment.name}: requests without an answer",
        round(run.failed_requests / requests, 5),
        round(ideal_model.imbalance(), 3),
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

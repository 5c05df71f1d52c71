"""Measures what callers get while endpoints fail a part of their requests.

A simulated fleet runs with and without the health by outcome. Half of the
requests use a flow of their own, the others flows that are kept open.
"""

import collections.abc
import math
import random
from unittest import mock

import anyio

from bramleypin.bench import rows
from bramleypin.internal.stream import endpoint_health
from bramleypin.standins import stream_callers
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

ENDPOINTS = 20
SLOTS = 2
WORK_S = 0.08
BALANCERS = 5
CALLERS = 8
KEPT_FLOWS = 80
# Utilisation of 0.5 without faults.
REQUESTS_PER_S = 250.0
OBJECTIVE_S = 0.34
BUDGET_S = 2.4
MAX_TRIES = 3
START_S = 2.0
FAULT_S = 6.0
FAILING_ENDPOINTS = {"15%": 3, "all": ENDPOINTS}
FAULTS = ("hang", "reset", "error", "slow")
SEEDS = (1, 2)
SERVICE = (stream_fleet.SERVICE_HOST, 443)


class Run:
    """One run; ``outcomes`` are those of the time with the fault.

    An outcome is the time from a request's first try to its answer (infinite
    without one), and the number of its tries.
    """

    def __init__(self, fault: str, failing_count: int, seed: int):
        self.fault = fault
        self.failing_count = failing_count
        # Both runs of a comparison send at the same times.
        self._pauses = random.Random(f"pauses {seed}")
        self.random = random.Random(f"choices {seed}")
        self.outcomes: list[tuple[float, int]] = []
        self.seed = seed
        self._callers: list[stream_callers.StreamCaller] = []
        self._kept_flows: list[stream_callers.KeptFlow | None] = []
        self._in_fault = False
        self._next_port = 20_000

    async def main(self) -> None:
        """Run the load and the fault, and stop the fleet."""
        async with anyio.create_task_group() as tasks:
            fleet = stream_fleet.StreamFleet(tasks, self.seed)
            self._start_fleet(fleet)
            await anyio.sleep(1.0)
            self._kept_flows = [None] * KEPT_FLOWS
            async with anyio.create_task_group() as requests:
                await self._send(requests, START_S)
                endpoints = list(fleet.endpoint_by_name.values())
                for endpoint in endpoints[: self.failing_count]:
                    endpoint.fault = self.fault
                self._in_fault = True
                await self._send(requests, FAULT_S)
                self._in_fault = False
                for endpoint in endpoints:
                    endpoint.fault = ""
            tasks.cancel_scope.cancel()

    def _start_fleet(self, fleet: stream_fleet.StreamFleet) -> None:
        route = stream_fleet.route(
            latency_objective_s=OBJECTIVE_S, timeout_s=BUDGET_S
        )
        fleet.store.configure(stream_fleet.configuration(1, route))
        for number in range(ENDPOINTS):
            fleet.add_endpoint(
                f"e{number}",
                f"10.0.1.{number}",
                "abc"[number % 3],
                slots=SLOTS,
                work_s=WORK_S,
                keep_open=True,
            )
        for number in range(BALANCERS):
            fleet.add_balancer(
                f"b{number}", f"10.0.0.{number + 1}", "abc"[number % 3]
            )
        self._callers = [
            fleet.add_caller(f"100.64.0.{number + 1}")
            for number in range(CALLERS)
        ]

    async def _send(
        self, tasks: anyio.abc.TaskGroup, duration_s: float
    ) -> None:
        end_s = anyio.current_time() + duration_s
        while anyio.current_time() < end_s:
            await anyio.sleep(self._pauses.expovariate(REQUESTS_PER_S))
            tasks.start_soon(self._request, self._in_fault)

    async def _request(self, counts: bool) -> None:
        started_s = anyio.current_time()
        tries = 0
        kind = ""
        kept_index = -1
        if self.random.random() < 0.5:
            kept_index = self.random.randrange(KEPT_FLOWS)
        left_s = BUDGET_S
        while kind != "answered" and tries < MAX_TRIES and left_s > 0:
            tries += 1
            with anyio.move_on_after(left_s):
                kind = await self._try(kept_index)
            left_s = started_s + BUDGET_S - anyio.current_time()
        duration_s = anyio.current_time() - started_s
        if counts:
            answered = kind == "answered"
            self.outcomes.append((duration_s if answered else math.inf, tries))

    async def _try(self, kept_index: int) -> str:
        caller = self.random.choice(self._callers)
        if kept_index < 0:
            self._next_port += 1
            outcome = await caller.request(
                SERVICE, BUDGET_S, port=self._next_port
            )
            return outcome.kind
        # A flow is used by one request at a time.
        flow = self._kept_flows[kept_index]
        self._kept_flows[kept_index] = None
        if flow is None:
            flow = await caller.open_kept_flow(SERVICE)
        if flow is None:
            return "reset"
        outcome = await flow.request(BUDGET_S)
        if outcome.kind == "answered":
            self._kept_flows[kept_index] = flow
        return outcome.kind

    def answered_share(self, within_s: float, max_tries: int) -> float:
        """Return the share of requests answered in time and tries."""
        answered = sum(
            duration_s <= within_s and tries <= max_tries
            for duration_s, tries in self.outcomes
        )
        return round(answered / len(self.outcomes), 4)


def run(fault: str, failing_count: int, seed: int, enabled: bool) -> Run:
    """Run the fleet, with or without the health by outcome."""
    result = Run(fault, failing_count, seed)
    min_outcomes = endpoint_health.MIN_OUTCOMES if enabled else math.inf
    with mock.patch.object(endpoint_health, "MIN_OUTCOMES", min_outcomes):
        virtual_network.run(result.main, seed)
    return result


@rows.BENCHES.register("failing_endpoints")
def bench() -> collections.abc.Iterator[rows.Row]:
    """Measure all faults with few failing endpoints and with all."""
    for fault in FAULTS:
        for name, count in FAILING_ENDPOINTS.items():
            for seed in SEEDS:
                ours = run(fault, count, seed, True)
                baseline = run(fault, count, seed, False)
                for what, within_s, tries in (
                    ("answered at the first try", BUDGET_S, 1),
                    ("answered within the objective", OBJECTIVE_S, MAX_TRIES),
                    ("answered", BUDGET_S, MAX_TRIES),
                ):
                    yield rows.Row(
                        "failing_endpoints",
                        f"{name} {fault} 0.4: {what}",
                        ours.answered_share(within_s, tries),
                        baseline.answered_share(within_s, tries),
                        "no health by outcome",
                        None,
                        "share",
                        seed,
                    )

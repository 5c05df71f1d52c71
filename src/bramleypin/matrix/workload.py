"""What the callers of a cell do.

One caller is watched: it reads a sheet, books, and downloads a plan, and the
steps follow these requests. The others give the endpoints work, in bursts
that a cold endpoint must not be given, and open new flows all the time.
Meanwhile the operators publish planned changes.
"""

import math
import typing

import anyio

from bramleypin.internal import address
from bramleypin.matrix import caller as caller_module
from bramleypin.matrix import deployment as deployment_module
from bramleypin.matrix import steps

WATCHED_CALLER = "tablet0"
WATCHED_HOST = "203.0.113.10"
CALLERS = 3
DURATION_S = 22.0
WATCHED_AFTER_S = 1.0
BOOKING_MS = 900
BURST = 4
BURST_MS = 300
# The step "configuration half spread" belongs to the revision that moves an
# address and lets an endpoint leave.
RETIRE_AFTER_S = 3.0
MOVE_AFTER_S = 8.0
RETURN_AFTER_S = 16.0
LEAVING = "scheduler-waco"
NEWCOMER_INTERVAL_S = 0.2
# Requests to the address that moves give up well before it does.
MOVED_DEADLINE_S = 2.0


class Workload:
    """The callers and the operators of a cell."""

    def __init__(self, cell: typing.Any):
        self.cell = cell
        self.watched = caller_module.Caller(cell, WATCHED_CALLER, WATCHED_HOST)
        self.others = [
            caller_module.Caller(cell, f"desk{n}", f"203.0.113.{20 + n}")
            for n in range(CALLERS)
        ]
        self.mover = caller_module.Caller(cell, "mover", "203.0.113.40")
        self.newcomer = caller_module.Caller(cell, "newcomer", "203.0.113.41")
        self._weight = 1.0
        self._index_by_change = {"retired": math.inf, "moved": math.inf}

    async def run(self) -> None:
        """Make all calls; returns when the last caller has its answer."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watched)
            tasks.start_soon(self._operators)
            tasks.start_soon(self._moved)
            tasks.start_soon(self._newcomers)
            for item in self.others:
                tasks.start_soon(self._background, item)

    async def run_final(self) -> None:
        """Ask everything once more, through new and old flows."""
        async with anyio.create_task_group() as tasks:
            for item in [self.watched, *self.others]:
                for service in deployment_module.SERVICES:
                    for _ in range(2):
                        flow = await item.open_flow(service)
                        tasks.start_soon(self._final, flow)

    async def _final(self, flow: caller_module.Flow) -> None:
        await flow.call("GET", "final", 10)
        await flow.call("POST", "final", 10)
        if flow.service == "planstore":
            await flow.call("GET", "plan", 10)

    async def _watched(self) -> None:
        await anyio.sleep(WATCHED_AFTER_S)
        scheduler = await self.watched.open_flow("scheduler")
        await scheduler.call("GET", "sheet", 20, call_id=steps.SHEET)
        await scheduler.call("POST", "book", BOOKING_MS, call_id=steps.BOOKING)
        planstore = await self.watched.open_flow("planstore")
        await planstore.call("GET", "plan", 150, call_id=steps.PLAN)
        for _ in range(6):
            async with anyio.create_task_group() as tasks:
                for _ in range(BURST):
                    tasks.start_soon(scheduler.call, "POST", "book", BURST_MS)
            await planstore.call("GET", "plan", 20)
            await anyio.sleep(1.5)

    async def _background(self, item: caller_module.Caller) -> None:
        rng = self.cell.random
        flows = [
            await item.open_flow(service)
            for service in deployment_module.SERVICES
        ]
        end_s = anyio.current_time() + DURATION_S
        while anyio.current_time() < end_s:
            await anyio.sleep(rng.uniform(0.2, 0.8))
            for flow in flows:
                await self._round(flow)
            opened = await item.open_flow(rng.choice(flows).service)
            await opened.call("POST", "book", 50)
            await opened.close()

    async def _round(self, flow: caller_module.Flow) -> None:
        if flow.service == "planstore":
            await flow.call("GET", "plan", 10)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flow.call, "GET", "sheet", 20)
            for _ in range(BURST - 1):
                tasks.start_soon(flow.call, "POST", "book", BURST_MS)

    async def _moved(self) -> None:
        """Use the address that moves, as its owner of the time."""
        start_s = anyio.current_time()
        at = deployment_module.MOVED_ADDRESS
        while anyio.current_time() < start_s + RETIRE_AFTER_S - 0.5:
            await self._call_moved("scheduler", at)
        # The operators tell callers of the move when the address has been
        # retired everywhere, which the configuration service may have
        # delayed by hiding a revision.
        await anyio.sleep_until(start_s + RETIRE_AFTER_S)
        await self._wait_until_shown("retired")
        await anyio.sleep(MOVE_AFTER_S - RETIRE_AFTER_S)
        await self._wait_until_shown("moved")
        while anyio.current_time() < start_s + DURATION_S:
            await self._call_moved("planstore", at)

    async def _newcomers(self) -> None:
        """Open new flows while an endpoint is leaving.

        With fewer of them, endpoints that leave were chosen by nobody, and a
        variant that ignores leaving endpoints went unseen.
        """
        await anyio.sleep(MOVE_AFTER_S)
        end_s = anyio.current_time() + RETURN_AFTER_S - MOVE_AFTER_S
        while anyio.current_time() < end_s:
            flow = await self.newcomer.open_flow("scheduler")
            await flow.call("GET", "sheet", 10, deadline_s=MOVED_DEADLINE_S)
            await flow.close()
            await anyio.sleep(NEWCOMER_INTERVAL_S)

    async def _wait_until_shown(self, what: str) -> None:
        platform = self.cell.deployment.platform
        while not platform.is_visible(self._index_by_change[what]):
            await anyio.sleep(0.05)

    async def _call_moved(self, service: str, at: address.Address) -> None:
        flow = await self.mover.open_flow(service, at)
        await flow.call("GET", "moved", 10, deadline_s=MOVED_DEADLINE_S)
        await flow.close()
        await anyio.sleep(0.15)

    async def _operators(self) -> None:
        """Publish planned changes, as on any day."""
        deployment = self.cell.deployment
        publication = deployment.publication
        moved = str(deployment_module.MOVED_ADDRESS)
        await anyio.sleep(RETIRE_AFTER_S)
        publication.set_addresses("scheduler", drop=moved)
        publication.retired = (moved,)
        deployment.publish()
        self._index_by_change["retired"] = deployment.platform.index
        await anyio.sleep(MOVE_AFTER_S - RETIRE_AFTER_S)
        publication.retired = ()
        publication.set_addresses("planstore", add=moved)
        publication.change_endpoint("scheduler", LEAVING, state="leaving")
        deployment.publish()
        self._index_by_change["moved"] = deployment.platform.index
        self.cell.watch_spread(deployment.platform.index)
        span = self.cell.begin("leaving", LEAVING)
        await anyio.sleep(RETURN_AFTER_S - MOVE_AFTER_S)
        publication.change_endpoint("scheduler", LEAVING, state="in_service")
        self.cell.end(span)
        deployment.publish()

    def change_weights(self) -> None:
        """Publish other weights, as a revision that a fault may miss."""
        self._weight = 3.0 - self._weight
        publication = self.cell.deployment.publication
        for service in deployment_module.SERVICES:
            publication.change_endpoint(
                service, f"{service}-austin", weight=self._weight
            )
        self.cell.deployment.publish()

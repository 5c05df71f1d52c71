"""The workload of a cell: calls and planned configuration changes.

The watched caller reads a sheet, makes a booking and downloads a plan; the
steps refer to these requests. Background callers send bursts, which exceed
the capacity of a cold endpoint, and keep opening new flows. Meanwhile the
operators publish planned changes.
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
BACKGROUND_CALLERS = 3
DURATION_S = 22.0
WATCHED_AFTER_S = 1.0
BOOKING_MS = 900
BURST_REQUESTS = 4
BURST_MS = 300
# The step "configuration-half-spread" refers to the revision that moves an
# address and makes an endpoint leave. That revision is published after
# MOVE_AFTER_S.
RETIRE_AFTER_S = 3.0
MOVE_AFTER_S = 8.0
RETURN_AFTER_S = 16.0
LEAVING_ENDPOINT = "scheduler-waco"
NEW_FLOW_INTERVAL_S = 0.2
# Requests to the moved address must end well before the address moves.
MOVED_DEADLINE_S = 2.0


class Workload:
    """Makes the calls and the configuration changes of a cell."""

    def __init__(self, cell: typing.Any):
        self.cell = cell
        self.watched_caller = caller_module.Caller(
            cell, WATCHED_CALLER, WATCHED_HOST
        )
        self.background_callers = [
            caller_module.Caller(cell, f"desk{n}", f"203.0.113.{20 + n}")
            for n in range(BACKGROUND_CALLERS)
        ]
        self.moved_address_caller = caller_module.Caller(
            cell, "mover", "203.0.113.40"
        )
        self.new_flow_caller = caller_module.Caller(
            cell, "newcomer", "203.0.113.41"
        )
        self._weight = 1.0
        # The platform index of each change, infinite until it is published.
        self._index_by_change = {"retired": math.inf, "moved": math.inf}

    async def run(self) -> None:
        """Make all calls and return when the last one has ended."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_watched_caller)
            tasks.start_soon(self._publish_planned_changes)
            tasks.start_soon(self._use_moved_address)
            tasks.start_soon(self._open_new_flows)
            for caller in self.background_callers:
                tasks.start_soon(self._run_background_caller, caller)

    async def run_final(self) -> None:
        """Make calls of all kinds on new flows after the faults have ended.

        Every one of them must be answered.
        """
        async with anyio.create_task_group() as tasks:
            for caller in [self.watched_caller, *self.background_callers]:
                for service in deployment_module.SERVICES:
                    for _ in range(2):
                        flow = await caller.open_flow(service)
                        tasks.start_soon(self._run_final_calls, flow)

    async def _run_final_calls(self, flow: caller_module.Flow) -> None:
        await flow.call("GET", "final", 10)
        await flow.call("POST", "final", 10)
        if flow.service == "planstore":
            await flow.call("GET", "plan", 10)

    async def _run_watched_caller(self) -> None:
        await anyio.sleep(WATCHED_AFTER_S)
        scheduler = await self.watched_caller.open_flow("scheduler")
        await scheduler.call("GET", "sheet", 20, call_id=steps.SHEET)
        await scheduler.call("POST", "book", BOOKING_MS, call_id=steps.BOOKING)
        planstore = await self.watched_caller.open_flow("planstore")
        await planstore.call("GET", "plan", 150, call_id=steps.PLAN)
        for _ in range(6):
            async with anyio.create_task_group() as tasks:
                for _ in range(BURST_REQUESTS):
                    tasks.start_soon(scheduler.call, "POST", "book", BURST_MS)
            await planstore.call("GET", "plan", 20)
            await anyio.sleep(1.5)

    async def _run_background_caller(
        self, caller: caller_module.Caller
    ) -> None:
        rng = self.cell.random
        flows = [
            await caller.open_flow(service)
            for service in deployment_module.SERVICES
        ]
        end_s = anyio.current_time() + DURATION_S
        while anyio.current_time() < end_s:
            await anyio.sleep(rng.uniform(0.2, 0.8))
            for flow in flows:
                await self._call_on_flow(flow)
            new_flow = await caller.open_flow(rng.choice(flows).service)
            await new_flow.call("POST", "book", 50)
            await new_flow.close()

    async def _call_on_flow(self, flow: caller_module.Flow) -> None:
        if flow.service == "planstore":
            await flow.call("GET", "plan", 10)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(flow.call, "GET", "sheet", 20)
            for _ in range(BURST_REQUESTS - 1):
                tasks.start_soon(flow.call, "POST", "book", BURST_MS)

    async def _use_moved_address(self) -> None:
        """Call the service that currently owns the moved address."""
        start_s = anyio.current_time()
        service_address = deployment_module.MOVED_ADDRESS
        while anyio.current_time() < start_s + RETIRE_AFTER_S - 0.5:
            await self._call_moved_address("scheduler", service_address)
        # Callers use the new service only after the address has been retired
        # everywhere. A fault of the configuration service may delay this,
        # since it hides a revision.
        await anyio.sleep_until(start_s + RETIRE_AFTER_S)
        await self._wait_until_visible("retired")
        await anyio.sleep(MOVE_AFTER_S - RETIRE_AFTER_S)
        await self._wait_until_visible("moved")
        while anyio.current_time() < start_s + DURATION_S:
            await self._call_moved_address("planstore", service_address)

    async def _open_new_flows(self) -> None:
        """Open new flows while an endpoint is leaving.

        With fewer new flows, no balancer would choose the leaving endpoint,
        and the variant "ignore-leaving" would not be caught.
        """
        await anyio.sleep(MOVE_AFTER_S)
        end_s = anyio.current_time() + RETURN_AFTER_S - MOVE_AFTER_S
        while anyio.current_time() < end_s:
            flow = await self.new_flow_caller.open_flow("scheduler")
            await flow.call("GET", "sheet", 10, deadline_s=MOVED_DEADLINE_S)
            await flow.close()
            await anyio.sleep(NEW_FLOW_INTERVAL_S)

    async def _wait_until_visible(self, change: str) -> None:
        platform = self.cell.deployment.platform
        while not platform.is_visible(self._index_by_change[change]):
            await anyio.sleep(0.05)

    async def _call_moved_address(
        self, service: str, service_address: address.Address
    ) -> None:
        flow = await self.moved_address_caller.open_flow(
            service, service_address
        )
        await flow.call("GET", "moved", 10, deadline_s=MOVED_DEADLINE_S)
        await flow.close()
        await anyio.sleep(0.15)

    async def _publish_planned_changes(self) -> None:
        """Publish planned changes: move an address, let an endpoint leave."""
        deployment = self.cell.deployment
        publication = deployment.publication
        moved_address = str(deployment_module.MOVED_ADDRESS)
        await anyio.sleep(RETIRE_AFTER_S)
        publication.set_addresses("scheduler", drop=moved_address)
        publication.retired = (moved_address,)
        deployment.publish()
        self._index_by_change["retired"] = deployment.platform.index
        await anyio.sleep(MOVE_AFTER_S - RETIRE_AFTER_S)
        publication.retired = ()
        publication.set_addresses("planstore", add=moved_address)
        publication.change_endpoint(
            "scheduler", LEAVING_ENDPOINT, state="leaving"
        )
        deployment.publish()
        self._index_by_change["moved"] = deployment.platform.index
        self.cell.track_spread(deployment.platform.index)
        span = self.cell.begin_span("leaving", LEAVING_ENDPOINT)
        await anyio.sleep(RETURN_AFTER_S - MOVE_AFTER_S)
        publication.change_endpoint(
            "scheduler", LEAVING_ENDPOINT, state="in_service"
        )
        self.cell.end_span(span)
        deployment.publish()

    def change_weights(self) -> None:
        """Publish other weights in a revision that a paused daemon misses."""
        self._weight = 3.0 - self._weight
        publication = self.cell.deployment.publication
        for service in deployment_module.SERVICES:
            publication.change_endpoint(
                service, f"{service}-austin", weight=self._weight
            )
        self.cell.deployment.publish()

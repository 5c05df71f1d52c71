"""Crews that fetch visit sheets, book appointments and download plans."""

import dataclasses
import typing

import anyio

from bramleypin import client as client_module
from bramleypin.demo import deployment as deployment_module
from bramleypin.internal import address

CREWS = 18
THINK_S = 0.15
DEADLINE_S = 10.0
PLAN_SHARE = 0.15
BOOKING_SHARE = 0.4


@dataclasses.dataclass
class Record:
    """One request as its caller saw it."""

    crew: int
    service: str
    kind: str
    key: bytes
    sent_s: float
    finished_s: float
    result: client_module.Result


class Crew:
    """One caller with a flow to each service."""

    def __init__(
        self,
        number: int,
        deployment: deployment_module.Deployment,
        records: list[Record],
    ):
        self.number = number
        self._deployment = deployment
        self._records = records
        self._client_by_service: dict[str, client_module.Client] = {}
        self._sent = 0

    async def run(self, until: anyio.Event) -> None:
        """Make requests until told to end; the last one is awaited."""
        fleet = self._deployment
        local = address.Address(f"{fleet.network}.9.{self.number + 1}", 0)
        async with anyio.create_task_group() as tasks:
            for service, at in fleet.address_by_service.items():
                made = await client_module.open_client(
                    fleet.environment, local, at
                )
                self._client_by_service[service] = made
                tasks.start_soon(made.run)
            while not until.is_set():
                await self._request_once()
                await anyio.sleep(fleet.random.expovariate(1 / THINK_S))
            tasks.cancel_scope.cancel()

    async def _request_once(self) -> None:
        self._sent += 1
        key = f"crew-{self.number}-{self._sent}".encode()
        chance = self._deployment.random.random()
        if chance < PLAN_SHARE:
            await self._call("planstore", "plan", "GET", "plans/house", b"")
        elif chance < PLAN_SHARE + BOOKING_SHARE:
            await self._call("scheduler", "booking", "POST", "bookings", key)
        else:
            path = f"visits/{key.decode()}"
            await self._call("scheduler", "visit", "GET", path, b"")

    async def _call(
        self, service: str, kind: str, method: str, path: str, body: bytes
    ) -> None:
        sent_s = anyio.current_time()
        caller = self._client_by_service[service]
        result = await caller.request(method, path, body, DEADLINE_S)
        key = body or path.encode()
        self._records.append(
            Record(
                self.number,
                service,
                kind,
                key,
                sent_s,
                anyio.current_time(),
                result,
            )
        )


async def run_crews(
    deployment: deployment_module.Deployment,
    records: list[Record],
    until: anyio.Event,
    *,
    task_status: typing.Any = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run all crews until told to end, then wait for their last requests."""
    async with anyio.create_task_group() as tasks:
        for number in range(CREWS):
            crew = Crew(number, deployment, records)
            tasks.start_soon(crew.run, until)
        task_status.started()

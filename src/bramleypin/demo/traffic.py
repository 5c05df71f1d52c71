"""Traffic of crews: visit sheets, bookings and downloads of plans.

A crew is a team of installers in the field. One simulated client makes its
requests.
"""

import dataclasses
import typing

import anyio

from bramleypin import client as client_module
from bramleypin.demo import deployment as deployment_module
from bramleypin.internal import address

CREWS = 18
# Mean pause between two requests of one simulated client.
THINK_S = 0.15
DEADLINE_S = 10.0
PLAN_SHARE = 0.15
BOOKING_SHARE = 0.4


@dataclasses.dataclass
class RequestRecord:
    """A request, as seen by its caller.

    ``key`` is its body, or its path if the body is empty; it identifies the
    request in the endpoints' records.
    """

    crew: int
    service: str
    kind: str
    key: bytes
    sent_s: float
    finished_s: float
    result: client_module.Result


class Crew:
    """A caller with one flow to each service."""

    def __init__(
        self,
        number: int,
        deployment: deployment_module.Deployment,
        records: list[RequestRecord],
    ):
        self.number = number
        self._deployment = deployment
        self._records = records
        self._client_by_service: dict[str, client_module.Client] = {}
        self._request_count = 0

    async def run(self, stop_event: anyio.Event) -> None:
        """Make requests until the event is set, and wait for the last one."""
        deployment = self._deployment
        local_address = address.Address(
            f"{deployment.network}.9.{self.number + 1}", 0
        )
        async with anyio.create_task_group() as tasks:
            for service, destination in deployment.address_by_service.items():
                client = await client_module.open_client(
                    deployment.environment, local_address, destination
                )
                self._client_by_service[service] = client
                tasks.start_soon(client.run)
            while not stop_event.is_set():
                await self._request_once()
                await anyio.sleep(deployment.random.expovariate(1 / THINK_S))
            tasks.cancel_scope.cancel()

    async def _request_once(self) -> None:
        self._request_count += 1
        key = f"crew-{self.number}-{self._request_count}".encode()
        draw = self._deployment.random.random()
        if draw < PLAN_SHARE:
            await self._call("planstore", "plan", "GET", "plans/house", b"")
        elif draw < PLAN_SHARE + BOOKING_SHARE:
            await self._call("scheduler", "booking", "POST", "bookings", key)
        else:
            path = f"visits/{key.decode()}"
            await self._call("scheduler", "visit", "GET", path, b"")

    async def _call(
        self, service: str, kind: str, method: str, path: str, body: bytes
    ) -> None:
        sent_s = anyio.current_time()
        client = self._client_by_service[service]
        result = await client.request(method, path, body, DEADLINE_S)
        key = body or path.encode()
        self._records.append(
            RequestRecord(
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
    records: list[RequestRecord],
    stop_event: anyio.Event,
    *,
    task_status: typing.Any = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run all simulated crews until the event is set.

    Returns after their last requests have finished.
    """
    async with anyio.create_task_group() as tasks:
        for number in range(CREWS):
            crew = Crew(number, deployment, records)
            tasks.start_soon(crew.run, stop_event)
        task_status.started()

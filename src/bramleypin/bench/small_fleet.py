"""A small fleet under the virtual clock: fabric, balancers and agents.

The benches on admission and flow opening share it. The fleet runs no
membership services; the service configuration is set directly. The data path
is the production code.
"""

import dataclasses
import random
import typing

import anyio
import anyio.abc

from bramleypin import client as client_module
from bramleypin.internal import address
from bramleypin.internal import retry_budget
from bramleypin import settings as settings_module
from bramleypin.standins import agent_rig
from bramleypin.standins import balancer_rig
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import fabric as fabric_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

INGRESS_PORT = 7100
FABRIC_ADDRESS = address.Address("10.2.0.1", 7200)


@dataclasses.dataclass
class Deployment:
    """Size and timing of one service.

    There is one endpoint for each entry of ``speeds``. ``service_time_s``
    applies at speed 1, and is the mean if ``exponential`` is set. Latencies
    are one-way; ``caller_latency_s`` is the latency between callers and the
    fabric.
    """

    name: str
    domains: tuple[str, ...]
    speeds: tuple[float, ...]
    slots: int
    service_time_s: float = 0.05
    exponential: bool = True
    balancers: int = 2
    latency_s: float = 0.001
    caller_latency_s: float = 0.001
    weighted_by_speed: bool = True


class Fleet:
    """Runs the processes of one deployment and creates clients."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        policy: str = "adaptive",
        adjust_profile: typing.Callable[
            [int, endpoint_module.Profile], None
        ] = lambda number, profile: None,
    ):
        self.deployment = deployment
        self.policy = policy
        self.random = random.Random(seed)
        self.network = virtual_network.VirtualNetwork(
            seed, deployment.latency_s
        )
        for domain in deployment.domains:
            self.network.latency_by_pair[("outside", domain)] = (
                deployment.latency_s
            )
            self.network.latency_by_pair[("callers", "outside")] = (
                deployment.caller_latency_s
            )
        self.rigs = self._make_rigs(adjust_profile)
        self._client_count = 0
        self._caller_process = self.network.process(
            "callers", "10.8.0.1", "callers"
        )

    def _make_rigs(
        self,
        adjust_profile: typing.Callable[[int, endpoint_module.Profile], None],
    ) -> list[agent_rig.AgentRig]:
        deployment = self.deployment
        documents = []
        for number, speed in enumerate(deployment.speeds):
            domain = deployment.domains[number % len(deployment.domains)]
            documents.append(
                agent_rig.endpoint_document(
                    number + 1,
                    domain,
                    slots=deployment.slots,
                    cold_slots=deployment.slots,
                    weight=speed if deployment.weighted_by_speed else 1.0,
                )
            )
        self.service = agent_rig.service_document(documents)
        rigs = []
        for number, document in enumerate(documents):
            profile = endpoint_module.Profile(
                slots=deployment.slots,
                cold_slots=deployment.slots,
                service_time_s=deployment.service_time_s,
                speed=deployment.speeds[number],
                exponential=deployment.exponential,
            )
            adjust_profile(number, profile)
            rigs.append(
                agent_rig.AgentRig(
                    self.network,
                    document,
                    profile,
                    policy=self.policy,
                    service=self.service,
                )
            )
        return rigs

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all processes as tasks in ``tasks``."""
        tasks.start_soon(self.network.run)
        for rig in self.rigs:
            rig.start_endpoint(tasks)
            await rig.start_agent(tasks)
        ingress_addresses = []
        for number in range(self.deployment.balancers):
            ingress_addresses.append(await self._start_balancer(number, tasks))
        await self._start_fabric(ingress_addresses, tasks)

    async def _start_balancer(
        self, number: int, tasks: anyio.abc.TaskGroup
    ) -> address.Address:
        host = f"10.1.0.{number + 1}"
        ingress = address.Address(host, INGRESS_PORT)
        settings = balancer_rig.balancer_settings(
            f"balancer-{number}",
            f"{host}:{agent_rig.DATA_PORT}",
            settings_module.Ingress(address=str(ingress)),
        )
        process = self.network.process(f"balancer {number}", host)
        ready = anyio.Event()

        async def main() -> None:
            env = process.environment(typing.cast(typing.Any, None))
            async with anyio.create_task_group() as subtasks:
                kernel, _ = await balancer_rig.start(settings, env, subtasks)
                agent_rig.apply(kernel, 1, self.service)
                ready.set()

        virtual_process.spawn(tasks, process, main)
        await ready.wait()
        return ingress

    async def _start_fabric(
        self,
        ingress_addresses: list[address.Address],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        process = self.network.process("fabric", FABRIC_ADDRESS.host)
        fabric = fabric_module.Fabric(
            process.environment(typing.cast(typing.Any, None)),
            [agent_rig.SERVICE_ADDRESS],
            FABRIC_ADDRESS,
            ingress_addresses,
            self.random,
        )
        virtual_process.spawn(tasks, process, fabric.run)
        await fabric.ready.wait()

    async def new_client(
        self,
        tasks: anyio.abc.TaskGroup,
        budget: retry_budget.RetryBudget | None = None,
    ) -> tuple[client_module.Client, typing.Any]:
        """Return a client on its own port, and that port.

        The caller must close the port.
        """
        self._client_count += 1
        # 64 callers share an address, each with its own port.
        host = (
            f"10.8.{self._client_count >> 14 & 255}"
            f".{self._client_count >> 6 & 255}"
        )
        caller = address.Address(host, 10_000 + (self._client_count & 63))
        port = await self._caller_process.open_datagram_port(caller)
        client = client_module.Client(
            port, agent_rig.SERVICE_ADDRESS, self.random, budget
        )
        tasks.start_soon(client.run)
        return client, port

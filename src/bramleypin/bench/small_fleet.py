"""A small fleet under the virtual clock: fabric, balancers, agents.

Scaffolding of the benches on admission and opening. Membership is replaced by
settable services; the data path is the product's.
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
FABRIC = address.Address("10.2.0.1", 7200)


@dataclasses.dataclass
class Deployment:
    """Sizes of one service: an endpoint for each entry of ``speeds``."""

    name: str
    domains: tuple[str, ...]
    speeds: tuple[float, ...]
    slots: int
    service_time_s: float = 0.05
    exponential: bool = True
    balancers: int = 2
    latency_s: float = 0.001
    caller_latency_s: float = 0.001
    weigh: bool = True


class Fleet:
    """The processes of one deployment, and callers on demand."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        policy: str = "adaptive",
        change: typing.Callable[
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
        self.rigs = self._make_rigs(change)
        self._callers = 0
        self._caller_process = self.network.process(
            "callers", "10.8.0.1", "callers"
        )

    def _make_rigs(
        self, change: typing.Callable[[int, endpoint_module.Profile], None]
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
                    weight=speed if deployment.weigh else 1.0,
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
            change(number, profile)
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
        """Start all processes in ``tasks``."""
        tasks.start_soon(self.network.run)
        for rig in self.rigs:
            rig.start_endpoint(tasks)
            await rig.start_agent(tasks)
        ingresses = []
        for number in range(self.deployment.balancers):
            ingresses.append(await self._start_balancer(number, tasks))
        await self._start_fabric(ingresses, tasks)

    async def _start_balancer(
        self, number: int, tasks: anyio.abc.TaskGroup
    ) -> address.Address:
        host = f"10.1.0.{number + 1}"
        at = address.Address(host, INGRESS_PORT)
        settings = balancer_rig.balancer_settings(
            f"balancer-{number}",
            f"{host}:{agent_rig.DATA_PORT}",
            settings_module.Ingress(address=str(at)),
        )
        process = self.network.process(f"balancer {number}", host)
        ready = anyio.Event()

        async def main() -> None:
            env = process.environment(typing.cast(typing.Any, None))
            async with anyio.create_task_group() as inner:
                kernel, _ = await balancer_rig.start(settings, env, inner)
                agent_rig.apply(kernel, 1, self.service)
                ready.set()

        virtual_process.spawn(tasks, process, main)
        await ready.wait()
        return at

    async def _start_fabric(
        self, ingresses: list[address.Address], tasks: anyio.abc.TaskGroup
    ) -> None:
        process = self.network.process("fabric", FABRIC.host)
        fabric = fabric_module.Fabric(
            process.environment(typing.cast(typing.Any, None)),
            [agent_rig.SERVICE_ADDRESS],
            FABRIC,
            ingresses,
            self.random,
        )
        virtual_process.spawn(tasks, process, fabric.run)
        await fabric.ready.wait()

    async def new_client(
        self,
        tasks: anyio.abc.TaskGroup,
        budget: retry_budget.RetryBudget | None = None,
    ) -> tuple[client_module.Client, typing.Any]:
        """Return a client on a port of its own, and the port to close."""
        self._callers += 1
        host = f"10.8.{self._callers >> 14 & 255}.{self._callers >> 6 & 255}"
        at = address.Address(host, 10_000 + (self._callers & 63))
        port = await self._caller_process.open_datagram_port(at)
        client = client_module.Client(
            port, agent_rig.SERVICE_ADDRESS, self.random, budget
        )
        tasks.start_soon(client.run)
        return client, port

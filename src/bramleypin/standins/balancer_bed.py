"""Test bed of balancers and simple agents on a virtual network.

The test bed takes the place of the fabric: it sends each datagram to the
balancer that the test selects and collects the answers.
"""

import dataclasses
import random
import typing

import anyio.abc

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import proxy_header
from bramleypin import settings as settings_module
from bramleypin.standins import balancer_rig
from bramleypin.standins import simple_agent
from bramleypin.standins import virtual_network

DOMAINS = ("austin", "waco", "san-marcos")
SERVICE_ADDRESS = address.Address("10.9.0.1", 5683)
OTHER_ADDRESS = address.Address("10.9.0.2", 5683)
CALLER = address.Address("10.8.0.1", 40_000)
KEYS = (bytes.fromhex(balancer_rig.KEY),)
# Enough time to open a flow when one candidate does not answer, which takes
# two probe rounds.
SETTLE_S = 0.1
DATA_PORT = 7000


@dataclasses.dataclass
class Balancer:
    """A balancer's kernel, simulated membership and ingress address."""

    kernel: kernel_module.Kernel
    membership: balancer_rig.Membership
    ingress: address.Address

    def count(self, reason: str) -> int:
        """Return how many datagrams the balancer dropped for a reason."""
        counts = self.kernel.get("metrics").count_by_name
        return counts.get(f"balancer.dropped.{reason}", 0)


class TestBed:
    """A network with balancers, and with agents of one or more services.

    ``start`` adds agents of ``scheduler``; ``add_agent`` adds agents of any
    service.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        protocol: str = "coap",
        seed: int = 0,
    ):
        self.tasks = tasks
        self.protocol = protocol
        self.network = virtual_network.VirtualNetwork(seed)
        self.agents: list[simple_agent.SimpleAgent] = []
        self.balancers: list[Balancer] = []
        self.answers: list[tuple[address.Address, bytes]] = []
        self._mid = 0

    async def start(
        self,
        agents: int = 3,
        balancers: int = 2,
        limits: settings_module.Limits = settings_module.Limits(),
    ) -> None:
        """Start agents and balancers.

        The balancers have no view until ``publish`` is called.
        """
        self.tasks.start_soon(self.network.run)
        outside = self.network.process("fabric", "10.7.0.1")
        self._port = await outside.open_datagram_port(
            address.Address("10.7.0.1", 1)
        )
        self.tasks.start_soon(self._collect)
        for number in range(agents):
            await self.add_agent(number, "scheduler", self.protocol)
        for number in range(balancers):
            await self.add_balancer(number, limits)

    async def add_agent(
        self, number: int, service: str, protocol: str = "coap"
    ) -> simple_agent.SimpleAgent:
        """Start an agent on a VM of its own."""
        host = f"10.1.0.{number + 1}"
        domain = DOMAINS[number % len(DOMAINS)]
        process = self.network.process(f"agent {number}", host, domain)
        agent = simple_agent.SimpleAgent(
            process.environment(typing.cast(typing.Any, None)),
            address.Address(host, DATA_PORT),
            service,
            domain,
            KEYS,
            random.Random(number),
            protocol,
        )
        await agent.start()
        self.tasks.start_soon(agent.run)
        self.agents.append(agent)
        return agent

    async def add_balancer(
        self,
        number: int,
        limits: settings_module.Limits = settings_module.Limits(),
    ) -> Balancer:
        """Start a balancer with an empty cache and no view."""
        host = f"10.2.0.{number + 1}"
        process = self.network.process(f"balancer {number}", host, "austin")
        settings = balancer_rig.balancer_settings(
            f"balancer-{number}",
            f"{host}:{DATA_PORT}",
            settings_module.Ingress(address=f"{host}:5683"),
            limits,
        )
        env = process.environment(typing.cast(typing.Any, None))
        kernel, membership = await balancer_rig.start(
            settings, env, self.tasks
        )
        balancer = Balancer(
            kernel, membership, kernel.get("ingress").addresses[0]
        )
        self.balancers.append(balancer)
        return balancer

    def publish(
        self,
        revision: int,
        to: typing.Iterable[int] | None = None,
        out: typing.Container[str] = (),
        leaving: typing.Container[int] = (),
        without: typing.Container[int] = (),
        moved: bool = False,
        weight_by_agent: dict[int, float] | None = None,
    ) -> None:
        """Apply a revision at the balancers in ``to``, by default at all.

        ``out`` lists failure domains that are out of service; ``leaving`` and
        ``without`` list agents that are leaving or not configured. ``moved``
        reassigns the address of ``scheduler`` to the other service.
        """
        names = {agent.service for agent in self.agents}
        documents = [
            self._document(
                name, leaving, without, moved, weight_by_agent or {}
            )
            for name in sorted(names)
        ]
        view = balancer_rig.documents(revision, documents, DOMAINS, out)
        for number in range(len(self.balancers)) if to is None else to:
            self.balancers[number].kernel.get("view").apply(*view)

    def _document(
        self,
        name: str,
        leaving: typing.Container[int],
        without: typing.Container[int],
        moved: bool,
        weight_by_agent: dict[int, float],
    ) -> configuration.Service:
        endpoints = tuple(
            configuration.Endpoint(
                id=f"host-{number}",
                failure_domain=agent.failure_domain,
                data=str(agent.port.address),
                control=f"{agent.port.address.host}:7001",
                slots=5,
                weight=weight_by_agent.get(number, 1.0),
                state="leaving" if number in leaving else "in_service",
            )
            for number, agent in enumerate(self.agents)
            if agent.service == name and number not in without
        )
        has_main_address = (name == "scheduler") != moved
        return configuration.Service(
            name=name,
            addresses=(
                str(SERVICE_ADDRESS if has_main_address else OTHER_ADDRESS),
            ),
            endpoints=endpoints,
            protocol=self.protocol,
        )

    async def _collect(self) -> None:
        while True:
            data, _ = await self._port.receive()
            source, caller = proxy_header.decode(data)
            del source
            self.answers.append((caller, data[proxy_header.HEADER_BYTES :]))

    def send(
        self,
        balancer: int,
        datagram: bytes,
        caller: address.Address = CALLER,
        to: address.Address = SERVICE_ADDRESS,
    ) -> None:
        """Send a caller's datagram through a balancer, with a proxy header."""
        header = proxy_header.encode(caller, to)
        self.send_raw(balancer, header + datagram)

    def send_raw(self, balancer: int, data: bytes) -> None:
        """Send bytes to a balancer's ingress without a proxy header."""
        self._port.send(data, self.balancers[balancer].ingress)

    def request(
        self, pin: bytes = b"", method: int = 1, block: int | None = None
    ) -> bytes:
        """Return a confirmable request; ``block`` is a Block2 number."""
        self._mid += 1
        message = coap.message(coap.CON, method, self._mid, b"tk")
        message.opt.uri_path = ("visits",)
        if pin:
            coap.set_option(message, coap.ECHO, pin)
        if block is not None:
            coap.set_uint_option(message, 23, block << 4)
        return coap.encode(message)

    async def ask(
        self, balancer: int, datagram: bytes, **fields: typing.Any
    ) -> bytes | None:
        """Send a datagram and return the last answer after ``SETTLE_S``.

        Returns ``None`` when there is none.
        """
        answer_count = len(self.answers)
        self.send(balancer, datagram, **fields)
        await anyio.sleep(SETTLE_S)
        new_answers = self.answers[answer_count:]
        return new_answers[-1][1] if new_answers else None

    def received(self) -> list[int]:
        """Return how many FORWARD frames each agent handled as owner."""
        return [len(agent.received) for agent in self.agents]

    def owner(self) -> int:
        """Return the index of the only agent that holds a flow."""
        (owner,) = (
            number
            for number, agent in enumerate(self.agents)
            if agent.flow_id_by_key
        )
        return owner


def last_forward(agent: simple_agent.SimpleAgent) -> frames.Forward:
    """Return the last FORWARD frame that an agent handled as owner."""
    return agent.received[-1][0]


def run(
    scenario: typing.Callable[[TestBed], typing.Awaitable[None]],
    protocol: str = "coap",
    seed: int = 0,
) -> None:
    """Run a scenario on a new test bed under the virtual clock."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(TestBed(tasks, protocol, seed))
            tasks.cancel_scope.cancel()

    virtual_network.run(main, seed)

"""Tests of a balancer, agents and the fabric with real loopback sockets."""

import random
import unittest

import anyio

from bramleypin.internal import address
from bramleypin.internal.model import configuration
from bramleypin.internal.net import datagram
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap
from bramleypin import settings as settings_module
from bramleypin.standins import balancer_rig
from bramleypin.standins import fabric as fabric_module
from bramleypin.standins import simple_agent

LOOPBACK = address.Address("127.0.0.1", 0)
KEYS = (bytes.fromhex(balancer_rig.KEY),)
DOMAINS = ("austin", "waco", "san-marcos")


def real_environment() -> environment.Environment:
    """Return an environment with real datagram ports and nothing else."""
    return environment.Environment(
        open_datagram_port=datagram.open_port,
        open_endpoint_port=datagram.open_endpoint_port,
        control=None,
        platform=None,
        random=random.Random(7),
    )


def request(mid: int, pin: bytes = b"") -> bytes:
    """Return an encoded confirmable GET request."""
    message = coap.message(coap.CON, 1, mid, b"tk%02d" % mid)
    message.opt.uri_path = ("visits",)
    if pin:
        coap.set_option(message, coap.ECHO, pin)
    return coap.encode(message)


async def start_agents(env, tasks, count=3):
    """Start agents of one service, each in its own failure domain."""
    agents = []
    for number in range(count):
        agent = simple_agent.SimpleAgent(
            env,
            LOOPBACK,
            "scheduler",
            DOMAINS[number],
            KEYS,
            random.Random(number),
        )
        await agent.start()
        tasks.start_soon(agent.run)
        agents.append(agent)
    return agents


def scheduler(agents, service_address):
    """Return the configuration document of the agents' service."""
    return configuration.Service(
        name="scheduler",
        addresses=(str(service_address),),
        endpoints=tuple(
            configuration.Endpoint(
                id=f"host-{number}",
                failure_domain=agent.failure_domain,
                data=str(agent.port.address),
                control="127.0.0.1:1",
                slots=5,
            )
            for number, agent in enumerate(agents)
        ),
    )


async def close(caller, kernels, agents):
    """Stop the balancers and agents and close all ports."""
    await caller.aclose()
    for kernel in kernels:
        await balancer_rig.stop(kernel)
    for agent in agents:
        await agent.stop()


class TestLoopback(unittest.TestCase):
    def test_answers_return_through_whichever_balancer_is_used(self):
        """Guards against a data path that only works in the virtual network.

        Two balancers get datagrams of one flow, about half of them without a
        pin. All must reach the same agent.
        """

        async def main():
            env = real_environment()
            async with anyio.create_task_group() as tasks:
                agents = await start_agents(env, tasks)
                kernels = []
                for _ in range(2):
                    kernel, _ = await balancer_rig.start(
                        balancer_rig.balancer_settings(), env, tasks
                    )
                    kernels.append(kernel)
                fabric = fabric_module.Fabric(
                    env,
                    [LOOPBACK],
                    LOOPBACK,
                    [kernel.get("ingress").addresses[0] for kernel in kernels],
                    random.Random(3),
                )
                tasks.start_soon(fabric.run)
                await fabric.ready.wait()
                service_address = fabric.service_addresses[0]
                documents = balancer_rig.documents(
                    1, [scheduler(agents, service_address)], DOMAINS
                )
                for kernel in kernels:
                    kernel.get("view").apply(*documents)
                caller = await datagram.open_endpoint_port(service_address)
                pins = set()
                for mid in range(1, 21):
                    pin = pins.copy().pop() if pins and mid % 2 else b""
                    with anyio.fail_after(5):
                        caller.send(request(mid, pin))
                        answer = coap.decode(await caller.receive())
                    self.assertEqual(mid, answer.mid)
                    pins.add(coap.option(answer, coap.ECHO))
                self.assertEqual(1, len(pins))
                request_counts = [len(agent.received) for agent in agents]
                self.assertEqual([0, 0, 20], sorted(request_counts))
                await close(caller, kernels, agents)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_the_direct_ingress_answers_from_the_service_address(self):
        """Guards against answers that a connected socket discards.

        A connected socket only receives datagrams from the address that it is
        connected to.
        """

        async def main():
            env = real_environment()
            ingress = settings_module.Ingress(variant="direct", ports=(0,))
            async with anyio.create_task_group() as tasks:
                agents = await start_agents(env, tasks, 1)
                kernel, _ = await balancer_rig.start(
                    balancer_rig.balancer_settings(ingress=ingress), env, tasks
                )
                port = kernel.get("ingress").addresses[0].port
                service_address = address.Address("127.0.0.77", port)
                kernel.get("view").apply(
                    *balancer_rig.documents(
                        1, [scheduler(agents, service_address)], DOMAINS
                    )
                )
                caller = await datagram.open_endpoint_port(service_address)
                for mid in (1, 2):
                    with anyio.fail_after(5):
                        caller.send(request(mid))
                        answer = coap.decode(await caller.receive())
                    self.assertEqual(mid, answer.mid)
                await close(caller, [kernel], agents)
                tasks.cancel_scope.cancel()

        anyio.run(main)

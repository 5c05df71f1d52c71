"""Tests of flow placement between agents, and of datagram services."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.standins import agent_rig
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process
from tests import agent_fixture

OTHER_CALLER = address.Address("10.8.0.9", 41_000)


def run_with_two_agents(scenario, **fields):
    """Run ``scenario(home, other, sender)`` with two agents."""

    async def main():
        network = virtual_network.VirtualNetwork(5)
        documents = [agent_rig.endpoint_document(n, **fields) for n in (1, 2)]
        service = agent_rig.service_document(documents)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run)
            rigs = []
            for document in documents:
                profile = endpoint_module.Profile()
                rig = agent_rig.AgentRig(
                    network, document, profile, service=service
                )
                rig.start_endpoint(tasks)
                await rig.start_agent(tasks)
                rigs.append(rig)
            sender = agent_rig.Sender(network)
            await sender.start(tasks)
            # Two of the five slots of the home are busy.
            rigs[0].kernel.get("admission").running = 2
            await scenario(*rigs, sender)
            tasks.cancel_scope.cancel()

    virtual_network.run(main)


def candidates(home, other, other_load=0.0):
    """Return both agents as candidates, as a balancer sends them."""
    return tuple(
        frames.Candidate(
            rig.data,
            frames.State.READY,
            load,
            rig.kernel.get("identity").incarnation,
        )
        for rig, load in ((home, 0.0), (other, other_load))
    )


class TestOpening(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("the_less_loaded_agent", 0.1, None, True),
            ("the_home_itself", 1.0, None, False),
            ("no_agent_in_a_failure_domain_that_is_out", 0.1, "out", False),
            ("no_leaving_agent", 0.1, "leaving", False),
        ]
    )
    def test_a_new_flow_goes_to(self, _, load, change, expects_other):
        """Guards against placing flows on agents that the view excludes."""

        async def scenario(home, other, sender):
            if change is not None:
                self._apply_change(home, change)
            data = agent_rig.request("GET", b"tk", path="visits")
            offered_candidates = candidates(home, other, load)
            for _ in range(2):
                sender.forward(
                    home, data, open=True, candidates=offered_candidates
                )
                answer = await sender.answer(b"tk", 1.0)
                self.assertEqual(coap.CONTENT, answer.code)
            owner = other if expects_other else home
            self.assertEqual(
                {owner.data}, {item.owner for item in sender.answer_frames}
            )

        run_with_two_agents(scenario)

    def _apply_change(self, home, change):
        state = "leaving" if change == "leaving" else "in_service"
        other_document = agent_rig.endpoint_document(2, "waco", state=state)
        service = agent_rig.service_document(
            (agent_rig.endpoint_document(1), other_document)
        )
        domains_out = ("waco",) if change == "out" else ()
        agent_rig.apply(home.kernel, 2, service, domains_out)

    def test_a_placement_at_a_restarted_agent_is_discarded(self):
        """Guards against placements that keep naming a dead incarnation."""

        async def scenario(home, other, sender):
            data = agent_rig.request("GET", b"tk", path="visits")
            outdated_candidates = candidates(home, other, 0.1)
            outdated_candidates = (
                outdated_candidates[0],
                frames.Candidate(
                    *self._with_other_incarnation(outdated_candidates[1])
                ),
            )
            sender.forward(
                home, data, open=True, candidates=outdated_candidates
            )
            await anyio.sleep(0.1)
            self.assertEqual(0, len(sender.answers))
            sender.forward(home, data, open=True)
            answer = await sender.answer(b"tk", 1.0)
            self.assertEqual(coap.CONTENT, answer.code)

        run_with_two_agents(scenario)

    def _with_other_incarnation(self, item):
        return item.data, item.state, item.load, item.incarnation + 1


class _EchoEndpoint:
    """An endpoint of a datagram service that echoes each datagram."""

    def __init__(self, process):
        self.process = process
        self.sources = set()

    async def run(self):
        """Echo each datagram with the prefix ``re: ``."""
        process = self.process
        local_address = address.Address(process.host, agent_rig.ENDPOINT_PORT)
        port = await process.open_datagram_port(local_address)
        while True:
            data, source = await port.receive()
            self.sources.add(source)
            port.send(b"re: " + data, source)


class TestDatagramService(unittest.TestCase):
    def test_each_flow_has_a_port_of_its_own(self):
        """Guards against answers that are delivered to another caller."""

        async def scenario(fixture):
            fixture.rig.endpoint.crash()
            await anyio.sleep(0.1)
            host = fixture.rig.data.host
            echo_endpoint = _EchoEndpoint(
                fixture.rig.network.process("echoes", host)
            )
            virtual_process.spawn(
                fixture.tasks, echo_endpoint.process, echo_endpoint.run
            )
            await anyio.sleep(0.1)
            for caller, data in (
                (agent_rig.CALLER, b"\x00one"),
                (OTHER_CALLER, b"\xfftwo"),
                (agent_rig.CALLER, b"three"),
            ):
                fixture.sender.forward(fixture.rig, data, caller=caller)
                await anyio.sleep(0.1)
            answers = [
                (frame.caller, payload)
                for frame, payload in zip(
                    fixture.sender.answer_frames,
                    fixture.sender.payloads,
                    strict=True,
                )
            ]
            self.assertEqual(
                [
                    (agent_rig.CALLER, b"re: \x00one"),
                    (OTHER_CALLER, b"re: \xfftwo"),
                    (agent_rig.CALLER, b"re: three"),
                ],
                answers,
            )
            self.assertEqual(2, len(echo_endpoint.sources))
            await anyio.sleep(400.0)
            flows = fixture.rig.kernel.get("flows")
            self.assertFalse(
                flows.holds((agent_rig.SERVICE_ADDRESS, agent_rig.CALLER))
            )

        document = agent_rig.endpoint_document(1)
        service = agent_rig.service_document((document,), protocol="datagram")
        agent_fixture.run_scenario(
            scenario,
            document=document,
            rig_service=service,
            restart_s=None,
        )

"""Tests of balancers with outdated views and failed agents or balancers."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.balancer import agents as agents_module
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.standins import balancer_bed
from bramleypin.standins import virtual_network

GET, POST = 1, 2
# The weight that makes one endpoint the home of most flows.
HEAVY_WEIGHT_BY_AGENT = {5: 200.0}
OTHER_CALLER = address.Address("10.8.0.2", 40_000)


async def open_pinned_flow(bed):
    """Open a flow through balancer 0; return its pin and owner."""
    answer = await bed.ask(0, bed.request())
    return coap.scan_option(answer, coap.ECHO), bed.owner()


def count_outcomes(bed, balancer):
    """Return a balancer's latest counts of outcomes of ``scheduler``."""
    buckets = bed.balancers[balancer].kernel.get("outcomes").buckets
    return buckets[-1].count_by_outcome["scheduler"] if buckets else {}


def drop_packets_to(bed, agent):
    """Drop all packets to an agent; return the network rule."""
    agent_address = bed.agents[agent].port.address
    return bed.network.add_rule(
        virtual_network.Rule(
            lambda packet: packet.destination == agent_address, loss=1.0
        )
    )


class TestFlowSurvival(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                f"{protocol}_{with_pin}_{name}",
                protocol,
                with_pin,
                updated_balancers,
                change,
            )
            for protocol, with_pin in (
                ("coap", True),
                ("coap", False),
                ("datagram", False),
            )
            for name, updated_balancers, change in (
                ("with_an_empty_cache", [], {}),
                (
                    "with_an_older_view",
                    [0],
                    {"weight_by_agent": HEAVY_WEIGHT_BY_AGENT},
                ),
                (
                    "with_a_newer_view",
                    [1],
                    {"weight_by_agent": HEAVY_WEIGHT_BY_AGENT},
                ),
                ("with_leaving_owners", [0, 1], {"leaving": set(range(6))}),
            )
        ]
    )
    def test_another_balancer_finds_the_owner(
        self, _, protocol, with_pin, updated_balancers, change
    ):
        """Guards against flows that break at another balancer.

        The other balancer has an empty cache and possibly another view, and
        the owners may be leaving. ``updated_balancers`` lists the balancers
        that get the changed configuration.
        """

        async def scenario(bed):
            await bed.start(agents=6)
            bed.publish(1)
            first_datagram = (
                bed.request() if protocol == "coap" else b"\x00first"
            )
            answer = await bed.ask(0, first_datagram)
            owner = bed.owner()
            if change:
                bed.publish(2, to=updated_balancers, **change)
            pin = b""
            if with_pin:
                pin = coap.scan_option(answer, coap.ECHO)
            for balancer in (1, 0, 1):
                later_datagram = b"\xffagain"
                if protocol == "coap":
                    later_datagram = bed.request(pin)
                self.assertIsNotNone(await bed.ask(balancer, later_datagram))
            expected = [0] * 6
            expected[owner] = 4
            self.assertEqual(expected, bed.received())
            forward = balancer_bed.last_forward(bed.agents[owner])
            self.assertEqual(with_pin, forward.pinned)

        balancer_bed.run(scenario, protocol)

    def test_a_dead_candidate_delays_the_first_opening_only(self):
        """Guards against a probe timeout for each new flow after a crash."""

        async def scenario(bed):
            await bed.start()
            bed.publish(1)
            drop_packets_to(bed, 1)
            durations_s = []
            for number in range(2):
                caller = address.Address("10.8.0.3", 41_000 + number)
                answer_count, start_s = len(bed.answers), anyio.current_time()
                bed.send(0, bed.request(), caller=caller)
                while len(bed.answers) == answer_count:
                    await anyio.sleep(0.001)
                durations_s.append(anyio.current_time() - start_s)
                await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertGreater(durations_s[0], 0.03)
            self.assertLess(durations_s[1], 0.015)

        balancer_bed.run(scenario)

    def test_one_lost_probe_moves_no_cached_flow(self):
        """Guards against moving flows of a live agent that is suspected."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, b"first")
            owner = bed.owner()
            rule = drop_packets_to(bed, owner)
            await bed.ask(0, b"of another flow", caller=OTHER_CALLER)
            bed.network.remove_rule(rule)
            status = bed.balancers[0].kernel.get("status").collect()
            self.assertEqual(1, len(status["balancer"]["suspects"]))
            # A new revision makes the balancer recheck every cached flow, and
            # the delay makes the agent answer probes after the others, so the
            # flow would move if its owner were looked up again.
            bed.publish(2)
            agent_address = bed.agents[owner].port.address
            bed.network.add_rule(
                virtual_network.Rule(
                    lambda packet: packet.source == agent_address,
                    delay_s=0.005,
                )
            )
            self.assertIsNotNone(await bed.ask(0, b"again"))
            self.assertEqual(2, bed.received()[owner])

        balancer_bed.run(scenario, "datagram")

    def test_a_flow_without_pin_is_moved_from_a_silent_agent(self):
        """Guards against sending a cached flow to a dead agent forever."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, b"first")
            drop_packets_to(bed, bed.owner())
            await bed.ask(0, b"of another flow", caller=OTHER_CALLER)
            await anyio.sleep(agents_module.SUSPECT_DURATION_S + 2)
            self.assertIsNotNone(await bed.ask(0, b"again"))

        balancer_bed.run(scenario, "datagram")

    def test_a_restarted_agent_is_reached_under_its_new_incarnation(self):
        """Guards against flows that keep using an old incarnation."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            pin, owner = await open_pinned_flow(bed)
            bed.agents[owner].incarnation += 1
            # The first copy is answered by a NOTICE; the second succeeds.
            self.assertIsNone(await bed.ask(0, bed.request(pin)))
            self.assertIsNotNone(await bed.ask(0, bed.request(pin)))

        balancer_bed.run(scenario)


class TestRoutingRules(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("idempotent", GET, None, None, None),
            ("run_once", POST, None, "5.04", coap.Outcome.UNKNOWN),
            ("later_block", GET, 2, "4.08", coap.Outcome.INVALID),
            ("unknown_method", 29, None, "5.04", coap.Outcome.UNKNOWN),
        ]
    )
    def test_a_pin_to_a_domain_that_is_out_is_not_followed(
        self, _, method, block, code, outcome
    ):
        """Guards against packets to a domain that is out, and second runs."""

        async def scenario(bed):
            await bed.start()
            bed.publish(1)
            pin, owner = await open_pinned_flow(bed)
            bed.publish(2, out={bed.agents[owner].failure_domain})
            probes_before = bed.agents[owner].probes
            received_before = bed.received()
            request = bed.request(pin, method, block)
            for balancer in (0, 1):
                answer = coap.decode(await bed.ask(balancer, request))
                self.assertEqual(outcome, coap.outcome(answer))
                if code is not None:
                    self.assertEqual(coap.parse_code(code), answer.code)
                    self.assertEqual(
                        {outcome.name.lower(): 1},
                        count_outcomes(bed, balancer),
                    )
            self.assertEqual(received_before[owner], bed.received()[owner])
            self.assertEqual(probes_before, bed.agents[owner].probes)
            received_elsewhere = sum(bed.received()) - sum(received_before)
            self.assertEqual(2 if code is None else 0, received_elsewhere)
            for agent in bed.agents:
                if agent.received and agent is not bed.agents[owner]:
                    self.assertFalse(balancer_bed.last_forward(agent).pinned)

        balancer_bed.run(scenario)

    def test_a_domain_that_is_out_gets_nothing_for_cached_flows(self):
        """Guards against forwarding by a cache entry from an older view."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, b"first")
            owner = bed.owner()
            # A silent agent is probed once a second unless its domain is
            # out.
            drop_packets_to(bed, owner)
            await bed.ask(0, b"of another flow", caller=OTHER_CALLER)
            bed.publish(2, out={bed.agents[owner].failure_domain})
            destinations = []
            bed.network.on_send.append(
                lambda packet: destinations.append(packet.destination)
            )
            for _ in range(50):
                await bed.ask(0, b"again")
            self.assertNotIn(bed.agents[owner].port.address, destinations)

        balancer_bed.run(scenario, "datagram")

    def test_a_pin_of_another_service_has_no_meaning(self):
        """Guards against a pin that routes a datagram to another service."""

        async def scenario(bed):
            await bed.start()
            other_agent = await bed.add_agent(3, "planstore")
            bed.publish(1)
            answer = await bed.ask(
                0, bed.request(), to=balancer_bed.OTHER_ADDRESS
            )
            pin = coap.scan_option(answer, coap.ECHO)
            received_before = len(other_agent.received)
            self.assertIsNotNone(await bed.ask(0, bed.request(pin)))
            self.assertEqual(received_before, len(other_agent.received))
            self.assertEqual(1, sum(bed.received()[:3]))

        balancer_bed.run(scenario)

    def test_a_moved_address_is_routed_to_its_new_service_only(self):
        """Guards against forwarding cached flows to the old service."""

        async def scenario(bed):
            await bed.start(balancers=1)
            other_agent = await bed.add_agent(3, "planstore")
            bed.publish(1)
            pin, _ = await open_pinned_flow(bed)
            bed.publish(2, moved=True)
            received_before = sum(bed.received()[:3])
            for request in (bed.request(pin), bed.request()):
                self.assertIsNotNone(await bed.ask(0, request))
            self.assertEqual(received_before, sum(bed.received()[:3]))
            self.assertEqual(2, len(other_agent.received))

        balancer_bed.run(scenario)

    def test_datagram_services_are_never_parsed(self):
        """Guards against treating a payload as CoAP with a pin."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            pin = bed.agents[0].pin(1)
            for payload in (b"", b"\xff", bed.request(pin), b"\x40"):
                self.assertEqual(payload, await bed.ask(0, payload))
            (count,) = [count for count in bed.received() if count]
            self.assertEqual(4, count)

        balancer_bed.run(scenario, "datagram")

    def test_an_answer_from_a_wrong_service_reaches_no_caller(self):
        """Guards against relaying answers of an address's old service."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, bed.request())
            answer = frames.Answer(
                revision=1,
                service="planstore",
                service_address=balancer_bed.SERVICE_ADDRESS,
                caller=balancer_bed.CALLER,
                owner=bed.agents[0].port.address,
                incarnation=1,
                pin=b"",
            )
            answer_count = len(bed.answers)
            receiver = bed.balancers[0].kernel.get("frames")
            receiver.handle(
                frames.encode(answer, balancer_bed.KEYS[0], 0, b"secret"),
                answer.owner,
            )
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertEqual(answer_count, len(bed.answers))
            self.assertEqual(1, bed.balancers[0].count("wrong_service"))

        balancer_bed.run(scenario)

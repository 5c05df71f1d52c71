"""What a balancer does while views, agents and other balancers fail."""

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
# One endpoint that becomes the home of most flows.
HEAVY = {5: 200.0}
OTHER_CALLER = address.Address("10.8.0.2", 40_000)


async def pinned(bed):
    """Open a flow through balancer 0; return its pin and its owner."""
    answer = await bed.ask(0, bed.request())
    return coap.scan_option(answer, coap.ECHO), bed.owner()


def outcomes_of(bed, balancer):
    """Return what a balancer counted for the report on burn."""
    counted = bed.balancers[balancer].kernel.get("outcomes").buckets
    return counted[-1].count_by_outcome["scheduler"] if counted else {}


def drop_all_to(bed, agent):
    """Lose everything that is sent to an agent."""
    at = bed.agents[agent].port.address
    return bed.network.add_rule(
        virtual_network.Rule(lambda packet: packet.destination == at, loss=1.0)
    )


class TestFlowSurvival(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{protocol}_{with_pin}_{name}", protocol, with_pin, to, change)
            for protocol, with_pin in (
                ("coap", True),
                ("coap", False),
                ("datagram", False),
            )
            for name, to, change in (
                ("with_an_empty_cache", [], {}),
                ("with_an_older_view", [0], {"weight_by_agent": HEAVY}),
                ("with_a_newer_view", [1], {"weight_by_agent": HEAVY}),
                ("with_leaving_owners", [0, 1], {"leaving": set(range(6))}),
            )
        ]
    )
    def test_another_balancer_finds_the_owner(
        self, _, protocol, with_pin, to, change
    ):
        """Guards against flows broken by a balancer that knows less."""

        async def scenario(bed):
            await bed.start(agents=6)
            bed.publish(1)
            first = bed.request() if protocol == "coap" else b"\x00first"
            answer = await bed.ask(0, first)
            owner = bed.owner()
            if change:
                bed.publish(2, to=to, **change)
            pin = b""
            if with_pin:
                pin = coap.scan_option(answer, coap.ECHO)
            for balancer in (1, 0, 1):
                again = b"\xffagain"
                if protocol == "coap":
                    again = bed.request(pin)
                self.assertIsNotNone(await bed.ask(balancer, again))
            expected = [0] * 6
            expected[owner] = 4
            self.assertEqual(expected, bed.received())
            forward = balancer_bed.last_forward(bed.agents[owner])
            self.assertEqual(with_pin, forward.pinned)

        balancer_bed.run(scenario, protocol)

    def test_a_dead_candidate_delays_the_first_opening_only(self):
        """Guards against a timeout for each new flow after a crash."""

        async def scenario(bed):
            await bed.start()
            bed.publish(1)
            drop_all_to(bed, 1)
            times = []
            for number in range(2):
                caller = address.Address("10.8.0.3", 41_000 + number)
                before, start_s = len(bed.answers), anyio.current_time()
                bed.send(0, bed.request(), caller=caller)
                while len(bed.answers) == before:
                    await anyio.sleep(0.001)
                times.append(anyio.current_time() - start_s)
                await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertGreater(times[0], 0.03)
            self.assertLess(times[1], 0.015)

        balancer_bed.run(scenario)

    def test_one_lost_probe_moves_no_cached_flow(self):
        """Guards against suspicion that breaks flows of a live agent."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, b"first")
            owner = bed.owner()
            rule = drop_all_to(bed, owner)
            await bed.ask(0, b"of another flow", caller=OTHER_CALLER)
            bed.network.remove_rule(rule)
            status = bed.balancers[0].kernel.get("status").collect()
            self.assertEqual(1, len(status["balancer"]["suspects"]))
            # A new revision has every cached flow checked again, and the
            # agent would now answer a probe after the others.
            bed.publish(2)
            at = bed.agents[owner].port.address
            bed.network.add_rule(
                virtual_network.Rule(
                    lambda packet: packet.source == at, delay_s=0.005
                )
            )
            self.assertIsNotNone(await bed.ask(0, b"again"))
            self.assertEqual(2, bed.received()[owner])

        balancer_bed.run(scenario, "datagram")

    def test_a_flow_without_pin_leaves_an_agent_that_stays_silent(self):
        """Guards against a cached flow that is sent to a dead agent."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, b"first")
            drop_all_to(bed, bed.owner())
            await bed.ask(0, b"of another flow", caller=OTHER_CALLER)
            await anyio.sleep(agents_module.SUSPECT_S + 2)
            self.assertIsNotNone(await bed.ask(0, b"again"))

        balancer_bed.run(scenario, "datagram")

    def test_a_restarted_agent_is_reached_under_its_new_incarnation(self):
        """Guards against flows stuck at an incarnation that is gone."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            pin, owner = await pinned(bed)
            bed.agents[owner].incarnation += 1
            # The first copy meets a NOTICE; the retransmission succeeds.
            self.assertIsNone(await bed.ask(0, bed.request(pin)))
            self.assertIsNotNone(await bed.ask(0, bed.request(pin)))

        balancer_bed.run(scenario)


class TestBorder(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("idempotent", GET, None, None, None),
            ("run_once", POST, None, "5.04", coap.Outcome.UNKNOWN),
            ("later_block", GET, 2, "4.08", coap.Outcome.INVALID),
            ("unknown_method", 29, None, "5.04", coap.Outcome.UNKNOWN),
        ]
    )
    def test_a_pin_into_a_domain_that_is_out(
        self, _, method, block, code, outcome
    ):
        """Guards against packets into it, and against a second run."""

        async def scenario(bed):
            await bed.start()
            bed.publish(1)
            pin, owner = await pinned(bed)
            bed.publish(2, out={bed.agents[owner].failure_domain})
            probes = bed.agents[owner].probes
            before = bed.received()
            request = bed.request(pin, method, block)
            for balancer in (0, 1):
                answer = coap.decode(await bed.ask(balancer, request))
                self.assertEqual(outcome, coap.outcome(answer))
                if code is not None:
                    self.assertEqual(coap.parse_code(code), answer.code)
                    self.assertEqual(
                        {outcome.name.lower(): 1}, outcomes_of(bed, balancer)
                    )
            self.assertEqual(before[owner], bed.received()[owner])
            self.assertEqual(probes, bed.agents[owner].probes)
            elsewhere = sum(bed.received()) - sum(before)
            self.assertEqual(2 if code is None else 0, elsewhere)
            for agent in bed.agents:
                if agent.received and agent is not bed.agents[owner]:
                    self.assertFalse(balancer_bed.last_forward(agent).pinned)

        balancer_bed.run(scenario)

    def test_a_domain_that_is_out_gets_nothing_for_cached_flows(self):
        """Guards against the cache outliving the view that filled it."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            await bed.ask(0, b"first")
            owner = bed.owner()
            # A silent agent is asked again each second, but not once out.
            drop_all_to(bed, owner)
            await bed.ask(0, b"of another flow", caller=OTHER_CALLER)
            bed.publish(2, out={bed.agents[owner].failure_domain})
            seen = []
            bed.network.on_send.append(
                lambda packet: seen.append(packet.destination)
            )
            for _ in range(50):
                await bed.ask(0, b"again")
            self.assertNotIn(bed.agents[owner].port.address, seen)

        balancer_bed.run(scenario, "datagram")

    def test_a_pin_of_another_service_has_no_meaning(self):
        """Guards against a pin that routes a datagram to another service."""

        async def scenario(bed):
            await bed.start()
            other = await bed.add_agent(3, "planstore")
            bed.publish(1)
            answer = await bed.ask(
                0, bed.request(), to=balancer_bed.OTHER_ADDRESS
            )
            pin = coap.scan_option(answer, coap.ECHO)
            before = len(other.received)
            self.assertIsNotNone(await bed.ask(0, bed.request(pin)))
            self.assertEqual(before, len(other.received))
            self.assertEqual(1, sum(bed.received()[:3]))

        balancer_bed.run(scenario)

    def test_an_address_that_moved_leads_to_its_new_service_only(self):
        """Guards against cached flows that follow the address's past."""

        async def scenario(bed):
            await bed.start(balancers=1)
            other = await bed.add_agent(3, "planstore")
            bed.publish(1)
            pin, _ = await pinned(bed)
            bed.publish(2, moved=True)
            before = sum(bed.received()[:3])
            for request in (bed.request(pin), bed.request()):
                self.assertIsNotNone(await bed.ask(0, request))
            self.assertEqual(before, sum(bed.received()[:3]))
            self.assertEqual(2, len(other.received))

        balancer_bed.run(scenario)

    def test_datagram_services_are_never_parsed(self):
        """Guards against a payload that looks like a CoAP pin."""

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
        """Guards against crossed answers after an address has moved."""

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
            before = len(bed.answers)
            receiver = bed.balancers[0].kernel.get("frames")
            receiver.handle(
                frames.encode(answer, balancer_bed.KEYS[0], 0, b"secret"),
                answer.owner,
            )
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertEqual(before, len(bed.answers))
            self.assertEqual(1, bed.balancers[0].count("wrong_service"))

        balancer_bed.run(scenario)

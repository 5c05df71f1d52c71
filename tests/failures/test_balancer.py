"""What a balancer does while views, agents and other balancers fail."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.balancer import agents as agents_module
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin import settings as settings_module
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
            forward = balancer_bed.latest(bed.agents[owner])
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
                    self.assertEqual(coap.code_number(code), answer.code)
            self.assertEqual(before[owner], bed.received()[owner])
            self.assertEqual(probes, bed.agents[owner].probes)
            elsewhere = sum(bed.received()) - sum(before)
            self.assertEqual(2 if code is None else 0, elsewhere)
            for agent in bed.agents:
                if agent.received and agent is not bed.agents[owner]:
                    self.assertFalse(balancer_bed.latest(agent).pinned)

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


class TestLeaseAndLeaving(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("path_1", True), ("path_2_cached", False), ("new_flow", None)]
    )
    def test_nothing_is_sent_without_a_lease(self, _, with_pin):
        """Guards against forwarding on the view of before a pause."""

        async def scenario(bed):
            await bed.start()
            bed.publish(1)
            pin, _ = await pinned(bed)
            balancer = bed.balancers[0]
            balancer.membership.valid = False
            seen = []
            bed.network.on_send.append(lambda packet: seen.append(packet))
            caller = OTHER_CALLER if with_pin is None else balancer_bed.CALLER
            request = bed.request(pin if with_pin else b"")
            self.assertIsNone(await bed.ask(0, request, caller=caller))
            self.assertEqual(1, len(seen))
            self.assertEqual(1, balancer.count("no_lease"))

        balancer_bed.run(scenario)

    def test_a_lease_that_ends_during_an_opening_stops_it(self):
        """Guards against a pause between the probes and the datagram."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            bed.send(0, bed.request())
            await anyio.sleep(0.0025)
            bed.balancers[0].membership.valid = False
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertEqual([0, 0, 0], bed.received())
            self.assertEqual(3, sum(agent.probes for agent in bed.agents))

        balancer_bed.run(scenario)

    @parameterized.parameterized.expand([("configured",), ("listed",)])
    def test_a_leaving_endpoint_gets_no_new_flows(self, way):
        """Guards against new work for an endpoint that is leaving."""

        async def scenario(bed):
            await bed.start(balancers=1)
            configured = {1} if way == "configured" else ()
            bed.publish(1, leaving=configured)
            if way == "listed":
                at = bed.agents[1].port.address
                bed.balancers[0].membership.leaving.add(at)
            for number in range(30):
                caller = address.Address("10.8.0.4", 42_000 + number)
                await bed.ask(0, bed.request(), caller=caller)
            counts = bed.received()
            self.assertEqual(0, counts[1])
            self.assertEqual(30, sum(counts))

        balancer_bed.run(scenario)

    @parameterized.parameterized.expand(
        [
            ("GET", GET, "5.04", coap.Outcome.UNKNOWN),
            ("POST", POST, "5.03", coap.Outcome.NOT_RUN),
        ]
    )
    def test_a_flow_that_no_endpoint_takes_is_answered(
        self, _, method, code, outcome
    ):
        """Guards against "not run" for a request that may have run."""

        async def scenario(bed):
            await bed.start()
            bed.publish(1, leaving={0, 1, 2})
            answer = await bed.ask(0, bed.request(method=method))
            answer = coap.decode(answer)
            self.assertEqual(coap.code_number(code), answer.code)
            self.assertEqual(outcome, coap.outcome(answer))

        balancer_bed.run(scenario)

    def test_a_notice_makes_the_balancer_fetch_the_newer_revision(self):
        """Guards against a partitioned balancer that stays stale."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            control = address.Address("10.1.0.1", 7001)
            notice = frames.Notice(frames.Reason.NEWER_REVISION, 9, control, 5)
            bed.balancers[0].kernel.get("frames").handle(
                frames.encode(notice, balancer_bed.KEYS[0]),
                bed.agents[0].port.address,
            )
            reports = bed.balancers[0].membership.reports
            self.assertEqual([(9, control)], reports)

        balancer_bed.run(scenario)

    def test_draining_forwards_answers_and_opens_nothing(self):
        """Guards against a graceful stop that cuts a request in flight."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            pin, _ = await pinned(bed)
            slow = virtual_network.Rule(
                lambda packet: packet.source.host.startswith("10.1."),
                delay_s=20.0,
            )
            bed.network.add_rule(slow)
            before = len(bed.answers)
            bed.send(0, bed.request(pin))
            await anyio.sleep(0.01)
            start_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                forwarder = bed.balancers[0].kernel.get("forwarder")
                tasks.start_soon(forwarder.drain)
                await anyio.sleep(1)
                bed.send(0, bed.request(), caller=OTHER_CALLER)
            took_s = anyio.current_time() - start_s
            self.assertEqual(before + 1, len(bed.answers))
            self.assertEqual(1, bed.balancers[0].count("draining"))
            self.assertGreater(took_s, 19)
            self.assertLess(took_s, 25)

        balancer_bed.run(scenario)


class TestBounds(unittest.TestCase):
    def test_queues_and_caches_stay_within_their_limits(self):
        """Guards against memory that grows with the load."""

        async def scenario(bed):
            limits = settings_module.Limits(flow_cache=10, waiting_datagrams=3)
            await bed.start(balancers=1, limits=limits)
            bed.publish(1)
            for number in range(30):
                caller = address.Address("10.8.0.5", 43_000 + number)
                await bed.ask(0, bed.request(), caller=caller)
            forwarder = bed.balancers[0].kernel.get("forwarder")
            self.assertEqual(10, len(forwarder.cache))
            before = sum(bed.received())
            for _ in range(8):
                bed.send(0, bed.request(), caller=OTHER_CALLER)
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertEqual(3, sum(bed.received()) - before)
            self.assertEqual(5, bed.balancers[0].count("opening_queue"))

        balancer_bed.run(scenario)

    def test_the_cache_spares_flows_in_use(self):
        """Guards against busy flows evicted by a burst of new ones."""

        async def scenario(bed):
            limits = settings_module.Limits(flow_cache=4)
            await bed.start(balancers=1, limits=limits)
            bed.publish(1)
            pin, _ = await pinned(bed)
            forwarder = bed.balancers[0].kernel.get("forwarder")
            ((key, entry),) = forwarder.cache.items()
            for number in range(12):
                caller = address.Address("10.8.0.6", 44_000 + number)
                await bed.ask(0, bed.request(), caller=caller)
                await bed.ask(0, bed.request(pin))
                self.assertIs(entry, forwarder.cache.get(key))

        balancer_bed.run(scenario)

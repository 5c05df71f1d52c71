"""Tests of leases, leaving endpoints, draining and limits of balancers."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin import settings as settings_module
from bramleypin.standins import balancer_bed
from bramleypin.standins import virtual_network
from tests.failures import test_balancer

GET, POST = test_balancer.GET, test_balancer.POST
OTHER_CALLER = test_balancer.OTHER_CALLER
open_pinned_flow = test_balancer.open_pinned_flow


class TestLeaseAndLeaving(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("with_pin", True), ("cached", False), ("new_flow", None)]
    )
    def test_nothing_is_sent_without_a_lease(self, _, with_pin):
        """Guards against forwarding with an outdated view after a pause.

        ``with_pin`` is ``None`` for a datagram of a new flow.
        """

        async def scenario(bed):
            await bed.start()
            bed.publish(1)
            pin, _ = await open_pinned_flow(bed)
            balancer = bed.balancers[0]
            balancer.membership.valid = False
            sent_packets = []
            bed.network.on_send.append(
                lambda packet: sent_packets.append(packet)
            )
            caller = OTHER_CALLER if with_pin is None else balancer_bed.CALLER
            request = bed.request(pin if with_pin else b"")
            self.assertIsNone(await bed.ask(0, request, caller=caller))
            # The only packet is the caller's own datagram.
            self.assertEqual(1, len(sent_packets))
            self.assertEqual(1, balancer.count("no_lease"))

        balancer_bed.run(scenario)

    def test_a_lease_that_ends_during_an_opening_stops_it(self):
        """Guards against forwarding after a pause during an opening."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            bed.send(0, bed.request())
            # One hop takes 1 ms: the agents have received the probes, but
            # their answers have not arrived yet.
            await anyio.sleep(0.0025)
            bed.balancers[0].membership.valid = False
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertEqual([0, 0, 0], bed.received())
            self.assertEqual(3, sum(agent.probes for agent in bed.agents))

        balancer_bed.run(scenario)

    @parameterized.parameterized.expand([("configured",), ("listed",)])
    def test_a_leaving_endpoint_gets_no_new_flows(self, source):
        """Guards against new flows at an endpoint that is leaving."""

        async def scenario(bed):
            await bed.start(balancers=1)
            leaving_agents = {1} if source == "configured" else ()
            bed.publish(1, leaving=leaving_agents)
            if source == "listed":
                agent_address = bed.agents[1].port.address
                bed.balancers[0].membership.leaving.add(agent_address)
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
        """Guards against the answer "not run" to a request that may have run.

        An earlier copy of an idempotent request may have run.
        """

        async def scenario(bed):
            await bed.start()
            bed.publish(1, leaving={0, 1, 2})
            answer = await bed.ask(0, bed.request(method=method))
            answer = coap.decode(answer)
            self.assertEqual(coap.parse_code(code), answer.code)
            self.assertEqual(outcome, coap.outcome(answer))

        balancer_bed.run(scenario)

    def test_a_notice_makes_the_balancer_fetch_the_newer_revision(self):
        """Guards against a partitioned balancer that keeps an old view."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            control = address.Address("10.1.0.1", 7001)
            notice = frames.Notice(
                frames.NoticeReason.NEWER_REVISION, 9, control, 5
            )
            bed.balancers[0].kernel.get("frames").handle(
                frames.encode(notice, balancer_bed.KEYS[0]),
                bed.agents[0].port.address,
            )
            reports = bed.balancers[0].membership.reports
            self.assertEqual([(9, control)], reports)

        balancer_bed.run(scenario)

    def test_draining_forwards_answers_and_opens_nothing(self):
        """Guards against a shutdown that aborts outstanding requests."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            pin, _ = await open_pinned_flow(bed)
            delay_rule = virtual_network.Rule(
                lambda packet: packet.source.host.startswith("10.1."),
                delay_s=20.0,
            )
            bed.network.add_rule(delay_rule)
            answer_count = len(bed.answers)
            bed.send(0, bed.request(pin))
            await anyio.sleep(0.01)
            start_s = anyio.current_time()
            async with anyio.create_task_group() as tasks:
                forwarder = bed.balancers[0].kernel.get("forwarder")
                tasks.start_soon(forwarder.drain)
                await anyio.sleep(1)
                bed.send(0, bed.request(), caller=OTHER_CALLER)
            elapsed_s = anyio.current_time() - start_s
            self.assertEqual(answer_count + 1, len(bed.answers))
            self.assertEqual(1, bed.balancers[0].count("draining"))
            self.assertGreater(elapsed_s, 19)
            self.assertLess(elapsed_s, 25)

        balancer_bed.run(scenario)


class TestLimits(unittest.TestCase):
    def test_queues_and_caches_stay_within_their_limits(self):
        """Guards against memory use that grows with the load."""

        async def scenario(bed):
            limits = settings_module.Limits(flow_cache=10, waiting_datagrams=3)
            await bed.start(balancers=1, limits=limits)
            bed.publish(1)
            for number in range(30):
                caller = address.Address("10.8.0.5", 43_000 + number)
                await bed.ask(0, bed.request(), caller=caller)
            forwarder = bed.balancers[0].kernel.get("forwarder")
            self.assertEqual(10, len(forwarder.cache))
            received_before = sum(bed.received())
            for _ in range(8):
                bed.send(0, bed.request(), caller=OTHER_CALLER)
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertEqual(3, sum(bed.received()) - received_before)
            self.assertEqual(5, bed.balancers[0].count("opening_queue"))

        balancer_bed.run(scenario)

    def test_the_cache_does_not_evict_active_flows(self):
        """Guards against evicting active flows during a burst of new ones."""

        async def scenario(bed):
            limits = settings_module.Limits(flow_cache=4)
            await bed.start(balancers=1, limits=limits)
            bed.publish(1)
            pin, _ = await open_pinned_flow(bed)
            forwarder = bed.balancers[0].kernel.get("forwarder")
            ((key, entry),) = forwarder.cache.items()
            for number in range(12):
                caller = address.Address("10.8.0.6", 44_000 + number)
                await bed.ask(0, bed.request(), caller=caller)
                await bed.ask(0, bed.request(pin))
                self.assertIs(entry, forwarder.cache.get(key))

        balancer_bed.run(scenario)

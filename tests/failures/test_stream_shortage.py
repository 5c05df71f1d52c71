"""Tests of stream flows while a service lacks capacity."""

import collections
import contextlib
import dataclasses
import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.bench import shortage
from bramleypin.internal.observe import metrics
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import opening_metrics
from bramleypin.internal.stream import peer_port
from bramleypin.internal.stream import refusal
from bramleypin.internal.stream import slot_queue
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_fleet
from tests.failures import test_stream_flows

# The bound of docs/hard-load.md, rule 4.
MAX_OFFERS_PER_OPENING = 1.5


def play(name: str, duration_s: float = 2.5):
    """Play a scenario of the bench; return what callers got, and offers."""
    routes, demands, fault = shortage.SCENARIOS[name]
    return shortage.play(routes, demands, 1, fault, duration_s)


@contextlib.contextmanager
def counted_metrics():
    """Collect the times at which daemons count each metric."""
    times_s_by_name = collections.defaultdict(list)

    def count(_, name, n=1):
        times_s_by_name[name].append(anyio.current_time())

    with mock.patch.object(metrics.Metrics, "count", count):
        yield times_s_by_name


class ShortageTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("two_priorities",), ("endpoints_return",)]
    )
    def test_an_opening_in_a_backlog_is_offered_seldom(self, name):
        """Guards against offers to agents that have no slot.

        Six balancers compete for the slots of twelve endpoints.
        """
        _, count = play(name, 3.5)
        self.assertLessEqual(count.offers_per_opening, MAX_OFFERS_PER_OPENING)

    def test_the_higher_priority_is_in_time_at_all_balancers(self):
        """Guards against slots that go to a lower priority in a shortage.

        The higher priority needs a third of the capacity, both priorities
        together one and a half times the capacity. Their objectives are
        equal, as a longer one alone gives an advantage.
        """
        _, demands, fault = shortage.SCENARIOS["two_priorities"]
        routes = (
            stream_fleet.route(8443, priority=1, latency_objective_s=0.336),
            stream_fleet.route(443, priority=2, latency_objective_s=0.336),
        )
        demands = [
            dataclasses.replace(demand, objective_s=0.336)
            for demand in demands
        ]
        served_by_name, _ = shortage.play(routes, demands, 1, fault, 2.5)
        bookings = served_by_name["bookings"]
        self.assertGreaterEqual(bookings.in_time, 0.95 * bookings.sent)
        practice = served_by_name["practice"]
        self.assertGreaterEqual(practice.in_time, 0.4 * practice.sent)

    def test_one_caller_does_not_displace_the_others(self):
        """Guards against a caller whose openings take most slots."""
        served_by_name, _ = play("one_caller_sends_half")
        one, others = served_by_name["one caller"], served_by_name["others"]
        self.assertGreater(
            others.in_time / others.sent, one.in_time / one.sent
        )

    def test_no_refusal_before_the_endpoints_have_returned(self):
        """Guards against refusals on the rate of the first moments.

        All endpoints are away for 1.5 s and return at once. The bench's load
        begins 3.5 s after the start, and the outage 1 s later.
        """
        with counted_metrics() as times_s_by_name:
            play("endpoints_return", 3.5)
        times_s = times_s_by_name[opening_metrics.OPENINGS_NOT_IN_TIME]
        returned_s = 3.5 + 1.0 + 1.5
        self.assertGreater(
            len(times_s_by_name[opening_metrics.OPENINGS_REFUSED]), 0
        )
        self.assertEqual([], [s for s in times_s if s < returned_s + 1.0])

    def test_a_long_backlog_is_refused_early(self):
        """Guards against callers that wait for 1.2 s without a chance."""
        with counted_metrics() as times_s_by_name:
            play("two_priorities", 3.0)
        self.assertNotEqual(
            [], times_s_by_name[opening_metrics.OPENINGS_NOT_IN_TIME]
        )

    def test_a_refused_opening_is_not_offered_again(self):
        """Guards against a flow that opens at an endpoint after its reset.

        All resets are sent as late as possible after the decision.
        """
        offered_s_by_flow, reset_s_by_flow = {}, {}
        codec = stream_codec.TestCodec()
        original_send = peer_port.PeerPort.send
        original_send_raw = peer_port.PeerPort.send_raw

        def send(port, host, message, packet=b""):
            if isinstance(message, frames.Offer):
                flow = codec.decode(packet).flow_from_caller()
                offered_s_by_flow[flow] = anyio.current_time()
            original_send(port, host, message, packet)

        def send_raw(port, data, destination):
            packet = codec.decode(data)
            # Agents send the resets of endpoints.
            if packet.rst and port.kernel.settings.role == "stream_balancer":
                flow = packet.flow_from_endpoint()
                self.assertNotIn(flow, reset_s_by_flow)
                reset_s_by_flow[flow] = anyio.current_time()
            original_send_raw(port, data, destination)

        delay_s = refusal.RESET_SPREAD_S
        with (
            mock.patch.object(
                refusal.ResetSpread, "delay_s", lambda spread, now_s: delay_s
            ),
            mock.patch.object(peer_port.PeerPort, "send", send),
            mock.patch.object(peer_port.PeerPort, "send_raw", send_raw),
        ):
            play("two_priorities", 3.0)
        self.assertGreater(len(reset_s_by_flow), 100)
        late = [
            flow
            for flow, reset_s in reset_s_by_flow.items()
            if offered_s_by_flow.get(flow, -1.0) > reset_s - delay_s
        ]
        self.assertEqual([], late)

    def test_an_agent_serves_the_most_urgent_balancer(self):
        """Guards against a free slot for the balancer that asked first.

        One request runs and one is queued until 0.3 s have passed.
        """
        told = []
        original_send = peer_port.PeerPort.send

        def send(port, host, message, packet=b""):
            if isinstance(message, frames.LoadReport):
                told.append(host)
            original_send(port, host, message, packet)

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=3, slots=1, work_s=0.3
            )
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    address = test_stream_flows.SERVICE
                    tasks.start_soon(caller.request, address)
                await anyio.sleep(0.2)
                with mock.patch.object(peer_port.PeerPort, "send", send):
                    for name, rank, deadline_ms in (
                        ("b0", slot_queue.LATE_RANK, 100),
                        ("b1", 1, 250),
                        ("b2", 0, 300),
                    ):
                        kernel = fleet.balancer_by_name[name].kernel
                        request = frames.SlotRequest("desk", rank, deadline_ms)
                        kernel.get("peer_port").send("10.0.1.0", request)
                        await anyio.sleep(0.01)
                    await anyio.sleep(0.2)
            return list(told)

        self.assertEqual(
            ["10.0.0.3", "10.0.0.2"],
            test_stream_flows.run_scenario(scenario),
        )


if __name__ == "__main__":
    unittest.main()

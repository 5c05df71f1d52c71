"""Tests of flows that are lost with the power of all machines.

The load: callers keep flows open, and after the loss each of them sends its
next request on a flow that no endpoint holds any more.
"""

import contextlib
import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import lookup_queue
from bramleypin.internal.stream import lost_flows
from bramleypin.internal.stream import peer_port
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.standins import stream_fleet
from tests.failures import test_kept_flows
from tests.failures import test_stream_flows

ENDPOINTS = 24
# Before the fifth transmission of a request, at 3.0 s.
REQUEST_S = 2.9


@contextlib.contextmanager
def count_lookups(counts: dict[str, int]):
    """Count the frames that ask agents for the owners of flows."""
    original_send_to_all = peer_port.PeerPort.send_to_all

    def send_to_all(port, hosts, message):
        if isinstance(message, (frames.Lookup, frames.LookupBatch)):
            counts["lookups"] = counts.get("lookups", 0) + len(hosts)
        original_send_to_all(port, hosts, message)

    with mock.patch.object(peer_port.PeerPort, "send_to_all", send_to_all):
        yield


def restart_endpoints(fleet, started_before_s: float = 0.0) -> None:
    """Restart all endpoints and register their new lifetimes.

    They started ``started_before_s`` seconds before now.
    """
    started_s = anyio.current_time() - started_before_s
    started_ms = int((stream_fleet.UNIX_START_S + started_s) * 1000)
    for name, endpoint in fleet.endpoint_by_name.items():
        endpoint.crash()
        fleet.store.put(
            fleet.registration(name, created=2, started_ms=started_ms)
        )


class PowerLossTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("the_endpoint_starts_after_its_agent", 0.0, False),
            ("the_endpoint_started_long_before_its_agent", 30.0, True),
        ]
    )
    def test_a_lost_flow_is_tried_only_where_it_may_be_open(
        self, _, started_before_s, is_tried
    ):
        """Guards against requests sent to all endpoints, on narrow links.

        An agent that started before its endpoint has seen all of its flows.
        """

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=6
            )
            await test_kept_flows.restart(
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            )
            restart_endpoints(fleet, started_before_s)
            await anyio.sleep(0.6)
            outcomes = await test_kept_flows.request_on_each(kept_flows)
            bounced = sum(
                endpoint.bounced_packets
                for endpoint in fleet.endpoint_by_name.values()
            )
            return outcomes, bounced

        outcomes, bounced = test_stream_flows.run_scenario(scenario)
        self.assertEqual({"reset"}, test_stream_flows.outcome_kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.25)
        self.assertEqual(is_tried, bounced > 0)

    def test_a_flow_that_an_older_endpoint_holds_is_found(self):
        """Guards against an agent that rules out what it has not seen.

        Only the daemons have restarted; an endpoint that registers again with
        the same start still holds its flows.
        """

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=6
            )
            await test_kept_flows.restart(
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            )
            for name in fleet.endpoint_by_name:
                fleet.store.put(fleet.registration(name))
            await anyio.sleep(0.6)
            return await test_kept_flows.request_on_each(kept_flows)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )

    def test_few_agents_are_asked_for_each_lost_flow(self):
        """Guards against searches that fill the links of narrow balancers."""
        counts: dict[str, int] = {}

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=ENDPOINTS
            )
            await test_kept_flows.restart(
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            )
            restart_endpoints(fleet)
            await anyio.sleep(0.6)
            with count_lookups(counts):
                await test_kept_flows.request_on_each(kept_flows)
            return len(kept_flows)

        flow_count = test_stream_flows.run_scenario(scenario)
        self.assertLessEqual(counts["lookups"], 10 * flow_count)

    def test_many_searches_share_frames(self):
        """Guards against a frame to every agent for each lost flow.

        Hundreds of flows are searched for at the same time, and every agent
        has to answer for each of them.
        """
        times_by_link: dict[tuple[str, str], list[float]] = {}
        original_send_to_all = peer_port.PeerPort.send_to_all

        def send_to_all(port, hosts, message):
            if isinstance(message, (frames.Lookup, frames.LookupBatch)):
                for host in hosts:
                    link = (port.kernel.settings.host, host)
                    times = times_by_link.setdefault(link, [])
                    times.append(anyio.current_time())
            original_send_to_all(port, hosts, message)

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, count=200, endpoints=ENDPOINTS, balancers=1
            )
            await test_kept_flows.restart(
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            )
            restart_endpoints(fleet)
            await anyio.sleep(0.6)
            with mock.patch.object(
                peer_port.PeerPort, "send_to_all", send_to_all
            ):
                return await test_kept_flows.request_on_each(kept_flows)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual({"reset"}, test_stream_flows.outcome_kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.25)
        self.assertEqual(ENDPOINTS, len(times_by_link))
        for times in times_by_link.values():
            # Each batch of 200 lookups needs several frames.
            frames_per_batch = 200 // lookup_queue.LOOKUPS_PER_FRAME + 1
            batches = (times[-1] - times[0]) / lookup_queue.BATCH_INTERVAL_S
            self.assertLessEqual(
                len(times), (round(batches) + 1) * frames_per_batch
            )

    def test_a_copy_of_an_answer_does_not_count_for_another_agent(self):
        """Guards against a reset while the owner's agent has not answered.

        The network may deliver a frame twice.
        """
        original_send = peer_port.PeerPort.send

        def send(port, host, message, packet=b""):
            is_answer = isinstance(
                message, (frames.LookupAnswer, frames.LookupBatchAnswer)
            )
            for _ in range(2 if is_answer else 1):
                original_send(port, host, message, packet)

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(fleet, keep_open=True)
            # Agents rule out flows that they do not know.
            await anyio.sleep(stream_settings.Bounds().flow_lifetime_s)
            kept_flows = [
                await caller.open_kept_flow(test_kept_flows.SERVICE)
                for _ in range(12)
            ]
            fleet.agent_by_name["e0"].kill()
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(2.5)
            return await test_kept_flows.request_on_each(kept_flows, 1.0)

        with mock.patch.object(peer_port.PeerPort, "send", send):
            outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered", "silence"}, test_stream_flows.outcome_kinds(outcomes)
        )

    def test_a_search_is_repeated_once_the_agents_run(self):
        """Guards against waiting for the caller's next transmission.

        Balancers start before the agents, so that the first search gets no
        answer; the caller's next transmission is 1.6 s away.
        """

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, count=4, endpoints=6
            )
            agents = list(fleet.agent_by_name.values())
            for agent in agents:
                agent.kill()
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(0.3)
            outcomes = []

            async def send():
                outcomes.extend(
                    await test_kept_flows.request_on_each(kept_flows)
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                # The caller transmits at 0, 0.2, 0.6, 1.4 and 3.0 s.
                await anyio.sleep(1.45)
                for agent in agents:
                    agent.start()
                restart_endpoints(fleet)
            return outcomes

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual({"reset"}, test_stream_flows.outcome_kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 2.6)

    def test_searches_without_answers_are_bounded(self):
        """Guards against searches that keep a balancer busy for good.

        No agent answers, as with a balancer that has no processor time left
        for the answers, while each of many flows is searched for.
        """
        counts: dict[str, int] = {}

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, count=200, endpoints=ENDPOINTS, balancers=1
            )
            for agent in fleet.agent_by_name.values():
                agent.kill()
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(0.3)
            with count_lookups(counts):
                await test_kept_flows.request_on_each(kept_flows, REQUEST_S)

        test_stream_flows.run_scenario(scenario)
        # Each of the caller's four transmissions may start a search, which
        # asks ten agents; the balancer repeats at most 100 a second.
        repeated = REQUEST_S / lost_flows.UNANSWERED_INTERVAL_S
        self.assertLessEqual(counts["lookups"], (4 * 200 + repeated) * 10)


if __name__ == "__main__":
    unittest.main()

"""Tests of flows that carry many requests and outlive the daemons' state."""

import unittest

import anyio
import parameterized

from bramleypin.internal.stream import candidates
from bramleypin.standins import stream_fleet
from tests.failures import test_stream_flows

SERVICE = test_stream_flows.SERVICE
# A flow breaks if this many of its packets reach other endpoints, and none its
# own, within this time.
BREAKING_PACKETS = 3
BREAKING_WINDOW_S = 2.0


async def start_kept_flows(fleet, count: int = 12, **options):
    """Start a fleet of endpoints that keep flows; return open flows."""
    caller = await test_stream_flows.start_fleet(
        fleet, keep_open=True, **options
    )
    kept_flows = [await caller.open_kept_flow(SERVICE) for _ in range(count)]
    for kept_flow in kept_flows:
        await kept_flow.request()
    return kept_flows


async def restart(*daemons, down_s: float = 0.2):
    """Kill daemons and start them again."""
    for daemon in daemons:
        daemon.kill()
    await anyio.sleep(down_s)
    for daemon in daemons:
        daemon.start()


async def request_on_each(kept_flows, budget_s: float = 4.0):
    """Send a request on each flow at the same time; return the outcomes."""
    outcomes = []

    async def send(kept_flow):
        outcomes.append(await kept_flow.request(budget_s))

    async with anyio.create_task_group() as tasks:
        for kept_flow in kept_flows:
            tasks.start_soon(send, kept_flow)
    return outcomes


def broken_flows(fleet) -> set:
    """Return the flows whose packets reached too many wrong endpoints."""
    broken = set()
    received_by_flow: dict = {}
    bounced_by_flow: dict = {}
    for endpoint in fleet.endpoint_by_name.values():
        for event in endpoint.received:
            received_by_flow.setdefault(event.flow, []).append(event.at_s)
        for event in endpoint.bounced:
            bounced_by_flow.setdefault(event.flow, []).append(event.at_s)
    for flow, times in bounced_by_flow.items():
        times.sort()
        for first_s, last_s in zip(times, times[BREAKING_PACKETS - 1 :]):
            end_s = first_s + BREAKING_WINDOW_S
            held = received_by_flow.get(flow, [])
            if last_s <= end_s and not any(
                first_s <= at_s <= end_s for at_s in held
            ):
                broken.add(flow)
    return broken


class KeptFlowsTest(unittest.TestCase):
    def test_a_flow_carries_one_request_after_another(self):
        """Guards against requests that reach another endpoint's flow."""

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet)
            for _ in range(3):
                await anyio.sleep(0.3)
                await request_on_each(kept_flows)
            return [len(kept_flow.answers) for kept_flow in kept_flows]

        answers = test_stream_flows.run_scenario(scenario)
        self.assertEqual([4] * 12, answers)

    def test_a_late_copy_of_an_answer_ends_no_later_request(self):
        """Guards against answers that count for the request after theirs."""

        async def scenario(fleet):
            (kept_flow,) = await start_kept_flows(
                fleet, count=1, endpoints=1, work_s=0.3
            )
            endpoint = fleet.endpoint_by_name["e0"]
            agent = fleet.agent_by_name["e0"].kernel.get("agent")
            entry = agent.flows.flow_by_key[kept_flow.flow]
            running = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(kept_flow.request)
                await anyio.sleep(0.1)
                endpoint.send_data(
                    kept_flow.flow, entry.endpoint_sequence + 1, b"a"
                )
                await anyio.sleep(0.1)
                running.append(agent.flows.running_requests)
            await anyio.sleep(0.3)
            running.append(agent.flows.running_requests)
            return running

        self.assertEqual([1, 0], test_stream_flows.run_scenario(scenario))

    def test_an_answer_from_an_earlier_flow_does_not_reach_the_caller(self):
        """Guards against late answers on a port that is in use again."""

        async def scenario(fleet):
            (kept_flow,) = await start_kept_flows(fleet, count=1, endpoints=1)
            endpoint = fleet.endpoint_by_name["e0"]
            agent = fleet.agent_by_name["e0"].kernel.get("agent")
            entry = agent.flows.flow_by_key[kept_flow.flow]
            for distance in (100_000, -100_000):
                endpoint.send_data(
                    kept_flow.flow,
                    entry.endpoint_sequence + distance,
                    b"answer to someone else",
                )
            outcome = await kept_flow.request()
            return outcome.kind, kept_flow.answers

        kind, answers = test_stream_flows.run_scenario(scenario)
        self.assertEqual("answered", kind)
        self.assertEqual(2, len(answers))
        self.assertNotIn(b"answer to someone else", answers)

    def test_a_flow_is_found_after_all_agents_restarted_in_turn(self):
        """Guards against trying the same wrong endpoints again and again.

        Each restarted agent cannot rule out that its endpoint holds a flow,
        and the balancer that knew the owners has left.
        """

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=6)
            for agent in fleet.agent_by_name.values():
                await restart(agent)
            fleet.balancer_by_name["b0"].kill()
            await restart(fleet.balancer_by_name["b1"])
            await anyio.sleep(0.5)
            return await request_on_each(kept_flows), broken_flows(fleet)

        outcomes, broken = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )
        self.assertLess(max(item.seconds for item in outcomes), 0.25)
        self.assertEqual(set(), broken)

    def test_a_flow_is_tried_at_few_endpoints_in_a_large_fleet(self):
        """Guards against packets to every endpoint when all agents restart."""

        async def scenario(fleet):
            kept_flows = await start_kept_flows(
                fleet, endpoints=24, balancers=1
            )
            daemons = [
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            ]
            await restart(*daemons)
            await anyio.sleep(0.5)
            outcomes = await request_on_each(kept_flows)
            bounced = sum(
                endpoint.bounced_packets
                for endpoint in fleet.endpoint_by_name.values()
            )
            return test_stream_flows.outcome_kinds(outcomes), bounced

        kinds, bounced = test_stream_flows.run_scenario(scenario)
        self.assertEqual({"answered"}, kinds)
        self.assertLess(bounced, 12 * candidates.MAX_CANDIDATES)

    def test_a_flow_that_no_endpoint_holds_is_reset_at_once(self):
        """Guards against callers that wait for a flow lost in a power loss.

        Every process has restarted, so no agent knows that it holds none.
        """

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=6)
            for endpoint in fleet.endpoint_by_name.values():
                endpoint.crash()
            await restart(
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            )
            await anyio.sleep(2.5)
            return await request_on_each(kept_flows)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual({"reset"}, test_stream_flows.outcome_kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.25)

    @parameterized.parameterized.expand(
        [
            ("all_restarted", True, 0, {"reset"}),
            # The agent that kept running resets the flows that it knows.
            ("an_agent_kept_running", True, 1, {"reset", "silence"}),
            ("requests_may_run_once_only", False, 0, {"silence"}),
        ]
    )
    def test_a_lost_flow_is_reset_before_all_registrations_are_back(
        self, _, idempotent, running_agents, expected
    ):
        """Guards against requests that fail while registrations are awaited.

        In the first two seconds an endpoint may be missing from the view. If
        every agent has just restarted, its agent has as well, so the flow is
        almost certainly lost, and a request that may be repeated is.
        """

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=6)
            fleet.store.configure(
                stream_fleet.configuration(
                    2, stream_fleet.route(idempotent=idempotent)
                )
            )
            await anyio.sleep(4.0)
            for endpoint in fleet.endpoint_by_name.values():
                endpoint.crash()
            agents = list(fleet.agent_by_name.values())
            await restart(
                *agents[running_agents:],
                *fleet.balancer_by_name.values(),
            )
            await anyio.sleep(0.3)
            return await request_on_each(kept_flows, 1.0)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(expected, test_stream_flows.outcome_kinds(outcomes))

    def test_a_packet_sent_before_the_view_is_loaded_is_not_lost(self):
        """Guards against waiting for a retransmission after a power loss.

        The store answers again between two transmissions, 1.6 s apart.
        """

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=6)
            await anyio.sleep(4.0)
            for endpoint in fleet.endpoint_by_name.values():
                endpoint.crash()
            fleet.store.down = True
            await restart(
                *fleet.agent_by_name.values(),
                *fleet.balancer_by_name.values(),
            )
            outcomes = []

            async def send():
                outcomes.extend(await request_on_each(kept_flows))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(1.5)
                fleet.store.down = False
            return outcomes

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual({"reset"}, test_stream_flows.outcome_kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 2.5)

    def test_no_flow_breaks_while_the_agent_of_its_endpoint_is_away(self):
        """Guards against trials at other endpoints in place of waiting.

        The agents that answer have restarted and cannot rule out that their
        endpoints hold the flow; the one that does not answer holds it.
        """

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=6)
            agents = list(fleet.agent_by_name.values())
            await restart(*agents[1:])
            agents[0].kill()
            await restart(*fleet.balancer_by_name.values())
            await anyio.sleep(0.5)

            async def start_last_agent():
                await anyio.sleep(1.0)
                agents[0].start()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(start_last_agent)
                outcomes = await request_on_each(kept_flows, 5.0)
            return outcomes, broken_flows(fleet)

        outcomes, broken = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )
        self.assertEqual(set(), broken)

    @parameterized.parameterized.expand([(False,), (True,)])
    def test_a_flow_at_a_service_that_its_route_no_longer_names_is_found(
        self, agents_restart
    ):
        """Guards against processes that know only the newest configuration.

        The route has moved to another service, which leaves open flows where
        they are. Balancers that start later have not seen the older version.
        """

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=4)
            fleet.add_endpoint("d0", "10.0.2.1", "a", "docs", keep_open=True)
            fleet.store.configure(
                stream_fleet.configuration(
                    2, stream_fleet.route(service="docs")
                )
            )
            await anyio.sleep(0.5)
            restarting = list(fleet.balancer_by_name.values())
            if agents_restart:
                restarting += fleet.agent_by_name.values()
            await restart(*restarting)
            await anyio.sleep(0.5)
            outcomes = await request_on_each(kept_flows)
            return outcomes, broken_flows(fleet)

        outcomes, broken = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )
        self.assertEqual(set(), broken)

    def test_no_flow_is_reset_while_an_agent_does_not_answer(self):
        """Guards against a reset of a flow whose endpoint is still alive."""

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=3)
            agent = fleet.agent_by_name["e0"]
            agent.kill()
            await restart(*fleet.balancer_by_name.values())
            await anyio.sleep(0.5)
            return await request_on_each(kept_flows, 1.0)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered", "silence"}, test_stream_flows.outcome_kinds(outcomes)
        )

    def test_an_endpoint_that_bounced_a_flow_is_not_tried_again(self):
        """Guards against further trials by balancers that take a flow over."""

        async def scenario(fleet):
            kept_flows = await start_kept_flows(fleet, endpoints=4)
            await restart(*fleet.agent_by_name.values())
            bounced_counts = []
            for _ in range(3):
                await restart(*fleet.balancer_by_name.values())
                await anyio.sleep(0.5)
                await request_on_each(kept_flows)
                bounced_counts.append(
                    sum(
                        endpoint.bounced_packets
                        for endpoint in fleet.endpoint_by_name.values()
                    )
                )
            return bounced_counts, broken_flows(fleet)

        counts, broken = test_stream_flows.run_scenario(scenario)
        self.assertEqual(counts[0], counts[-1])
        self.assertEqual(set(), broken)


if __name__ == "__main__":
    unittest.main()

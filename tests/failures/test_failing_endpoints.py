"""Tests of endpoints that pass their health check and fail requests."""

import unittest

import anyio
import parameterized

from bramleypin.standins import stream_codec
from tests.failures import test_kept_flows
from tests.failures import test_stream_flows


async def start_fleet(fleet):
    """Start six endpoints that answer fast, and a caller."""
    return await test_stream_flows.start_fleet(
        fleet, endpoints=6, keep_open=True, work_s=0.02
    )


def flow_count(endpoint) -> int:
    """Return the number of flows that an endpoint has accepted."""
    return len(endpoint.openings)


def _failed_count(agent) -> int:
    """Return how often an agent found its endpoint failing."""
    metrics = agent.kernel.get("metrics")
    return metrics.count_by_name.get("stream.endpoint_failed", 0)


class FailingEndpointsTest(unittest.TestCase):
    @parameterized.parameterized.expand([("hang",), ("reset",), ("close",)])
    def test_a_failing_endpoint_gets_few_flows_until_it_recovers(self, fault):
        """Guards against flows for an endpoint that fails their requests.

        The failing one is in the balancers' domain, so it is preferred.
        """

        async def scenario(fleet):
            caller = await start_fleet(fleet)
            endpoint = fleet.endpoint_by_name["e0"]
            endpoint.fault = fault
            await test_stream_flows.send_requests(caller, 60, 2.5)
            before = flow_count(endpoint)
            outcomes = await test_stream_flows.send_requests(caller, 60, 2)
            during = flow_count(endpoint) - before
            endpoint.fault = ""
            await test_stream_flows.send_requests(caller, 60, 4)
            before = flow_count(endpoint)
            await test_stream_flows.send_requests(caller, 60, 2)
            after = flow_count(endpoint) - before
            failed_count = _failed_count(fleet.agent_by_name["e0"])
            return during, outcomes, after, failed_count

        during, outcomes, after, failed_count = test_stream_flows.run_scenario(
            scenario
        )
        failed = sum(outcome.kind != "answered" for outcome in outcomes)
        # Half of the 120 flows prefer it, as two endpoints are in the domain.
        self.assertLessEqual(during, 12)
        self.assertLessEqual(failed, 5)
        self.assertGreaterEqual(failed_count, 1)
        self.assertGreaterEqual(after, 20)

    @parameterized.parameterized.expand([("reset",), ("close",)])
    def test_all_endpoints_are_used_when_all_fail(self, fault):
        """Guards against a service cut off for a fault that all share."""

        async def scenario(fleet):
            caller = await start_fleet(fleet)
            for endpoint in fleet.endpoint_by_name.values():
                endpoint.fault = fault
            outcomes = await test_stream_flows.send_requests(caller, 100, 4)
            return outcomes

        outcomes = test_stream_flows.run_scenario(scenario)
        answered = sum(outcome.kind == "answered" for outcome in outcomes)
        # The endpoints answer 0.6 of their requests.
        self.assertGreater(answered, 0.5 * len(outcomes))

    @parameterized.parameterized.expand(
        [("callers leave", False), ("all machines lose power", True)]
    )
    def test_no_endpoint_is_failing_when(self, _, loses_power):
        """Guards against endpoints blamed for callers and for restarts.

        Callers reset their flows during requests; or requests and those after
        them meet endpoints, agents and balancers that have restarted.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, keep_open=True, work_s=0.2
            )
            agents = list(fleet.agent_by_name.values())
            for _ in range(4):
                kept_flows = [
                    await caller.open_kept_flow(test_stream_flows.SERVICE)
                    for _ in range(12)
                ]
                await test_kept_flows.request_on_each(kept_flows, 0.1)
                if loses_power:
                    for endpoint in fleet.endpoint_by_name.values():
                        endpoint.crash()
                    await test_kept_flows.restart(
                        *agents, *fleet.balancer_by_name.values()
                    )
                    await test_kept_flows.request_on_each(kept_flows, 1.0)
                for kept_flow in kept_flows:
                    kept_flow.send(b"", stream_codec.RST)
                await anyio.sleep(1.0)
            return [_failed_count(agent) for agent in agents]

        counts = test_stream_flows.run_scenario(scenario)
        self.assertEqual([0, 0, 0], counts)

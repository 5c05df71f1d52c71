"""Tests of callers that use the port of an earlier flow again."""

import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal.stream import agent
from bramleypin.internal.stream import endpoint_flows
from bramleypin.standins import stream_fleet
from tests.failures import test_kept_flows
from tests.failures import test_stream_flows

SERVICE = test_stream_flows.SERVICE
PORT = 30_000
CHANGE_S = 3.0
# How the first flow of the port ends.
ENDS = ("closed", "abandoned")


def close_off(fleet, change: str) -> None:
    """Let endpoint e0 receive no new flow, and another one receive them."""
    if change == "draining":
        fleet.store.put(fleet.registration("e0", draining=True))
    elif change == "out of service":
        fleet.store.take_out_of_service("a")
    else:
        fleet.store.configure(
            stream_fleet.configuration(2, stream_fleet.route(service="other"))
        )
    service = "other" if change == "route moved" else "desk"
    fleet.add_endpoint("e1", "10.0.1.1", "b", service=service, keep_open=True)


async def use_port_first(fleet, caller, end: str) -> None:
    """Open a flow from the port, answer a request on it, and end it."""
    if end == "closed":
        await caller.request(SERVICE, port=PORT)
    else:
        flow = await caller.open_kept_flow(SERVICE, PORT)
        await flow.request()


class ReusedPortTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{change}, {end}", change, end)
            for change in ("draining", "out of service", "route moved")
            for end in ENDS
        ]
    )
    def test_a_new_flow_passes_admission_if_the_earlier_endpoint_is(
        self, _, change, end
    ):
        """Guards against openings that follow an earlier flow unchecked.

        They would reach an endpoint that drains, is in a failure domain out of
        service, or serves what the route no longer names.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=1, keep_open=end != "closed"
            )
            await use_port_first(fleet, caller, end)
            close_off(fleet, change)
            await anyio.sleep(CHANGE_S)
            outcome = await caller.request(SERVICE, port=PORT)
            return outcome.kind, [
                len(fleet.endpoint_by_name[name].openings)
                for name in ("e0", "e1")
            ]

        kind, openings = test_stream_flows.run_scenario(scenario)
        self.assertEqual(("answered", [1, 1]), (kind, openings))

    @parameterized.parameterized.expand(
        [
            (f"{state}, {end}", state, end)
            for state in ("restarted", "away")
            for end in ENDS
        ]
    )
    def test_an_open_flow_stays_at_its_endpoint_when_a_balancer_returns_that(
        self, _, state, end
    ):
        """Guards against packets that follow an earlier flow.

        The balancer carried the earlier flow, and is away or has restarted
        when the port is used again.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=2, keep_open=end != "closed"
            )
            first, second = (
                fleet.balancer_by_name[name] for name in ("b0", "b1")
            )
            second.leaving = True
            await use_port_first(fleet, caller, end)
            close_off(fleet, "draining")
            await anyio.sleep(CHANGE_S)
            first.leaving, second.leaving = True, False
            if state == "restarted":
                await test_kept_flows.restart(first)
                first.leaving = True
            flow = await caller.open_kept_flow(SERVICE, PORT)
            before = await flow.request()
            first.leaving, second.leaving = False, True
            after = await flow.request()
            earlier_endpoint = fleet.endpoint_by_name["e0"]
            return before.kind, after.kind, earlier_endpoint.bounced_packets

        self.assertEqual(
            ("answered", "answered", 0),
            test_stream_flows.run_scenario(scenario),
        )

    @parameterized.parameterized.expand(
        [("seen its end", False, 0), ("lost its flow table", True, 1)]
    )
    def test_no_reset_by_an_earlier_endpoint_reaches_a_flow_if_its_agent_has(
        self, _, agent_restarts, resets_sent
    ):
        """Guards against a reset by the endpoint of an earlier flow.

        A balancer that has restarted gets no answer from the agent of the open
        flow. The other agent has seen the end of the earlier flow a while ago,
        or lost its flow table.
        """
        original = agent.Agent._on_lookup
        silent_hosts = set()

        def on_lookup(self, query, packet, host):
            if self.settings.host not in silent_hosts:
                original(self, query, packet, host)

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=1
            )
            await use_port_first(fleet, caller, "closed")
            close_off(fleet, "draining")
            await anyio.sleep(endpoint_flows.LINGER_S + 2.0)
            if agent_restarts:
                await test_kept_flows.restart(fleet.agent_by_name["e0"])
            flow = await caller.open_kept_flow(SERVICE, PORT)
            before = await flow.request()
            silent_hosts.add(fleet.agent_by_name["e1"].settings.host)
            await test_kept_flows.restart(fleet.balancer_by_name["b0"])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(flow.request)
                await anyio.sleep(0.5)
                silent_hosts.clear()
            after = await flow.request()
            endpoint = fleet.endpoint_by_name["e0"]
            kinds = (before.kind, after.kind)
            return kinds, len(flow.answers), endpoint.resets_sent

        with mock.patch.object(agent.Agent, "_on_lookup", on_lookup):
            result = test_stream_flows.run_scenario(scenario)
        self.assertEqual((("answered", "answered"), 3, resets_sent), result)

    def test_a_late_end_of_the_earlier_flow_does_not_reach_the_caller(self):
        """Guards against a FIN of the earlier flow that ends the new one."""

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=1, keep_open=True
            )
            endpoint = fleet.endpoint_by_name["e0"]
            await use_port_first(fleet, caller, "abandoned")
            flow = await caller.open_kept_flow(SERVICE, PORT)
            await flow.request()
            flows = fleet.agent_by_name["e0"].kernel.get("agent").flows
            entry = flows.flow_by_key[flow.flow]
            late = (entry.endpoint_position + (1 << 30)) & 0xFFFFFFFF
            endpoint.send_end(flow.flow, late)
            await anyio.sleep(0.1)
            return entry.endpoint_finished

        self.assertFalse(test_stream_flows.run_scenario(scenario))


if __name__ == "__main__":
    unittest.main()

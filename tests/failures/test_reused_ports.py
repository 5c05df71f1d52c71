"""Tests of callers that use the port of an earlier flow again."""

import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal.stream import endpoint_flow
from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.standins import stream_callers
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network
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
        [
            ("seen its end", (), True, 0),
            ("lost its flow table", ("e0",), True, 0),
            ("lost its flow table like the other", ("e0", "e1"), False, 1),
        ]
    )
    def test_no_reset_by_an_earlier_endpoint_reaches_a_flow_if_its_agent_has(
        self, _, restarted_agents, owner_is_silent, resets_sent
    ):
        """Guards against a reset by the endpoint of an earlier flow.

        A balancer that has restarted gets no answer from the agent of the open
        flow, and tries the flow nowhere; or this agent cannot tell either, and
        the earlier endpoint gets the packet too. The earlier endpoint's agent
        has seen the end of its flow a while ago, or lost its flow table.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=1
            )
            await use_port_first(fleet, caller, "closed")
            close_off(fleet, "draining")
            await anyio.sleep(endpoint_flows.LINGER_S + 2.0)
            if "e0" in restarted_agents:
                await test_kept_flows.restart(fleet.agent_by_name["e0"])
            flow = await caller.open_kept_flow(SERVICE, PORT)
            before = await flow.request()
            owner_agent = fleet.agent_by_name["e1"]
            if "e1" in restarted_agents:
                await test_kept_flows.restart(owner_agent)
            if owner_is_silent:
                owner_agent.kernel.get("lookups").answering = False
            await test_kept_flows.restart(fleet.balancer_by_name["b0"])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(flow.request)
                await anyio.sleep(0.5)
                owner_agent.kernel.get("lookups").answering = True
            after = await flow.request()
            endpoint = fleet.endpoint_by_name["e0"]
            kinds = (before.kind, after.kind)
            return kinds, len(flow.answers), endpoint.resets_sent

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


class RestartTest(unittest.TestCase):
    """An open flow on a port used before, while daemons restart.

    The earlier flow was closed at e0 through b0, the open one is at e1 through
    b1. Then daemons restart, and the fabric chooses b0.
    """

    def run_open_flow(self, restarts, use):
        """Return the result of ``use(fleet, flow)`` after restarts.

        ``restarts`` are groups of daemons that restart together, by name.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=2
            )
            first, second = (
                fleet.balancer_by_name[name] for name in ("b0", "b1")
            )
            second.leaving = True
            await use_port_first(fleet, caller, "closed")
            close_off(fleet, "draining")
            await anyio.sleep(CHANGE_S)
            first.leaving, second.leaving = True, False
            flow = await caller.open_kept_flow(SERVICE, PORT)
            self.assertEqual("answered", (await flow.request()).kind)
            daemon_by_name = fleet.agent_by_name | fleet.balancer_by_name
            for names in restarts:
                daemons = [daemon_by_name[name] for name in names]
                await test_kept_flows.restart(*daemons)
                await anyio.sleep(0.5)
            first.leaving, second.leaving = False, True
            return await use(fleet, flow)

        return test_stream_flows.run_scenario(scenario)

    @parameterized.parameterized.expand(
        [
            ("its agent", [["e0"]], 0.0),
            ("its agent, long before", [["e0"]], 8.0),
            ("its agent, twice", [["e0"], ["e0"]], 0.0),
            ("both agents", [["e0", "e1"]], 0.0),
            ("both agents in turn", [["e0"], ["e1"]], 0.0),
            ("both agents and a balancer", [["e0", "e1", "b0"]], 0.0),
            ("an agent, then a balancer", [["e0"], ["b0"], ["e1"]], 0.0),
            ("everything", [["e0", "e1", "b0", "b1"]], 0.0),
        ]
    )
    def test_no_reset_of_an_earlier_endpoint_gets_through_after_restart_of(
        self, _, restarts, pause_s
    ):
        """Guards against a reset that the flow's own endpoint did not send.

        An agent that has restarted does not know which flow of the port its
        endpoint held, and passed its reset of the open one on.
        """

        async def use(fleet, flow):
            await anyio.sleep(pause_s)
            # Two packets with data are on their way before the first reset.
            flow.send(b"request ")
            outcomes = [await flow.request() for _ in range(2)]
            slowest_s = max(outcome.seconds for outcome in outcomes)
            return (
                [outcome.kind for outcome in outcomes],
                len(fleet.endpoint_by_name["e1"].runs),
                slowest_s < stream_callers.RETRANSMIT_INTERVAL_S,
            )

        self.assertEqual(
            (["answered", "answered"], 3, True),
            self.run_open_flow(restarts, use),
        )

    def test_packets_without_data_reach_the_flow_of_their_own(self):
        """Guards against acknowledgements that all reach the ended flow.

        The endpoints of both flows keep them, so silence tells nothing.
        """

        async def use(fleet, flow):
            endpoint = fleet.endpoint_by_name["e1"]
            before = len(endpoint.received)
            for _ in range(4):
                flow.acknowledge()
                await anyio.sleep(0.3)
            return len(endpoint.received) - before

        for names in (["e0", "e1", "b0"], ["e1", "e0", "b0"]):
            self.assertEqual(4, self.run_open_flow([names], use))

    @parameterized.parameterized.expand(
        [("running", []), ("restarted", [["e1"]])]
    )
    def test_a_reset_of_its_own_endpoint_reaches_the_caller_if_its_agent_is(
        self, _, restarts
    ):
        """Guards against callers that wait for a flow that has ended."""

        async def use(fleet, flow):
            before = await flow.request()
            flow.finish()
            await anyio.sleep(0.1)
            return before.kind, (await flow.request()).kind

        self.assertEqual(
            ("answered", "reset"), self.run_open_flow(restarts, use)
        )

    def test_a_packet_returned_for_an_earlier_flow_changes_no_later_one(self):
        """Guards against a late packet that ends the flow after its own.

        The endpoint has returned it to the agent, and the agent to a balancer.
        """

        async def use(fleet, flow):
            await flow.request()
            agent_part = fleet.agent_by_name["e1"].kernel.get("agent")
            balancer = fleet.balancer_by_name["b0"].kernel.get("balancer")
            entry = agent_part.flows.flow_by_key[flow.flow]
            owner = balancer.owner_by_flow[flow.flow]
            for flags in (stream_codec.ACK, stream_codec.BOUNCED):
                late = stream_codec.encode(
                    flow.flow[:2],
                    flow.flow[2:],
                    flags | stream_codec.ACK,
                    (owner.caller_position + (1 << 30)) & 0xFFFFFFFF,
                    (entry.endpoint_position + (1 << 30)) & 0xFFFFFFFF,
                )
                if flags == stream_codec.BOUNCED:
                    agent_part.forward_from_endpoint(late)
                else:
                    balancer._on_not_held(None, late, owner.host)
            return (
                agent_part.flows.flow_by_key.get(flow.flow) is entry,
                balancer.owner_by_flow.get(flow.flow) is owner,
            )

        self.assertEqual((True, True), self.run_open_flow([], use))

    def test_a_packet_returned_for_an_earlier_flow_ends_no_trial(self):
        """Guards against a reset because the flow's endpoint is ruled out.

        Both agents have restarted, so the packet is tried at both endpoints.
        """

        async def use(fleet, flow):
            balancer = fleet.balancer_by_name["b0"].kernel.get("balancer")
            agent_host = fleet.agent_by_name["e1"].settings.host
            flow.acknowledge()
            trial = None
            while trial is None:
                await anyio.sleep(0.001)
                trials = balancer._trials.trial_by_flow
                trial = trials.get(flow.flow)
            late = stream_codec.encode(
                flow.flow[:2], flow.flow[2:], stream_codec.ACK, FAR, FAR
            )
            balancer._on_not_held(None, late, agent_host)
            return agent_host in trial.pending_hosts

        self.assertTrue(self.run_open_flow([["e0", "e1", "b0"]], use))

    def test_a_late_reset_does_not_withdraw_an_opening_from_its_endpoint(self):
        """Guards against openings that get no answer on a port used before."""

        async def use(fleet, flow):
            agent_part = fleet.agent_by_name["e1"].kernel.get("agent")
            entry = agent_part.flows.add(flow.flow)
            entry.offer = mock.Mock()
            late = stream_codec.encode(
                flow.flow[2:], flow.flow[:2], stream_codec.RST, FAR, 0
            )
            agent_part.forward_from_endpoint(late)
            return agent_part.flows.flow_by_key.get(flow.flow) is entry

        self.assertTrue(self.run_open_flow([], use))

    def test_a_late_packet_of_an_earlier_flow_keeps_no_later_one_waiting(self):
        """Guards against an agent that returns packets of the open flow.

        It has restarted, and its endpoint did not answer the late packet.
        """

        async def use(fleet, flow):
            endpoint = fleet.endpoint_by_name["e1"]
            agent_part = fleet.agent_by_name["e1"].kernel.get("agent")
            balancer_host = fleet.balancer_by_name["b0"].settings.host
            late = stream_codec.encode(
                flow.flow[:2], flow.flow[2:], stream_codec.ACK, FAR, FAR
            )
            endpoint.silent = True
            agent_part._on_data(frames.Data(True), late, balancer_host)
            await anyio.sleep(0.01)
            endpoint.silent = False
            outcome = await flow.request()
            return outcome.kind, outcome.seconds < 0.2

        self.assertEqual(("answered", True), self.run_open_flow([["e1"]], use))


KEY = segment.Flow(1, 2, 3, 4)
CALLER_START = 1_000
ENDPOINT_START = 5_000
FAR = 1 << 30


def caller_packet(flags: int = stream_codec.ACK, data: bytes = b""):
    """Return a packet of an open flow, as its caller sends it."""
    return stream_codec.TestCodec().decode(
        stream_codec.encode(
            KEY[:2], KEY[2:], flags, CALLER_START, ENDPOINT_START, data
        )
    )


def endpoint_packet(
    flags: int = stream_codec.ACK, data: bytes = b"", ahead: int = 0
):
    """Return a packet of an endpoint, ``ahead`` of what the caller has."""
    sequence = ENDPOINT_START + ahead
    return stream_codec.TestCodec().decode(
        stream_codec.encode(
            KEY[2:], KEY[:2], flags, sequence, CALLER_START, data
        )
    )


def flow_table() -> endpoint_flows.EndpointFlows:
    """Return the flow table of an agent that has just started."""
    bounds = mock.Mock(flow_lifetime_s=60.0)
    return endpoint_flows.EndpointFlows(
        mock.Mock(caller_port=1, bounds=bounds)
    )


def add_tried_flow(
    flows: endpoint_flows.EndpointFlows, packet
) -> endpoint_flow.EndpointFlow:
    """Add a flow whose packet was given to the endpoint."""
    entry = flows.add(KEY)
    entry.established = True
    entry.caller_finished = packet.fin
    entry.record_tried_packet(packet)
    return entry


def run_with_table(function):
    """Return the result of a function of a new flow table."""

    async def main():
        return function(flow_table())

    return virtual_network.run(main, 1)


class EndpointFlowsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("unknown", None, ("maybe", "maybe")),
            ("given to the endpoint", "tried", ("maybe", "maybe")),
            ("returned by the endpoint", "returned", ("no", "maybe")),
            ("answered by the endpoint", "verified", ("holds", "no")),
            ("ended by the endpoint", "ended", ("no", "no")),
        ]
    )
    def test_a_lookup_tells_apart_the_flows_of_a_port_if_one_was(
        self, _, state, expected
    ):
        """Guards against answers about one flow that count for another.

        The lookups are for a packet of the flow that the agent has seen and
        for one of another flow of the port.
        """

        def answers(flows):
            if state is not None:
                entry = add_tried_flow(flows, caller_packet(data=b"x"))
                if state in ("verified", "ended"):
                    entry.record_endpoint_packet(endpoint_packet(data=b"y"))
                if state in ("returned", "ended"):
                    flows.forget(entry)
                    flows.record_not_held(entry)
            return tuple(
                flows.answer_lookup(KEY, ENDPOINT_START + distance, -1)
                for distance in (1, FAR)
            )

        self.assertEqual(expected, run_with_table(answers))

    @parameterized.parameterized.expand(
        [
            ("data answered by data", {"data": b"x"}, {"data": b"y"}, True),
            ("data that is acknowledged", {"data": b"x"}, {}, True),
            (
                "data followed by data of another flow",
                {"data": b"x"},
                {"data": b"y", "ahead": FAR},
                False,
            ),
            (
                "an end that is acknowledged",
                {"flags": stream_codec.ACK | stream_codec.FIN},
                {},
                False,
            ),
            (
                "an end answered by an end",
                {"flags": stream_codec.ACK | stream_codec.FIN},
                {"flags": stream_codec.ACK | stream_codec.FIN},
                True,
            ),
        ]
    )
    def test_an_endpoint_shows_that_it_holds_a_flow_by(
        self, _, sent, received, expected
    ):
        """Guards against an ended flow's endpoint that counts as the owner.

        Its resets would reach the caller from then on. It acknowledges an end.
        """

        def verified(flows):
            entry = add_tried_flow(flows, caller_packet(**sent))
            entry.record_endpoint_packet(endpoint_packet(**received))
            return entry.verified

        self.assertEqual(expected, run_with_table(verified))

    def test_only_a_copy_of_the_opening_of_an_unverified_flow_belongs_to_it(
        self,
    ):
        """Guards against an opening that passes admission by.

        The agent has not seen the opening of the flow that it knows.
        """

        def included(flows):
            entry = add_tried_flow(flows, caller_packet())
            return [
                entry.includes(0, CALLER_START + distance)
                for distance in (-1, FAR)
            ]

        self.assertEqual([True, False], run_with_table(included))

    def test_what_an_endpoint_sends_before_it_accepts_an_opening_is_dropped(
        self,
    ):
        """Guards against data and resets of an earlier flow of the port."""

        def dropped(flows):
            entry = flows.add(KEY)
            entry.offer = mock.Mock()
            syn = stream_codec.SYN | stream_codec.ACK
            return [
                entry.is_from_earlier_flow(packet)
                for packet in (
                    endpoint_packet(data=b"y"),
                    endpoint_packet(stream_codec.RST),
                    endpoint_packet(syn),
                )
            ]

        self.assertEqual([True, True, False], run_with_table(dropped))


if __name__ == "__main__":
    unittest.main()

"""Tests of open flows while balancers and agents are restarted in turn.

The load: callers keep flows open and send a request every few seconds, and
each transmission of a request may go through another balancer.
"""

import contextlib
import itertools
import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal.stream import flow_tables
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import handover
from bramleypin.internal.stream import lost_flows
from bramleypin.internal.stream import owners
from bramleypin.internal.stream import peer_port
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.standins import stream_fleet
from tests.failures import test_kept_flows
from tests.failures import test_power_loss
from tests.failures import test_stream_flows

# Shorter than the time between a caller's later transmissions.
ROTATION_INTERVAL_S = 0.3
# Agents with open flows end shortly before the grace period does.
STOP_TIME_S = stream_settings.Bounds().shutdown_grace_s
# Time in which a daemon reads the store and asks for its flow table.
START_TIME_S = 0.4


async def rotate(fleet, rounds: int) -> None:
    """Let one balancer at a time get the callers' packets."""
    balancers = list(fleet.balancer_by_name.values())
    for number in range(rounds):
        for balancer in balancers:
            balancer.leaving = True
        balancers[number % len(balancers)].leaving = False
        await anyio.sleep(ROTATION_INTERVAL_S)


async def request_while_rotating(fleet, kept_flows, away_agent, away_s):
    """Send a request on each flow, and start an agent ``away_s`` later."""
    outcomes = []

    async def send():
        outcomes.extend(await test_kept_flows.request_on_each(kept_flows, 6.0))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(rotate, fleet, 12)
        tasks.start_soon(send)
        await anyio.sleep(away_s)
        away_agent.start()
    return outcomes


async def stop_and_start(*daemons, down_s: float = 0.2):
    """Restart daemons as planned."""
    for daemon in daemons:
        daemon.stop()
    await anyio.sleep(STOP_TIME_S + down_s)
    for daemon in daemons:
        daemon.start()


def add_service(fleet, service: str, number: int) -> None:
    """Add three endpoints with their agents, which start now."""
    now_ms = int((stream_fleet.UNIX_START_S + anyio.current_time()) * 1000)
    for index in range(3):
        name = f"{service}-{index}"
        host = f"10.0.{number}.{index + 1}"
        fleet.add_endpoint(name, host, "abc"[index], service, keep_open=True)
        fleet.store.put(fleet.registration(name, service, started_ms=now_ms))


def bounced_packets(fleet) -> int:
    """Return the number of packets that reached wrong endpoints."""
    return sum(
        endpoint.bounced_packets
        for endpoint in fleet.endpoint_by_name.values()
    )


@contextlib.contextmanager
def lose_table_parts(is_lost):
    """Lose frames with parts of flow tables, by ``is_lost(count, part)``."""
    original_send = peer_port.PeerPort.send
    counter = itertools.count(1)

    def send(port, host, message, packet=b""):
        is_part = isinstance(message, flow_tables.FlowTablePart)
        if not is_part or not is_lost(next(counter), message.part):
            original_send(port, host, message, packet)

    with mock.patch.object(peer_port.PeerPort, "send", send):
        yield


class RollingRestartsTest(unittest.TestCase):
    @parameterized.parameterized.expand([(2,), (3,), (5,)])
    def test_a_flow_that_several_balancers_search_for_does_not_break(
        self, balancers
    ):
        """Guards against trials that each balancer counts on its own.

        Most agents have restarted, so each cannot rule out that its endpoint
        holds a flow. The agent of the flow's own endpoint is away, and each
        transmission of a request goes through another balancer.
        """

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=6, balancers=balancers
            )
            away, *others = fleet.agent_by_name.values()
            await test_kept_flows.restart(*others)
            away.kill()
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(2.5)
            outcomes = await request_while_rotating(
                fleet, kept_flows, away, away_s=1.9
            )
            return outcomes, test_kept_flows.broken_flows(fleet)

        outcomes, broken = test_stream_flows.run_scenario(scenario)
        self.assertEqual(set(), broken)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )
        # The search is repeated without waiting for the caller, whose next
        # transmission may be 1.6 s away.
        self.assertLess(max(item.seconds for item in outcomes), 2.9)

    @parameterized.parameterized.expand(
        [
            ("one_after_the_other", 2, 1, 12, lambda count, part: False),
            ("three_at_a_time", 6, 3, 12, lambda count, part: False),
            ("all_at_once", 6, 6, 12, lambda count, part: False),
            ("with_long_tables", 2, 1, 150, lambda count, part: False),
            (
                "while_frames_are_lost",
                2,
                1,
                150,
                lambda count, _: not count % 3,
            ),
        ]
    )
    def test_no_flow_is_tried_elsewhere_after_planned_restarts(
        self, _, endpoints, at_a_time, flow_count, is_lost
    ):
        """Guards against agents that forget their endpoints' flows.

        All agents are restarted as planned, and then the balancers that knew
        the owners of the flows.
        """

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, count=flow_count, endpoints=endpoints, slots=100
            )
            agents = list(fleet.agent_by_name.values())
            for start in range(0, len(agents), at_a_time):
                await stop_and_start(*agents[start : start + at_a_time])
                await anyio.sleep(START_TIME_S)
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(START_TIME_S)
            outcomes = await test_kept_flows.request_on_each(kept_flows)
            return outcomes, bounced_packets(fleet)

        with lose_table_parts(is_lost):
            outcomes, bounced = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )
        self.assertEqual(0, bounced)

    @parameterized.parameterized.expand(
        [
            (f"{cls.__name__}.{name}", cls, name)
            for cls, name in (
                (flow_tables.FlowTables, "_keep"),
                (flow_tables.FlowTables, "_on_request"),
                (handover.FlowHandover, "_table"),
                (handover.FlowHandover, "_take_over"),
            )
        ]
    )
    def test_an_agent_restarts_without_a_table_after_an_error_in(
        self, _, cls, name
    ):
        """Guards against an error that ends an agent or a keeper."""

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=3
            )
            agents = list(fleet.agent_by_name.values())
            await stop_and_start(*agents)
            await anyio.sleep(START_TIME_S)
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(START_TIME_S)
            outcomes = await test_kept_flows.request_on_each(kept_flows)
            return outcomes, [agent.process.alive for agent in agents]

        failing = mock.Mock(side_effect=ValueError("test"))
        with mock.patch.object(cls, name, failing):
            outcomes, alive = test_stream_flows.run_scenario(scenario)
        self.assertGreater(failing.call_count, 0)
        self.assertEqual([True] * 3, alive)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )

    def test_a_table_that_lacks_a_part_rules_no_flow_out(self):
        """Guards against resets of the flows of a part that is lost."""

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, keep_open=True, slots=200
            )
            await anyio.sleep(stream_settings.Bounds().flow_lifetime_s)
            kept_flows = [
                await caller.open_kept_flow(test_kept_flows.SERVICE)
                for _ in range(80)
            ]
            await stop_and_start(*fleet.agent_by_name.values())
            await anyio.sleep(START_TIME_S)
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(2.5)
            return await test_kept_flows.request_on_each(kept_flows)

        with lose_table_parts(lambda count, part: part == 1):
            outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )

    @parameterized.parameterized.expand(
        [
            ("the_next_process_is_killed", 0.0),
            ("a_process_is_killed_later", 12.0),
        ]
    )
    def test_a_table_serves_only_the_next_process(self, _, run_s):
        """Guards against an old table that hides flows opened since.

        An agent is restarted as planned. The next process takes flows, and
        is killed some time later.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=2, keep_open=True
            )
            agent = fleet.agent_by_name["e0"]
            await anyio.sleep(stream_settings.Bounds().flow_lifetime_s)
            await stop_and_start(agent)
            await anyio.sleep(START_TIME_S)
            kept_flows = [
                await caller.open_kept_flow(test_kept_flows.SERVICE)
                for _ in range(12)
            ]
            await anyio.sleep(run_s)
            await test_kept_flows.restart(
                agent, *fleet.balancer_by_name.values()
            )
            await anyio.sleep(2.5)
            return await test_kept_flows.request_on_each(kept_flows)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )

    def test_a_keeper_holds_the_latest_tables_within_its_bound(self):
        """Guards against tables that fill the memory of a keeper."""
        record = flow_tables.FlowRecord(
            (1, 2, 3, 4), 5, 6, 7, 8, True, False, False
        )

        async def scenario(fleet):
            await test_stream_flows.start_fleet(fleet)
            tables = fleet.balancer_by_name["b0"].kernel.get("flow_tables")
            for number in range(60):
                for part in range(20):
                    host = f"10.0.7.{number}"
                    message = flow_tables.FlowTablePart(
                        host,
                        number,
                        part,
                        20,
                        "desk",
                        0,
                        True,
                        60.0,
                        [record] * 64,
                    )
                    tables._on_part(message, b"", host)
            return [
                (
                    host,
                    sum(len(p.records) for p in kept.part_by_number.values()),
                )
                for host, kept in tables._table_by_host.items()
            ]

        flows_by_host = dict(test_stream_flows.run_scenario(scenario))
        self.assertLessEqual(
            sum(flows_by_host.values()), flow_tables.MAX_KEPT_FLOWS
        )
        self.assertEqual(1_280, flows_by_host["10.0.7.59"])

    def test_an_agent_that_is_about_to_end_answers_no_search(self):
        """Guards against packets that are sent to an agent that has ended.

        A balancer would count its flow's owner among the agents that it
        tries, and the other endpoints alone would get the packet.
        """
        original_send = peer_port.PeerPort.send
        handed_over = anyio.Event()
        answering_hosts = set()

        def send(port, host, message, packet=b""):
            if isinstance(message, flow_tables.FlowTablePart):
                handed_over.set()
            if isinstance(message, frames.LookupAnswer):
                answering_hosts.add(message.host)
            original_send(port, host, message, packet)

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=3
            )
            leaving = fleet.agent_by_name["e0"]
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            leaving.stop()
            with mock.patch.object(peer_port.PeerPort, "send", send):
                with anyio.fail_after(STOP_TIME_S):
                    await handed_over.wait()
                await test_kept_flows.request_on_each(kept_flows, 0.1)
            return leaving.settings.host

        host = test_stream_flows.run_scenario(scenario)
        self.assertEqual(2, len(answering_hosts))
        self.assertNotIn(host, answering_hosts)

    def test_a_flow_of_an_endpoint_that_ended_meanwhile_is_reset(self):
        """Guards against flows that an agent holds for a lost endpoint."""

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=3
            )
            agents = list(fleet.agent_by_name.values())
            for agent in agents:
                agent.stop()
            await anyio.sleep(STOP_TIME_S)
            test_power_loss.restart_endpoints(fleet)
            for agent in agents:
                agent.start()
            await anyio.sleep(START_TIME_S)
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(2.5)
            outcomes = await test_kept_flows.request_on_each(kept_flows)
            return outcomes, bounced_packets(fleet)

        outcomes, bounced = test_stream_flows.run_scenario(scenario)
        self.assertEqual(0, bounced)
        self.assertEqual({"reset"}, test_stream_flows.outcome_kinds(outcomes))
        self.assertLess(max(item.seconds for item in outcomes), 0.25)

    @parameterized.parameterized.expand(
        [
            ("with_added_agents", ("docs",), False),
            ("twice_with_added_agents", ("docs", "mail"), False),
            ("with_agents_that_restart_as_planned", ("docs",), True),
        ]
    )
    def test_open_flows_are_kept_when_their_route_moves_to_a_service(
        self, _, services, restarts
    ):
        """Guards against resets of flows whose candidates have just started.

        A balancer that starts after the move does not know the service that
        holds the flows. It asks the new one first, and all of its agents have
        started less than 4 s ago. The requests may be repeated.
        """

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(
                fleet, endpoints=7
            )
            if restarts:
                add_service(fleet, *services, 2)
            await anyio.sleep(lost_flows.MAX_WAIT_S + owners.RESTART_WINDOW_S)
            for number, service in enumerate(services, 2):
                if restarts:
                    agents = [
                        fleet.agent_by_name[f"{service}-{index}"]
                        for index in range(3)
                    ]
                    await stop_and_start(*agents)
                else:
                    add_service(fleet, service, number)
                fleet.store.configure(
                    stream_fleet.configuration(
                        number, stream_fleet.route(service=service)
                    )
                )
                await anyio.sleep(START_TIME_S)
            await test_kept_flows.restart(*fleet.balancer_by_name.values())
            await anyio.sleep(START_TIME_S)
            return await test_kept_flows.request_on_each(kept_flows)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )
        self.assertLess(max(item.seconds for item in outcomes), 0.25)


if __name__ == "__main__":
    unittest.main()

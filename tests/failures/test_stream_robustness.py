"""Tests that one bad message or a planned stop harms no other flow."""

import struct
import unittest
from unittest import mock

import anyio
import cbor2
import parameterized

from bramleypin import errors
from bramleypin.internal.stream import agent
from bramleypin.internal.stream import balancer
from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import exchange
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import leaving
from bramleypin.internal.stream import loads
from bramleypin.internal.stream import lookups
from bramleypin.internal.stream import openings
from bramleypin.internal.stream import owners
from bramleypin.internal.stream import peer_port
from bramleypin.internal.stream import relay
from bramleypin.internal.stream import reports
from bramleypin.internal.stream import trials
from bramleypin.internal.stream import view_manager
from bramleypin.internal.stream import view_reader
from bramleypin.standins import stream_fleet
from bramleypin.standins import stream_store
from tests.failures import test_kept_flows
from tests.failures import test_stream_flows

SERVICE = test_stream_flows.SERVICE
# One function in each handler of a message, and in each timer.
FAILING = (
    (balancer.Balancer, "_on_not_held"),
    (balancer.Balancer, "_on_taken"),
    (balancer.Balancer, "_on_found"),
    (openings.Openings, "_on_offer_answer"),
    (openings.Openings, "_offer_again"),
    (owners.OwnerLookup, "search"),
    (owners.OwnerLookup, "_on_lookup_answer"),
    (owners.OwnerLookup, "_on_batch_answer"),
    (owners.OwnerLookup, "_complete"),
    (trials.Trials, "begin"),
    (trials.Trials, "record_not_held"),
    (loads.AgentLoads, "record_report"),
    (agent.Agent, "_on_offer"),
    (agent.Agent, "_on_data"),
    (lookups.Lookups, "_on_lookup"),
    (lookups.Lookups, "_on_batch"),
    (agent.Agent, "_on_bounced"),
    (endpoint_flows.EndpointFlows, "end_request"),
    (reports.LoadReports, "_on_slot_request"),
    (relay.Relay, "_on_query"),
    (relay.Relay, "_on_answer"),
    (relay.Relay, "_on_delta"),
    (relay.Relay, "_query_relays"),
    (relay.Relay, "_announce_change"),
    (reports.LoadReports, "_report_changes"),
    (reports.LoadReports, "current_report"),
    (exchange.ViewExchange, "_choose_peer"),
    (view_manager.ViewManager, "apply"),
)


class HandlerErrorsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(f"{cls.__name__}.{name}", cls, name) for cls, name in FAILING]
    )
    def test_no_process_ends_when_a_handler_fails(self, _, cls, name):
        """Guards against a message that ends a daemon and all of its flows.

        The handler fails for a second of traffic, with restarts, a change, a
        silent endpoint and more requests than slots. Afterwards every daemon
        still runs and serves.
        """

        failing = False
        failed_calls = 0
        original = getattr(cls, name)

        def handler(*arguments, **keywords):
            nonlocal failed_calls
            if failing:
                failed_calls += 1
                raise ValueError("test")
            return original(*arguments, **keywords)

        async def scenario(fleet):
            nonlocal failing
            kept_flows = await test_kept_flows.start_kept_flows(fleet)
            caller = fleet.add_caller("100.64.0.2")
            daemons = [
                *fleet.balancer_by_name.values(),
                *fleet.agent_by_name.values(),
            ]
            await test_kept_flows.restart(fleet.agent_by_name["e0"])
            await test_kept_flows.restart(fleet.balancer_by_name["b0"])
            failing = True
            fleet.store.configure(
                stream_fleet.configuration(
                    2, stream_fleet.route(), stream_fleet.route(port=444)
                )
            )
            await test_kept_flows.request_on_each(kept_flows, 0.5)
            fleet.endpoint_by_name["e1"].silent = True
            await test_stream_flows.send_requests(caller, 400, 0.3)
            failing = False
            fleet.endpoint_by_name["e1"].silent = False
            alive = all(daemon.process.alive for daemon in daemons)
            await anyio.sleep(3.0)
            outcomes = await test_stream_flows.send_requests(caller, 10, 1)
            return alive, outcomes

        with mock.patch.object(cls, name, handler):
            alive, outcomes = test_stream_flows.run_scenario(scenario)
        self.assertGreater(failed_calls, 0)
        self.assertTrue(alive)
        self.assertEqual(
            {"answered"}, test_stream_flows.outcome_kinds(outcomes)
        )


def frame(kind: int, *fields: object) -> bytes:
    """Return a frame with any fields."""
    header = cbor2.dumps(fields)
    return struct.pack(">BH", kind, len(header)) + header


class FramesTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("is of an unknown kind", b"\xff\x00\x00", "bad_kind"),
            ("is cut off", frame(5, 1, [1, 2, 3, 4])[:-2], "bad_kind"),
            ("is too long", bytes(frames.MAX_FRAME_BYTES + 1), "bad_length"),
            ("is empty", b"", "bad_length"),
            ("has a field of another type", frame(3, "x"), "bad_header"),
            ("is an older lookup", frame(5, 1, [1, 2, 3, 4], 5), "bad_header"),
            ("is an older answer", frame(6, 1, "h", "holds"), "bad_header"),
            (
                "is an older delta",
                frame(10, 1, 2, 3, [], [], [], None),
                "bad_header",
            ),
        ]
    )
    def test_a_frame_is_refused_with_its_reason_if_it(self, _, data, reason):
        """Guards against frames that are taken for something else.

        Those of an older version of the program lack what tells apart the
        flows of a port.
        """

        async def scenario(fleet):
            (kept_flow,) = await test_kept_flows.start_kept_flows(
                fleet, count=1, endpoints=1, balancers=1
            )
            counts = []
            for daemon in (
                fleet.agent_by_name["e0"],
                fleet.balancer_by_name["b0"],
            ):
                port = daemon.kernel.get("peer_port")
                port._on_datagram(data, ("10.0.9.9", 1))
                counter = peer_port.FRAMES_INVALID_BY_REASON[reason]
                counts.append(
                    daemon.kernel.get("metrics").count_by_name.get(counter)
                )
            return counts, (await kept_flow.request()).kind

        self.assertEqual(
            ([1, 1], "answered"), test_stream_flows.run_scenario(scenario)
        )


class StoreErrorsTest(unittest.TestCase):
    @parameterized.parameterized.expand([("read",), ("watch",)])
    def test_no_process_ends_when_the_store_client_fails(self, name):
        """Guards against an answer of the store that ends a daemon.

        Daemons that start meanwhile and those that run read the store again
        later and see the change.
        """
        original = getattr(stream_store.StoreClient, name)
        failing = False

        async def call(client, *arguments, **keywords):
            if failing:
                raise ValueError("test")
            return await original(client, *arguments, **keywords)

        async def scenario(fleet):
            nonlocal failing
            await test_stream_flows.start_fleet(fleet)
            failing = True
            await test_kept_flows.restart(fleet.balancer_by_name["b0"])
            fleet.store.forget_history()
            fleet.store.configure(
                stream_fleet.configuration(2, stream_fleet.route())
            )
            await anyio.sleep(1.0)
            failing = False
            await anyio.sleep(3.0)
            daemons = [
                *fleet.balancer_by_name.values(),
                *fleet.agent_by_name.values(),
            ]
            return [
                daemon.kernel.get("view").view.configuration.version
                for daemon in daemons
                if daemon.process.alive
            ]

        with mock.patch.object(stream_store.StoreClient, name, call):
            versions = test_stream_flows.run_scenario(scenario)
        self.assertEqual([2] * 5, versions)


class StoreMetricsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("refuses", errors.PlatformUnavailable("test"), False),
            ("not foreseen", RecursionError("test"), True),
        ]
    )
    def test_an_unusable_answer_is_told_from_a_store_that(
        self, _, error, unusable
    ):
        """Guards against an outage whose cause no metric shows.

        Peers without a newer view are no failures of the exchange.
        """
        original = stream_store.StoreClient.watch
        failing = False

        async def watch(client, *arguments):
            if failing:
                raise error
            return await original(client, *arguments)

        async def scenario(fleet):
            nonlocal failing
            await test_stream_flows.start_fleet(fleet)
            failing = True
            # Ends the watches that have been waiting since before.
            fleet.store.put(fleet.registration("e0", slots=6))
            await anyio.sleep(6.0)
            service = fleet.balancer_by_name["b0"].kernel.get("metrics")
            return service.count_by_name

        with (
            mock.patch.object(stream_store.StoreClient, "watch", watch),
            mock.patch.object(
                exchange._log, "warn_throttled", autospec=True
            ) as warnings,
        ):
            count_by_name = test_stream_flows.run_scenario(scenario)
        unusable_count = count_by_name.get(
            view_reader.STORE_ANSWERS_UNUSABLE, 0
        )
        self.assertGreater(count_by_name[view_reader.STORE_CALLS_FAILED], 0)
        self.assertEqual(unusable, unusable_count > 0)
        self.assertGreater(count_by_name[exchange.VIEWS_NOT_NEWER], 0)
        warnings.assert_not_called()


class PlannedStopTest(unittest.TestCase):
    def test_a_balancer_that_stops_serves_the_openings_that_wait(self):
        """Guards against a stop that cuts off requests just accepted.

        The opening waits for a free slot and the caller pauses between its
        retransmissions, so no packet arrives for a while.
        """

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=1, slots=1, work_s=0.9
            )
            stopping = fleet.balancer_by_name["b0"]

            async def send():
                await caller.request(SERVICE, 4.0)

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(send)
                    await anyio.sleep(0.1)
                stopping.stop()
            return len(fleet.endpoint_by_name["e0"].openings)

        with mock.patch.object(leaving, "ROTATION_REMOVAL_S", 0.0):
            accepted = test_stream_flows.run_scenario(scenario)
        self.assertEqual(3, accepted)


if __name__ == "__main__":
    unittest.main()

"""Tests of a deployment whose store comes back from an older copy."""

import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import relay
from bramleypin.standins import stream_fleet
from tests.failures import test_kept_flows
from tests.failures import test_relay
from tests.failures import test_stream_flows

REWRITTEN_S = 1.5


def views(fleet):
    """Return the views of the running daemons by their ids."""
    return {
        daemon.settings.id: daemon.kernel.get("view").view
        for daemon in test_relay.daemons(fleet)
    }


def count(fleet, name: str) -> int:
    """Return the sum of a counter over the running daemons."""
    return sum(
        daemon.kernel.get("metrics").count_by_name.get(name, 0)
        for daemon in test_relay.daemons(fleet)
    )


async def lose_writes(fleet, outage_s: float = 0.5) -> None:
    """Write four kinds of entries; restore a copy without them."""
    await test_relay.start_fleet(fleet)
    await anyio.sleep(1.0)
    for kind in ("configuration", "draining", "out"):
        test_relay.publish_change(fleet, kind)
    fleet.add_endpoint("late", "10.0.1.9", "c")
    await anyio.sleep(test_relay.CHANGE_S)
    fleet.store.down = True
    await anyio.sleep(outage_s)
    fleet.store.restore(test_relay.CHANGE_S + outage_s + 0.5)
    fleet.store.down = False


def write_again(fleet) -> None:
    """Write what ``lose_writes`` has lost; revisions are assigned again."""
    fleet.store.put(fleet.registration("late"))
    for kind in ("out", "configuration", "draining"):
        test_relay.publish_change(fleet, kind)


def failures_of_views(fleet) -> set[str]:
    """Return what views lack of the writes that were lost."""
    lacking = set()
    for view in views(fleet).values():
        ineligible = view.ineligible_hosts("desk")
        checks = {
            "endpoint": "late" in view.endpoint_by_id,
            "draining": "10.0.1.1" in ineligible,
            # An endpoint of domain b that is not draining.
            "out": "10.0.1.4" in ineligible,
            "version": view.configuration.version == 5,
        }
        lacking |= {name for name, holds in checks.items() if not holds}
    return lacking


async def watch_views(fleet, seconds: float) -> set[str]:
    """Return what any view lacked of these writes within a time."""
    lacking = set()
    for _ in range(int(seconds / 0.02)):
        lacking |= failures_of_views(fleet)
        await anyio.sleep(0.02)
    return lacking


class RestoredStoreTest(unittest.TestCase):
    @parameterized.parameterized.expand([(0.0,), (0.5,), (3.0,)])
    def test_nothing_that_is_written_again_is_ever_missing(self, outage_s):
        """Guards against new flows to what must get none, and lost endpoints.

        The same revisions are assigned to other entries.
        """

        async def scenario(fleet):
            await lose_writes(fleet, outage_s)
            lacking = await watch_views(fleet, REWRITTEN_S)
            write_again(fleet)
            lacking |= await watch_views(fleet, 10.0)
            stamps = {view.stamp for view in views(fleet).values()}
            kept = {
                name
                for view in views(fleet).values()
                for name in view.draining_kept | view.domains_kept
            }
            store = (fleet.store.era, fleet.store.revision)
            return lacking, stamps, store, kept

        lacking, stamps, store, kept = test_stream_flows.run_scenario(scenario)
        self.assertEqual(set(), lacking)
        self.assertEqual({store}, stamps)
        self.assertEqual(set(), kept)

    def test_what_is_not_written_again_ends(self):
        """Guards against states and endpoints that are kept for ever."""

        async def scenario(fleet):
            await lose_writes(fleet)
            await anyio.sleep(6.0)
            return failures_of_views(fleet), {
                len(view.ineligible_hosts("desk"))
                for view in views(fleet).values()
            }

        lacking, counts = test_stream_flows.run_scenario(scenario)
        # The version is in force without a time limit.
        self.assertEqual({"endpoint", "draining", "out"}, lacking)
        self.assertEqual({0}, counts)

    @parameterized.parameterized.expand([(-1,), (0,), (1,)])
    def test_a_restoration_is_noticed_within_the_bound(self, surplus):
        """Guards against watches that outlast a restoration.

        The store's revision is soon a little lower than, the same as or higher
        than the one that daemons watch from.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet)
            for number in range(5):
                fleet.store.put(fleet.registration("e1", cold_s=9.0 + number))
            await anyio.sleep(2.0)
            fleet.store.restore(2.5)
            for number in range(5 + surplus):
                fleet.store.put(fleet.registration("e2", cold_s=9.0 + number))
            await anyio.sleep(test_relay.CHANGE_S)
            return {view.stamp for view in views(fleet).values()}, (
                fleet.store.era,
                fleet.store.revision,
            )

        stamps, store = test_stream_flows.run_scenario(scenario)
        self.assertEqual({store}, stamps)

    def test_a_frame_of_a_newer_era_ends_a_watch(self):
        """Guards against a watch of seconds that outlasts a restoration.

        No daemon has relays, and the store leaves its watches open. Only a
        balancer that starts then sees the new era.
        """

        def received_frames(daemon):
            counts = daemon.kernel.get("metrics").count_by_name
            return counts.get("stream.frames_received", 0)

        async def scenario(fleet):
            await test_stream_flows.start_fleet(fleet)
            # Watches of 4 s have just begun.
            await anyio.sleep(0.3)
            fleet.store.put(fleet.registration("e0", cold_s=9.0))
            await anyio.sleep(0.5)
            fleet.store.restore(0.6, ends_watches=False)
            await test_kept_flows.restart(fleet.balancer_by_name["b0"])
            await anyio.sleep(0.3)
            # Agents ask each other for flow tables when they start.
            earlier_frames = [
                received_frames(daemon) for daemon in test_relay.daemons(fleet)
            ]
            caller = fleet.add_caller("100.64.0.2")
            await anyio.sleep(0.1)
            await test_stream_flows.send_requests(caller, 20, 1)
            return [
                daemon.kernel.get("view").view.era
                for daemon, earlier in zip(
                    test_relay.daemons(fleet), earlier_frames
                )
                if received_frames(daemon) > earlier
            ]

        with mock.patch.object(relay, "relays_for", lambda *_: []):
            eras = test_stream_flows.run_scenario(scenario)
        # Both balancers, and the agents that they have sent frames to.
        self.assertEqual({1}, set(eras))
        self.assertGreaterEqual(len(eras), 3)

    def test_an_era_that_the_store_does_not_have_costs_one_listing(self):
        """Guards against listings without end because of one daemon.

        Its frames go on; it cannot be reached.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet)
            other = fleet.network.process("other", "10.0.8.1", "a")
            port = await other.open_datagram_port(
                address.Address("10.0.8.1", stream_fleet.PEER_PORT)
            )
            before = fleet.store.calls
            frame = frames.encode(relay.RelayAnswer(5, True, 9))
            for _ in range(50):
                for daemon in test_relay.daemons(fleet):
                    port.send(frame, daemon.settings.peers)
                await anyio.sleep(0.1)
            return fleet.store.calls - before, len(views(fleet))

        calls, daemon_count = test_stream_flows.run_scenario(scenario)
        # A listing, and a watch about each second.
        self.assertLess(calls, (1 + 6) * daemon_count)

    @parameterized.parameterized.expand([(True,), (False,)])
    def test_daemons_of_two_eras_agree_when_only(self, one_sees_it):
        """Guards against a daemon whose peers have seen another era.

        Either one balancer alone reaches the restored store, or all others.
        The latter ask it for its view at most for a time: its revision is
        higher than theirs, but of the earlier era.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet)
            hosts = {d.settings.host for d in test_relay.daemons(fleet)}
            one = fleet.balancer_by_name["b1"].settings.host
            for number in range(30):
                fleet.store.put(fleet.registration("e1", cold_s=9.0 + number))
            await anyio.sleep(2.0)
            fleet.store.refused_hosts |= (
                hosts - {one} if one_sees_it else {one}
            )
            fleet.store.restore(3.0)
            await anyio.sleep(4.0)
            stamps = {view.stamp for view in views(fleet).values()}
            fleet.store.refused_hosts.clear()
            # A watch that began before relays confirmed the view takes 4 s.
            await anyio.sleep(6.0)
            asked = count(fleet, "stream.views_not_newer")
            await anyio.sleep(5.0)
            asked = count(fleet, "stream.views_not_newer") - asked
            store = (fleet.store.era, fleet.store.revision)
            return stamps, store, asked

        stamps, store, asked = test_stream_flows.run_scenario(scenario)
        self.assertEqual({store}, stamps)
        self.assertEqual(0, asked)

    def test_a_process_that_starts_in_the_gap_resets_no_opening(self):
        """Guards against a service that seems to have no endpoint."""

        async def scenario(fleet):
            fleet.store.configure(
                stream_fleet.configuration(1, stream_fleet.route())
            )
            await anyio.sleep(1.0)
            fleet.add_endpoint("e0", "10.0.1.0", "a")
            fleet.add_balancer("b0", "10.0.0.1", "a")
            caller = fleet.add_caller("100.64.0.1")
            await anyio.sleep(3.0)
            fleet.store.restore(3.5)
            await test_kept_flows.restart(fleet.balancer_by_name["b0"])
            outcomes = []
            async with anyio.create_task_group() as tasks:

                async def send():
                    outcomes.append(
                        await caller.request(test_stream_flows.SERVICE, 3.0)
                    )

                tasks.start_soon(send)
                await anyio.sleep(0.7)
                fleet.store.put(fleet.registration("e0"))
            return outcomes[0].kind

        self.assertEqual("answered", test_stream_flows.run_scenario(scenario))

    def test_open_flows_and_openings_outlast_a_restoration(self):
        """Guards against flows that a restoration breaks."""

        async def scenario(fleet):
            kept_flows = await test_kept_flows.start_kept_flows(fleet)
            caller = fleet.add_caller("100.64.0.2")
            await anyio.sleep(0.1)
            outcomes = []

            async def send():
                outcomes.extend(
                    await test_stream_flows.send_requests(caller, 30, 6)
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(1.0)
                # Only the configuration is older than the copy.
                fleet.store.restore(anyio.current_time() - 0.01)
                await anyio.sleep(0.5)
                outcomes += await test_kept_flows.request_on_each(kept_flows)
                await anyio.sleep(1.0)
                for name in fleet.endpoint_by_name:
                    fleet.store.put(fleet.registration(name))
                await anyio.sleep(2.0)
                outcomes += await test_kept_flows.request_on_each(kept_flows)
            return test_stream_flows.outcome_kinds(outcomes)

        self.assertEqual(
            {"answered"}, test_stream_flows.run_scenario(scenario)
        )

    @parameterized.parameterized.expand(
        [("not a number", b"six", True), ("lower", b"0", False)]
    )
    def test_an_era_that_is(self, _, value, is_read):
        """Guards against an invalid era that stops daemons or goes unseen.

        An answer of an earlier era changes nothing.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet)
            fleet.store.restore(0.5)
            await anyio.sleep(test_relay.CHANGE_S)
            fleet.store.era_value = value
            test_relay.publish_change(fleet, "draining")
            await anyio.sleep(test_relay.CHANGE_S)
            seen = [
                test_relay.includes_change(view, "draining")
                for view in views(fleet).values()
            ]
            invalid = count(fleet, "store.eras_invalid")
            fleet.store.era_value = b""
            await anyio.sleep(test_relay.CHANGE_S)
            stamps = {view.stamp for view in views(fleet).values()}
            store = (fleet.store.era, fleet.store.revision)
            return seen, invalid, stamps, store

        seen, invalid, stamps, store = test_stream_flows.run_scenario(scenario)
        self.assertEqual([is_read] * 9, seen)
        self.assertGreater(invalid, 0)
        self.assertEqual({store}, stamps)

    def test_a_listing_of_two_eras_is_not_used(self):
        """Guards against a first view of entries from two eras.

        The store is restored while a slow listing arrives.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet, balancers=1)
            test_relay.publish_change(fleet, "draining")
            fleet.store.transfer_s = 0.5
            joined = fleet.add_balancer("joined", "10.0.3.1", "a")
            await anyio.sleep(0.2)
            fleet.store.restore(0.3)
            first = None
            while first is None or not first.loaded:
                if joined.kernel is not None:
                    first = joined.kernel.get("view").view
                await anyio.sleep(0.005)
            return first.era, test_relay.includes_change(first, "draining")

        self.assertEqual((1, False), test_stream_flows.run_scenario(scenario))

    def test_a_restoration_costs_few_calls(self):
        """Guards against daemons that list the store again and again."""

        async def scenario(fleet):
            await test_relay.start_fleet(fleet, balancers=9)
            await anyio.sleep(2.0)

            async def calls_in(seconds):
                before = fleet.store.calls
                await anyio.sleep(seconds)
                return fleet.store.calls - before

            before = await calls_in(20.0)
            fleet.store.put(fleet.registration("e1", cold_s=9.0))
            await anyio.sleep(2.0)
            fleet.store.restore(3.0)
            after = await calls_in(20.0)
            return before, after, len(views(fleet))

        before, after, daemon_count = test_stream_flows.run_scenario(scenario)
        # A listing of each daemon, a watch that ends before it, and watches
        # while followers are not sure for a query interval.
        self.assertLess(after - before, 4 * daemon_count)


if __name__ == "__main__":
    unittest.main()

"""Tests of relays and their followers under faults.

A change of the store must be in force within the deployment's bound at every
daemon that can reach the store, whatever happens to the relays.
"""

import dataclasses
import unittest
from unittest import mock

import anyio
import parameterized

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import relay
from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_delta
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network
from tests.failures import test_stream_flows

# Default of ``settings.Bounds.change_s``.
CHANGE_S = 3.0


async def start_fleet(fleet, balancers: int = 3, endpoints: int = 6):
    """Start a fleet in three failure domains; wait until relays are in use."""
    fleet.store.configure(stream_fleet.configuration(1, stream_fleet.route()))
    for number in range(endpoints):
        domain = "abc"[number % 3]
        fleet.add_endpoint(f"e{number}", f"10.0.1.{number}", domain)
    for number in range(balancers):
        domain = "abc"[number % 3]
        fleet.add_balancer(f"b{number}", f"10.0.0.{number + 1}", domain)
    # Each daemon begins with a watch of 4 s. A relay does not confirm its view
    # again before its own first watch has ended, so its followers begin a
    # second watch, which ends after 8 s.
    await anyio.sleep(9.0)


def daemons(fleet):
    """Return the running daemons."""
    return [
        daemon
        for daemon in (
            *fleet.balancer_by_name.values(),
            *fleet.agent_by_name.values(),
        )
        if daemon.process.alive
    ]


def relay_hosts(fleet) -> set[str]:
    """Return the hosts whose agents have followers."""
    return {
        daemon.settings.host
        for daemon in daemons(fleet)
        if daemon.kernel.get("relay").has_followers()
    }


def publish_change(fleet, kind: str) -> None:
    """Publish one change of the given kind in the store."""
    if kind == "configuration":
        fleet.store.configure(
            stream_fleet.configuration(5, stream_fleet.route(8443))
        )
    elif kind == "draining":
        fleet.store.put(fleet.registration("e1", draining=True))
    elif kind == "gone":
        fleet.store.remove("e1")
    else:
        fleet.store.take_out_of_service("b")


def includes_change(current_view, kind: str) -> bool:
    """Return whether a view includes the change."""
    if kind == "configuration":
        return current_view.configuration.version == 5
    if kind == "draining":
        return current_view.endpoint_by_id["e1"].draining
    if kind == "gone":
        return "e1" not in current_view.endpoint_by_id
    return current_view.domains_out == {"b"}


CHANGES = ("configuration", "draining", "gone", "out")
# Offsets within the followers' query interval of 0.6 s.
PHASES_S = (0.0, 0.2, 0.4)
FAULTS = ("none", "silent store", "refused", "killed", "cut off", "paused")


class RelayTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (kind, fault, phase_s)
            for kind in CHANGES
            for fault in FAULTS
            for phase_s in PHASES_S
        ]
    )
    def test_a_change_is_in_force_within_the_bound(self, kind, fault, phase_s):
        """Guards against followers that rely on relays cut off from the store.

        The fault hits all relays at once, just before the change. With
        ``cut off``, all packets from the relays are lost and the store does
        not answer them.
        """

        async def scenario(fleet):
            await start_fleet(fleet)
            await anyio.sleep(phase_s)
            hosts = relay_hosts(fleet)
            faulty_daemons = [
                d for d in daemons(fleet) if d.settings.host in hosts
            ]
            if fault in ("silent store", "cut off"):
                fleet.store.silent_hosts |= hosts
            if fault == "refused":
                fleet.store.refused_hosts |= hosts
            if fault == "cut off":
                fleet.network.add_rule(
                    virtual_network.Rule(
                        lambda packet: packet.source.host in hosts, loss=1.0
                    )
                )
            for daemon in faulty_daemons:
                if fault == "killed":
                    daemon.kill()
                if fault == "paused":
                    daemon.process.pause()
            # A killed process ends in the next iteration of the event loop.
            await anyio.sleep(0.01)
            publish_change(fleet, kind)
            await anyio.sleep(CHANGE_S)
            exempt = () if fault == "none" else faulty_daemons
            return len(hosts), [
                daemon.settings.id
                for daemon in daemons(fleet)
                if daemon not in exempt
                and not includes_change(daemon.kernel.get("view").view, kind)
            ]

        relays, outdated_ids = test_stream_flows.run_scenario(scenario)
        self.assertEqual(3, relays)
        self.assertEqual([], outdated_ids)

    def test_daemons_that_follow_each_other_still_read_the_store(self):
        """Guards against two daemons that only confirm each other's view.

        Just after a change of the endpoints their views may differ, so each
        may choose the other as its relay.
        """
        hosts = ("10.0.0.1", "10.0.0.2")

        def each_other(known, domain, own_host):
            return [host for host in hosts if host != own_host][:1]

        async def scenario(fleet):
            await start_fleet(fleet, balancers=2)
            publish_change(fleet, "draining")
            await anyio.sleep(CHANGE_S)
            return [
                daemon.settings.id
                for daemon in fleet.balancer_by_name.values()
                if not includes_change(
                    daemon.kernel.get("view").view, "draining"
                )
            ]

        with mock.patch.object(relay, "relays_for", each_other):
            self.assertEqual([], test_stream_flows.run_scenario(scenario))

    def test_an_entry_of_an_unknown_service_is_no_relay(self):
        """Guards against registrations without an agent that end relaying.

        All daemons would watch the store then, each for itself.
        """

        async def scenario(fleet):
            await start_fleet(fleet)
            relays = relay_hosts(fleet)
            for number, domain in enumerate("abc" * 20):
                fleet.store.put(
                    fleet.registration(
                        "e0",
                        "unknown",
                        id=f"foreign-{number}",
                        host=f"10.0.9.{number}",
                        failure_domain=domain,
                    )
                )
            await anyio.sleep(2 * CHANGE_S)
            return relays, relay_hosts(fleet)

        relays, relays_after = test_stream_flows.run_scenario(scenario)
        self.assertEqual(3, len(relays))
        self.assertEqual(relays, relays_after)

    def test_a_daemon_that_joins_costs_two_calls_at_most(self):
        """Guards against starts that read the store again and again.

        Endpoints change while half as many daemons again are started.
        """

        async def scenario(fleet):
            await start_fleet(fleet, balancers=4)
            await anyio.sleep(2.0)
            calls_before = fleet.store.calls
            for number in range(20):
                if number == 10:
                    for joining in range(8):
                        name = f"joined{joining}"
                        fleet.add_balancer(name, f"10.0.3.{joining}", "a")
                fleet.store.put(
                    fleet.registration("e1", cold_s=100.0 - number)
                )
                await anyio.sleep(0.25)
            calls_of_relays = 3 * 20
            return fleet.store.calls - calls_before - calls_of_relays

        calls = test_stream_flows.run_scenario(scenario)
        self.assertLessEqual(calls, 8 * 2)

    @parameterized.parameterized.expand(CHANGES)
    def test_a_daemon_that_starts_uses_no_state_from_a_stale_listing(
        self, kind
    ):
        """Guards against endpoints and routes that come back with a restart.

        The listing of a start may be seconds old.
        """

        async def scenario(fleet):
            await start_fleet(fleet, balancers=1)
            publish_change(fleet, kind)
            fleet.store.stale_commits = 1
            await anyio.sleep(CHANGE_S)
            joined = fleet.add_balancer("joined", "10.0.3.1", "a")
            while joined.kernel is None or not (
                joined.kernel.get("view").view.loaded
            ):
                await anyio.sleep(0.001)
            return includes_change(joined.kernel.get("view").view, kind)

        self.assertTrue(test_stream_flows.run_scenario(scenario))

    def test_more_daemons_cost_hardly_more_calls(self):
        """Guards against a watch of the store by every daemon.

        Endpoints change all day and calls to the store are charged. Without
        relays, each change costs one call per daemon.
        """

        def calls(balancers: int) -> int:
            async def scenario(fleet):
                await start_fleet(fleet, balancers)
                calls_before = fleet.store.calls
                for number in range(40):
                    remaining_s = 100.0 - number
                    registration = fleet.registration("e1", cold_s=remaining_s)
                    fleet.store.put(registration)
                    await anyio.sleep(0.5)
                return fleet.store.calls - calls_before

            return test_stream_flows.run_scenario(scenario)

        calls_of_9, calls_of_21 = calls(3), calls(15)
        # The fleets have 9 and 21 daemons. The calls must grow by less than
        # half of that ratio.
        self.assertLess(calls_of_21 / calls_of_9, 21 / 9 / 2)
        # Without relays, each of the 9 daemons would make 40 calls.
        self.assertLess(calls_of_9, 9 * 40 / 2)

    def test_a_follower_that_relays_confirm_asks_no_daemon_for_its_view(self):
        """Guards against requests that go on after the store has returned.

        A follower's own last call of the store failed, and relays confirm its
        view before its next one.
        """

        async def scenario(fleet):
            await start_fleet(fleet)
            followers = [
                daemon
                for daemon in daemons(fleet)
                if daemon.settings.host not in relay_hosts(fleet)
            ]
            fleet.store.refused_hosts |= {d.settings.host for d in followers}
            for name in list(fleet.agent_by_name):
                fleet.store.put(fleet.registration(name, cold_s=9.0))
            fleet.network.add_rule(
                virtual_network.Rule(
                    lambda packet: packet.source.host in relay_hosts(fleet)
                    and anyio.current_time() < 14.0,
                    loss=1.0,
                )
            )
            await anyio.sleep(6.0)
            fleet.store.refused_hosts.clear()
            await anyio.sleep(5.0)

            def asked():
                return sum(
                    daemon.kernel.get("metrics").count_by_name.get(
                        "stream.views_not_newer", 0
                    )
                    for daemon in daemons(fleet)
                )

            asked_before = asked()
            await anyio.sleep(5.0)
            return asked_before, asked() - asked_before

        asked_before, asked_after = test_stream_flows.run_scenario(scenario)
        self.assertGreater(asked_before, 0)
        self.assertEqual(0, asked_after)

    def test_an_idle_fleet_sends_only_queries_and_answers(self):
        """Guards against relays that resend the same change forever."""

        async def scenario(fleet):
            await start_fleet(fleet)
            publish_change(fleet, "draining")
            await anyio.sleep(1.0)
            frames_before = sum(
                daemon.kernel.get("metrics").count_by_name.get(
                    "stream.frames_received", 0
                )
                for daemon in daemons(fleet)
            )
            await anyio.sleep(10.0)
            frames_after = sum(
                daemon.kernel.get("metrics").count_by_name.get(
                    "stream.frames_received", 0
                )
                for daemon in daemons(fleet)
            )
            return frames_after - frames_before

        frame_count = test_stream_flows.run_scenario(scenario)
        # 6 daemons query 2 relays each every 0.6 s, with 20% jitter. Each
        # query has one answer.
        queries = 6 * 2 * 10.0 / (CHANGE_S * relay.QUERY_FRACTION)
        self.assertLess(frame_count, 2 * queries * 1.3)


class DeltaTest(unittest.TestCase):
    def views(self, endpoints: int):
        """Return an old and a new view.

        In the new view, the first endpoint is removed and all others have
        changed.
        """

        def endpoint(number, revision, draining):
            return view.Endpoint(
                id=f"e{number}",
                service="desk",
                host=f"10.0.1.{number}",
                failure_domain="a",
                slots=5,
                draining=draining,
                started_ms=1,
                revision=revision,
                created=1,
                cold_s=0.0,
                seen_s=0.0,
            )

        configuration = stream_fleet.configuration(1, stream_fleet.route())
        old_view = view.View(
            100,
            configuration,
            {f"e{n}": endpoint(n, n + 1, False) for n in range(endpoints)},
            frozenset("b"),
        )
        new_view = view.View(
            200,
            configuration,
            {f"e{n}": endpoint(n, 101 + n, True) for n in range(1, endpoints)},
            frozenset("c"),
        )
        return old_view, new_view

    @parameterized.parameterized.expand([(2,), (25,), (60,)])
    def test_the_deltas_lead_from_one_view_to_the_other(self, endpoints):
        """Guards against a follower that receives only part of a change."""
        old_view, new_view = self.views(endpoints)
        endpoint_by_id = dict(old_view.endpoint_by_id)
        current = old_view
        for delta in view_delta.deltas_between(old_view, new_view, 0.0):
            changes = view_delta.changes_from_delta(current, delta, 0.0)
            self.assertIsNotNone(changes)
            for id_ in changes.removed_ids:
                endpoint_by_id.pop(id_, None)
            endpoint_by_id |= {item.id: item for item in changes.endpoints}
            current = dataclasses.replace(
                current,
                revision=changes.revision,
                domains_out=(current.domains_out | set(changes.domains_out))
                - set(changes.domains_returned),
            )
        self.assertEqual(new_view.endpoint_by_id, endpoint_by_id)
        self.assertEqual(new_view.revision, current.revision)
        self.assertEqual(new_view.domains_out, current.domains_out)

    def test_a_follower_that_misses_a_part_applies_none_after_it(self):
        """Guards against a view that lacks changes of its own revision."""
        old_view, new_view = self.views(60)
        _, second_delta, *_ = view_delta.deltas_between(
            old_view, new_view, 0.0
        )
        self.assertIsNone(
            view_delta.changes_from_delta(old_view, second_delta, 0.0)
        )

    def test_a_follower_between_two_parts_removes_what_has_gone(self):
        """Guards against an endpoint that has gone and is kept for ever.

        The follower has read the store itself meanwhile, up to a revision
        between those of two parts, so it skips the first one.
        """
        old_view, new_view = self.views(60)
        first_delta, *other_deltas = view_delta.deltas_between(
            old_view, new_view, 0.0
        )
        current = dataclasses.replace(
            old_view, revision=first_delta.revision + 5
        )
        endpoint_by_id = dict(current.endpoint_by_id)
        for delta in other_deltas:
            changes = view_delta.changes_from_delta(current, delta, 0.0)
            for id_ in changes.removed_ids:
                endpoint_by_id.pop(id_, None)
            current = dataclasses.replace(current, revision=changes.revision)
        self.assertEqual(new_view.revision, current.revision)
        self.assertNotIn("e0", endpoint_by_id)

    def configurations(self, changed_count: int):
        """Return two configurations that differ in some routes."""
        old_routes = [stream_fleet.route(port) for port in range(1, 61)]
        new_routes = [
            *(
                dataclasses.replace(route, timeout_s=9.0)
                for route in old_routes[:changed_count]
            ),
            *old_routes[changed_count:-1],
            stream_fleet.route(100),
        ]
        return (
            stream_fleet.configuration(1, *old_routes),
            stream_fleet.configuration(4, *new_routes, cold_per_s=3.0),
        )

    def test_a_configuration_is_sent_as_a_difference(self):
        """Guards against one store call per daemon and configuration.

        If a configuration is not sent, each follower reads it from the store.
        This is costly when configurations change in quick succession.
        """
        old_view, new_view = self.views(2)
        old_configuration, new_configuration = self.configurations(
            changed_count=3
        )
        old_view = dataclasses.replace(
            old_view, configuration=old_configuration
        )
        new_view = dataclasses.replace(
            new_view, configuration=new_configuration
        )
        deltas = view_delta.deltas_between(old_view, new_view, 0.0)
        encoded = [frames.encode(delta) for delta in deltas]
        decoded, _ = frames.decode(encoded[0])
        changes = view_delta.changes_from_delta(old_view, decoded, 0.0)
        self.assertEqual(new_configuration, changes.configuration)
        self.assertEqual(old_view.revision, changes.revision)

    def test_a_configuration_that_fits_no_frame_is_not_sent(self):
        """Guards against frames above the receivers' limit of 4,096 bytes."""
        old_view, new_view = self.views(60)
        old_configuration, new_configuration = self.configurations(
            changed_count=55
        )
        old_view = dataclasses.replace(
            old_view, configuration=old_configuration
        )
        new_view = dataclasses.replace(
            new_view, configuration=new_configuration
        )
        self.assertEqual(
            [], view_delta.deltas_between(old_view, new_view, 0.0)
        )

    @parameterized.parameterized.expand([(frames.MAX_FRAME_BYTES,), (70_000,)])
    def test_a_registration_that_fits_no_frame_is_not_sent(self, characters):
        """Guards against an encoder that ends the relay or is ignored.

        70,000 bytes exceed the length field of a frame as well.
        """
        old_view, new_view = self.views(2)
        long_endpoint = dataclasses.replace(
            new_view.endpoint_by_id["e1"], service="s" * characters
        )
        new_view = dataclasses.replace(
            new_view, endpoint_by_id={"e1": long_endpoint}
        )
        self.assertEqual(
            [], view_delta.deltas_between(old_view, new_view, 0.0)
        )

    def test_the_longest_delta_fits_a_frame(self):
        """Guards against frames that earlier versions discard.

        Their limit is 4,096 bytes.
        """
        old_view, new_view = self.views(60)
        old_configuration, new_configuration = self.configurations(
            changed_count=20
        )
        old_view = dataclasses.replace(
            old_view, configuration=old_configuration
        )
        new_view = dataclasses.replace(
            new_view, configuration=new_configuration
        )
        for delta in view_delta.deltas_between(old_view, new_view, 0.0):
            data = frames.encode(delta)
            self.assertLessEqual(len(data), 4_096)
            self.assertIsNotNone(frames.decode(data))

    def test_a_delta_of_another_configuration_does_not_apply(self):
        """Guards against a new revision with an outdated configuration."""
        old_view, new_view = self.views(2)
        (delta,) = view_delta.deltas_between(old_view, new_view, 0.0)
        delta.version = 7
        self.assertIsNone(view_delta.changes_from_delta(old_view, delta, 0.0))


class OutagesTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("ends", "", 0.0, set()),
            ("is followed by another one", "down", 3.0, set()),
            ("is followed by a long one", "down", 8.0, set()),
            ("is followed by one without answers", "silent", 3.0, set()),
        ]
    )
    def test_a_live_endpoint_stays_in_all_views_when_an_outage(
        self, _, second_outage, second_outage_s, expected
    ):
        """Guards against a removal that was put off and is then overdue.

        The endpoint's registration lapses in the first outage. It registers
        again as soon as the store has been back for a second and a half.
        """

        async def scenario(fleet):
            await start_fleet(fleet)
            missing = set()

            async def watch_views():
                while True:
                    missing.update(
                        daemon.settings.id
                        for daemon in daemons(fleet)
                        if "e1"
                        not in daemon.kernel.get("view").view.endpoint_by_id
                    )
                    await anyio.sleep(0.05)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_views)
                fleet.store.down = True
                fleet.store.remove("e1")
                await anyio.sleep(4.0)
                fleet.store.down = False
                if second_outage:
                    await anyio.sleep(0.6)
                    setattr(fleet.store, second_outage, True)
                    await anyio.sleep(second_outage_s)
                    setattr(fleet.store, second_outage, False)
                await anyio.sleep(1.5)
                fleet.store.put(fleet.registration("e1"))
                await anyio.sleep(8.0)
                tasks.cancel_scope.cancel()
            return missing

        self.assertEqual(expected, test_stream_flows.run_scenario(scenario))

    @parameterized.parameterized.expand(
        [
            (f"after_{cut_s}_s_{name}", cut_s, outage_s)
            for cut_s in (0.4, 0.8, 1.5, 2.5)
            for name, outage_s in (("", 0.0), ("after_an_outage", 4.0))
        ]
    )
    def test_an_endpoint_that_is_gone_leaves_all_views_though_watches_are_cut(
        self, _, cut_s, outage_s
    ):
        """Guards against cut watches that put a removal off again and again.

        A watch that waits may be cut at any time. The endpoint's registration
        is removed while the store answers, and it does not come back.
        """

        async def scenario(fleet):
            await start_fleet(fleet)
            fleet.store.cut_watch_s = cut_s
            fleet.store.down = outage_s > 0
            await anyio.sleep(outage_s)
            fleet.store.down = False
            await anyio.sleep(0.3 if outage_s else 5.0)
            fleet.store.remove("e1")
            await anyio.sleep(CHANGE_S)
            return {
                daemon.settings.id
                for daemon in daemons(fleet)
                if "e1" in daemon.kernel.get("view").view.endpoint_by_id
            }

        self.assertEqual(set(), test_stream_flows.run_scenario(scenario))

    def test_an_endpoint_that_does_not_register_again_leaves_all_views(self):
        """Guards against removals that are put off for ever."""

        async def scenario(fleet):
            await start_fleet(fleet)
            fleet.store.down = True
            fleet.store.remove("e1")
            await anyio.sleep(4.0)
            fleet.store.down = False
            await anyio.sleep(6.0)
            return {
                daemon.settings.id
                for daemon in daemons(fleet)
                if "e1" in daemon.kernel.get("view").view.endpoint_by_id
            }

        self.assertEqual(set(), test_stream_flows.run_scenario(scenario))

"""Tests of the view lease under pauses, partitions and outages."""

import unittest

import anyio
import parameterized

from bramleypin.internal.membership import lease
from bramleypin.internal.model import configuration
from bramleypin.standins import fleet as fleet_module
from bramleypin.standins import platform


def pick_balancer(fleet):
    """Return a running balancer, preferably one that is not a reader."""
    balancers = [m for m in fleet.live_members() if m.vm.role == "balancer"]
    balancers.sort(key=lambda member: member.get("members").position.is_reader)
    return balancers[0]


class TestLease(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("short", 4.0, 12), ("long", 10.0, 12), ("large", 30.0, 90)]
    )
    def test_a_paused_process_updates_its_view_before_it_forwards(
        self, _, pause_s, count
    ):
        """Guards against forwarding with a stale view after a pause."""

        async def scenario(fleet):
            member = pick_balancer(fleet)
            view_lease = member.get("lease")
            self.assertTrue(view_lease.is_valid())
            member.process.pause()
            await anyio.sleep(0.1)
            fleet.domains["a"] = configuration.FailureDomain("region", True)
            revision = fleet.publish()
            await anyio.sleep(pause_s)
            member.process.wake()
            self.assertEqual(revision - 1, member.get("view").view.revision)
            resumed_s = anyio.current_time()
            while not view_lease.is_valid():
                await anyio.sleep(0.0005)
            self.assertTrue(member.get("view").view.is_out("a"))
            self.assertLess(anyio.current_time() - resumed_s, lease.LEASE_S)

        fleet_module.run(scenario, count)

    @parameterized.parameterized.expand(
        [(str(seed), seed) for seed in range(8)]
    )
    def test_buffered_answers_do_not_extend_the_lease(self, _, seed):
        """Guards against a lease that starts when its answer arrives.

        A process is paused while lease requests are pending, and finds the
        answers in its buffers when it resumes.
        """

        async def scenario(fleet):
            member = pick_balancer(fleet)
            view_lease = member.get("lease")
            valid_at_change = []
            member.get("view").listeners.append(
                lambda: valid_at_change.append(view_lease.is_valid())
            )
            while not any(
                link.sent_at_by_lease for link in member.get("sync").links
            ):
                await anyio.sleep(0.0005)
            member.process.pause()
            await anyio.sleep(0.1)
            fleet.publish()
            await anyio.sleep(10.0)
            member.process.wake()
            await anyio.sleep(3.0)
            self.assertEqual([False], valid_at_change)
            self.assertTrue(view_lease.is_valid())

        fleet_module.run(scenario, 12, seed=seed)

    @parameterized.parameterized.expand(
        [
            ("newer", 3, 0.0, False),
            ("the_same", 2, 0.0, True),
            ("older", 1, 0.0, True),
            ("no_view", 0, 0.0, False),
            ("too_old", 2, lease.LEASE_S, False),
        ]
    )
    def test_only_a_revision_that_is_not_newer_confirms(
        self, _, revision, age_s, valid
    ):
        """Guards against a lease from an answer that confirms no view.

        Such an answer is too old, has a newer revision or comes from a peer
        without a view. The active revision is 2.
        """

        async def scenario(fleet):
            member = pick_balancer(fleet)
            await fleet.wait_for_revision(fleet.publish(), 5.0)
            member.process.pause()
            await anyio.sleep(lease.LEASE_S + 1.0)
            view_lease = member.get("lease")
            self.assertFalse(view_lease.is_valid())
            view_lease.confirm(anyio.current_time() - age_s, revision)
            self.assertEqual(valid, view_lease.is_valid())

        fleet_module.run(scenario, 6)

    def test_a_process_without_any_connection_has_no_lease(self):
        """Guards against a partitioned process that keeps using its view.

        It knows peers but can reach neither them nor the platform, so its
        view may be outdated.
        """

        async def scenario(fleet):
            member = pick_balancer(fleet)
            fleet.platform.set_down(True)
            member.process.failure_domain = "isolated"
            fleet.network.partition(("isolated",), tuple(fleet.domains))
            await anyio.sleep(lease.LEASE_S)
            for _ in range(100):
                self.assertFalse(member.get("lease").is_valid())
                await anyio.sleep(0.3)
            fleet.network.heal()
            await anyio.sleep(6.0)
            self.assertTrue(member.get("lease").is_valid())

        fleet_module.run(scenario, 12)

    def test_a_process_without_peers_uses_the_platform(self):
        """Guards against a process without peers that never forwards.

        It reaches the platform but no peer, so only the platform can
        confirm its view.
        """

        async def scenario(fleet):
            member = pick_balancer(fleet)
            member.process.failure_domain = "isolated"
            fleet.network.partition(("isolated",), tuple(fleet.domains))
            await anyio.sleep(20.0)
            valid_count = 0
            for _ in range(300):
                await anyio.sleep(0.1)
                valid_count += member.get("lease").is_valid()
            self.assertGreater(valid_count, 0)

        fleet_module.run(scenario, 12)

    def test_a_process_that_knows_no_peers_keeps_its_lease(self):
        """Guards against a single balancer that stops in a platform outage.

        After a pause, its lease is valid again only after ``LEASE_S``.
        """

        async def scenario(fleet):
            member = fleet.live_members()[0]
            view_lease = member.get("lease")
            fleet.platform.set_down(True)
            await anyio.sleep(60.0)
            self.assertTrue(view_lease.is_valid())
            member.process.pause()
            await anyio.sleep(10.0)
            member.process.wake()
            self.assertFalse(view_lease.is_valid())
            await anyio.sleep(lease.LEASE_S + 0.1)
            self.assertTrue(view_lease.is_valid())

        fleet_module.run(scenario, 1)

    @parameterized.parameterized.expand([("alone", 1), ("with_peers", 12)])
    def test_a_process_without_a_view_has_no_lease(self, _, count):
        """Guards against a new process that forwards with its empty view."""

        async def scenario(fleet):
            killed_member = pick_balancer(fleet)
            killed_member.process.kill()
            source = platform.DisconnectableSource(fleet.platform)
            source.cut = True
            await anyio.sleep(1.0)
            restarted = fleet.start(killed_member.vm.id, source)
            await restarted.kernel.started.wait()
            while restarted.get("view").view.revision == 0:
                self.assertFalse(restarted.get("lease").is_valid())
                await anyio.sleep(0.1)
                source.cut = anyio.current_time() < 30.0

        fleet_module.run(scenario, count)

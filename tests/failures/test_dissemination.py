"""Tests of configuration dissemination while parts of the fleet fail."""

import unittest

import anyio
import parameterized

from bramleypin.internal.membership import trees
from bramleypin.standins import fleet as fleet_module
from bramleypin.standins import platform

MAX_DISSEMINATION_S = 5.0
OLD_KEY = "0a" * 32
NEW_KEY = "0b" * 32


def reader_ids(fleet, domain):
    """Return the ids of a failure domain's readers in the first tree."""
    domain_vms = [
        vm for vm in fleet.vm_by_id.values() if vm.failure_domain == domain
    ]
    return [vm.id for vm in trees.rank_members(domain_vms, 0)][:3]


def parents_by_child_count(fleet):
    """Return the ids of all parents, those with the most children first."""
    child_count_by_parent = {}
    for member in fleet.live_members():
        for parent in member.get("members").position.upstream:
            child_count_by_parent[parent] = (
                child_count_by_parent.get(parent, 0) + 1
            )
    return sorted(
        child_count_by_parent, key=child_count_by_parent.get, reverse=True
    )


async def no_process(fleet):
    """Keep all processes running."""


async def first_reader_of_each_domain(fleet):
    for domain in fleet.domains:
        fleet.member_by_id[reader_ids(fleet, domain)[0]].process.kill()


async def all_readers_of_a_domain(fleet):
    for vm_id in reader_ids(fleet, "a"):
        fleet.member_by_id[vm_id].process.kill()


async def the_two_busiest_parents(fleet):
    for vm_id in parents_by_child_count(fleet)[:2]:
        fleet.member_by_id[vm_id].process.kill()


async def both_parents_of_a_process(fleet):
    for member in fleet.live_members():
        position = member.get("members").position
        if not position.is_reader and len(position.upstream) == 2:
            for vm_id in position.upstream:
                fleet.member_by_id[vm_id].process.kill()
            return


async def a_third_of_the_fleet(fleet):
    for vm_id in list(fleet.vm_by_id)[::3]:
        fleet.member_by_id[vm_id].process.kill()


def assert_monotonic(case, fleet):
    """Fail unless each new revision of a process exceeds its previous one."""
    for member in fleet.member_by_id.values():
        revisions = [revision for _, revision in member.revisions]
        case.assertEqual(sorted(set(revisions)), revisions, member.vm.id)


class TestDissemination(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (inject_failure.__name__, inject_failure, count)
            for inject_failure, count in (
                (no_process, 12),
                (no_process, 90),
                (first_reader_of_each_domain, 60),
                (all_readers_of_a_domain, 60),
                (the_two_busiest_parents, 90),
                (both_parents_of_a_process, 90),
                (a_third_of_the_fleet, 60),
            )
        ]
    )
    def test_a_change_reaches_all_running_processes(
        self, _, inject_failure, count
    ):
        """Guards against a parent or reader whose failure cuts off others."""

        async def scenario(fleet):
            await inject_failure(fleet)
            for _ in range(3):
                revision = fleet.publish()
                elapsed_s = await fleet.wait_for_revision(revision, 30.0)
                self.assertIsNotNone(elapsed_s)
                self.assertLessEqual(elapsed_s, MAX_DISSEMINATION_S)
            assert_monotonic(self, fleet)

        fleet_module.run(scenario, count)

    def test_views_and_leases_survive_an_outage_of_the_platform(self):
        """Guards against processes that stop when the platform is down."""

        async def scenario(fleet):
            fleet.platform.set_down(True)
            revision = fleet.publish()
            for _ in range(12):
                await anyio.sleep(5.0)
                for member in fleet.live_members():
                    self.assertEqual(revision - 1, member.revision)
                    self.assertTrue(member.get("lease").is_valid())
            fleet.platform.set_down(False)
            elapsed_s = await fleet.wait_for_revision(revision, 30.0)
            self.assertIsNotNone(elapsed_s)
            self.assertLessEqual(elapsed_s, MAX_DISSEMINATION_S)

        fleet_module.run(scenario, 30)

    @parameterized.parameterized.expand(
        [
            ("running", False, 12, ("a", "b", "c")),
            ("fresh", True, 12, ("a", "b", "c")),
            ("one_domain", False, 3, ("a",)),
        ]
    )
    def test_a_stale_replica_reverts_no_process(
        self, _, starts_after_change, count, failure_domains
    ):
        """Guards against an older revision that replaces a newer one.

        One reader starts on a platform replica that no longer changes.
        """

        async def scenario(fleet):
            stale_replica = fleet.platform.freeze_replica()
            reader_id = reader_ids(fleet, "a")[0]
            fleet.member_by_id[reader_id].process.kill()
            await anyio.sleep(1.0)
            if not starts_after_change:
                fleet.start(reader_id, stale_replica)
                await anyio.sleep(2.0)
            revision = fleet.publish()
            await fleet.wait_for_revision(revision, MAX_DISSEMINATION_S)
            if starts_after_change:
                fleet.start(reader_id, stale_replica)
            elapsed_s = await fleet.wait_for_revision(revision, 30.0)
            self.assertIsNotNone(elapsed_s)
            self.assertLessEqual(elapsed_s, MAX_DISSEMINATION_S)
            await anyio.sleep(60.0)
            for member in fleet.live_members():
                self.assertEqual(revision, member.revision)
            assert_monotonic(self, fleet)

        fleet_module.run(scenario, count, failure_domains)

    def test_a_partitioned_domain_catches_up_after_the_partition(self):
        """Guards against a failure domain that stays on an old revision."""

        async def scenario(fleet):
            sources = []
            for member in list(fleet.live_members()):
                if member.vm.failure_domain == "c":
                    source = platform.DisconnectableSource(fleet.platform)
                    sources.append(source)
                    member.process.kill()
                    await anyio.sleep(0.01)
                    fleet.start(member.vm.id, source)
            await anyio.sleep(5.0)
            for source in sources:
                source.cut = True
            partition = fleet.network.partition(("c",), ("a", "b"))
            await anyio.sleep(1.0)
            revision = 0
            # More revisions than a change log holds (64).
            for _ in range(70):
                revision = fleet.publish()
                await anyio.sleep(5.0)
            for member in fleet.live_members():
                is_partitioned = member.vm.failure_domain == "c"
                self.assertEqual(member.revision < revision, is_partitioned)
                self.assertTrue(member.get("lease").is_valid())
            fleet.network.heal(partition)
            # The platform remains unreachable from domain c.
            elapsed_s = await fleet.wait_for_revision(revision, 30.0)
            self.assertIsNotNone(elapsed_s)
            self.assertLessEqual(elapsed_s, MAX_DISSEMINATION_S)
            assert_monotonic(self, fleet)

        fleet_module.run(scenario, 24)

    def test_keys_are_rotated_without_losing_a_link(self):
        """Guards against processes that refuse each other during a rotation.

        At each step, some processes already have the next set of keys.
        """

        async def scenario(fleet):
            key_sets = ((OLD_KEY, NEW_KEY), (NEW_KEY, OLD_KEY), (NEW_KEY,))
            for vm_id in fleet.vm_by_id:
                fleet.member_by_id[vm_id].process.kill()
            await anyio.sleep(0.1)
            for vm_id in fleet.vm_by_id:
                fleet.start(vm_id, keys=(OLD_KEY,))
            await anyio.sleep(5.0)
            for keys in key_sets:
                for vm_id in fleet.vm_by_id:
                    fleet.member_by_id[vm_id].process.kill()
                    await anyio.sleep(0.1)
                    fleet.start(vm_id, keys=keys)
                    await anyio.sleep(1.0)
                    revision = fleet.publish()
                    elapsed_s = await fleet.wait_for_revision(revision, 10.0)
                    self.assertIsNotNone(elapsed_s)
                    self.assertLessEqual(elapsed_s, MAX_DISSEMINATION_S)
                    for member in fleet.live_members():
                        sync = member.get("sync")
                        self.assertEqual({}, sync.rejected_by_reason)
                        self.assertTrue(sync.links)

        fleet_module.run(scenario, 8)

    def test_a_revision_published_twice_is_kept_and_reported(self):
        """Guards against an unreported conflict between two publications.

        An operator publishes the active revision again with other contents,
        namely with 3 of the 4 services.
        """

        async def scenario(fleet):
            services = list(fleet.services.values())[1:]
            fleet.publisher.publish(fleet.revision, services, fleet.domains)
            await anyio.sleep(5.0)
            for member in fleet.live_members():
                view = member.get("view").view
                self.assertEqual(4, len(view.service_by_address))
                if member.get("members").position.is_reader:
                    self.assertEqual(1, member.get("sync").conflicts)

        fleet_module.run(scenario, 12)

    def test_one_revision_with_two_contents_is_kept_and_reported(self):
        """Guards against a view replaced by other contents of its revision.

        One process reads the other contents, 3 of the 4 services, from a
        second platform while its failure domain is partitioned from the
        others.
        """

        async def scenario(fleet):
            other_platform = platform.MemoryPlatform()
            publisher = platform.Publisher(other_platform)
            services = list(fleet.services.values())[1:]
            revision = fleet.publish()
            await fleet.wait_for_revision(revision, MAX_DISSEMINATION_S)
            publisher.publish(revision, services, fleet.domains)
            publisher.publish_vms(
                fleet.vms_version, list(fleet.vm_by_id.values())
            )
            vm_id = next(iter(fleet.vm_by_id))
            fleet.member_by_id[vm_id].process.kill()
            await anyio.sleep(1.0)
            partition = fleet.network.partition(("a",), ("b", "c"))
            for member in fleet.live_members():
                if member.vm.failure_domain == "a":
                    member.process.pause()
            member = fleet.start(vm_id, other_platform)
            await anyio.sleep(5.0)
            self.assertEqual(
                3, len(member.get("view").view.service_by_address)
            )
            fleet.network.heal(partition)
            for peer in fleet.live_members():
                peer.process.wake()
            await anyio.sleep(20.0)
            self.assertEqual(
                3, len(member.get("view").view.service_by_address)
            )
            self.assertGreater(member.get("sync").conflicts, 0)
            await fleet.wait_for_revision(fleet.publish(), MAX_DISSEMINATION_S)
            self.assertEqual(
                4, len(member.get("view").view.service_by_address)
            )
            assert_monotonic(self, fleet)

        fleet_module.run(scenario, 12)


class TestReportedRevision(unittest.TestCase):
    def test_a_revision_seen_on_the_data_path_is_fetched(self):
        """Guards against a process that stays on an old revision.

        It has no link to its parents, but a frame on the data path shows that
        another process has a newer revision.
        """

        async def scenario(fleet):
            outdated_member = fleet.member_by_id["vm-1"]
            current_member = fleet.member_by_id["vm-2"]
            network = fleet.network
            outdated_member.process.failure_domain = "isolated"
            partition = network.partition(("isolated",), tuple(fleet.domains))
            fleet.member_by_id["vm-1"].kernel.environment.platform = (
                platform.DisconnectableSource(fleet.platform)
            )
            outdated_member.kernel.environment.platform.cut = True
            await anyio.sleep(40.0)
            revision = fleet.publish()
            await anyio.sleep(1.0)
            self.assertEqual(revision - 1, outdated_member.revision)
            network.heal(partition)
            sync = outdated_member.get("sync")
            sync.report_newer(revision, current_member.vm.control_address)
            reported_s = anyio.current_time()
            await outdated_member.get("view").wait_for_change(revision - 1)
            self.assertLess(anyio.current_time() - reported_s, 0.1)

        fleet_module.run(scenario, 12)

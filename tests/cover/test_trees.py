"""Tests of the dissemination trees, which every process computes."""

import unittest

import parameterized

from bramleypin.internal.membership import trees
from bramleypin.standins import fleet

DOMAINS = ("a", "b", "c")


def compute_positions(count):
    """Return the tree position of every process by id."""
    all_vms = fleet.make_vms(count, DOMAINS)
    return {
        vm.id: trees.compute_position(
            vm,
            [m for m in all_vms if m.failure_domain == vm.failure_domain],
            trees.select_contacts(all_vms, vm.failure_domain),
        )
        for vm in all_vms
    }


class TestTrees(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(str(count), count) for count in (1, 2, 3, 7, 30, 300, 2_970)]
    )
    def test_every_process_receives_a_change(self, _, count):
        """Guards against trees that omit a process or grow too deep."""
        position_by_id = compute_positions(count)
        reached = {
            i for i, position in position_by_id.items() if position.is_reader
        }
        depth = 0
        while len(reached) < count:
            newly_reached = {
                vm_id
                for vm_id, position in position_by_id.items()
                if reached & position.upstream.keys()
            }
            self.assertGreater(len(newly_reached | reached), len(reached))
            reached |= newly_reached
            depth += 1
        self.assertLessEqual(depth, 3)

    @parameterized.parameterized.expand(
        [(str(count), count) for count in (30, 300, 2_970)]
    )
    def test_load_is_bounded_for_every_process(self, _, count):
        """Guards against reader or child counts that grow with the fleet."""
        position_by_id = compute_positions(count)
        child_count_by_parent = {}
        for position in position_by_id.values():
            for parent in position.upstream:
                child_count_by_parent[parent] = (
                    child_count_by_parent.get(parent, 0) + 1
                )
        readers = sum(
            position.is_reader for position in position_by_id.values()
        )
        limit = trees.READERS_PER_DOMAIN * trees.TREE_COUNT
        self.assertLessEqual(readers, limit * len(DOMAINS))
        ring_and_domain_links = 2 + limit
        self.assertLessEqual(
            max(child_count_by_parent.values()),
            trees.TREE_COUNT * trees.FANOUT + ring_and_domain_links,
        )

    def test_most_processes_have_two_parents(self):
        """Guards against a parent whose failure disconnects its children."""
        position_by_id = compute_positions(2_970)
        single_parent_positions = [
            position
            for position in position_by_id.values()
            if len(position.upstream) < 2
        ]
        self.assertLess(
            len(single_parent_positions), 0.05 * len(position_by_id)
        )

    @parameterized.parameterized.expand([(str(n), n) for n in (2, 3, 4, 7)])
    def test_every_process_has_an_upstream_process(self, _, count):
        """Guards against readers without lease answers in a single domain."""
        all_vms = fleet.make_vms(count, ("a",))
        for vm in all_vms:
            self.assertTrue(trees.compute_position(vm, all_vms, {}).upstream)

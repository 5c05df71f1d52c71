"""The trees that all processes compute for themselves."""

import unittest

import parameterized

from bramleypin.internal.membership import trees
from bramleypin.standins import fleet

DOMAINS = ("a", "b", "c")


def places(count):
    """Return the place of every process by id."""
    everyone = fleet.make_vms(count, DOMAINS)
    return {
        vm.id: trees.place(
            vm,
            [m for m in everyone if m.failure_domain == vm.failure_domain],
            trees.contacts(everyone, vm.failure_domain),
        )
        for vm in everyone
    }


class TestRoster(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(str(count), count) for count in (1, 2, 3, 7, 30, 300, 2_970)]
    )
    def test_every_process_hears_of_a_change(self, _, count):
        """Guards against trees that leave a process out, or grow deep."""
        place_by_id = places(count)
        reached = {i for i, place in place_by_id.items() if place.is_reader}
        depth = 0
        while len(reached) < count:
            found = {
                vm_id
                for vm_id, place in place_by_id.items()
                if reached & place.upstream.keys()
            }
            self.assertGreater(len(found | reached), len(reached))
            reached |= found
            depth += 1
        self.assertLessEqual(depth, 3)

    @parameterized.parameterized.expand(
        [(str(count), count) for count in (30, 300, 2_970)]
    )
    def test_load_is_bounded_for_every_process(self, _, count):
        """Guards against readers or children that grow with the fleet."""
        place_by_id = places(count)
        children = {}
        for place in place_by_id.values():
            for parent in place.upstream:
                children[parent] = children.get(parent, 0) + 1
        readers = sum(place.is_reader for place in place_by_id.values())
        limit = trees.READERS_PER_DOMAIN * trees.TREE_COUNT
        self.assertLessEqual(readers, limit * len(DOMAINS))
        ring_and_domains = 2 + limit
        self.assertLessEqual(
            max(children.values()),
            trees.TREE_COUNT * trees.FANOUT + ring_and_domains,
        )

    def test_most_processes_have_two_parents(self):
        """Guards against a single parent that disconnects its children."""
        place_by_id = places(2_970)
        single = [p for p in place_by_id.values() if len(p.upstream) < 2]
        self.assertLess(len(single), 0.05 * len(place_by_id))

    @parameterized.parameterized.expand([(str(n), n) for n in (2, 3, 4, 7)])
    def test_nobody_is_left_without_a_process_to_ask(self, _, count):
        """Guards against readers of one domain that confirm no view."""
        everyone = fleet.make_vms(count, ("a",))
        for vm in everyone:
            self.assertTrue(trees.place(vm, everyone, {}).upstream)

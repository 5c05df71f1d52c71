"""The view of stream flows: merging what the store and others say."""

import unittest

import anyio
import parameterized

from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_manager
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network


class _Settings:
    class bounds:
        lapsed_entry_s = 2.0
        flow_lifetime_s = 60.0


class _Metrics:
    def gauge(self, name, value):
        """Ignore the revision in force."""


class _Kernel:
    settings = _Settings

    def get(self, name):
        return _Metrics()


def endpoint(id_: str, revision: int, **more) -> view.Endpoint:
    """Return a registration."""
    values = {
        "service": "desk",
        "host": "10.0.1.1",
        "failure_domain": "a",
        "slots": 5,
        "draining": False,
        "started_ms": 1,
        "created": 1,
        "cold_s": 0.0,
        "seen_s": 0.0,
    }
    return view.Endpoint(id=id_, revision=revision, **{**values, **more})


def changes(revision: int, **more) -> view.Changes:
    """Return changes up to a revision."""
    values = {
        "configuration": None,
        "endpoints": (),
        "removed_ids": (),
        "domains_out": (),
        "domains_returned": (),
    }
    return view.Changes(revision, **{**values, **more})


def configured(version: int) -> view.Configuration:
    """Return a configuration with one route."""
    return stream_fleet.configuration(version, stream_fleet.route())


def keep(scenario):
    """Run a scenario with a keeper under the virtual clock."""

    async def main():
        return await scenario(view_manager.ViewKeeper(_Kernel()))

    return virtual_network.run(main)


class ViewKeeperTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "older configuration",
                5,
                changes(9, configuration=configured(3)),
            ),
            ("older changes", 5, changes(2, configuration=configured(8))),
            ("no configuration", 5, changes(9)),
        ]
    )
    def test_the_version_in_force_never_falls(self, _, version, later):
        """Guards against a daemon that goes back to an older version."""

        async def scenario(keeper):
            keeper.apply(changes(4, configuration=configured(version)))
            keeper.apply(later)
            return keeper.view.configuration.version

        self.assertEqual(version, keep(scenario))

    @parameterized.parameterized.expand(
        [
            ("newer", 9, 6, True),
            ("same revision", 4, 6, False),
            ("older version", 9, 2, False),
        ]
    )
    def test_a_view_of_another_daemon_counts_when_it_is(
        self, _, revision, version, adopted
    ):
        """Guards against an exchange that takes a daemon back."""

        async def scenario(keeper):
            keeper.apply(changes(4, configuration=configured(5)))
            other = view.View(revision, configured(version), {}, frozenset())
            return keeper.adopt(other)

        self.assertEqual(adopted, keep(scenario))

    @parameterized.parameterized.expand(
        [
            ("at once without an outage", False, 0.1, set()),
            ("not just after an outage", True, 1.0, {"e"}),
            ("when it is not listed again", True, 3.0, set()),
        ]
    )
    def test_a_registration_ends(self, _, outage, wait_s, left):
        """Guards against endpoints that an outage of the store removes."""

        async def scenario(keeper):
            keeper.apply(changes(2, endpoints=(endpoint("e", 2),)))
            if outage:
                keeper.hold_removals()
            keeper.apply(changes(3, removed_ids=("e",)))
            await anyio.sleep(wait_s)
            keeper.drop_lapsed()
            return set(keeper.view.endpoint_by_id)

        self.assertEqual(left, keep(scenario))

    def test_an_endpoint_that_is_listed_again_stays(self):
        """Guards against a lapse that outlives the new registration."""

        async def scenario(keeper):
            keeper.apply(changes(2, endpoints=(endpoint("e", 2),)))
            keeper.hold_removals()
            keeper.apply(changes(3, removed_ids=("e",)))
            keeper.apply(changes(4, endpoints=(endpoint("e", 4),)))
            await anyio.sleep(5.0)
            keeper.drop_lapsed()
            return set(keeper.view.endpoint_by_id)

        self.assertEqual({"e"}, keep(scenario))

    def test_a_listing_replaces_what_was_known(self):
        """Guards against what ended while the store forgot its history."""

        async def scenario(keeper):
            first = (endpoint("e", 2), endpoint("f", 2))
            keeper.apply(changes(2, endpoints=first, domains_out=("a",)))
            listing = changes(9, endpoints=(endpoint("f", 2),), complete=True)
            keeper.apply(listing)
            return set(keeper.view.endpoint_by_id), keeper.view.domains_out

        self.assertEqual(({"f"}, frozenset()), keep(scenario))

    def test_services_of_earlier_versions_may_hold_flows(self):
        """Guards against lookups that miss the flows of a moved route."""

        async def scenario(keeper):
            address = (stream_fleet.SERVICE_HOST, 443)
            keeper.apply(changes(2, configuration=configured(1)))
            moved = stream_fleet.configuration(
                2, stream_fleet.route(service="archive")
            )
            keeper.apply(changes(3, configuration=moved))
            soon = keeper.services_of(address)
            await anyio.sleep(61.0)
            return soon, keeper.services_of(address)

        self.assertEqual(({"desk", "archive"}, {"archive"}), keep(scenario))

    def test_the_newest_start_speaks_for_a_host(self):
        """Guards against the state of an endpoint that has been replaced."""
        known = view.View(
            3,
            view.NO_CONFIGURATION,
            {
                "old": endpoint("old", 9, started_ms=1, draining=True),
                "new": endpoint("new", 3, started_ms=2, created=3),
            },
            frozenset(),
        )
        self.assertEqual("new", known.endpoint_by_host("desk")["10.0.1.1"].id)

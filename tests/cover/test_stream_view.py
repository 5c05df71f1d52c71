"""Tests of merging changes of the store and other daemons into a view."""

import unittest

import anyio
import parameterized

from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_manager
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network


class _Settings:
    class bounds:
        reregistration_s = 2.0
        flow_lifetime_s = 60.0


class _Metrics:
    def gauge(self, name, value):
        """Ignore a gauge."""


class _Kernel:
    settings = _Settings

    def get(self, name):
        return _Metrics()


def endpoint(id_: str, revision: int, **fields) -> view.Endpoint:
    """Return an endpoint; ``fields`` override the defaults."""
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
    return view.Endpoint(id=id_, revision=revision, **{**values, **fields})


def changes(revision: int, **fields) -> view.Changes:
    """Return changes up to a revision; ``fields`` override the defaults."""
    values = {
        "configuration": None,
        "endpoints": (),
        "removed_ids": (),
        "domains_out": (),
        "domains_returned": (),
    }
    return view.Changes(revision, **{**values, **fields})


def one_route_configuration(version: int) -> view.Configuration:
    """Return a configuration with one route."""
    return stream_fleet.configuration(version, stream_fleet.route())


def run_with_manager(scenario):
    """Run a scenario with a view manager under the virtual clock."""

    async def main():
        return await scenario(view_manager.ViewManager(_Kernel()))

    return virtual_network.run(main)


class ViewManagerTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "older configuration",
                5,
                changes(9, configuration=one_route_configuration(3)),
            ),
            (
                "older changes",
                5,
                changes(2, configuration=one_route_configuration(8)),
            ),
            ("no configuration", 5, changes(9)),
        ]
    )
    def test_the_version_in_force_never_decreases(
        self, _, version, later_changes
    ):
        """Guards against a daemon that returns to an older configuration."""

        async def scenario(manager):
            manager.apply(
                changes(4, configuration=one_route_configuration(version))
            )
            manager.apply(later_changes)
            return manager.view.configuration.version

        self.assertEqual(version, run_with_manager(scenario))

    @parameterized.parameterized.expand(
        [
            ("newer", 9, 6, True),
            ("same revision", 4, 6, False),
            ("older version", 9, 2, False),
        ]
    )
    def test_a_view_of_another_daemon_is_installed_if_it_is(
        self, _, revision, version, is_installed
    ):
        """Guards against a view exchange that installs an older view."""

        async def scenario(manager):
            manager.apply(changes(4, configuration=one_route_configuration(5)))
            other_view = view.View(
                revision, one_route_configuration(version), {}, frozenset()
            )
            return manager.install_if_newer(other_view)

        self.assertEqual(is_installed, run_with_manager(scenario))

    @parameterized.parameterized.expand(
        [
            ("at once without an outage", False, 0.1, set()),
            ("not just after an outage", True, 1.0, {"e"}),
            ("when it is not listed again", True, 3.0, set()),
        ]
    )
    def test_a_registration_ends(self, _, outage, wait_s, remaining_ids):
        """Guards against removing live endpoints after a store outage."""

        async def scenario(manager):
            manager.apply(changes(2, endpoints=(endpoint("e", 2),)))
            if outage:
                manager.delay_removals()
            manager.apply(changes(3, removed_ids=("e",)))
            await anyio.sleep(wait_s)
            manager.remove_lapsed(anyio.current_time())
            return set(manager.view.endpoint_by_id)

        self.assertEqual(remaining_ids, run_with_manager(scenario))

    @parameterized.parameterized.expand(
        [
            ("by a change stays", False, False, {"e"}),
            ("in the view of a peer stays", True, False, {"e"}),
            ("and lapses again ends", False, True, set()),
            ("at a peer and lapses again ends", True, True, set()),
        ]
    )
    def test_an_endpoint_that_registers_again(
        self, _, from_peer, lapses_again, remaining_ids
    ):
        """Guards against a delayed removal despite a new registration."""

        async def scenario(manager):
            configuration = one_route_configuration(1)
            again = endpoint("e", 4)
            manager.apply(
                changes(
                    2,
                    configuration=configuration,
                    endpoints=(endpoint("e", 2),),
                )
            )
            manager.delay_removals()
            manager.apply(changes(3, removed_ids=("e",)))
            if from_peer:
                manager.install_if_newer(
                    view.View(4, configuration, {"e": again}, frozenset())
                )
            else:
                manager.apply(changes(4, endpoints=(again,)))
            if lapses_again:
                manager.apply(changes(5, removed_ids=("e",)))
            await anyio.sleep(5.0)
            manager.remove_lapsed(anyio.current_time())
            return set(manager.view.endpoint_by_id)

        self.assertEqual(remaining_ids, run_with_manager(scenario))

    def test_a_listing_replaces_all_earlier_entries(self):
        """Guards against entries that stay after a loss of store history.

        Their removals are in the part of the history that the store has
        discarded.
        """

        async def scenario(manager):
            earlier_endpoints = (endpoint("e", 2), endpoint("f", 2))
            manager.apply(
                changes(2, endpoints=earlier_endpoints, domains_out=("a",))
            )
            listing = changes(9, endpoints=(endpoint("f", 2),), complete=True)
            manager.apply(listing)
            return (
                set(manager.view.endpoint_by_id),
                manager.view.domains_out,
            )

        self.assertEqual(({"f"}, frozenset()), run_with_manager(scenario))

    def test_services_of_earlier_versions_may_hold_flows(self):
        """Guards against lookups that miss flows opened before a change.

        A route that moves to another service leaves its open flows at the
        former one, for at most 60 s.
        """

        async def scenario(manager):
            address = (stream_fleet.SERVICE_HOST, 443)
            manager.apply(changes(2, configuration=one_route_configuration(1)))
            changed_configuration = stream_fleet.configuration(
                2, stream_fleet.route(service="archive")
            )
            manager.apply(changes(3, configuration=changed_configuration))
            services_at_once = manager.services_for_address(address)
            await anyio.sleep(61.0)
            return services_at_once, manager.services_for_address(address)

        self.assertEqual(
            ({"desk", "archive"}, {"archive"}), run_with_manager(scenario)
        )

    def test_the_most_recently_started_endpoint_of_a_host_is_used(self):
        """Guards against use of an endpoint that has been replaced."""
        current_view = view.View(
            3,
            view.NO_CONFIGURATION,
            {
                "old": endpoint("old", 9, started_ms=1, draining=True),
                "new": endpoint("new", 3, started_ms=2, created=3),
            },
            frozenset(),
        )
        self.assertEqual(
            "new", current_view.endpoint_by_host("desk")["10.0.1.1"].id
        )

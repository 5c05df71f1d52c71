"""Tests of views after the store was restored from an older copy."""

import unittest

import anyio
import parameterized

from bramleypin import errors
from bramleypin.internal.stream import exchange
from bramleypin.internal.stream import store_era
from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_delta
from bramleypin.internal.stream import view_manager
from bramleypin.standins import virtual_network
from tests.cover import test_stream_view

HOST = "10.0.1.1"


class _Metrics:
    def gauge(self, name, value):
        """Ignore a gauge."""

    def count(self, name, by=1):
        """Ignore a counter."""


class _Kernel:
    settings = test_stream_view._Settings

    def get(self, name):
        return _Metrics()


def endpoint(id_: str, revision: int, era: int = 0, **fields):
    """Return an endpoint of an era."""
    return test_stream_view.endpoint(id_, revision, era=era, **fields)


def listing(revision: int, era: int, *endpoints, **fields) -> view.Changes:
    """Return a listing of an era."""
    return test_stream_view.changes(
        revision, era=era, endpoints=endpoints, complete=True, **fields
    )


def run_with_view(scenario, earlier: view.Changes):
    """Run a scenario with a manager that holds a view of era 5."""

    async def main():
        manager = view_manager.ViewManager(_Kernel())
        manager.apply(earlier)
        return await scenario(manager)

    return virtual_network.run(main)


def installed_from_peer(manager, changes: view.Changes) -> bool:
    """Install what a peer that has followed the changes would send."""
    peer_view = view.View(
        changes.revision,
        changes.configuration or manager.view.configuration,
        {item.id: item for item in changes.endpoints},
        frozenset(changes.domains_out),
        changes.era,
    )
    own = manager.view
    request = exchange.ViewRequest(
        own.revision, own.configuration.version, own.era
    )
    answer = exchange.build_answer(request, peer_view, 0.0)
    return manager.install_if_newer(
        exchange.view_from_answer(answer, own.configuration, 0.0)
    )


WAYS = (
    ("listed", lambda manager, changes: manager.apply(changes)),
    ("from a peer", installed_from_peer),
)


class RestoredViewTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (f"{name} {way}", apply, entry, wait_s, expected)
            for way, apply in WAYS
            for name, entry, wait_s, expected in (
                # A revision that was assigned again, with other content.
                ("same revision", endpoint("e", 8, 6, slots=9), 0.0, 9),
                ("lower revision", endpoint("e", 3, 6, slots=9), 0.0, 9),
                ("missing", None, 1.9, 5),
                ("still missing later", None, 2.1, 0),
            )
        ]
    )
    def test_an_endpoint_is(self, _, apply, entry, wait_s, expected):
        """Guards against a restoration that removes or keeps an old entry."""

        async def scenario(manager):
            listed = (endpoint("other", 2, 6),)
            apply(manager, listing(4, 6, *listed, *((entry,) * bool(entry))))
            await anyio.sleep(wait_s)
            manager.remove_lapsed(anyio.current_time())
            known = manager.view.endpoint_by_id.get("e")
            return known.slots if known else 0

        earlier = listing(
            9,
            5,
            endpoint("e", 8, 5),
            configuration=test_stream_view.one_route_configuration(1),
        )
        self.assertEqual(expected, run_with_view(scenario, earlier))

    def test_an_endpoint_that_registers_again_stays(self):
        """Guards against the removal of a live endpoint after the time."""

        async def scenario(manager):
            manager.apply(listing(4, 6))
            await anyio.sleep(1.0)
            again = endpoint("e", 5, 6)
            manager.apply(
                test_stream_view.changes(5, era=6, endpoints=(again,))
            )
            await anyio.sleep(2.0)
            manager.remove_lapsed(anyio.current_time())
            return manager.view.endpoint_by_id.get("e")

        earlier = listing(9, 5, endpoint("e", 8, 5))
        self.assertIsNotNone(run_with_view(scenario, earlier))

    @parameterized.parameterized.expand(
        [
            ("only the copy has", endpoint("f", 8, 5), set()),
            ("the view had, too,", endpoint("e", 8, 5), {"e"}),
        ]
    )
    def test_the_store_removes_an_endpoint_that(self, _, known, expected):
        """Guards against offers to an endpoint that has left before.

        One that the view had is kept for the time, as after an outage.
        """

        async def scenario(manager):
            manager.apply(listing(4, 6, endpoint("e", 2, 6)))
            manager.apply(
                test_stream_view.changes(5, era=6, removed_ids=("e",))
            )
            return set(manager.view.endpoint_by_id) & {"e"}

        earlier = listing(9, 5, known)
        self.assertEqual(expected, run_with_view(scenario, earlier))

    @parameterized.parameterized.expand(
        [
            (f"{name} {way}", apply, later, wait_s, expected)
            for way, apply in WAYS
            for name, later, wait_s, expected in (
                ("kept", {}, 1.9, ({HOST}, True)),
                ("not kept later", {}, 2.1, (set(), False)),
                (
                    "ended by a registration",
                    {"endpoints": (endpoint("e", 7, 6),)},
                    0.1,
                    ({HOST}, True),
                ),
                (
                    "ended by both writers",
                    {
                        "endpoints": (endpoint("e", 7, 6),),
                        "domains_returned": ("a",),
                    },
                    0.1,
                    (set(), False),
                ),
            )
        ]
    )
    def test_a_draining_state_and_a_domain_out_are(
        self, _, apply, later, wait_s, expected
    ):
        """Guards against new flows to what must get none.

        The copy lacks both; the endpoint is in the domain that was out.
        """

        async def scenario(manager):
            apply(manager, listing(4, 6, endpoint("e", 2, 6)))
            if later:
                manager.apply(test_stream_view.changes(7, era=6, **later))
            await anyio.sleep(wait_s)
            manager.remove_lapsed(anyio.current_time())
            current = manager.view
            return set(current.ineligible_hosts("desk")), current.is_out("a")

        earlier = listing(
            9,
            5,
            endpoint("e", 8, 5, draining=True),
            domains_out=("a",),
            configuration=test_stream_view.one_route_configuration(1),
        )
        self.assertEqual(expected, run_with_view(scenario, earlier))

    def test_a_second_restoration_keeps_what_the_first_one_kept(self):
        """Guards against states that end with the second of two drills."""

        async def scenario(manager):
            manager.apply(listing(4, 6, endpoint("e", 2, 6)))
            await anyio.sleep(1.5)
            manager.apply(listing(3, 7, endpoint("e", 2, 7)))
            await anyio.sleep(1.5)
            manager.remove_lapsed(anyio.current_time())
            current = manager.view
            return (
                current.era,
                set(current.endpoint_by_id),
                set(current.ineligible_hosts("desk")),
            )

        earlier = listing(
            9,
            5,
            endpoint("e", 8, 5, draining=True),
            endpoint("f", 9, 5, host="10.0.1.2", failure_domain="c"),
            endpoint("g", 9, 5, host="10.0.1.3"),
            domains_out=("c",),
        )
        self.assertEqual(
            (7, {"e", "f", "g"}, {HOST, "10.0.1.2"}),
            run_with_view(scenario, earlier),
        )

    def test_a_lapsed_endpoint_of_a_peer_outlasts_a_listing(self):
        """Guards against the first listing of a process without a store.

        It has got the view of a peer that still waits for the endpoint.
        """

        async def scenario(manager):
            peer_view = view.View(
                4,
                test_stream_view.one_route_configuration(1),
                {"e": endpoint("e", 8, 5)},
                frozenset(),
                6,
            )
            manager.install_if_newer(peer_view, ("e",))
            known = []
            for wait_s in (1.9, 0.2):
                manager.apply(listing(5, 6, endpoint("f", 2, 6)))
                await anyio.sleep(wait_s)
                manager.remove_lapsed(anyio.current_time())
                known.append("e" in manager.view.endpoint_by_id)
            return known

        earlier = listing(-1, 0)
        self.assertEqual([True, False], run_with_view(scenario, earlier))

    @parameterized.parameterized.expand(
        [
            (f"{version} {way}", apply, version, expected)
            for way, apply in WAYS
            for version, expected in ((3, 5), (5, 5), (8, 8))
        ]
    )
    def test_the_version_after_a_restoration_to(
        self, _, apply, version, expected
    ):
        """Guards against an older configuration that is applied backwards."""

        async def scenario(manager):
            configuration = test_stream_view.one_route_configuration(version)
            apply(manager, listing(4, 6, configuration=configuration))
            return manager.view.era, manager.view.configuration.version

        earlier = listing(
            9, 5, configuration=test_stream_view.one_route_configuration(5)
        )
        self.assertEqual((6, expected), run_with_view(scenario, earlier))

    @parameterized.parameterized.expand(
        [
            ("listing of the earlier era", listing(90, 4)),
            (
                "changes of the earlier era",
                test_stream_view.changes(90, era=4, removed_ids=("e",)),
            ),
            (
                "changes of a newer era",
                test_stream_view.changes(90, era=6, removed_ids=("e",)),
            ),
        ]
    )
    def test_a_view_does_not_change_by(self, _, changes):
        """Guards against a late answer, and revisions of another era."""

        async def scenario(manager):
            manager.apply(changes)
            return manager.view.stamp, set(manager.view.endpoint_by_id)

        earlier = listing(9, 5, endpoint("e", 8, 5))
        self.assertEqual(((5, 9), {"e"}), run_with_view(scenario, earlier))

    def test_a_delta_applies_only_within_its_era(self):
        """Guards against a delta whose base is a revision assigned again."""
        views = [
            view.View(revision, view.NO_CONFIGURATION, {}, frozenset(), era)
            for revision, era in ((9, 5), (9, 6), (10, 6))
        ]
        self.assertEqual(
            [], view_delta.deltas_between(views[0], views[2], 0.0)
        )
        (delta,) = view_delta.deltas_between(views[1], views[2], 0.0)
        applies = [
            view_delta.changes_from_delta(item, delta, 0.0) is not None
            for item in views
        ]
        self.assertEqual([False, True, True], applies)


class AnswerErasTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("absent", None, 0),
            ("first", b"0", 0),
            ("highest", b"9223372036854775807", 2**63 - 1),
            ("too high", b"9223372036854775808", 0),
            ("huge", b"1" * 5_000, 0),
            ("negative", b"-1", 0),
            ("fraction", b"1.5", 0),
            ("text", b"six", 0),
            ("empty", b"", 0),
            ("other digits", "\u0661".encode(), 0),
        ]
    )
    def test_the_era_of_an_answer_is(self, _, value, expected):
        """Guards against an era that ends the reader or is believed."""
        self.assertEqual(expected, store_era.AnswerEras().of_answer(value))

    @parameterized.parameterized.expand(
        [("lower", b"5"), ("absent", None), ("zero", b"0")]
    )
    def test_an_answer_is_discarded_after_a_newer_one_if_it_is(self, _, value):
        """Guards against a late answer of the earlier era."""
        eras = store_era.AnswerEras()
        self.assertEqual(6, eras.of_answer(b"6"))
        with self.assertRaises(errors.PlatformEraOutdated):
            eras.of_answer(value)
        self.assertEqual(6, eras.of_answer(b"six"))
        stamped = eras.stamp(listing(4, 0, endpoint("e", 2)), 6)
        self.assertEqual(
            (6, 6, 1),
            (stamped.era, stamped.endpoints[0].era, stamped.invalid_era_count),
        )


if __name__ == "__main__":
    unittest.main()

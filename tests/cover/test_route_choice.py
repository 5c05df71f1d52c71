"""Tests of routes that name several services, and of refused values."""

import base64
import collections
import dataclasses
import json
import unittest

import anyio
import parameterized

from bramleypin.internal.stream import route_choice
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view
from bramleypin.platform import decoding
from bramleypin.standins import stream_fleet
from tests.failures import test_stream_flows

WEIGHTS = (("desk", 60.0), ("docs", 30.0), ("mail", 10.0))
ADDRESS = (stream_fleet.SERVICE_HOST, 443)


def weighted_route(weights=WEIGHTS) -> view.Route:
    """Return a route to several services."""
    return dataclasses.replace(
        stream_fleet.route(), weight_by_service=tuple(weights)
    )


def flows(count: int) -> list[segment.Flow]:
    """Return flows of different callers to the test address."""
    return [
        segment.Flow(0x64400000 + number // 50, 1024 + number % 50, *ADDRESS)
        for number in range(count)
    ]


class RouteChoiceTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("one_service_left", {"mail"}, {"mail": 1.0}),
            ("shares_by_weight", {"docs", "mail"}, {"docs": 0.75}),
            ("no_service_left", set(), {"": 1.0}),
        ]
    )
    def test_flows_of_an_empty_service_go_to_the_others(
        self, _, eligible, share_by_service
    ):
        """Guards against resets of flows that another service could serve."""
        counts = collections.Counter(
            route_choice.alternative_service(
                weighted_route(), flow, eligible.__contains__
            )
            for flow in flows(4_000)
        )
        for service, share in share_by_service.items():
            self.assertAlmostEqual(share, counts[service] / 4_000, delta=0.03)

    @parameterized.parameterized.expand(
        [
            ("the_other_service_takes_them", (("docs", 1.0),), "answered"),
            ("a_weight_of_zero_takes_none", (("docs", 0.0),), "reset"),
        ]
    )
    def test_a_service_that_loses_its_last_endpoint(
        self, _, other_weights, expected
    ):
        """Guards against a route that fails with one of its services."""

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(fleet, endpoints=2)
            fleet.add_endpoint("d0", "10.0.2.1", "a", "docs")
            fleet.store.configure(
                stream_fleet.configuration(
                    2, weighted_route((("desk", 1.0), *other_weights))
                )
            )
            await anyio.sleep(2.5)
            for name in ("e0", "e1"):
                fleet.store.remove(name)
            await anyio.sleep(3.0)
            return await test_stream_flows.send_requests(caller, 20, 1.0)

        outcomes = test_stream_flows.run_scenario(scenario)
        self.assertEqual({expected}, test_stream_flows.outcome_kinds(outcomes))


def configuration_item(version: int, **route_fields) -> decoding.Item:
    """Return the store's item of a configuration with two routes."""
    routes = [
        {
            "name": "checked",
            "hostname": "198.18.0.1",
            "prefix": "/443/",
            "service": "desk",
            "priority": 1,
            "timeout_ms": 1500,
            **route_fields,
        },
        {
            "name": "other",
            "hostname": "198.18.0.1",
            "prefix": "/444/",
            "service": "desk",
        },
    ]
    document = {"version": version, "routes": routes, "services": []}
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return decoding.Item("op/config", revision=version, value=value)


class RefusedValueTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("negative_priority", {"priority": -1}),
            ("huge_priority", {"priority": 10**30}),
            ("priority_of_another_type", {"priority": "high"}),
            ("negative_timeout", {"timeout_ms": -1}),
            ("huge_timeout", {"timeout_ms": 1e300}),
            ("negative_objective", {"target_latency_ms": -0.5}),
            (
                "negative_weight",
                {"service": "", "backends": [{"service": "a", "weight": -1}]},
            ),
            (
                "weights_that_add_up_to_nothing",
                {"service": "", "backends": [{"service": "a", "weight": 0}]},
            ),
            ("weights_of_another_type", {"backends": "desk"}),
        ]
    )
    def test_a_bad_value_keeps_the_route_that_is_in_force(self, _, fields):
        """Guards against one bad value that drops a route's open flows."""
        valid, bad = (
            decoding.decode([item], 2, 0.0, False)
            for item in (
                configuration_item(1),
                configuration_item(2, **fields),
            )
        )
        self.assertEqual(0, valid.configuration.refused_count)
        self.assertEqual(1, bad.configuration.refused_count)
        kept = bad.configuration.with_routes_kept(valid.configuration)
        self.assertEqual(
            valid.configuration.route_by_address[ADDRESS],
            kept.route_by_address[ADDRESS],
        )
        self.assertEqual(2, len(kept.route_by_address))
        self.assertEqual(2, kept.version)

    def test_a_refused_route_without_an_earlier_form_is_left_out(self):
        """Guards against a value that is not valid in a first version."""
        changes = decoding.decode(
            [configuration_item(1, priority=-1)], 2, 0.0, False
        )
        kept = changes.configuration.with_routes_kept(view.NO_CONFIGURATION)
        self.assertNotIn(ADDRESS, kept.route_by_address)
        self.assertEqual(1, len(kept.route_by_address))

    def test_a_missing_weight_counts_as_one(self):
        """Guards against a route refused for a value that is optional."""
        backends = [{"service": "a"}, {"service": "b", "weight": 3}]
        changes = decoding.decode(
            [configuration_item(1, service="", backends=backends)],
            2,
            0.0,
            False,
        )
        self.assertEqual(
            (("a", 1.0), ("b", 3.0)),
            changes.configuration.route_by_address[ADDRESS].weight_by_service,
        )


if __name__ == "__main__":
    unittest.main()

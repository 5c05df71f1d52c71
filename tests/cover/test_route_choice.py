"""Tests of routes that name several services, and of refused values."""

import base64
import collections
import dataclasses
import json
import unittest

import anyio
import cbor2
import msgspec
import parameterized

from bramleypin.internal.stream import exchange
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import route_choice
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_delta
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
            ("priority_of_another_type", {"priority": "high"}),
            ("negative_timeout", {"timeout_ms": -1}),
            ("timeout_of_another_type", {"timeout_ms": "long"}),
            ("objective_of_another_type", {"target_latency_ms": [250]}),
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
            (
                "weight_of_another_type",
                {"service": "", "backends": [{"service": "a", "weight": "1"}]},
            ),
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

    @parameterized.parameterized.expand(
        [
            ("priority", {"priority": 1_001}),
            ("long_priority", {"priority": 10**30}),
            ("priority_between_two", {"priority": 2.5}),
            ("timeout", {"timeout_ms": 86_400_001}),
            ("huge_timeout", {"timeout_ms": 1e300}),
            ("huge_objective", {"target_latency_ms": 1e300}),
        ]
    )
    def test_a_route_moves_with_a_large(self, _, fields):
        """Guards against a route that stays at its service for a value.

        The users' pages set no upper bound to these values, so that a version
        with them is valid.
        """
        before, after = (
            decoding.decode([item], 2, 0.0, False).configuration
            for item in (
                configuration_item(1),
                configuration_item(2, service="archive", **fields),
            )
        )
        in_force = after.with_routes_kept(before)
        self.assertEqual(0, in_force.refused_count)
        self.assert_passed_on(before, in_force)
        route = in_force.route_by_address[ADDRESS]
        flow = segment.Flow(1, 2, *ADDRESS)
        self.assertEqual("archive", route.service_for(flow))

    def assert_passed_on(self, before, after):
        """Check that other daemons get a configuration as it is."""
        old, new = (
            view.View(number, configuration, {}, frozenset())
            for number, configuration in ((1, before), (2, after))
        )
        delta, _ = view_delta.deltas_between(old, new, 0.0)
        sent, _ = frames.decode(frames.encode(delta))
        changes = view_delta.changes_from_delta(old, sent, 0.0)
        answer = exchange.build_answer(exchange.ViewRequest(1, 1), new, 0.0)
        data = cbor2.dumps(msgspec.to_builtins(answer))
        received = frames.decode_body(data, exchange.ViewAnswer)
        fetched = exchange.view_from_answer(received, before, 0.0)
        for configuration in (changes.configuration, fetched.configuration):
            self.assertEqual(
                after.route_by_address, configuration.route_by_address
            )

    @parameterized.parameterized.expand(
        [
            ("large", (3e9, 1e9)),
            ("whose_sum_exceeds_the_largest_number", (1.5e308, 0.5e308)),
        ]
    )
    def test_flows_are_split_by_weights(self, _, weights):
        """Guards against a bound, and an overflow, of a route's weights."""
        backends = [
            {"service": service, "weight": weight}
            for service, weight in zip("ab", weights)
        ]
        item = configuration_item(1, service="", backends=backends)
        configuration = decoding.decode([item], 2, 0.0, False).configuration
        route = configuration.route_by_address[ADDRESS]
        chosen = [
            route.service_for(segment.Flow(1, port, *ADDRESS))
            for port in range(1_000)
        ]
        self.assertAlmostEqual(0.75, chosen.count("a") / 1_000, delta=0.05)

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

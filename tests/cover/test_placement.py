"""Tests of weighted rendezvous hashing and the selection of candidates."""

import unittest

import parameterized

from bramleypin.internal import address
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module
from bramleypin.internal import placement
from bramleypin.standins import balancer_rig

DOMAINS = ("austin", "waco", "san-marcos")
# Size of a service that has too many endpoints to probe all of them.
LARGE_SERVICE_SIZE = 2 * placement.MAX_ENDPOINTS_ALL_PROBED
KEYS = [b"flow %d" % number for number in range(20_000)]


def service(weights, leaving=(), domains=DOMAINS):
    """Return a service document with one endpoint for each weight."""
    return configuration.Service(
        name="scheduler",
        addresses=("10.9.0.1:5683",),
        endpoints=tuple(
            configuration.Endpoint(
                id=f"host-{number}",
                failure_domain=domains[number % len(domains)],
                data=f"10.1.0.{number}:7000",
                control=f"10.1.0.{number}:7001",
                slots=5,
                weight=weight,
                state="leaving" if number in leaving else "in_service",
            )
            for number, weight in enumerate(weights)
        ),
    )


def view(*versions, out=()):
    """Return a view that has accepted the given versions in order."""
    current_view = view_module.empty()
    for revision, document in enumerate(versions, 1):
        documents = balancer_rig.documents(revision, [document], DOMAINS, out)
        current_view = view_module.advance(current_view, *documents)
    return current_view


def first_endpoint_id(document, key):
    """Return the id of the endpoint that comes first for a flow."""
    endpoints = view(document).service("scheduler").endpoints
    return placement.weighted_rendezvous("scheduler", endpoints, key)[0].id


def candidates(current_view, key, count=3, leaving=()):
    """Return the candidates for a flow."""
    return placement.select_candidates(
        current_view,
        "scheduler",
        key,
        count,
        lambda candidate_address: candidate_address in leaving,
    )


class TestOrder(unittest.TestCase):
    def test_endpoints_come_first_in_proportion_to_weights(self):
        """Guards against weights that have no effect on the load."""
        weights = (1.0, 2.0, 4.0, 1.0)
        endpoints = view(service(weights)).service("scheduler").endpoints
        counts = dict.fromkeys((item.id for item in endpoints), 0)
        for key in KEYS:
            order = placement.weighted_rendezvous("scheduler", endpoints, key)
            counts[order[0].id] += 1
        for endpoint in endpoints:
            expected = endpoint.weight / sum(weights)
            share = counts[endpoint.id] / len(KEYS)
            # Four standard deviations of the share in 20,000 draws.
            margin = 4 * (expected * (1 - expected) / len(KEYS)) ** 0.5
            self.assertAlmostEqual(expected, share, delta=margin)

    @parameterized.parameterized.expand(
        [
            ("a_weight_grows", (1, 1, 1, 1), (1, 1, 2, 1), "host-2"),
            ("an_endpoint_joins", (1, 1, 1), (1, 1, 1, 1), "host-3"),
        ]
    )
    def test_only_flows_of_the_preferred_endpoint_move(
        self, _, old_weights, new_weights, preferred_id
    ):
        """Guards against a change that moves flows of other endpoints."""
        old_service, new_service = service(old_weights), service(new_weights)
        old_endpoints = view(old_service).service("scheduler").endpoints
        new_endpoints = view(new_service).service("scheduler").endpoints
        order = placement.weighted_rendezvous
        moved_count = 0
        for key in KEYS[:5_000]:
            old_id = order("scheduler", old_endpoints, key)[0].id
            new_id = order("scheduler", new_endpoints, key)[0].id
            if old_id != new_id:
                self.assertEqual(preferred_id, new_id)
                moved_count += 1
        self.assertGreater(moved_count, 0)


class TestCandidates(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("by_configuration", {1, 4}, ()),
            ("by_the_vm_list", (), {1, 4}),
        ]
    )
    def test_a_leaving_endpoint_is_probed_but_not_eligible(
        self, _, leaving_by_configuration, leaving_by_vm_list
    ):
        """Guards against new flows, or lost old ones, at leaving endpoints."""
        current_view = view(
            service((1,) * 6, leaving=leaving_by_configuration)
        )
        addresses = {
            address.Address(f"10.1.0.{n}", 7000) for n in leaving_by_vm_list
        }
        for key in KEYS[:200]:
            selected = candidates(current_view, key, 6, addresses)
            self.assertEqual(6, len(selected))
            leaving_ids = {
                item.endpoint.id for item in selected if not item.eligible
            }
            self.assertEqual({"host-1", "host-4"}, leaving_ids)
            eligible = [item.eligible for item in selected]
            self.assertEqual(sorted(eligible, reverse=True), eligible)

    def test_nothing_in_a_domain_that_is_out_is_a_candidate(self):
        """Guards against sending packets to a failure domain that is out."""
        versions = [service((1, weight) * 3) for weight in (1, 2, 3)]
        current_view = view(*versions, out={"waco"})
        for key in KEYS[:200]:
            domains = {
                item.endpoint.failure_domain
                for item in candidates(current_view, key)
            }
            self.assertEqual({"austin", "san-marcos"}, domains)

    @parameterized.parameterized.expand([(n,) for n in range(1, 5)])
    def test_a_candidate_of_an_earlier_version_remains_one(self, versions_ago):
        """Guards against losing flows after a weight change."""
        first_version = service((1,) * LARGE_SERVICE_SIZE)
        half = LARGE_SERVICE_SIZE // 2
        later_versions = [
            service((1,) * half + (9.0 + step,) * half)
            for step in range(versions_ago)
        ]
        old_view, new_view = view(first_version), view(
            first_version, *later_versions
        )
        for key in KEYS[:200]:
            old_ids = {item.endpoint.id for item in candidates(old_view, key)}
            new_ids = {item.endpoint.id for item in candidates(new_view, key)}
            self.assertLessEqual(old_ids, new_ids)

    def test_flows_opened_during_an_outage_are_found_after_it(self):
        """Guards against losing flows when a failure domain returns.

        The endpoints of the returning domain displace others from the first
        places of the order. Some of these own flows opened during the outage.
        """
        document = service((1,) * LARGE_SERVICE_SIZE)
        view_during_outage = view(document, out={"waco"})
        view_after_outage = view(document)
        for key in KEYS[:200]:
            eligible = candidates(view_during_outage, key)[:3]
            old_ids = {item.endpoint.id for item in eligible}
            new_ids = {
                item.endpoint.id for item in candidates(view_after_outage, key)
            }
            self.assertLessEqual(old_ids, new_ids)

    def test_every_endpoint_of_a_small_service_is_probed(self):
        """Guards against losing flows at a balancer without earlier versions.

        A balancer that has just started knows no versions from before its
        start, so it cannot derive their candidates.
        """
        current_view = view(service((1,) * placement.MAX_ENDPOINTS_ALL_PROBED))
        for key in KEYS[:50]:
            selected = candidates(current_view, key)
            self.assertEqual(placement.MAX_ENDPOINTS_ALL_PROBED, len(selected))
            self.assertLess(sum(item.eligible for item in selected), 10)

    def test_many_endpoints_in_one_domain_do_not_all_become_candidates(self):
        """Guards against probing all endpoints of a large service."""
        current_view = view(service((1,) * 100, domains=("austin",)))
        self.assertEqual(3, len(candidates(current_view, b"flow")))

"""Tests weighted rendezvous hashing and the selection of candidates."""

import unittest

import parameterized

from bramleypin.internal import address
from bramleypin.internal.model import configuration
from bramleypin.internal.model import view as view_module
from bramleypin.internal import placement
from bramleypin.standins import balancer_rig

DOMAINS = ("austin", "waco", "san-marcos")
# Number of endpoints of a service that is too large to probe all of them.
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
    current = view_module.empty()
    for revision, document in enumerate(versions, 1):
        documents = balancer_rig.documents(revision, [document], DOMAINS, out)
        current = view_module.advance(current, *documents)
    return current


def first(document, key):
    """Return the id of the endpoint that comes first for a flow."""
    endpoints = view(document).service("scheduler").endpoints
    return placement.weighted_rendezvous("scheduler", endpoints, key)[0].id


def candidates(current, key, count=3, leaving=()):
    """Return the candidates for a flow."""
    return placement.select_candidates(
        current, "scheduler", key, count, lambda at: at in leaving
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
        self, _, before, after, preferred
    ):
        """Guards against a change that moves flows of other endpoints."""
        old, new = service(before), service(after)
        old_endpoints = view(old).service("scheduler").endpoints
        new_endpoints = view(new).service("scheduler").endpoints
        order = placement.weighted_rendezvous
        moved = 0
        for key in KEYS[:5_000]:
            old_id = order("scheduler", old_endpoints, key)[0].id
            new_id = order("scheduler", new_endpoints, key)[0].id
            if old_id != new_id:
                self.assertEqual(preferred, new_id)
                moved += 1
        self.assertGreater(moved, 0)


class TestCandidates(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("by_configuration", {1, 4}, ()),
            ("by_the_vm_list", (), {1, 4}),
        ]
    )
    def test_a_leaving_endpoint_is_probed_but_not_eligible(
        self, _, configured, listed
    ):
        """Guards against new flows at leaving endpoints and lost old ones."""
        current = view(service((1,) * 6, leaving=configured))
        addresses = {address.Address(f"10.1.0.{n}", 7000) for n in listed}
        for key in KEYS[:200]:
            found = candidates(current, key, 6, addresses)
            self.assertEqual(6, len(found))
            leaving_ids = {
                item.endpoint.id for item in found if not item.eligible
            }
            self.assertEqual({"host-1", "host-4"}, leaving_ids)
            eligible = [item.eligible for item in found]
            self.assertEqual(sorted(eligible, reverse=True), eligible)

    def test_nothing_in_a_domain_that_is_out_is_a_candidate(self):
        """Guards against sending packets to a failure domain that is out."""
        versions = [service((1, weight) * 3) for weight in (1, 2, 3)]
        current = view(*versions, out={"waco"})
        for key in KEYS[:200]:
            domains = {
                item.endpoint.failure_domain
                for item in candidates(current, key)
            }
            self.assertEqual({"austin", "san-marcos"}, domains)

    @parameterized.parameterized.expand([(n,) for n in range(1, 5)])
    def test_a_candidate_of_an_earlier_version_remains_one(self, versions_ago):
        """Guards against losing flows after a weight change."""
        before = service((1,) * LARGE_SERVICE_SIZE)
        half = LARGE_SERVICE_SIZE // 2
        later = [
            service((1,) * half + (9.0 + step,) * half)
            for step in range(versions_ago)
        ]
        old, new = view(before), view(before, *later)
        for key in KEYS[:200]:
            old_ids = {item.endpoint.id for item in candidates(old, key)}
            new_ids = {item.endpoint.id for item in candidates(new, key)}
            self.assertLessEqual(old_ids, new_ids)

    def test_flows_opened_during_an_outage_are_found_after_it(self):
        """Guards against losing flows when a failure domain returns.

        The endpoints of the returning domain displace others from the first
        places of the order. Some of these own flows opened during the outage.
        """
        document = service((1,) * LARGE_SERVICE_SIZE)
        view_during_outage = view(document, out={"waco"})
        after = view(document)
        for key in KEYS[:200]:
            eligible = candidates(view_during_outage, key)[:3]
            old_ids = {item.endpoint.id for item in eligible}
            new_ids = {item.endpoint.id for item in candidates(after, key)}
            self.assertLessEqual(old_ids, new_ids)

    def test_every_endpoint_of_a_small_service_is_probed(self):
        """Guards against losing flows at a balancer without earlier versions.

        A balancer that has just started cannot derive the candidates of
        versions from before its start.
        """
        current = view(service((1,) * placement.MAX_ENDPOINTS_ALL_PROBED))
        for key in KEYS[:50]:
            found = candidates(current, key)
            self.assertEqual(placement.MAX_ENDPOINTS_ALL_PROBED, len(found))
            self.assertLess(sum(item.eligible for item in found), 10)

    def test_many_endpoints_in_one_domain_do_not_all_become_candidates(self):
        """Guards against probing all endpoints of a large service."""
        current = view(service((1,) * 100, domains=("austin",)))
        self.assertEqual(3, len(candidates(current, b"flow")))

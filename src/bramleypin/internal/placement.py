"""Selects the endpoints that may hold or get a flow.

With weighted rendezvous hashing all balancers compute the same order from the
same view, and a change of an endpoint's weight moves only the flows that this
endpoint gains or loses.
"""

import collections
import collections.abc
import dataclasses
import functools
import math
import typing

import xxhash

from bramleypin.internal import address
from bramleypin.internal.model import view as view_module
from bramleypin.internal import registry

DEFAULT_POLICY = "weighted_rendezvous"
MAX_CACHED_SEEDS = 16_384
# In services of up to this many endpoints, all endpoints are candidates. A
# balancer that started after a change does not know the earlier versions, and
# a flow may be older than the versions that are kept. Without this rule,
# 388 of 10,000 flows without a pin were lost over 20 changes to services of
# 10 to 15 endpoints.
MAX_ENDPOINTS_ALL_PROBED = 16
_HASH_RANGE = 2.0**64

Endpoints = collections.abc.Sequence[view_module.EndpointView]
Policy = typing.Callable[
    [str, Endpoints, bytes], list[view_module.EndpointView]
]

POLICIES: registry.Registry[Policy] = registry.Registry("placement policy")


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateEndpoint:
    """An endpoint that may hold a flow.

    Only an ``eligible`` one may get a new flow.
    """

    endpoint: view_module.EndpointView
    eligible: bool


@functools.lru_cache(maxsize=MAX_CACHED_SEEDS)
def _seed(service: str, endpoint_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}\0{endpoint_id}".encode())


def _uniform_hash(service: str, endpoint_id: str, key: bytes) -> float:
    """Return a hash of a flow and an endpoint as a number in (0, 1)."""
    hash_value = xxhash.xxh64_intdigest(key, _seed(service, endpoint_id))
    return (hash_value + 0.5) / _HASH_RANGE


@POLICIES.register("weighted_rendezvous")
def weighted_rendezvous(
    service: str, endpoints: Endpoints, key: bytes
) -> list[view_module.EndpointView]:
    """Order endpoints for a flow.

    Each endpoint comes first with a probability proportional to its weight.
    """

    def score(endpoint: view_module.EndpointView) -> float:
        # The highest hashes round to 1.0. Their logarithm of 0 is replaced by
        # the negative number closest to 0, to avoid a division by zero.
        logarithm = math.log(_uniform_hash(service, endpoint.id, key))
        return -endpoint.weight / (logarithm or -5e-324)

    return sorted(endpoints, key=score, reverse=True)


@POLICIES.register("rendezvous")
def rendezvous(
    service: str, endpoints: Endpoints, key: bytes
) -> list[view_module.EndpointView]:
    """Order endpoints for a flow; all are equally likely to come first."""
    return sorted(
        endpoints,
        key=lambda endpoint: _uniform_hash(service, endpoint.id, key),
        reverse=True,
    )


def _take_candidates(
    ordered_endpoints: list[view_module.EndpointView], count: int
) -> list[view_module.EndpointView]:
    """Return the shortest prefix that suffices when one domain is out.

    The prefix has at least ``count`` endpoints, and for each failure domain
    ``count`` endpoints outside of that domain, or all such endpoints if there
    are fewer. A flow that was opened while one failure domain was out is thus
    still found when the domain has returned.
    """
    total_by_domain = collections.Counter(
        endpoint.failure_domain for endpoint in ordered_endpoints
    )
    needed_by_domain = {
        domain: min(count, len(ordered_endpoints) - total)
        for domain, total in total_by_domain.items()
    }
    for position, endpoint in enumerate(ordered_endpoints):
        for domain in needed_by_domain:
            if domain != endpoint.failure_domain:
                needed_by_domain[domain] -= 1
        if position + 1 >= count and max(needed_by_domain.values()) <= 0:
            return ordered_endpoints[: position + 1]
    return ordered_endpoints


def select_candidates(
    view: view_module.View,
    name: str,
    key: bytes,
    count: int,
    is_leaving: typing.Callable[[address.Address], bool],
    policy: str = DEFAULT_POLICY,
) -> list[CandidateEndpoint]:
    """Return a flow's candidates, best first and eligible ones first.

    The eligible candidates are selected from the endpoints of the current
    version that are not leaving, so that for any one failure domain ``count``
    of them are outside of it. They are followed by candidates that may still
    hold the flow: those selected from all endpoints of the current version,
    leaving ones included, and of earlier versions. Endpoints in a failure
    domain that is out are not returned.
    """
    service = view.service(name)
    if service is None:
        return []
    order_endpoints = POLICIES.get(policy)
    accepting_endpoints = [
        endpoint
        for endpoint in service.endpoints
        if not endpoint.leaving
        and not is_leaving(endpoint.data)
        and not view.is_out(endpoint.failure_domain)
    ]
    candidate_by_address: dict[address.Address, CandidateEndpoint] = {}
    for endpoint in _take_candidates(
        order_endpoints(name, accepting_endpoints, key), count
    ):
        candidate_by_address[endpoint.data] = CandidateEndpoint(endpoint, True)
    for version in (service, *view.earlier_versions(name)):
        ordered_endpoints = order_endpoints(name, version.endpoints, key)
        if len(ordered_endpoints) > MAX_ENDPOINTS_ALL_PROBED:
            ordered_endpoints = _take_candidates(ordered_endpoints, count)
        for endpoint in ordered_endpoints:
            if not view.is_out(endpoint.failure_domain):
                candidate_by_address.setdefault(
                    endpoint.data, CandidateEndpoint(endpoint, False)
                )
    return list(candidate_by_address.values())

"""Which endpoints may hold or get a flow: weighted rendezvous hashing.

Every balancer computes the same order from the same view, and a change of
one endpoint's weight moves only the flows that this endpoint gains or loses.
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
# In a service of up to this many endpoints every one may hold a flow. A
# balancer that started after a change does not know the versions before it,
# and a flow may be older than the versions kept: of 10,000 flows without a
# pin, 388 were lost over 20 changes to services of 10 to 15 endpoints.
MAX_ENDPOINTS_ALL_PROBED = 16
_HASH_RANGE = 2.0**64

Endpoints = collections.abc.Sequence[view_module.EndpointView]
Policy = typing.Callable[
    [str, Endpoints, bytes], list[view_module.EndpointView]
]

POLICIES: registry.Registry[Policy] = registry.Registry("placement policy")


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateEndpoint:
    """A candidate; only an ``eligible`` one may get a new flow."""

    endpoint: view_module.EndpointView
    eligible: bool


@functools.lru_cache(maxsize=MAX_CACHED_SEEDS)
def _seed(service: str, endpoint_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{service}\0{endpoint_id}".encode())


def _uniform_hash(service: str, endpoint_id: str, key: bytes) -> float:
    """Return a number in (0, 1) for a flow at an endpoint."""
    hashed = xxhash.xxh64_intdigest(key, _seed(service, endpoint_id))
    return (hashed + 0.5) / _HASH_RANGE


@POLICIES.register("weighted_rendezvous")
def weighted_rendezvous(
    service: str, endpoints: Endpoints, key: bytes
) -> list[view_module.EndpointView]:
    """Order endpoints for a flow; first places are shared by weight."""

    def score(endpoint: view_module.EndpointView) -> float:
        # u rounds to 1.0 for the highest hashes, and ln(1) is 0.
        logarithm = math.log(_uniform_hash(service, endpoint.id, key))
        return -endpoint.weight / (logarithm or -5e-324)

    return sorted(endpoints, key=score, reverse=True)


@POLICIES.register("rendezvous")
def rendezvous(
    service: str, endpoints: Endpoints, key: bytes
) -> list[view_module.EndpointView]:
    """Order endpoints for a flow; all are equally likely to be first."""
    return sorted(
        endpoints,
        key=lambda endpoint: _uniform_hash(service, endpoint.id, key),
        reverse=True,
    )


def _take_candidates(
    ordered: list[view_module.EndpointView], count: int
) -> list[view_module.EndpointView]:
    """Return the shortest prefix with ``count`` outside any one domain.

    A flow that was opened while one failure domain was out is still found
    after this failure domain has returned.
    """
    total_by_domain = collections.Counter(
        endpoint.failure_domain for endpoint in ordered
    )
    needed_by_domain = {
        domain: min(count, len(ordered) - total)
        for domain, total in total_by_domain.items()
    }
    for position, endpoint in enumerate(ordered):
        for domain in needed_by_domain:
            if domain != endpoint.failure_domain:
                needed_by_domain[domain] -= 1
        if position + 1 >= count and max(needed_by_domain.values()) <= 0:
            return ordered[: position + 1]
    return ordered


def select_candidates(
    view: view_module.View,
    name: str,
    key: bytes,
    count: int,
    is_leaving: typing.Callable[[address.Address], bool],
    policy: str = DEFAULT_POLICY,
) -> list[CandidateEndpoint]:
    """Return a flow's candidates, best first; eligible ones come first.

    The first ``count`` of the current version come first, then those that
    were chosen before endpoints began to leave and under earlier versions,
    which may still hold the flow. Nothing in a failure domain that is out is
    returned.
    """
    service = view.service(name)
    if service is None:
        return []
    order = POLICIES.get(policy)
    accepting = [
        endpoint
        for endpoint in service.endpoints
        if not endpoint.leaving
        and not is_leaving(endpoint.data)
        and not view.is_out(endpoint.failure_domain)
    ]
    candidate_by_address: dict[address.Address, CandidateEndpoint] = {}
    for endpoint in _take_candidates(order(name, accepting, key), count):
        candidate_by_address[endpoint.data] = CandidateEndpoint(endpoint, True)
    for version in (service, *view.earlier(name)):
        ordered = order(name, version.endpoints, key)
        if len(ordered) > MAX_ENDPOINTS_ALL_PROBED:
            ordered = _take_candidates(ordered, count)
        for endpoint in ordered:
            if not view.is_out(endpoint.failure_domain):
                candidate_by_address.setdefault(
                    endpoint.data, CandidateEndpoint(endpoint, False)
                )
    return list(candidate_by_address.values())

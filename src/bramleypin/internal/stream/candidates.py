"""Chooses the few endpoints at which a flow may be placed.

All balancers of a failure domain compute the same candidates from the flow
alone. So a balancer that takes a flow over asks only these for its owner, and
the cost of a placement and of a search does not grow with the service.
"""

import bisect
import collections.abc
import struct

import xxhash

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view as view_module

# Candidates of a flow in all failure domains, and how many of these are in the
# balancer's own domain.
MAX_CANDIDATES = 10
LOCAL_CANDIDATES = 6
# Points of a host on the ring. More points even out the hosts' shares.
POINTS_PER_HOST = 64
# Draws after which a choice ends with fewer hosts than asked for.
MAX_DRAWS_PER_HOST = 4
_KEY = struct.Struct(">IHIH")


class HashRing:
    """Chooses pseudorandom hosts for a key by consistent hashing.

    Each draw is an independent hash of the key, and takes the host whose point
    on the ring follows it. A host that joins or leaves changes a draw with a
    probability of one in the number of hosts.
    """

    def __init__(self) -> None:
        self._hosts: set[str] = set()
        self._points: list[int] = []
        self._host_by_point: dict[int, str] = {}

    def update(self, hosts: collections.abc.Set[str]) -> None:
        """Make these the ring's hosts."""
        removed, added = self._hosts - hosts, hosts - self._hosts
        if len(removed) + len(added) > len(self._hosts) // 8:
            self._rebuild(hosts)
            return
        for host in removed:
            for point in self._points_of(host):
                del self._points[bisect.bisect_left(self._points, point)]
                del self._host_by_point[point]
        for host in added:
            for point in self._points_of(host):
                bisect.insort(self._points, point)
                self._host_by_point[point] = host
        self._hosts = set(hosts)

    def _rebuild(self, hosts: collections.abc.Set[str]) -> None:
        self._hosts = set(hosts)
        self._host_by_point = {
            point: host for host in hosts for point in self._points_of(host)
        }
        self._points = sorted(self._host_by_point)

    @staticmethod
    def _points_of(host: str) -> list[int]:
        return [
            xxhash.xxh3_64_intdigest(host.encode(), seed=number)
            for number in range(POINTS_PER_HOST)
        ]

    def draw(self, key: bytes, count: int) -> collections.abc.Iterator[str]:
        """Yield up to ``count`` hosts for a key, some of them repeatedly.

        Yields each host once if there are not more than ``count``.
        """
        if len(self._hosts) <= count:
            yield from self._hosts
            return
        points = self._points
        for number in range(count * MAX_DRAWS_PER_HOST):
            point = xxhash.xxh3_64_intdigest(key, seed=number)
            index = bisect.bisect(points, point) % len(points)
            yield self._host_by_point[points[index]]


class _ServiceRings:
    """Rings of one service: all of its hosts, and those in one domain."""

    def __init__(self) -> None:
        self.endpoint_by_host: dict[str, view_module.Endpoint] = {}
        self.everywhere = HashRing()
        self.local = HashRing()

    def update(
        self, endpoint_by_host: dict[str, view_module.Endpoint], domain: str
    ) -> None:
        """Take over a service's endpoints from a new view."""
        self.endpoint_by_host = endpoint_by_host
        self.everywhere.update(endpoint_by_host.keys())
        self.local.update(
            {
                host
                for host, endpoint in endpoint_by_host.items()
                if endpoint.failure_domain == domain
            }
        )


@kernel_module.service(
    "candidates", roles=("stream_balancer",), needs=("view",)
)
class Candidates(kernel_module.Service):
    """The candidates of each flow, according to the view in force."""

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self._view_manager = kernel.get("view")
        self._domain = kernel.settings.failure_domain
        self._rings_by_service: dict[str, _ServiceRings] = {}

    def _rings(self, service: str) -> _ServiceRings:
        rings = self._rings_by_service.get(service)
        if rings is None:
            rings = self._rings_by_service[service] = _ServiceRings()
        endpoint_by_host = self._view_manager.view.endpoint_by_host(service)
        if rings.endpoint_by_host is not endpoint_by_host:
            rings.update(endpoint_by_host, self._domain)
        return rings

    def to_search(self, service: str, flow: segment.Flow) -> list[str]:
        """Return the hosts whose agents are asked first for a flow's owner."""
        return self._choose(self._rings(service), flow, frozenset())

    def to_open(
        self, service: str, flow: segment.Flow
    ) -> list[view_module.Endpoint]:
        """Return the endpoints at which a flow may be opened.

        These are the ones to search, except that others replace those that may
        receive no new flow.
        """
        rings = self._rings(service)
        ineligible = self._view_manager.view.ineligible_hosts(service)
        return [
            rings.endpoint_by_host[host]
            for host in self._choose(rings, flow, ineligible)
        ]

    def endpoint(self, service: str, host: str) -> view_module.Endpoint | None:
        """Return a host's endpoint, if it may receive a new flow."""
        view = self._view_manager.view
        if host in view.ineligible_hosts(service):
            return None
        return view.endpoint_by_host(service).get(host)

    def any_eligible(self, service: str) -> bool:
        """Return whether any endpoint of a service may receive a new flow."""
        view = self._view_manager.view
        count = len(view.endpoint_by_host(service))
        return count > len(view.ineligible_hosts(service))

    def lacks_endpoints(self, service: str) -> bool:
        """Return whether none is eligible and none awaits registration."""
        return not self.any_eligible(
            service
        ) and self._view_manager.registrations_settled(service)

    @staticmethod
    def _choose(
        rings: _ServiceRings,
        flow: segment.Flow,
        excluded: collections.abc.Set[str],
    ) -> list[str]:
        key = _KEY.pack(*flow)
        hosts: dict[str, None] = {}
        for ring, count in (
            (rings.local, LOCAL_CANDIDATES),
            (rings.everywhere, MAX_CANDIDATES),
        ):
            for host in ring.draw(key, count):
                if host not in excluded:
                    hosts[host] = None
                if len(hosts) >= count:
                    break
        return list(hosts)

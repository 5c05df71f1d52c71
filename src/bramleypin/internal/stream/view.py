"""A daemon's view of routes, endpoints and failure domains."""

import dataclasses
import math
import typing

from bramleypin.internal.stream import segment

# Idle timeout of flows until a configuration is loaded. RFC 9293 leaves the
# value to the implementation.
DEFAULT_IDLE_S = 15.0
# Longest name of a service or a failure domain, in characters. With any of
# them, the record of a registration then fits the largest UDP datagram.
MAX_NAME_LENGTH = 4_096
# Largest whole number in a registration, that of a signed 64-bit integer.
MAX_WHOLE_NUMBER = 2**63 - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route from one service address to the services that serve it.

    ``weight_by_service`` splits new flows between services. Priority 0 is
    the highest. ``timeout_s`` is the time that a caller waits for an answer,
    ``latency_objective_s`` the latency objective of a request.
    """

    name: str
    host: int
    port: int
    weight_by_service: tuple[tuple[str, float], ...]
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    priority: int | float

    def service_for(self, flow: segment.Flow) -> str:
        """Return the service that receives a new flow; "" if there is none."""
        return service_by_weight(self.weight_by_service, flow)

    def allows(self, service: str) -> bool:
        """Return whether the route may send new flows to a service."""
        return any(
            name == service and weight > 0
            for name, weight in self.weight_by_service
        )


def service_by_weight(
    weight_by_service: tuple[tuple[str, float], ...], flow: segment.Flow
) -> str:
    """Return the service that receives a new flow; "" if there is none.

    All balancers must choose the same service for copies of an opening, so
    the choice depends only on the caller's address and port.
    """
    if len(weight_by_service) == 1:
        return weight_by_service[0][0]
    total = sum(weight for _, weight in weight_by_service)
    if total <= 0:
        return ""
    caller_hash = (
        flow.caller_host * 0x9E3779B1 + flow.caller_port
    ) * 0x85EBCA6B
    point = (caller_hash >> 8) % 10_000 / 10_000 * total
    for service, weight in weight_by_service:
        point -= weight
        if point < 0:
            return service
    return weight_by_service[-1][0]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Configuration of a service; rates are in requests per second."""

    name: str
    cold_per_s: float
    cold_start_s: float
    max_flows: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A registered endpoint.

    ``revision`` is the store revision of its latest registration, ``created``
    that of its first one. ``cold_s`` is the remaining cold time at ``seen_s``,
    when this process received the registration (monotonic clock).
    ``started_ms`` is the start time in Unix milliseconds, ``era`` the store's
    era when it listed or announced the registration.
    """

    id: str
    service: str
    host: str
    failure_domain: str
    slots: int
    draining: bool
    started_ms: int
    revision: int
    created: int
    cold_s: float
    seen_s: float
    era: int = 0

    @property
    def stamp(self) -> tuple[int, int]:
        """The store's era and revision, by which registrations are ordered."""
        return self.era, self.revision

    def remaining_cold_s(self, now_s: float) -> float:
        """Return the remaining cold time in seconds."""
        return max(0.0, self.cold_s - (now_s - self.seen_s))

    def is_cold(self, now_s: float) -> bool:
        """Return whether the endpoint has not finished its cold start."""
        return self.remaining_cold_s(now_s) > 0


def with_cold_time(
    endpoint: Endpoint, cold_s: float, seen_s: float
) -> Endpoint:
    """Return a copy that stays cold for ``cold_s`` seconds from ``seen_s``."""
    return dataclasses.replace(endpoint, cold_s=cold_s, seen_s=seen_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One immutable version of the configuration.

    ``refused_count`` is the number of routes and services left out because of
    a value that is not valid. If it is not 0, ``written_addresses`` are the
    addresses of all routes, those left out included.
    """

    version: int
    route_by_address: dict[tuple[int, int], Route]
    service_by_name: dict[str, Service]
    idle_s: float
    written_addresses: frozenset[tuple[int, int]] = frozenset()
    refused_count: int = 0
    _highest_priority_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def with_routes_kept(self, earlier: "Configuration") -> "Configuration":
        """Return this version with the earlier form of its refused routes."""
        route_by_address = dict(self.route_by_address)
        for address in self.written_addresses:
            route = earlier.route_by_address.get(address)
            if route is not None:
                route_by_address.setdefault(address, route)
        return dataclasses.replace(
            self,
            route_by_address=route_by_address,
            written_addresses=frozenset(),
        )

    def highest_priority(self, service: str) -> float:
        """Return the lowest priority number of the service's routes.

        The result is infinite if no route allows the service. It is cached,
        because it is needed for each opening.
        """
        cached = self._highest_priority_by_service.get(service)
        if cached is None:
            cached = min(
                (
                    route.priority
                    for route in self.route_by_address.values()
                    if route.allows(service)
                ),
                default=math.inf,
            )
            self._highest_priority_by_service[service] = cached
        return cached


NO_CONFIGURATION = Configuration(-1, {}, {}, DEFAULT_IDLE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """An immutable snapshot of the metadata store at one revision.

    ``domains_out`` are the failure domains that are out of service.
    ``era`` rises when the store is restored from an older copy.
    ``draining_kept`` and ``domains_kept`` are endpoints and failure domains
    that were draining and out of service before the latest restoration; they
    are kept so for a time though the store does not say it.
    """

    revision: int
    configuration: Configuration
    endpoint_by_id: dict[str, Endpoint]
    domains_out: frozenset[str]
    era: int = 0
    draining_kept: frozenset[str] = frozenset()
    domains_kept: frozenset[str] = frozenset()
    _endpoint_by_host_by_service: dict[str, dict[str, Endpoint]] = (
        dataclasses.field(
            default_factory=dict, init=False, repr=False, compare=False
        )
    )
    _ineligible_hosts_by_service: dict[str, frozenset[str]] = (
        dataclasses.field(
            default_factory=dict, init=False, repr=False, compare=False
        )
    )

    def ineligible_hosts(self, service: str) -> frozenset[str]:
        """Return a service's hosts that may receive no new flow.

        Their endpoints are draining, or their failure domain is out of
        service. The result is cached like ``endpoint_by_host``.
        """
        cached = self._ineligible_hosts_by_service.get(service)
        if cached is None:
            cached = frozenset(
                host
                for host, endpoint in self.endpoint_by_host(service).items()
                if self.is_draining(endpoint)
                or self.is_out(endpoint.failure_domain)
            )
            self._ineligible_hosts_by_service[service] = cached
        return cached

    @property
    def stamp(self) -> tuple[int, int]:
        """The store's era and revision, by which views are ordered."""
        return self.era, self.revision

    def is_draining(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint of the view is draining."""
        return endpoint.draining or endpoint.id in self.draining_kept

    def is_out(self, failure_domain: str) -> bool:
        """Return whether a failure domain is out of service."""
        return (
            failure_domain in self.domains_out
            or failure_domain in self.domains_kept
        )

    @property
    def hosts(self) -> dict[str, None]:
        """The hosts of all endpoints, in the order of registration."""
        return dict.fromkeys(
            endpoint.host for endpoint in self.endpoint_by_id.values()
        )

    @property
    def loaded(self) -> bool:
        """Whether a configuration has been loaded."""
        return self.configuration.version >= 0

    def endpoint_by_host(self, service: str) -> dict[str, Endpoint]:
        """Return a service's endpoints, the newest one of each host.

        Callers must not modify the result. It is cached, because it is
        needed several times for each opening and packet.
        """
        cached = self._endpoint_by_host_by_service.get(service)
        if cached is None:
            cached = self._newest_by_host(service)
            self._endpoint_by_host_by_service[service] = cached
        return cached

    def _newest_by_host(self, service: str) -> dict[str, Endpoint]:
        newest: dict[str, Endpoint] = {}
        for endpoint in self.endpoint_by_id.values():
            if endpoint.service != service:
                continue
            other = newest.get(endpoint.host)
            if other is None or _is_newer(endpoint, other):
                newest[endpoint.host] = endpoint
        return newest


def _is_newer(endpoint: Endpoint, other: Endpoint) -> bool:
    return (endpoint.started_ms, endpoint.era, endpoint.created) > (
        other.started_ms,
        other.era,
        other.created,
    )


EMPTY_VIEW = View(-1, NO_CONFIGURATION, {}, frozenset())


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the store up to ``revision``.

    ``complete`` marks a full listing, which replaces all earlier state.
    ``removed_ids`` are the endpoints whose registrations ended,
    ``domains_out`` and ``domains_returned`` the failure domains that were
    taken out of service and returned to it. ``lapsed_ids`` are endpoints whose
    registrations ended in an outage, so that they may come back.
    ``skipped_count`` is the number of entries that could not be decoded,
    ``invalid_era_count`` that of answers whose era could not be read.
    """

    revision: int
    configuration: Configuration | None
    endpoints: tuple[Endpoint, ...]
    removed_ids: tuple[str, ...]
    domains_out: tuple[str, ...]
    domains_returned: tuple[str, ...]
    complete: bool = False
    skipped_count: int = 0
    lapsed_ids: tuple[str, ...] = ()
    era: int = 0
    invalid_era_count: int = 0

    @property
    def stamp(self) -> tuple[int, int]:
        """The store's era and revision up to which the changes reach."""
        return self.era, self.revision

    @property
    def empty(self) -> bool:
        """Whether nothing but the revision changes."""
        return not (
            self.complete
            or self.configuration is not None
            or self.endpoints
            or self.removed_ids
            or self.domains_out
            or self.domains_returned
            or self.lapsed_ids
        )


class ViewSource(typing.Protocol):
    """Read access to the metadata store, with decoded entries.

    ``receiving`` is true while only a part of a listing has arrived.
    """

    receiving: bool

    async def read(self, allow_stale: bool = False) -> tuple[Changes, ...]:
        """Return a full listing of the store and the changes after it.

        With ``allow_stale``, the store may answer with an old listing, which
        costs less, and a watch adds the changes since. The result is current
        in both cases.

        :raises errors.PlatformUnavailable: when the store does not answer.
        :raises errors.PlatformHistoryLost: when the store has discarded the
            changes after a stale listing, or is restored meanwhile.
        """

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision.

        Returns empty changes after ``wait_s`` seconds without any.

        :raises errors.PlatformUnavailable: when the store does not answer.
        :raises errors.PlatformHistoryLost: when the store has discarded the
            changes after that revision.
        """

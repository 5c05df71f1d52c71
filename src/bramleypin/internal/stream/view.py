"""What a daemon believes about routes, endpoints and failure domains."""

import dataclasses
import math
import typing

from bramleypin.internal.stream import segment

# Until a configuration says otherwise; RFC 9293 leaves it to the system.
DEFAULT_IDLE_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where new flows to one service address go, and what they carry.

    ``weight_by_service`` splits new flows between services. Priority 0 is
    the highest. ``target_s`` is the latency objective of a request.
    """

    name: str
    host: int
    port: int
    weight_by_service: tuple[tuple[str, float], ...]
    idempotent: bool
    timeout_s: float
    target_s: float
    priority: int

    def service_for(self, flow: segment.Flow) -> str:
        """Return the service that a new flow goes to; "" when none."""
        if len(self.weight_by_service) == 1:
            return self.weight_by_service[0][0]
        total = sum(weight for _, weight in self.weight_by_service)
        if total <= 0:
            return ""
        # Every balancer has to choose the same service for copies of an
        # opening, so the choice depends on the caller's address alone.
        mixed = (flow.caller_host * 0x9E3779B1 + flow.caller_port) * 0x85EBCA6B
        point = (mixed >> 8) % 10_000 / 10_000 * total
        for service, weight in self.weight_by_service:
            point -= weight
            if point < 0:
                return service
        return self.weight_by_service[-1][0]

    def allows(self, service: str) -> bool:
        """Tell whether the route may send new flows to a service."""
        return any(
            name == service and weight > 0
            for name, weight in self.weight_by_service
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What a configuration says of a service; rates are requests a second."""

    name: str
    cold_per_s: float
    cold_start_s: float
    max_flows: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A registered endpoint.

    ``revision`` is that of its latest registration, ``created`` that of its
    first one. ``cold_s`` is how long it stayed cold at ``seen_s``, the time
    at which this process learned that (monotonic clock). ``started_ms`` is
    the Unix millisecond of its start.
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

    def cold_left_s(self, now_s: float) -> float:
        """Return for how long the endpoint stays cold, in seconds."""
        return max(0.0, self.cold_s - (now_s - self.seen_s))

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the endpoint has not finished its cold start."""
        return self.cold_left_s(now_s) > 0


def with_cold(endpoint: Endpoint, cold_s: float, seen_s: float) -> Endpoint:
    """Return an endpoint that stays cold for ``cold_s`` from ``seen_s`` on."""
    return dataclasses.replace(endpoint, cold_s=cold_s, seen_s=seen_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration; it does not change."""

    version: int
    route_by_address: dict[tuple[int, int], Route]
    service_by_name: dict[str, Service]
    idle_s: float
    _urgent_by_service: dict[str, float] = dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    def highest_priority(self, service: str) -> float:
        """Return the lowest number among the priorities of its routes.

        Infinite when no route allows the service. It is asked for at each
        opening, so the answer is kept.
        """
        found = self._urgent_by_service.get(service)
        if found is None:
            found = min(
                (
                    route.priority
                    for route in self.route_by_address.values()
                    if route.allows(service)
                ),
                default=math.inf,
            )
            self._urgent_by_service[service] = found
        return found


NO_CONFIGURATION = Configuration(-1, {}, {}, DEFAULT_IDLE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The state of the metadata store at one revision; it does not change."""

    revision: int
    configuration: Configuration
    endpoint_by_id: dict[str, Endpoint]
    domains_out: frozenset[str]
    _by_host_by_service: dict[str, dict[str, Endpoint]] = dataclasses.field(
        default_factory=dict, init=False, repr=False, compare=False
    )

    @property
    def loaded(self) -> bool:
        """Whether a configuration has been read."""
        return self.configuration.version >= 0

    def endpoint_by_host(self, service: str) -> dict[str, Endpoint]:
        """Return a service's endpoints, the newest one of each host.

        Callers must not change the answer: it is asked for several times for
        each opening and packet, and is kept.
        """
        found = self._by_host_by_service.get(service)
        if found is None:
            found = self._newest_by_host(service)
            self._by_host_by_service[service] = found
        return found

    def _newest_by_host(self, service: str) -> dict[str, Endpoint]:
        newest: dict[str, Endpoint] = {}
        for endpoint in self.endpoint_by_id.values():
            if endpoint.service != service:
                continue
            known = newest.get(endpoint.host)
            if known is None or _is_newer(endpoint, known):
                newest[endpoint.host] = endpoint
        return newest


def _is_newer(endpoint: Endpoint, known: Endpoint) -> bool:
    return (endpoint.started_ms, endpoint.created) > (
        known.started_ms,
        known.created,
    )


EMPTY = View(-1, NO_CONFIGURATION, {}, frozenset())


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes of the store up to ``revision``.

    ``complete`` marks a listing of everything, which replaces what was known
    before. ``removed_ids`` are endpoints whose registration ended.
    """

    revision: int
    configuration: Configuration | None
    endpoints: tuple[Endpoint, ...]
    removed_ids: tuple[str, ...]
    domains_out: tuple[str, ...]
    domains_returned: tuple[str, ...]
    complete: bool = False

    @property
    def empty(self) -> bool:
        """Whether they change nothing but the revision."""
        return not (
            self.complete
            or self.configuration is not None
            or self.endpoints
            or self.removed_ids
            or self.domains_out
            or self.domains_returned
        )


class ViewSource(typing.Protocol):
    """The metadata store, decoded; it is only read.

    ``receiving`` tells that a part of a listing has arrived, and more is to
    come.
    """

    receiving: bool

    async def read(self) -> Changes:
        """List everything.

        :raises errors.PlatformUnavailable: when the store does not answer.
        """

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Wait for changes after a revision; empty ones after ``wait_s``.

        :raises errors.PlatformUnavailable: when the store does not answer.
        :raises errors.PlatformHistoryLost: when the store has discarded the
            changes after that revision.
        """

"""View deltas that relays send to their followers."""

import dataclasses
import typing

import msgspec

from bramleypin import errors
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import view as view_module

# An encoded endpoint or route takes about 100 of a frame's 4,096 bytes.
ENDPOINTS_PER_FRAME = 24
MAX_CONFIGURATION_RECORDS = 24


class EndpointRecord(msgspec.Struct, array_like=True):
    """An endpoint's registration.

    ``cold_s`` is the remaining cold time in seconds at the time of sending.
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
    era: frames.Era = 0


class RouteRecord(msgspec.Struct, array_like=True):
    """A route, with the fields of ``view.Route``."""

    name: str
    host: int
    port: int
    weight_by_service: tuple[tuple[str, float], ...]
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    priority: int | float


class ServiceRecord(msgspec.Struct, array_like=True):
    """A service, with the fields of ``view.Service``."""

    name: str
    cold_per_s: float
    cold_start_s: float
    max_flows: int


class ConfigurationChange(msgspec.Struct, array_like=True):
    """The difference between two versions of the configuration.

    ``version`` is the later one. ``services`` lists all of its services.
    """

    version: int
    idle_s: float
    routes: list[RouteRecord]
    removed_addresses: list[tuple[int, int]]
    services: list[ServiceRecord]


@frames.message(10)
class ViewDelta(frames.Message):
    """The difference between two revisions of a view.

    It applies only to a view of exactly the revision ``base`` of ``era`` with
    configuration ``version``. ``domains_out`` lists all failure domains that
    are out of service. ``lapsed_ids`` are endpoints that will be removed
    unless they register again.
    """

    base: int
    revision: int
    version: int
    endpoints: list[EndpointRecord]
    removed_ids: list[str]
    domains_out: list[str]
    lapsed_ids: list[str]
    configuration: ConfigurationChange | None = None
    era: frames.Era = 0

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.era, self.revision


def _endpoint_record(
    endpoint: view_module.Endpoint, now_s: float
) -> EndpointRecord:
    return EndpointRecord(
        endpoint.id,
        endpoint.service,
        endpoint.host,
        endpoint.failure_domain,
        endpoint.slots,
        endpoint.draining,
        endpoint.started_ms,
        endpoint.revision,
        endpoint.created,
        round(endpoint.remaining_cold_s(now_s), 3),
        endpoint.era,
    )


def _endpoint_from_record(
    record: EndpointRecord, now_s: float
) -> view_module.Endpoint:
    return view_module.Endpoint(
        id=record.id,
        service=record.service,
        host=record.host,
        failure_domain=record.failure_domain,
        slots=record.slots,
        draining=record.draining,
        started_ms=record.started_ms,
        revision=record.revision,
        created=record.created,
        cold_s=record.cold_s,
        seen_s=now_s,
        era=record.era,
    )


def _configuration_change(
    old: view_module.Configuration, new: view_module.Configuration
) -> ConfigurationChange | None:
    """Return the difference, or ``None`` if it is too long for a frame."""
    old_routes = old.route_by_address
    routes = [
        RouteRecord(*dataclasses.astuple(route))
        for address, route in new.route_by_address.items()
        if old_routes.get(address) != route
    ]
    removed_addresses = [
        address
        for address in old_routes
        if address not in new.route_by_address
    ]
    services = [
        ServiceRecord(*dataclasses.astuple(service))
        for service in new.service_by_name.values()
    ]
    if (
        len(routes) + len(removed_addresses) + len(services)
        > MAX_CONFIGURATION_RECORDS
    ):
        return None
    return ConfigurationChange(
        new.version, new.idle_s, routes, removed_addresses, services
    )


def _apply_configuration_change(
    old: view_module.Configuration, change: ConfigurationChange
) -> view_module.Configuration:
    route_by_address = dict(old.route_by_address)
    for address in change.removed_addresses:
        route_by_address.pop(address, None)
    for record in change.routes:
        route = view_module.Route(**msgspec.structs.asdict(record))
        route_by_address[(route.host, route.port)] = route
    return view_module.Configuration(
        version=change.version,
        route_by_address=route_by_address,
        service_by_name={
            record.name: view_module.Service(**msgspec.structs.asdict(record))
            for record in change.services
        },
        idle_s=change.idle_s,
    )


def deltas_between(
    old: view_module.View,
    new: view_module.View,
    now_s: float,
    lapsed_ids: typing.Iterable[str] = (),
) -> list[ViewDelta]:
    """Return the deltas between a view and a later one, in order.

    ``lapsed_ids`` are endpoints whose registrations have lapsed in between.
    Large changes are split into several deltas. The configuration comes first,
    so a daemon that misses a later delta still has every change up to the
    revision it has reached. Each delta holds all removals, since a daemon that
    has read the store up to a revision in between skips the first ones. The
    list is empty if one of them does not fit a frame, or if the store was
    restored in between: a follower then has to read it.
    """
    if old.era != new.era:
        return []
    changed_endpoints = sorted(
        (
            endpoint
            for id_, endpoint in new.endpoint_by_id.items()
            # Those of an earlier era are only kept until they are due.
            if old.endpoint_by_id.get(id_) is not endpoint
            and endpoint.era == new.era
        ),
        key=lambda endpoint: endpoint.revision,
    )
    removed_ids = [
        id_ for id_ in old.endpoint_by_id if id_ not in new.endpoint_by_id
    ]
    domains_out = sorted(new.domains_out)
    lapsed_ids = list(lapsed_ids)
    version = new.configuration.version
    deltas: list[ViewDelta] = []
    base = old.revision
    if old.configuration.version != version:
        change = _configuration_change(old.configuration, new.configuration)
        if change is None:
            return []
        deltas.append(
            ViewDelta(
                base,
                base,
                old.configuration.version,
                [],
                removed_ids,
                domains_out,
                lapsed_ids,
                change,
                new.era,
            )
        )
    for start in range(0, max(1, len(changed_endpoints)), ENDPOINTS_PER_FRAME):
        chunk = changed_endpoints[start : start + ENDPOINTS_PER_FRAME]
        is_last = start + ENDPOINTS_PER_FRAME >= len(changed_endpoints)
        # A registration that a peer forwarded late may be older than the
        # base. ``max`` keeps the revisions of the deltas from decreasing.
        revision = new.revision if is_last else max(base, chunk[-1].revision)
        records = [_endpoint_record(endpoint, now_s) for endpoint in chunk]
        deltas.append(
            ViewDelta(
                base,
                revision,
                version,
                records,
                removed_ids,
                domains_out,
                lapsed_ids,
                era=new.era,
            )
        )
        base = revision
    try:
        for delta in deltas:
            frames.encode(delta)
    except errors.FrameTooLong:
        return []
    return deltas


def changes_from_delta(
    view: view_module.View, delta: ViewDelta, now_s: float
) -> view_module.Changes | None:
    """Return a delta's changes; ``None`` if changes before it are missing.

    A view that is newer than the delta's base has some of the changes already,
    because this daemon has watched the store itself.
    """
    version = view.configuration.version
    if delta.era != view.era:
        return None
    if delta.base > view.revision or delta.version != version:
        return None
    change = delta.configuration
    return view_module.Changes(
        revision=delta.revision,
        configuration=(
            _apply_configuration_change(view.configuration, change)
            if change is not None
            else None
        ),
        endpoints=tuple(
            _endpoint_from_record(item, now_s) for item in delta.endpoints
        ),
        removed_ids=tuple(delta.removed_ids),
        domains_out=tuple(set(delta.domains_out) - view.domains_out),
        domains_returned=tuple(view.domains_out - set(delta.domains_out)),
        lapsed_ids=tuple(delta.lapsed_ids),
        era=delta.era,
    )

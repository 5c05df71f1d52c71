"""Decodes items of the platform's store into the types of bramleypin."""

import binascii
import typing

import msgspec

from bramleypin.internal import address
from bramleypin.internal import conversion
from bramleypin.internal.observe import logs
from bramleypin.internal.stream import route_values
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view

ENDPOINT_PREFIX = "servers/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

# Route types whose requests may be repeated.
IDEMPOTENT_ROUTE_TYPES = frozenset(("safe", "download"))
ENDPOINT_STATES = ("ready", "draining")

_Name = typing.Annotated[str, msgspec.Meta(max_length=view.MAX_NAME_LENGTH)]
_WholeNumber = typing.Annotated[int, msgspec.Meta(le=view.MAX_WHOLE_NUMBER)]

_log = logs.get("store")


class Item(msgspec.Struct):
    """An item of the store or a change to it.

    ``value`` is base64. A truthy ``tombstone`` marks a deleted item.
    """

    key: str
    revision: int = 0
    created: int = 0
    value: str | None = None
    tombstone: typing.Any = None


class _Backend(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1.0


class _RouteAddress(msgspec.Struct, frozen=True):
    hostname: str
    prefix: str

    def address(self) -> tuple[int, int]:
        """Return the service address; the prefix holds the port as /8443/."""
        return segment.ipv4_to_int(self.hostname), int(self.prefix.strip("/"))


class _Route(_RouteAddress, frozen=True, kw_only=True):
    name: str
    service: str = ""
    backends: list[_Backend] = []
    type: str = "unsafe"
    timeout_ms: float = 0.0
    target_latency_ms: float = 0.0
    priority: int | float = 0


class _Service(msgspec.Struct, frozen=True):
    name: str
    max_conns: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    idle_timeout_ms: float = view.DEFAULT_IDLE_S * 1000


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: list[msgspec.Raw]
    services: list[msgspec.Raw]
    limits: _Limits = _Limits()


# An entry without ``version`` or ``seq``, both unused, is another writer's.
class _EndpointEntry(msgspec.Struct, frozen=True):
    service: _Name
    address: str
    zone: _Name
    version: str
    state: str
    slots: _WholeNumber
    cold_remaining_ms: float
    seq: int
    born: _WholeNumber = 0


def _decode_value(item: Item) -> bytes:
    return binascii.a2b_base64(item.value or "", strict_mode=True)


def _decode_endpoint(item: Item, now_s: float) -> view.Endpoint:
    entry = msgspec.json.decode(_decode_value(item), type=_EndpointEntry)
    if entry.state not in ENDPOINT_STATES:
        raise ValueError(f"unknown endpoint state {entry.state!r}")
    host = address.parse_remote(entry.address).host
    return view.Endpoint(
        id=item.key.removeprefix(ENDPOINT_PREFIX),
        service=entry.service,
        host=host,
        failure_domain=entry.zone,
        slots=max(1, entry.slots),
        draining=entry.state == "draining",
        started_ms=entry.born,
        revision=item.revision,
        created=item.created,
        cold_s=entry.cold_remaining_ms / 1000,
        seen_s=now_s,
    )


def _decode_route(value: msgspec.Raw) -> view.Route:
    route = msgspec.json.decode(value, type=_Route)
    weights = [(backend.service, backend.weight) for backend in route.backends]
    if route.service:
        weights = [(route.service, 1.0)]
    decoded = view.Route(
        route.name,
        *route.address(),
        weight_by_service=tuple(weights),
        idempotent=route.type in IDEMPOTENT_ROUTE_TYPES,
        timeout_s=route.timeout_ms / 1000,
        latency_objective_s=route.target_latency_ms / 1000,
        priority=route.priority,
    )
    return route_values.checked(decoded)


def _decode_service(value: msgspec.Raw) -> view.Service:
    service = msgspec.json.decode(value, type=_Service)
    return view.Service(
        service.name,
        service.cold_per_s,
        service.cold_start_s,
        service.max_conns,
    )


def _decode_address(value: msgspec.Raw) -> tuple[int, int]:
    return msgspec.json.decode(value, type=_RouteAddress).address()


def _decode_configuration(item: Item) -> view.Configuration:
    decoded = msgspec.json.decode(_decode_value(item), type=_Configuration)
    routes = conversion.convert_each(
        decoded.routes, _decode_route, _log, "skipped a route"
    )
    services = conversion.convert_each(
        decoded.services, _decode_service, _log, "skipped a service"
    )
    written_count = len(decoded.routes) + len(decoded.services)
    addresses = []
    if len(routes) < len(decoded.routes):
        addresses = conversion.convert_each(
            decoded.routes, _decode_address, _log, "route has no address"
        )
    return view.Configuration(
        version=decoded.version,
        route_by_address={(route.host, route.port): route for route in routes},
        service_by_name={service.name: service for service in services},
        idle_s=decoded.limits.idle_timeout_ms / 1000,
        written_addresses=frozenset(addresses),
        refused_count=written_count - len(routes) - len(services),
    )


def decode_items(values: list[msgspec.Raw]) -> list[Item]:
    """Return the items of a page that can be decoded."""
    return conversion.convert_each(
        values,
        lambda value: msgspec.json.decode(value, type=Item),
        _log,
        "skipped an item of a page",
    )


def decode(
    items: list[Item], revision: int, now_s: float, complete: bool
) -> view.Changes:
    """Return the changes to the view that items of the store describe.

    An item that cannot be decoded is logged and skipped; the others are still
    decoded. An endpoint whose new entry cannot be decoded counts as removed.
    ``complete`` is true if ``items`` is a full listing.
    """
    configuration: view.Configuration | None = None
    endpoint_by_id: dict[str, view.Endpoint] = {}
    removed: dict[str, None] = {}
    out_by_domain: dict[str, bool] = {}
    skipped_count = 0
    for item in items:
        exists = item.value is not None and not item.tombstone
        try:
            if item.key.startswith(ENDPOINT_PREFIX):
                endpoint_id = item.key.removeprefix(ENDPOINT_PREFIX)
                endpoint_by_id.pop(endpoint_id, None)
                removed[endpoint_id] = None
                if exists:
                    endpoint_by_id[endpoint_id] = _decode_endpoint(item, now_s)
                    removed.pop(endpoint_id)
            elif item.key.startswith(EVACUATION_PREFIX):
                domain = item.key.removeprefix(EVACUATION_PREFIX)
                out_by_domain[domain] = exists
            elif item.key == CONFIGURATION_KEY and exists:
                configuration = _decode_configuration(item)
        except Exception as error:
            # Another writer's value may raise anything, and one that stopped
            # the reader would keep every later change from all daemons.
            skipped_count += 1
            _log.warn_throttled(
                item.key,
                "skipped an item of the store that cannot be decoded",
                item=item.key,
                revision=item.revision,
                error=str(error)[:200],
            )
    return view.Changes(
        revision=revision,
        configuration=configuration,
        endpoints=tuple(endpoint_by_id.values()),
        removed_ids=tuple(removed),
        domains_out=tuple(name for name, out in out_by_domain.items() if out),
        domains_returned=tuple(
            name for name, out in out_by_domain.items() if not out
        ),
        complete=complete,
        skipped_count=skipped_count,
    )

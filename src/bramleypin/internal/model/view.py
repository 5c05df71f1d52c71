"""Immutable views of the configuration.

Services are kept encoded and are decoded on first use, because 3,600 decoded
services with 7,400 endpoints would take a large part of a daemon's memory.
"""

import collections
import dataclasses

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.model import configuration

# Number of earlier versions of a service to keep. A flow that was opened under
# one of them is found by probing the candidates of that version.
MAX_EARLIER_VERSIONS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint, decoded for placement and forwarding."""

    id: str
    failure_domain: str
    data: address.Address
    control: address.Address
    slots: int
    cold_slots: int
    ramp_s: float
    connections: int
    weight: float
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """A service, decoded for balancers and agents."""

    name: str
    protocol: str
    addresses: tuple[address.Address, ...]
    endpoints: tuple[EndpointView, ...]
    run_once: frozenset[str]
    max_duration_s: float
    objective: configuration.Objective

    def endpoint(self, endpoint_id: str) -> EndpointView | None:
        """Return the endpoint with the given id, or ``None``."""
        for endpoint in self.endpoints:
            if endpoint.id == endpoint_id:
                return endpoint
        return None


def _endpoint_view(endpoint: configuration.Endpoint) -> EndpointView:
    return EndpointView(
        id=endpoint.id,
        failure_domain=endpoint.failure_domain,
        data=address.parse(endpoint.data),
        control=address.parse(endpoint.control),
        slots=endpoint.slots,
        cold_slots=endpoint.cold_slots,
        ramp_s=endpoint.ramp_s,
        connections=endpoint.connections,
        weight=endpoint.weight,
        leaving=endpoint.state == "leaving",
    )


def service_view(encoded: bytes, name: str) -> ServiceView:
    """Decode a service document.

    :raises errors.InvalidConfiguration: when it is malformed.
    """
    document = configuration.decode(
        encoded, configuration.Service, f"service {name}"
    )
    return ServiceView(
        name=document.name,
        protocol=document.protocol,
        addresses=tuple(address.parse(text) for text in document.addresses),
        endpoints=tuple(_endpoint_view(item) for item in document.endpoints),
        run_once=frozenset(document.run_once),
        max_duration_s=document.max_duration_s,
        objective=document.objective,
    )


EMPTY_MANIFEST = configuration.Manifest(
    format=configuration.FORMAT,
    revision=0,
    digest_by_shard={},
    failure_domain_by_name={},
)


class View:
    """An accepted revision of the configuration.

    ``earlier_by_service`` holds the encoded earlier versions of each service,
    newest first and at most ``MAX_EARLIER_VERSIONS``. ``decoded_limit`` is
    the maximum number of decoded services in the cache.
    """

    def __init__(
        self,
        manifest: configuration.Manifest,
        encoded_by_service: dict[str, bytes],
        service_by_address: dict[address.Address, str],
        earlier_by_service: dict[str, tuple[bytes, ...]],
        decoded_limit: int = 256,
    ):
        self.manifest = manifest
        self.encoded_by_service = encoded_by_service
        self.service_by_address = service_by_address
        self.earlier_by_service = earlier_by_service
        self._decoded_limit = decoded_limit
        self._decoded: collections.OrderedDict[bytes, ServiceView] = (
            collections.OrderedDict()
        )

    @property
    def revision(self) -> int:
        """Number of the revision; 0 before one has been accepted."""
        return self.manifest.revision

    def is_out(self, failure_domain: str) -> bool:
        """Return whether a failure domain is taken out of service."""
        entry = self.manifest.failure_domain_by_name.get(failure_domain)
        return entry is not None and entry.out

    def service_at(self, service_address: address.Address) -> str | None:
        """Return the name of the service at an address, or ``None``."""
        return self.service_by_address.get(service_address)

    def service(self, name: str) -> ServiceView | None:
        """Return a service of this revision, or ``None``."""
        encoded = self.encoded_by_service.get(name)
        return None if encoded is None else self._decode(encoded, name)

    def earlier_versions(self, name: str) -> list[ServiceView]:
        """Return the earlier versions of a service, newest first."""
        versions = self.earlier_by_service.get(name, ())
        return [self._decode(encoded, name) for encoded in versions]

    def _decode(self, encoded: bytes, name: str) -> ServiceView:
        decoded = self._decoded.get(encoded)
        if decoded is None:
            decoded = service_view(encoded, name)
            self._decoded[encoded] = decoded
            if len(self._decoded) > self._decoded_limit:
                self._decoded.popitem(last=False)
        else:
            self._decoded.move_to_end(encoded)
        return decoded


def empty() -> View:
    """Return the view before the first revision is accepted."""
    return View(EMPTY_MANIFEST, {}, {}, {})


def advance(
    current: View,
    manifest: configuration.Manifest,
    changed: dict[str, bytes | None],
    decoded_limit: int = 256,
) -> View:
    """Return the view of a newer revision; ``current`` is not changed.

    ``changed`` maps the names of changed services to their encoded documents,
    or to ``None`` if they were removed.

    :raises errors.StaleRevision: when the revision is not higher than the
        current one.
    :raises errors.ConflictingRevision: when the manifest has the current
        revision but other contents.
    :raises errors.InvalidConfiguration: when a document is invalid or a
        digest does not match; the revision is then rejected as a whole.
    """
    if manifest.revision == current.revision and manifest != current.manifest:
        raise errors.ConflictingRevision(manifest.revision)
    if manifest.revision <= current.revision:
        raise errors.StaleRevision(manifest.revision, current.revision)
    encoded_by_service = dict(current.encoded_by_service)
    service_by_address = dict(current.service_by_address)
    earlier_by_service = dict(current.earlier_by_service)
    for name, encoded in changed.items():
        _replace_service(name, encoded, encoded_by_service, earlier_by_service)
    _remove_addresses(current, changed, service_by_address)
    _add_addresses(manifest, changed, service_by_address)
    _check_domains(current, manifest, encoded_by_service)
    _check_digests(current, manifest, changed, encoded_by_service)
    return View(
        manifest,
        encoded_by_service,
        service_by_address,
        earlier_by_service,
        decoded_limit,
    )


def _replace_service(
    name: str,
    encoded: bytes | None,
    encoded_by_service: dict[str, bytes],
    earlier_by_service: dict[str, tuple[bytes, ...]],
) -> None:
    previous = encoded_by_service.pop(name, None)
    if encoded is not None:
        encoded_by_service[name] = encoded
    if previous is not None and previous != encoded:
        earlier_by_service[name] = (
            previous,
            *earlier_by_service.get(name, ()),
        )[:MAX_EARLIER_VERSIONS]


def _remove_addresses(
    current: View,
    changed: dict[str, bytes | None],
    service_by_address: dict[address.Address, str],
) -> None:
    for name in changed:
        previous_service = current.service(name)
        if previous_service is not None:
            for service_address in previous_service.addresses:
                service_by_address.pop(service_address, None)


def _add_addresses(
    manifest: configuration.Manifest,
    changed: dict[str, bytes | None],
    service_by_address: dict[address.Address, str],
) -> None:
    for name, encoded in changed.items():
        if encoded is None:
            continue
        document = configuration.decode(
            encoded, configuration.Service, f"service {name}"
        )
        if document.name != name:
            raise errors.InvalidConfiguration(
                f"service {name}",
                "name",
                f"the document has the name {document.name}",
            )
        configuration.check_service(document, manifest)
        for text in document.addresses:
            service_address = address.parse(text)
            other_service = service_by_address.get(service_address)
            if other_service is not None:
                raise errors.InvalidConfiguration(
                    f"service {name}",
                    "addresses",
                    f"{text} already belongs to service {other_service}",
                )
            service_by_address[service_address] = name


def _check_domains(
    current: View,
    manifest: configuration.Manifest,
    encoded_by_service: dict[str, bytes],
) -> None:
    previous_domains = current.manifest.failure_domain_by_name
    removed_domains = (
        previous_domains.keys() - manifest.failure_domain_by_name.keys()
    )
    if not removed_domains:
        return
    for name, encoded in encoded_by_service.items():
        for endpoint in service_view(encoded, name).endpoints:
            if endpoint.failure_domain in removed_domains:
                raise errors.InvalidConfiguration(
                    f"service {name}",
                    f"endpoints.{endpoint.id}",
                    f"unknown failure domain {endpoint.failure_domain}",
                )


def _check_digests(
    current: View,
    manifest: configuration.Manifest,
    changed: dict[str, bytes | None],
    encoded_by_service: dict[str, bytes],
) -> None:
    """Check the digests of all shards that may have changed.

    A shard whose digest has not changed and that contains no changed service
    has the same contents as in the current revision, so it is skipped.
    """
    previous_digests = current.manifest.digest_by_shard
    digests = manifest.digest_by_shard
    shards_to_check = {configuration.shard_of(name) for name in changed}
    for number in previous_digests.keys() | digests.keys():
        if previous_digests.get(number) != digests.get(number):
            shards_to_check.add(number)
    services_by_shard: dict[int, dict[str, bytes]] = {
        n: {} for n in shards_to_check
    }
    for name, encoded in encoded_by_service.items():
        number = configuration.shard_of(name)
        if number in services_by_shard:
            services_by_shard[number][name] = encoded
    for number, services in services_by_shard.items():
        digest = digests.get(number)
        if digest is None and services:
            raise errors.InvalidConfiguration(
                "manifest",
                "digest_by_shard",
                "has no digest for a shard that has services",
            )
        if digest is None:
            continue
        if configuration.shard_digest(services) != digest:
            raise errors.InvalidConfiguration(
                f"shard {number}", "digest", "does not match the manifest"
            )

"""Configuration documents as the platform publishes them.

The documents are CBOR: one manifest and up to ``SHARD_COUNT`` shards. They
are validated on decoding, and a document with any invalid part is rejected as
a whole.
"""

import hashlib
import typing

import cbor2
import msgspec
import xxhash

from bramleypin import errors
from bramleypin.internal import address

FORMAT = 1
SHARD_COUNT = 64
SHARD_DIGEST_BYTES = 16
MAX_VALUE_BYTES = 1_000_000

T = typing.TypeVar("T")


class _Document(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base of the documents: immutable, without unknown fields."""


class FailureDomain(_Document):
    """A failure domain. ``out`` is true while it is out of service."""

    region: str = ""
    out: bool = False


class Endpoint(_Document):
    """An endpoint of a service and the addresses of its agent.

    ``slots`` is the maximum number of concurrent requests. A cold endpoint
    starts with a limit of ``cold_slots``, which rises to ``slots`` within
    ``ramp_s`` seconds. ``connections`` is the maximum number of flows, and
    ``weight`` the endpoint's relative share of new flows. ``data`` and
    ``control`` are the agent's addresses.
    """

    id: str
    failure_domain: str
    data: str
    control: str
    slots: int
    cold_slots: int = 1
    ramp_s: float = 30.0
    connections: int = 2_000
    weight: float = 1.0
    state: typing.Literal["in_service", "leaving"] = "in_service"


class Objective(_Document):
    """A service-level objective for the requests of a service.

    ``success`` is the share that must succeed within ``max_latency_s``.
    """

    success: float = 0.999
    max_latency_s: float = 2.0


class Service(_Document):
    """A service: the addresses for callers, and its endpoints.

    ``run_once`` lists the methods whose requests must not run twice.
    """

    name: str
    addresses: tuple[str, ...]
    endpoints: tuple[Endpoint, ...]
    protocol: str = "coap"
    run_once: tuple[str, ...] = ("POST", "PATCH")
    max_duration_s: float = 30.0
    objective: Objective = Objective()


class Manifest(_Document):
    """The contents of a revision.

    ``digest_by_shard`` maps shard numbers to BLAKE2b digests (16 bytes). They
    limit transfers and checks to the shards that changed, so that a small
    change costs little. ``retired`` lists addresses that no service may use
    in this revision.
    """

    format: int
    revision: int
    digest_by_shard: dict[int, bytes]
    failure_domain_by_name: dict[str, FailureDomain]
    retired: tuple[str, ...] = ()


def shard_of(service: str) -> int:
    """Return the number of the shard that holds a service."""
    return xxhash.xxh64_intdigest(service.encode()) % SHARD_COUNT


def encode(document: _Document) -> bytes:
    """Encode a document; equal documents give equal bytes."""
    return cbor2.dumps(msgspec.to_builtins(document, builtin_types=(bytes,)))


def decode(data: bytes, document_class: type[T], name: str) -> T:
    """Decode and validate a document; ``name`` appears in errors.

    :raises errors.InvalidConfiguration: with the document and the path of
        the invalid value.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise errors.InvalidConfiguration(
            name, "(size)", f"{len(data)} bytes exceed the platform's limit"
        )
    try:
        value = cbor2.loads(data)
        document = msgspec.convert(value, document_class)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at ")
        path = path.strip("`") or "$"
        raise errors.InvalidConfiguration(name, path, message) from error
    except Exception as error:
        raise errors.InvalidConfiguration(name, "$", str(error)) from error
    return document


def shard_digest(encoded_by_service: dict[str, bytes]) -> bytes:
    """Return the digest of a shard's services, whatever their order."""
    digest = hashlib.blake2b(digest_size=SHARD_DIGEST_BYTES)
    for name in sorted(encoded_by_service):
        digest.update(cbor2.dumps([name, encoded_by_service[name]]))
    return digest.digest()


def encode_shard(encoded_by_service: dict[str, bytes]) -> bytes:
    """Encode a shard, a map from service names to encoded services."""
    ordered = dict(sorted(encoded_by_service.items()))
    return cbor2.dumps(ordered)


def decode_shard(data: bytes, name: str) -> dict[str, bytes]:
    """Decode a shard without decoding its services.

    :raises errors.InvalidConfiguration: with the name of the shard.
    """
    return decode(data, dict[str, bytes], name)


def check_service(service: Service, manifest: Manifest) -> None:
    """Check the rules that the types of a service cannot express.

    :raises errors.InvalidConfiguration: with the service and the path of the
        invalid value.
    """
    name = f"service {service.name}"
    if not service.addresses:
        raise errors.InvalidConfiguration(name, "addresses", "is empty")
    for text in service.addresses:
        _check_address(name, "addresses", text)
        if text in manifest.retired:
            raise errors.InvalidConfiguration(
                name, "addresses", f"{text} is retired in this revision"
            )
    seen_ids: set[str] = set()
    for endpoint in service.endpoints:
        _check_endpoint(name, endpoint, manifest)
        if endpoint.id in seen_ids:
            raise errors.InvalidConfiguration(
                name, "endpoints", f"{endpoint.id} appears twice"
            )
        seen_ids.add(endpoint.id)


def _check_endpoint(name: str, endpoint: Endpoint, manifest: Manifest) -> None:
    path = f"endpoints.{endpoint.id}"
    _check_address(name, f"{path}.data", endpoint.data)
    _check_address(name, f"{path}.control", endpoint.control)
    if endpoint.failure_domain not in manifest.failure_domain_by_name:
        raise errors.InvalidConfiguration(
            name, path, f"unknown failure domain {endpoint.failure_domain}"
        )
    if not 1 <= endpoint.cold_slots <= endpoint.slots:
        raise errors.InvalidConfiguration(
            name, path, "cold_slots must be between 1 and slots"
        )
    if not endpoint.weight > 0 or not endpoint.ramp_s >= 0:
        raise errors.InvalidConfiguration(
            name, path, "weight must be greater than 0 and ramp_s at least 0"
        )


def _check_address(name: str, path: str, text: str) -> None:
    try:
        address.parse(text)
    except errors.InvalidFrame as error:
        raise errors.InvalidConfiguration(
            name, path, f"{text} is not an IPv4 address and port"
        ) from error

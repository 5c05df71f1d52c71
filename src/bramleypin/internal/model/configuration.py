"""Configuration documents as the platform publishes them.

The documents are CBOR: one manifest and up to ``SHARDS`` shards. They are
validated here, at the border, and refused whole when anything is wrong.
"""

import hashlib
import typing

import cbor2
import msgspec
import xxhash

from bramleypin import errors
from bramleypin.internal import address

FORMAT = 1
SHARDS = 64
SHARD_DIGEST_BYTES = 16
MAX_VALUE_BYTES = 1_000_000

T = typing.TypeVar("T")


class _Document(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Base of the documents: immutable, and strict about names."""


class FailureDomain(_Document):
    """A failure domain; ``out`` means that it is taken out of service."""

    region: str = ""
    out: bool = False


class Endpoint(_Document):
    """One back end of a service, and where its agent listens."""

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
    """What share of requests must succeed, and within what time."""

    success: float = 0.999
    max_latency_s: float = 2.0


class Service(_Document):
    """A service: addresses that callers use, and the endpoints behind."""

    name: str
    addresses: tuple[str, ...]
    endpoints: tuple[Endpoint, ...]
    protocol: str = "coap"
    run_once: tuple[str, ...] = ("POST", "PATCH")
    max_duration_s: float = 30.0
    objective: Objective = Objective()


class Manifest(_Document):
    """What a revision consists of; a change costs what changed.

    ``digest_by_shard`` maps shard numbers to BLAKE2b digests (16 bytes).
    ``retired`` lists addresses that no service may use in this revision.
    """

    format: int
    revision: int
    digest_by_shard: dict[int, bytes]
    failure_domain_by_name: dict[str, FailureDomain]
    retired: tuple[str, ...] = ()


def shard_of(service: str) -> int:
    """Return the number of the shard that holds a service."""
    return xxhash.xxh64_intdigest(service.encode()) % SHARDS


def encode(document: _Document) -> bytes:
    """Encode a document; equal documents give equal bytes."""
    return cbor2.dumps(msgspec.to_builtins(document, builtin_types=(bytes,)))


def decode(data: bytes, kind: type[T], name: str) -> T:
    """Decode and validate a document.

    :raises errors.InvalidConfiguration: naming the document and the place.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise errors.InvalidConfiguration(
            name, "(size)", f"{len(data)} bytes are over the platform's limit"
        )
    try:
        value = cbor2.loads(data)
        document = msgspec.convert(value, kind)
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
    """Encode a shard: service documents, themselves encoded, by name."""
    ordered = dict(sorted(encoded_by_service.items()))
    return cbor2.dumps(ordered)


def decode_shard(data: bytes, name: str) -> dict[str, bytes]:
    """Decode a shard without decoding its services.

    :raises errors.InvalidConfiguration: naming the shard.
    """
    return decode(data, dict[str, bytes], name)


def check_service(service: Service, manifest: Manifest) -> None:
    """Check what the types cannot express.

    :raises errors.InvalidConfiguration: naming the service and the place.
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
    seen: set[str] = set()
    for endpoint in service.endpoints:
        _check_endpoint(name, endpoint, manifest)
        if endpoint.id in seen:
            raise errors.InvalidConfiguration(
                name, "endpoints", f"{endpoint.id} appears twice"
            )
        seen.add(endpoint.id)


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
            name, path, "weight must be over 0 and ramp_s at least 0"
        )


def _check_address(name: str, path: str, text: str) -> None:
    try:
        address.parse(text)
    except errors.InvalidFrame as error:
        raise errors.InvalidConfiguration(
            name, path, f"{text} is no IPv4 address and port"
        ) from error

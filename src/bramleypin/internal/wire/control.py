"""Messages on control links: data classes, encoded as CBOR arrays.

A message is ``[code, field, ...]``. Messages are decoded only from frames
whose MAC is right, apart from ``Hello`` and ``Proof``.
"""

import dataclasses
import typing

import cbor2
import msgspec

from bramleypin import errors

# A shard is a value of the platform (at most 1,000,000 bytes); the margin
# holds the message around it.
MAX_MESSAGE_BYTES = 1_048_576
MAX_HANDSHAKE_BYTES = 1_024

CLASS_BY_CODE: dict[int, type] = {}
_CODE_BY_CLASS: dict[type, int] = {}

T = typing.TypeVar("T", bound=type)


def message(code: int) -> typing.Callable[[T], T]:
    """Register a data class as the message with a code."""

    def register(kind: T) -> T:
        CLASS_BY_CODE[code] = kind
        _CODE_BY_CLASS[kind] = code
        return kind

    return register


@message(1)
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of both sides; ``role`` is a daemon's, or "tool"."""

    nonce: bytes
    id: str
    role: str
    failure_domain: str


@message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """HMAC-SHA256 over both nonces, which proves knowledge of a key."""

    mac: bytes


@message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for all that is newer, now and later.

    ``whole`` asks for whole shards, after a delta that did not fit.
    """

    revision: int
    digest_by_shard: dict[int, bytes]
    members_version: int
    whole: bool = False


@message(4)
@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A newer manifest with the changed services (``None``: removed).

    When ``shards`` is not empty, one ``Shard`` follows for each number, and
    ``changed`` is empty.
    """

    manifest: bytes
    changed: dict[str, bytes | None]
    shards: tuple[int, ...] = ()


@message(5)
@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """All services of one shard, encoded as on the platform."""

    revision: int
    number: int
    services: bytes


@message(6)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks for the peer's revision; also the heartbeat of a link."""

    id: int


@message(7)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """The peer's revision when it handled the request."""

    id: int
    revision: int


@message(8)
@dataclasses.dataclass(frozen=True, slots=True)
class MemberUpdate:
    """What changed in the VM list since version ``base`` (0: all of it).

    ``members`` and ``removed`` concern the sender's failure domain;
    ``contacts`` names members of the others, and is ``None`` when they are
    the same as at ``base``; ``leaving`` holds the data addresses of all
    leaving VMs.
    """

    version: int
    base: int
    members: list[list[str]]
    removed: list[str]
    contacts: list[list[str]] | None
    leaving: list[str]


@message(9)
@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest:
    """Asks a daemon what it says about itself."""


@message(10)
@dataclasses.dataclass(frozen=True, slots=True)
class StatusAnswer:
    """The sections of a daemon's status."""

    sections: dict[str, typing.Any]


@message(11)
@dataclasses.dataclass(frozen=True, slots=True)
class TraceRequest:
    """Asks for the latest decisions about flows that contain a text."""

    text: str
    limit: int


@message(12)
@dataclasses.dataclass(frozen=True, slots=True)
class TraceAnswer:
    """Entries of the trace ring, oldest first."""

    entries: list[typing.Any]


@message(13)
@dataclasses.dataclass(frozen=True, slots=True)
class BurnRequest:
    """Asks for the outcomes of the last ``since_s`` seconds."""

    since_s: float


@message(14)
@dataclasses.dataclass(frozen=True, slots=True)
class BurnAnswer:
    """Outcomes by service, as the outcome windows give them."""

    data: dict[str, typing.Any]


@message(15)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailed:
    """Answers a request that the daemon cannot handle, with the reason."""

    reason: str


def encode(item: typing.Any) -> bytes:
    """Encode a message."""
    values = [getattr(item, f.name) for f in dataclasses.fields(item)]
    return cbor2.dumps([_CODE_BY_CLASS[type(item)], *values])


def decode(data: bytes) -> typing.Any:
    """Decode and validate a message.

    :raises errors.InvalidFrame: with the reason to count it under.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.InvalidFrame("control_oversized")
    try:
        code, *values = cbor2.loads(data)
        kind = CLASS_BY_CODE[code]
        names = [field.name for field in dataclasses.fields(kind)]
        if len(values) != len(names):
            raise errors.InvalidFrame("control_malformed", kind.__name__)
        return msgspec.convert(dict(zip(names, values, strict=True)), kind)
    except errors.InvalidFrame:
        raise
    except Exception as error:
        raise errors.InvalidFrame("control_malformed", str(error)) from error

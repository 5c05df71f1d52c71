"""Messages on control links: data classes encoded as CBOR arrays.

A message is encoded as ``[code, field, ...]``. Except for ``Hello`` and
``Proof``, messages are only decoded from frames with a valid MAC.
"""

import dataclasses
import typing

import cbor2
import msgspec

from bramleypin import errors

# The platform's store limits a value to 1,000,000 bytes, and each shard is one
# value. The remaining bytes are for the message that carries the shard.
MAX_MESSAGE_BYTES = 1_048_576
MAX_HANDSHAKE_BYTES = 1_024

CLASS_BY_CODE: dict[int, type] = {}
_CODE_BY_CLASS: dict[type, int] = {}

T = typing.TypeVar("T", bound=type)


def message(code: int) -> typing.Callable[[T], T]:
    """Return a decorator that registers a data class under a code."""

    def register(message_class: T) -> T:
        CLASS_BY_CODE[code] = message_class
        _CODE_BY_CLASS[message_class] = code
        return message_class

    return register


@message(1)
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message of both sides; ``role`` is a daemon's role or "tool"."""

    nonce: bytes
    id: str
    role: str
    failure_domain: str


@message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """HMAC-SHA256 over both nonces, to prove knowledge of a key."""

    mac: bytes


@message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Requests present and future updates newer than the sender's state.

    ``whole`` requests whole shards, after a delta that could not be applied.
    """

    revision: int
    digest_by_shard: dict[int, bytes]
    members_version: int
    whole: bool = False


@message(4)
@dataclasses.dataclass(frozen=True, slots=True)
class Update:
    """A newer manifest and the changed services.

    ``changed`` maps a removed service to ``None``. When ``shards`` is not
    empty, one ``Shard`` follows for each number and ``changed`` is empty.
    """

    manifest: bytes
    changed: dict[str, bytes | None]
    shards: tuple[int, ...] = ()


@message(5)
@dataclasses.dataclass(frozen=True, slots=True)
class Shard:
    """All services of one shard, in the encoding of the platform."""

    revision: int
    number: int
    services: bytes


@message(6)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests the peer's revision; also the heartbeat of a link."""

    id: int


@message(7)
@dataclasses.dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """The peer's revision at the time that it handled the request."""

    id: int
    revision: int


@message(8)
@dataclasses.dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The changes of the VM list since version ``base``.

    If ``base`` is 0, the update is complete. ``members`` and ``removed``
    cover the sender's failure domain. ``contacts`` lists members of the other
    failure domains and is ``None`` if they have not changed since ``base``.
    ``leaving`` holds the data addresses of all leaving VMs.
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
    """Requests a daemon's status."""


@message(10)
@dataclasses.dataclass(frozen=True, slots=True)
class StatusAnswer:
    """The sections of a daemon's status."""

    sections: dict[str, typing.Any]


@message(11)
@dataclasses.dataclass(frozen=True, slots=True)
class TraceRequest:
    """Requests the latest trace entries whose flow contains ``text``."""

    text: str
    limit: int


@message(12)
@dataclasses.dataclass(frozen=True, slots=True)
class TraceAnswer:
    """Entries of the trace's ring buffer, oldest first."""

    entries: list[typing.Any]


@message(13)
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomesRequest:
    """Requests the outcomes of the last ``since_s`` seconds."""

    since_s: float


@message(14)
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomesAnswer:
    """Outcomes by service and minute, as counted by ``Outcomes``."""

    data: dict[str, typing.Any]


@message(15)
@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailed:
    """Reports why the daemon could not handle a request."""

    reason: str


def encode(item: typing.Any) -> bytes:
    """Encode a message."""
    values = [getattr(item, field.name) for field in dataclasses.fields(item)]
    return cbor2.dumps([_CODE_BY_CLASS[type(item)], *values])


def decode(data: bytes) -> typing.Any:
    """Decode and validate a message.

    :raises errors.InvalidFrame: with the reason under which the message is
        counted.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.InvalidFrame("control_oversized")
    try:
        code, *values = cbor2.loads(data)
        message_class = CLASS_BY_CODE[code]
        names = [field.name for field in dataclasses.fields(message_class)]
        if len(values) != len(names):
            raise errors.InvalidFrame(
                "control_malformed", message_class.__name__
            )
        return msgspec.convert(
            dict(zip(names, values, strict=True)), message_class
        )
    except errors.InvalidFrame:
        raise
    except Exception as error:
        raise errors.InvalidFrame("control_malformed", str(error)) from error

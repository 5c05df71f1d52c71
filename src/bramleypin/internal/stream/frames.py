"""Frames between daemons: kind (1 byte), header length (2), header, packet.

The header is a CBOR array of the message's fields, validated when decoded.
The packet of a caller or an endpoint follows unchanged.
"""

import struct
import typing

import cbor2
import msgspec

from bramleypin import errors

_PREFIX = struct.Struct(">BH")
MAX_FRAME_BYTES = 4_096

T = typing.TypeVar("T", bound=type)


class Message(msgspec.Struct, array_like=True):
    """Base of the messages; fields are sent in the order of declaration."""

    def view_revision(self) -> int:
        """Return the revision of the sender's view; -1 when not told."""
        return -1


MESSAGE_BY_KIND: dict[int, type[Message]] = {}
_KIND_BY_MESSAGE: dict[type[Message], int] = {}


def message(kind: int) -> typing.Callable[[T], T]:
    """Register a message class under its kind on the wire."""

    def store(cls: T) -> T:
        MESSAGE_BY_KIND[kind] = cls
        _KIND_BY_MESSAGE[cls] = kind
        return cls

    return store


class Report(msgspec.Struct, array_like=True):
    """What an agent says of its endpoint.

    ``running`` requests are at the endpoint, ``slots`` run at once, one takes
    ``service_time_s`` on average. ``full`` says that it takes no more now.
    ``room`` is how many more a cold endpoint may take now, or -1 when it is
    not cold. ``state`` is one of ``ready``,
    ``leaving`` (no new flows) and ``silent`` (the endpoint does not answer).
    ``revision`` is that of the agent's view.
    """

    host: str
    service: str
    running: int
    slots: int
    service_time_s: float
    full: bool
    room: int
    state: str
    revision: int


@message(1)
class Open(Message):
    """Asks an agent to open a flow; the opening packet follows.

    The answer goes to ``origin_host``. ``tried_hosts`` have declined it,
    ``spare_hosts`` are to be asked next, in this order. ``service``,
    ``version`` and ``revision`` are what the sender's view says. ``late``
    marks a request that can no longer be answered within its objective.
    """

    opening: int
    origin_host: str
    service: str
    version: int
    revision: int
    tried_hosts: list[str]
    spare_hosts: list[str]
    late: bool = False

    def view_revision(self) -> int:
        """Return the revision of the sender's view."""
        return self.revision


@message(2)
class Opened(Message):
    """An agent's answer to ``Open``.

    ``outcome`` is ``taken``, ``refused``, or ``passed`` (another agent now
    decides; it answers itself).
    """

    opening: int
    outcome: str
    reason: str
    report: Report

    def view_revision(self) -> int:
        """Return the revision of the sender's view."""
        return self.report.revision


@message(3)
class Data(Message):
    """A caller's packet for an agent; ``owned`` unless it is a trial."""

    owned: bool


@message(4)
class NotHeld(Message):
    """An agent returns a caller's packet whose flow it does not hold."""

    host: str


@message(5)
class Lookup(Message):
    """Asks an agent whether it holds a flow.

    ``acknowledged`` is the position that the caller's packet acknowledges,
    which tells apart two endpoints that answered the same opening.
    """

    lookup: int
    flow: tuple[int, int, int, int]
    acknowledged: int


@message(6)
class Holder(Message):
    """The answer to ``Lookup``: ``holds``, ``maybe`` or ``no``.

    An agent that has just started cannot rule out that its endpoint holds a
    flow from before, and answers ``maybe``.
    """

    lookup: int
    host: str
    answer: str


@message(7)
class Load(Message):
    """An agent's report to the balancers that have sent to it lately."""

    report: Report

    def view_revision(self) -> int:
        """Return the revision of the sender's view."""
        return self.report.revision


def encode(body: Message, packet: bytes = b"") -> bytes:
    """Return a frame."""
    header = cbor2.dumps(msgspec.to_builtins(body))
    prefix = _PREFIX.pack(_KIND_BY_MESSAGE[type(body)], len(header))
    return prefix + header + packet


def decode(data: bytes) -> tuple[Message, bytes]:
    """Return a frame's message and packet.

    :raises errors.InvalidFrame: when the bytes are no frame.
    """
    if not _PREFIX.size <= len(data) <= MAX_FRAME_BYTES:
        raise errors.InvalidFrame("bad_length", f"{len(data)} bytes")
    kind, length = _PREFIX.unpack_from(data)
    end = _PREFIX.size + length
    cls = MESSAGE_BY_KIND.get(kind)
    if cls is None or end > len(data):
        raise errors.InvalidFrame("bad_kind", f"kind {kind}")
    try:
        header = cbor2.loads(data[_PREFIX.size : end])
        return msgspec.convert(header, cls), data[end:]
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        RecursionError,
    ) as error:
        raise errors.InvalidFrame("bad_header", str(error)[:200]) from error

"""Frames that daemons exchange over UDP.

A frame consists of the message kind (1 byte), the header length (2 bytes,
big-endian), the header and an optional packet. The header is a CBOR array of
the message's fields and is validated when decoded. The packet of a caller or
an endpoint follows unchanged.
"""

import struct
import typing

import cbor2
import msgspec

from bramleypin import errors

_PREFIX = struct.Struct(">BH")
# The largest payload of a UDP datagram over IPv4.
MAX_FRAME_BYTES = 65_507
# Stamp of a message that does not include the sender's view.
NO_STAMP = (0, -1)
# The store's era; frames of senders that know none lack it.
Era = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]

T = typing.TypeVar("T", bound=type)
Body = typing.TypeVar("Body", bound=msgspec.Struct)


class Message(msgspec.Struct, array_like=True):
    """Base class of messages; fields are sent in declaration order."""

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view.

        The revision is -1 if the message does not include it.
        """
        return NO_STAMP


MESSAGE_BY_KIND: dict[int, type[Message]] = {}
_KIND_BY_MESSAGE: dict[type[Message], int] = {}


def message(kind: int) -> typing.Callable[[T], T]:
    """Register a message class under its kind on the wire."""

    def register(cls: T) -> T:
        MESSAGE_BY_KIND[kind] = cls
        _KIND_BY_MESSAGE[cls] = kind
        return cls

    return register


class Report(msgspec.Struct, array_like=True):
    """The load and state of an endpoint, reported by its agent.

    ``running_requests`` is the number of requests at the endpoint, ``slots``
    the number it processes concurrently and ``service_time_s`` their mean
    duration, or 0 when unknown. ``queue_full`` means that the endpoint
    accepts no further request. ``cold_allowance`` is the number of requests
    that a cold endpoint may still accept now, or -1 when it is not cold.
    ``state`` is ``ready``, ``leaving`` (no new flows), ``silent`` (the
    endpoint does not answer) or ``failing`` (it accepts flows and fails many
    of their requests). ``revision`` and ``era`` are those of the agent's view.
    """

    host: str
    service: str
    running_requests: int
    slots: int
    service_time_s: float
    queue_full: bool
    cold_allowance: int
    state: str
    revision: int
    era: Era = 0


@message(1)
class Offer(Message):
    """Asks an agent to open a flow; the opening packet follows.

    ``opening`` is the number of the offer; the answer repeats it and goes to
    ``origin_host``. ``tried_hosts`` were offered the opening before,
    ``fallback_hosts`` are asked next, in this order. ``service``, ``version``,
    ``revision`` and ``era`` are those of the sender's view. ``is_late`` marks
    a request that can no longer be answered within its latency objective.
    """

    opening: int
    origin_host: str
    service: str
    version: int
    revision: int
    tried_hosts: list[str]
    fallback_hosts: list[str]
    is_late: bool = False
    era: Era = 0

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.era, self.revision


@message(2)
class OfferAnswer(Message):
    """An agent's answer to an ``Offer`` message.

    ``opening`` is the number of the offer. ``outcome`` is ``taken``,
    ``refused`` or ``passed``. ``reason`` states the cause of ``refused``
    and, for ``passed``, the host of the next agent, which answers as well.
    """

    opening: int
    outcome: str
    reason: str
    report: Report

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.report.era, self.report.revision


@message(3)
class Data(Message):
    """Carries a caller's packet to an agent.

    ``confirmed`` is false when the balancer only guesses that the agent
    holds the flow.
    """

    confirmed: bool


@message(4)
class FlowNotHeld(Message):
    """Returns a caller's packet whose flow the agent does not hold.

    ``host`` is the agent's host. The packet follows.
    """

    host: str


@message(5)
class Lookup(Message):
    """Asks an agent whether it holds a flow.

    ``lookup`` is the number of the search, which the answer repeats.
    ``acknowledged`` is the position that the caller's packet acknowledges and
    ``opening_sequence`` its sequence number if it is an opening, otherwise -1.
    They tell flows apart that use the same addresses and ports.
    """

    lookup: int
    flow: tuple[int, int, int, int]
    acknowledged: int
    opening_sequence: int


@message(6)
class LookupAnswer(Message):
    """The answer to a ``Lookup``: ``holds``, ``maybe`` or ``no``.

    A recently started agent answers ``maybe``, because its endpoint may hold
    a flow from before the start. ``revision`` and ``era`` are those of the
    agent's view, ``uptime_s`` is the time since the agent started.
    """

    lookup: int
    host: str
    answer: str
    revision: int
    uptime_s: float
    era: Era = 0

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.era, self.revision


@message(15)
class LookupBatch(Message):
    """Several lookups of a balancer to the same agent."""

    lookups: list[Lookup]


@message(16)
class LookupBatchAnswer(Message):
    """The answers to a ``LookupBatch``, by the number of the lookup.

    The other fields are as in ``LookupAnswer``.
    """

    host: str
    answers: list[tuple[int, str]]
    revision: int
    uptime_s: float
    era: Era = 0

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.era, self.revision


@message(7)
class LoadReport(Message):
    """An agent's report to the balancers that sent frames recently."""

    report: Report

    def view_stamp(self) -> tuple[int, int]:
        """Return the era and revision of the sender's view."""
        return self.report.era, self.report.revision


@message(11)
class SlotRequest(Message):
    """Asks an agent to report its next free slot to the sender.

    The sender has a postponed opening for ``service``. The request holds for
    one report, and only for a short time.
    """

    service: str


def encode(body: Message, packet: bytes = b"") -> bytes:
    """Return a frame that carries a message and an optional packet.

    :raises errors.FrameTooLong: when it exceeds ``MAX_FRAME_BYTES``, above
        which receivers discard a frame.
    """
    header = cbor2.dumps(msgspec.to_builtins(body))
    size_bytes = _PREFIX.size + len(header) + len(packet)
    if size_bytes > MAX_FRAME_BYTES:
        name = type(body).__name__
        raise errors.FrameTooLong(name, size_bytes, MAX_FRAME_BYTES)
    prefix = _PREFIX.pack(_KIND_BY_MESSAGE[type(body)], len(header))
    return prefix + header + packet


def decode(data: bytes) -> tuple[Message, bytes]:
    """Return a frame's message and packet.

    :raises errors.InvalidFrame: when the bytes are not a valid frame.
    """
    if not _PREFIX.size <= len(data) <= MAX_FRAME_BYTES:
        raise errors.InvalidFrame("bad_length", f"frame of {len(data)} bytes")
    kind, length = _PREFIX.unpack_from(data)
    end = _PREFIX.size + length
    cls = MESSAGE_BY_KIND.get(kind)
    if cls is None or end > len(data):
        raise errors.InvalidFrame(
            "bad_kind", f"unknown kind {kind} or truncated header"
        )
    return decode_body(data[_PREFIX.size : end], cls), data[end:]


def decode_body(data: bytes, cls: type[Body]) -> Body:
    """Return the message of a class that CBOR data describes.

    :raises errors.InvalidFrame: when the data do not describe one.
    """
    try:
        return msgspec.convert(cbor2.loads(data), cls)
    except (
        cbor2.CBORDecodeError,
        msgspec.ValidationError,
        ValueError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise errors.InvalidFrame("bad_header", str(error)[:200]) from error

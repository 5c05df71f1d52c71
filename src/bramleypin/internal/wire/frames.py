"""Frames between balancers and agents on the data port (UDP).

A frame is ``mac(8) sequence(8) header length(2) header payload``, with field
sizes in bytes. The header is a CBOR array whose first element is the kind.
The MAC covers everything after it.
"""

import dataclasses
import enum
import math
import socket
import struct
import typing

import cbor2

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.wire import mac
from bramleypin.internal.wire import proxy_header

# The maximum payload of a UDP datagram over IPv4.
MAX_FRAME_BYTES = 65_507

# Leaves room for the frame header, which includes the service name.
MAX_DATAGRAM_BYTES = MAX_FRAME_BYTES - 1_024

SEQUENCE = struct.Struct("!Q")
_HEADER_LENGTH = struct.Struct("!H")
# The sequence and the header length.
_FIXED_FIELDS = struct.Struct("!QH")
HEADER_START = mac.MAC_BYTES + _FIXED_FIELDS.size


class State(enum.IntEnum):
    """An agent's readiness for new flows."""

    READY = 0
    COLD = 1
    FULL = 2
    DRAINING = 3
    OUT = 4


class NoticeReason(enum.IntEnum):
    """What a NOTICE reports to the sender of a frame."""

    NEWER_REVISION = 1
    STALE_INCARNATION = 2
    FAILURE_DOMAIN_OUT = 3
    WRONG_SERVICE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An agent and its answer to a PROBE."""

    data: address.Address
    state: State
    load: float
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """A caller's datagram, forwarded to the owner of its flow.

    In the encoded header, ``service_address`` and ``caller`` come last, as
    the address block of a PROXY v2 header. A balancer can thus send the same
    prefix for all flows of one service address at an agent, followed by the
    bytes received from the fabric.

    ``nonce`` identifies the sender for replay protection. ``incarnation`` is
    that of the agent that the frame is for. ``return_address`` is the
    balancer that relays the answers. ``pinned`` is set if the frame was
    routed by a pin, and ``open`` if the receiver decides where the flow
    opens; ``candidates`` is only used in that case. ``elapsed_us`` is the time
    in microseconds that the datagram has spent in earlier processes.
    """

    KIND: typing.ClassVar[int] = 1
    nonce: int
    incarnation: int
    revision: int
    service: str
    service_address: address.Address
    caller: address.Address
    return_address: address.Address
    pinned: bool
    open: bool
    elapsed_us: int = 0
    candidates: tuple[Candidate, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A datagram to a caller, sent through a balancer.

    ``pin`` is empty if the flow has none.
    """

    KIND: typing.ClassVar[int] = 2
    revision: int
    service: str
    service_address: address.Address
    caller: address.Address
    owner: address.Address
    incarnation: int
    pin: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks an agent for its load and whether it holds a flow."""

    KIND: typing.ClassVar[int] = 3
    probe_id: int
    revision: int
    service: str
    service_address: address.Address
    caller: address.Address


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """An agent's answer to a PROBE.

    At a ``load`` of 1 all slots are busy; waiting requests raise it further.
    """

    KIND: typing.ClassVar[int] = 4
    probe_id: int
    holds: bool
    state: State
    load: float
    revision: int
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Informs a sender that its view is outdated or its frame was refused."""

    KIND: typing.ClassVar[int] = 5
    reason: NoticeReason
    revision: int
    control: address.Address
    incarnation: int


Frame = Forward | Answer | Probe | ProbeAnswer | Notice

_CLASS_BY_KIND: dict[int, type] = {
    item.KIND: item for item in (Forward, Answer, Probe, ProbeAnswer, Notice)
}
_FIELD_NAMES_BY_CLASS: dict[type, tuple[str, ...]] = {
    item: tuple(field.name for field in dataclasses.fields(item))
    for item in _CLASS_BY_KIND.values()
}
_FLOW_FIELDS = ("service_address", "caller")
# In a FORWARD these two fields are encoded as one block at the end.
_FIELD_NAMES_BY_CLASS[Forward] = tuple(
    name for name in _FIELD_NAMES_BY_CLASS[Forward] if name not in _FLOW_FIELDS
)
_ADDRESS = struct.Struct("!4sH")
_FLOW_BLOCK = struct.Struct("!4s4sHH")


def _pack_address(item: address.Address) -> bytes:
    return _ADDRESS.pack(socket.inet_aton(item[0]), item[1])


def _unpack_address(value: bytes) -> address.Address:
    host, port = _ADDRESS.unpack(value)
    return address.Address(socket.inet_ntoa(host), port)


def _pack_candidates(items: tuple[Candidate, ...]) -> list[list]:
    return [
        [
            _pack_address(candidate.data),
            int(candidate.state),
            candidate.load,
            candidate.incarnation,
        ]
        for candidate in items
    ]


def _unpack_candidates(value: list) -> tuple[Candidate, ...]:
    return tuple(
        Candidate(
            _unpack_address(data),
            State(state),
            _checked_load(load),
            _checked_uint64(incarnation),
        )
        for data, state, load, incarnation in value
    )


def _type_checker(expected: type) -> typing.Callable[[typing.Any], typing.Any]:
    """Return a decoder that only checks the type of a CBOR value."""

    def check(value: typing.Any) -> typing.Any:
        if type(value) is not expected:
            raise errors.InvalidFrame(
                "frame_header", f"is not of type {expected.__name__}"
            )
        return value

    return check


def _checked_uint64(value: typing.Any) -> int:
    if type(value) is not int or not 0 <= value < 1 << 64:
        raise errors.InvalidFrame(
            "frame_header", "is not an unsigned 64-bit integer"
        )
    return value


def _checked_load(value: typing.Any) -> float:
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise errors.InvalidFrame(
            "frame_header", "the load is negative or not a finite number"
        )
    return float(value)


_ADDRESS_FIELDS = (
    "service_address",
    "caller",
    "return_address",
    "owner",
    "control",
)
_NUMBER_FIELDS = (
    "nonce",
    "incarnation",
    "revision",
    "elapsed_us",
    "probe_id",
)
# Addresses are encoded in 6 bytes. This keeps the header short, which is
# signed with each datagram, and admits only an IPv4 address and a port.
_ENCODER_BY_FIELD: dict[str, typing.Callable] = {
    **dict.fromkeys(_ADDRESS_FIELDS, _pack_address),
    "candidates": _pack_candidates,
    "state": int,
    "reason": int,
}
_DECODER_BY_FIELD: dict[str, typing.Callable] = {
    **dict.fromkeys(_ADDRESS_FIELDS, _unpack_address),
    **dict.fromkeys(_NUMBER_FIELDS, _checked_uint64),
    **dict.fromkeys(("pinned", "open", "holds"), _type_checker(bool)),
    "service": _type_checker(str),
    "pin": _type_checker(bytes),
    "load": _checked_load,
    "candidates": _unpack_candidates,
    "state": State,
    "reason": NoticeReason,
}


def encode_header(frame: Frame) -> bytes:
    """Encode a frame's header."""
    values: list[typing.Any] = [frame.KIND]
    for name in _FIELD_NAMES_BY_CLASS[type(frame)]:
        value = getattr(frame, name)
        encoder = _ENCODER_BY_FIELD.get(name)
        values.append(value if encoder is None else encoder(value))
    if type(frame) is Forward:
        values.append(_pack_flow_block(frame))
    return cbor2.dumps(values)


def _pack_flow_block(frame: Forward) -> bytes:
    header = proxy_header.encode(frame.caller, frame.service_address)
    return header[-proxy_header.ADDRESS_BYTES :]


def forward_prefix(frame: Forward) -> bytes:
    """Return the bytes of a FORWARD between its sequence and flow block."""
    header = encode_header(frame)
    prefix = _HEADER_LENGTH.pack(len(header)) + header
    return prefix[: -proxy_header.ADDRESS_BYTES]


def sign_frame(
    key: bytes, sequence: int, header: bytes, payload: bytes
) -> bytes:
    """Return a frame: MAC, sequence, header length, header and payload."""
    body = _FIXED_FIELDS.pack(sequence, len(header)) + header + payload
    return mac.sign(key, body) + body


def encode(
    frame: Frame, key: bytes, sequence: int = 0, payload: bytes = b""
) -> bytes:
    """Encode and sign a frame."""
    return sign_frame(key, sequence, encode_header(frame), payload)


def decode(data: bytes, keys: tuple[bytes, ...]) -> tuple[Frame, int, bytes]:
    """Verify and decode a frame; return frame, sequence and payload.

    :raises errors.InvalidFrame: with the reason under which the frame is
        counted.
    """
    if len(data) < HEADER_START:
        raise errors.InvalidFrame("frame_truncated")
    if not mac.verify(keys, data[: mac.MAC_BYTES], data[mac.MAC_BYTES :]):
        raise errors.InvalidFrame("frame_mac")
    sequence, length = _FIXED_FIELDS.unpack_from(data, mac.MAC_BYTES)
    end = HEADER_START + length
    if len(data) < end:
        raise errors.InvalidFrame("frame_truncated")
    frame = _decode_header(data[HEADER_START:end])
    return frame, sequence, data[end:]


def _unpack_flow_block(
    block: bytes,
) -> tuple[address.Address, address.Address]:
    caller, service, caller_port, service_port = _FLOW_BLOCK.unpack(block)
    return (
        address.Address(socket.inet_ntoa(service), service_port),
        address.Address(socket.inet_ntoa(caller), caller_port),
    )


def _decode_header(header: bytes) -> Frame:
    try:
        values = cbor2.loads(header)
        frame_class = _CLASS_BY_KIND[values[0]]
        names = _FIELD_NAMES_BY_CLASS[frame_class]
        flow = (
            _unpack_flow_block(values.pop()) if frame_class is Forward else ()
        )
        if len(values) != len(names) + 1:
            raise errors.InvalidFrame("frame_fields")
        for index, name in enumerate(names, 1):
            values[index] = _DECODER_BY_FIELD[name](values[index])
        fields = dict(zip(names, values[1:], strict=True))
        fields.update(zip(_FLOW_FIELDS, flow, strict=False))
        return frame_class(**fields)
    except errors.InvalidFrame:
        raise
    except Exception as error:
        raise errors.InvalidFrame("frame_header", str(error)) from error

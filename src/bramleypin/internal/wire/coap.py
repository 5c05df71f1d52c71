"""CoAP messages (RFC 7252), based on aiocoap, and private options."""

import enum
import random as random_module

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
from aiocoap.numbers import types
from aiocoap import optiontypes

from bramleypin import errors

ECHO = 252  # RFC 9175; carries the pin
REQUEST_TAG = 292  # RFC 9175; identifies the body that a block belongs to
DEADLINE = 65000  # elective, uint, remaining time in milliseconds
CANCEL = 65001  # critical, empty
OUTCOME = 65008  # elective, uint, see Outcome

CON = types.CON
NON = types.NON
ACK = types.ACK
RST = types.RST

IDEMPOTENT_METHODS = frozenset(("GET", "PUT", "DELETE", "FETCH", "iPATCH"))

# Transmission parameters (RFC 7252, section 4.8) of callers, of agents and of
# the traffic between an agent and its endpoint.
ACK_TIMEOUT_S = 2.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4

# The maximum time that a caller waits for an answer. An agent may answer "not
# run" to a copy whose record has expired, because no caller waits for it any
# more. Callers and agents must therefore use the same value.
MAX_DEADLINE_S = 120.0

_PAYLOAD_MARKER = 0xFF
_HEADER_BYTES = 4

Message = aiocoap.Message


class Outcome(enum.IntEnum):
    """The outcome of a request; an endpoint's own answer carries none.

    A request with the outcome ``UNKNOWN`` may have run.
    """

    NOT_RUN = 1
    UNKNOWN = 2
    INVALID = 3


def decode(data: bytes) -> Message:
    """Decode a datagram.

    :raises errors.InvalidFrame: when it is no CoAP message.
    """
    try:
        return Message.decode(data)
    except Exception as error:
        raise errors.InvalidFrame("coap_format", str(error)) from error


def encode(message: Message) -> bytes:
    """Encode a message; its type, code and message id must be set."""
    return message.encode()


def message(
    message_type: types.Type,
    code: int,
    message_id: int,
    token: bytes = b"",
    payload: bytes = b"",
) -> Message:
    """Build a message; ``message_id`` is 0 to 65,535."""
    return Message(
        code=code,
        _mtype=message_type,
        _mid=message_id,
        _token=token,
        payload=payload,
    )


def first_timeout_s(random: random_module.Random) -> float:
    """Return a random time in seconds until the first retransmission."""
    return ACK_TIMEOUT_S * random.uniform(1.0, ACK_RANDOM_FACTOR)


def method_name(code: int) -> str:
    """Return the name of a request code, for example ``"GET"``."""
    return codes.Code(code).name


def method_code(name: str) -> int:
    """Return the request code of a method, for example ``"iPATCH"``."""
    return int(getattr(codes, name))


def has_more(msg: Message) -> bool:
    """Return whether further blocks of an answer follow (RFC 7959)."""
    block = msg.opt.block2
    return block is not None and block.more


def is_request(code: int) -> bool:
    """Return whether a code is a method, 0.01 to 0.31."""
    return 1 <= code <= 31


def option(msg: Message, number: int) -> bytes | None:
    """Return the raw value of an option, or ``None`` if it is absent."""
    for entry in msg.opt.get_option(optionnumbers.OptionNumber(number)):
        return entry.encode()
    return None


def uint_option(msg: Message, number: int) -> int | None:
    """Return an option's value as an unsigned integer, or ``None``."""
    value = option(msg, number)
    return None if value is None else int.from_bytes(value, "big")


def set_option(msg: Message, number: int, value: bytes) -> None:
    """Set an option to a raw value, replacing any existing value."""
    key = optionnumbers.OptionNumber(number)
    msg.opt.delete_option(key)
    msg.opt.add_option(optiontypes.OpaqueOption(key, value))


def set_uint_option(msg: Message, number: int, value: int) -> None:
    """Set an option to an unsigned integer in its shortest form."""
    size = (value.bit_length() + 7) // 8
    set_option(msg, number, value.to_bytes(size, "big"))


def outcome(msg: Message) -> Outcome | None:
    """Return the outcome option of an answer, or ``None``.

    An option value that is not an ``Outcome`` is ignored.
    """
    value = uint_option(msg, OUTCOME)
    try:
        return None if value is None else Outcome(value)
    except ValueError:
        return None


def scan_option(data: bytes, target_number: int) -> bytes | None:
    """Return an option's raw value without decoding the whole datagram.

    The balancer uses this to find the pin, because a full decode costs about
    ten times as much.

    :raises errors.InvalidFrame: when the datagram is no CoAP message.
    """
    if len(data) < _HEADER_BYTES or data[0] >> 6 != 1:
        raise errors.InvalidFrame("coap_format")
    position = _HEADER_BYTES + (data[0] & 0x0F)
    number = 0
    try:
        while position < len(data) and data[position] != _PAYLOAD_MARKER:
            option_header = data[position]
            position += 1
            delta, position = _read_extended(
                option_header >> 4, data, position
            )
            length, position = _read_extended(
                option_header & 0x0F, data, position
            )
            number += delta
            if position + length > len(data):
                raise errors.InvalidFrame("coap_format")
            if number == target_number:
                return data[position : position + length]
            if number > target_number:
                return None
            position += length
    except IndexError as error:
        raise errors.InvalidFrame("coap_format") from error
    return None


def _read_extended(nibble: int, data: bytes, position: int) -> tuple[int, int]:
    """Return an option delta or length and the position after it."""
    if nibble < 13:
        return nibble, position
    if nibble == 13:
        return data[position] + 13, position + 1
    if nibble == 14:
        value = int.from_bytes(data[position : position + 2], "big")
        return value + 269, position + 2
    raise errors.InvalidFrame("coap_format")


def outcome_answer(
    request: Message,
    code: int,
    result: Outcome,
    reason: str,
    pin: bytes = b"",
    max_age_s: int | None = None,
) -> Message:
    """Build an answer with an outcome, in place of an endpoint's answer.

    ``reason`` is the diagnostic payload (RFC 7252, section 5.5.2) and
    ``max_age_s`` the time in seconds that the caller should wait before it
    tries again.
    """
    message_type = ACK if request.mtype == CON else NON
    answer = message(
        message_type, code, request.mid, request.token, reason.encode()
    )
    set_uint_option(answer, OUTCOME, result)
    if pin:
        set_option(answer, ECHO, pin)
    if max_age_s is not None:
        answer.opt.max_age = max_age_s
    return answer


def parse_code(dotted: str) -> int:
    """Return the number of a code in dotted form, for example ``"5.03"``."""
    major, _, minor = dotted.partition(".")
    return int(major) * 32 + int(minor)


CONTENT = parse_code("2.05")
CHANGED = parse_code("2.04")
DELETED = parse_code("2.02")
CONTINUE = parse_code("2.31")
BAD_REQUEST = parse_code("4.00")
UNAUTHORIZED = parse_code("4.01")
BAD_OPTION = parse_code("4.02")
REQUEST_ENTITY_INCOMPLETE = parse_code("4.08")
CONFLICT = parse_code("4.09")
REQUEST_TOO_LARGE = parse_code("4.13")
SERVICE_UNAVAILABLE = parse_code("5.03")
GATEWAY_TIMEOUT = parse_code("5.04")

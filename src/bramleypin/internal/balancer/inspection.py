"""Reads the fields of CoAP datagrams that a balancer needs."""

import dataclasses

from bramleypin import errors
from bramleypin.internal.model import view as view_module
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import pin as pin_module

# CoAP option numbers (RFC 7959).
BLOCK2 = 23
BLOCK1 = 27
_CODE_OFFSET = 1
_TOKEN_OFFSET = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Inspection:
    """The code and the pin of a datagram.

    ``pin`` is ``None`` when there is no pin, or when the pin is not valid for
    the service and is ignored. ``pin_bytes`` is the encoded pin,
    and empty when ``pin`` is ``None``.
    """

    code: int
    pin: pin_module.Pin | None
    pin_bytes: bytes
    has_invalid_pin: bool


def inspect(
    datagram: bytes, service: str, keys: tuple[bytes, ...]
) -> Inspection:
    """Read a datagram's code and pin without decoding the message.

    :raises errors.InvalidFrame: when the datagram is no CoAP message.
    """
    echo = coap.scan_option(datagram, coap.ECHO)
    code = datagram[_CODE_OFFSET]
    if echo is None:
        return Inspection(code, None, b"", False)
    try:
        pin = pin_module.decode(echo, service, keys)
    except errors.InvalidPin:
        return Inspection(code, None, b"", True)
    return Inspection(code, pin, echo, False)


def token(datagram: bytes) -> bytes:
    """Return a CoAP datagram's token."""
    return datagram[_TOKEN_OFFSET : _TOKEN_OFFSET + (datagram[0] & 0x0F)]


def must_run_at_most_once(code: int, service: view_module.ServiceView) -> bool:
    """Return whether a request must not run twice.

    This also holds for requests with an unknown method.
    """
    try:
        method = coap.method_name(code)
    except ValueError:
        return True
    return method not in coap.IDEMPOTENT_METHODS or method in service.run_once


def block_number(datagram: bytes) -> int:
    """Return the higher block number of Block1 and Block2 (RFC 7959).

    :raises errors.InvalidFrame: when the datagram is no CoAP message.
    """
    values = (coap.scan_option(datagram, n) for n in (BLOCK1, BLOCK2))
    return max(int.from_bytes(value or b"", "big") >> 4 for value in values)

"""The messages that a call is made of: one, or one for each block."""

import dataclasses

from bramleypin.internal.wire import coap

BLOCK_BYTES = 1024
BLOCK_EXPONENT = 6


@dataclasses.dataclass(frozen=True)
class Part:
    """One message of a call: its body and its block options.

    A block is (number, whether more follow, size exponent), as in RFC 7959.
    """

    payload: bytes = b""
    block1: tuple[int, bool, int] | None = None
    block2: tuple[int, bool, int] | None = None
    tag: bytes = b""


def of_body(payload: bytes, number: int, more: bool, tag: bytes) -> Part:
    """Return the part that carries one block of a request's body."""
    start = number * BLOCK_BYTES
    return Part(
        payload[start : start + BLOCK_BYTES],
        block1=(number, more, BLOCK_EXPONENT),
        tag=tag,
    )


def message(
    part: Part, method: str, path: tuple[str, ...], pin: bytes
) -> coap.Message:
    """Return the request for a part; message id and token come later."""
    code = coap.method_code(method)
    request = coap.message(coap.CON, code, 0, b"", part.payload)
    request.opt.uri_path = path
    if part.block1 is not None:
        request.opt.block1 = part.block1
        coap.set_option(request, coap.REQUEST_TAG, part.tag)
    if part.block2 is not None:
        request.opt.block2 = part.block2
    if pin:
        coap.set_option(request, coap.ECHO, pin)
    return request

"""Creates the request messages of a call: one in total or one per block."""

import dataclasses

from bramleypin.internal.wire import coap

BLOCK_BYTES = 1024
# Encoded block size (RFC 7959): 2 ** (4 + 6) is 1024.
BLOCK_EXPONENT = 6


@dataclasses.dataclass(frozen=True)
class Part:
    """The payload and the block options of one request message.

    Block options are tuples of the block number, whether more blocks follow,
    and the size exponent, as in RFC 7959.
    """

    payload: bytes = b""
    block1: tuple[int, bool, int] | None = None
    block2: tuple[int, bool, int] | None = None
    request_tag: bytes = b""


def block_part(
    payload: bytes, number: int, more_follow: bool, request_tag: bytes
) -> Part:
    """Return the part for one block of a request body."""
    offset = number * BLOCK_BYTES
    return Part(
        payload[offset : offset + BLOCK_BYTES],
        block1=(number, more_follow, BLOCK_EXPONENT),
        request_tag=request_tag,
    )


def message(
    part: Part, method: str, path: tuple[str, ...], pin: bytes
) -> coap.Message:
    """Return the CoAP request for a part.

    The message layer sets the message id and the token.
    """
    code = coap.method_code(method)
    request = coap.message(coap.CON, code, 0, b"", part.payload)
    request.opt.uri_path = path
    if part.block1 is not None:
        request.opt.block1 = part.block1
        coap.set_option(request, coap.REQUEST_TAG, part.request_tag)
    if part.block2 is not None:
        request.opt.block2 = part.block2
    if pin:
        coap.set_option(request, coap.ECHO, pin)
    return request

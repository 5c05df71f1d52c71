"""Reads HTTP/1.1 responses, for all clients that use h11."""

import typing

import anyio
import anyio.abc
import h11

RECEIVE_BYTES = 65_536

# Exceptions that anyio streams and h11 raise when an exchange fails.
FAILURES = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
)


class ResponseTooLong(h11.RemoteProtocolError):
    """Raised when the body of a response exceeds its limit."""


async def read(
    connection: h11.Connection,
    stream: anyio.abc.ByteStream,
    limit_bytes: int,
    on_data: typing.Callable[[], None] | None = None,
) -> tuple[int, dict[bytes, bytes], bytes]:
    """Return the status, headers and body of one response.

    ``on_data`` is called whenever a part of the response arrives.

    :raises h11.RemoteProtocolError: when the response is malformed or ends
        early.
    :raises ResponseTooLong: when its body has more than ``limit_bytes``.
    """
    status = 0
    headers: dict[bytes, bytes] = {}
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                connection.receive_data(await stream.receive(RECEIVE_BYTES))
            except anyio.EndOfStream:
                connection.receive_data(b"")
            if on_data is not None:
                on_data()
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = dict(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > limit_bytes:
                raise ResponseTooLong(f"the body exceeds {limit_bytes} bytes")
        elif isinstance(event, h11.EndOfMessage):
            return status, headers, bytes(body)
        else:
            raise h11.RemoteProtocolError(
                "the connection was closed before the end of the response"
            )

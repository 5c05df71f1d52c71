"""A minimal HTTP/1.1 server that ignores request bodies."""

import collections.abc
import dataclasses
import inspect
import typing

import anyio
import anyio.abc
import h11

from bramleypin.internal.net import http_response
from bramleypin.internal.observe import logs

RECEIVE_BYTES = 4_096
# A connection without a request for this long is closed.
IDLE_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The status, body, content type and more headers of a response."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"
    headers: tuple[tuple[str, str], ...] = ()


PageHandler = typing.Callable[
    [bytes], Answer | collections.abc.Awaitable[Answer]
]


class HttpServer:
    """Answers each request with the result of ``page(path)``.

    The result may be awaitable. An error on a connection closes only that
    connection.
    """

    def __init__(self, page: PageHandler, log_part: str):
        self._page = page
        self._log = logs.get(log_part)

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        """Serve one connection until it is closed or idle."""
        connection = h11.Connection(h11.SERVER)
        try:
            async with stream:
                with anyio.move_on_after(IDLE_TIMEOUT_S) as scope:
                    while await self._handle_request(connection, stream):
                        scope.deadline = anyio.current_time() + IDLE_TIMEOUT_S
        except http_response.FAILURES as error:
            self._log.warn_throttled(
                "connection", "HTTP connection failed", error=repr(error)
            )
        except Exception as error:
            # One request must not end the daemon and all of its flows.
            self._log.warn_throttled(
                "request",
                "HTTP request failed with an unexpected error",
                error=repr(error)[:200],
            )

    async def _handle_request(
        self, connection: h11.Connection, stream: anyio.abc.ByteStream
    ) -> bool:
        """Answer one request; return whether another one may follow."""
        path = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive(RECEIVE_BYTES)
                except anyio.EndOfStream:
                    data = b""
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                path = event.target
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        answer = self._page(path)
        if inspect.isawaitable(answer):
            answer = await answer
        headers = [("Content-Length", str(len(answer.body))), *answer.headers]
        if answer.body:
            headers.append(("Content-Type", answer.content_type))
        response = h11.Response(status_code=answer.status, headers=headers)
        response_bytes = connection.send(response)
        if answer.body:
            response_bytes += connection.send(h11.Data(answer.body))
        await stream.send(response_bytes + connection.send(h11.EndOfMessage()))
        if connection.our_state is not h11.DONE:
            return False
        connection.start_next_cycle()
        return True

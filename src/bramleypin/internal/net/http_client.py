"""An HTTP/1.1 connection for GET requests whose responses may be slow."""

import anyio
import anyio.abc
import h11

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import http_response

# A connection that receives no data for this long is closed. The store answers
# in milliseconds; a slow store takes up to 60 times as long.
READ_TIMEOUT_S = 1.5
# A response that arrives in parts may exceed its timeout by this much. A
# listing of 1,800 routes takes 1 s on a link of 5 Mbit/s.
MAX_RESPONSE_S = 10.0
CONNECT_TIMEOUT_S = 1.0


class HttpConnection:
    """A connection to a server, opened by the first request.

    ``receiving`` is true while a response is partly received.
    """

    def __init__(self, server_address: address.Address, max_body_bytes: int):
        self._address = server_address
        self._max_body_bytes = max_body_bytes
        self._stream: anyio.abc.ByteStream | None = None
        self._connection: h11.Connection | None = None
        self.receiving = False

    async def aclose(self) -> None:
        """Close the connection; the next request opens a new one."""
        stream, self._stream, self._connection = self._stream, None, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def get(
        self, target: str, timeout_s: float
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        """Send a GET request; return the response's status, headers and body.

        The names of headers are in lower case.

        ``timeout_s`` applies to the first data. After that, each part of the
        response must arrive within ``READ_TIMEOUT_S`` of the previous one,
        and the whole of it within ``timeout_s + MAX_RESPONSE_S``.

        :raises errors.PlatformUnavailable: if there is no valid response.
        :raises errors.PlatformAnswerTooLong: if its body exceeds the limit.
        """
        path = target.partition("?")[0]
        try:
            with anyio.fail_after(timeout_s) as scope:
                end_s = scope.deadline + MAX_RESPONSE_S
                return await self._exchange(target, scope, end_s)
        except TimeoutError as error:
            await self.aclose()
            raise errors.PlatformUnavailable(
                f"{path}: no answer within {timeout_s:g} s"
            ) from error
        except http_response.ResponseTooLong as error:
            await self.aclose()
            raise errors.PlatformAnswerTooLong(f"{path}: {error}") from error
        except http_response.FAILURES as error:
            await self.aclose()
            raise errors.PlatformUnavailable(
                f"{path}: {type(error).__name__}: {error}"
            ) from error
        except BaseException:
            await self.aclose()
            raise
        finally:
            self.receiving = False

    async def _exchange(
        self, target: str, scope: anyio.CancelScope, end_s: float
    ) -> tuple[int, dict[bytes, bytes], bytes]:
        def on_data() -> None:
            self.receiving = True
            read_end_s = anyio.current_time() + READ_TIMEOUT_S
            scope.deadline = min(end_s, max(scope.deadline, read_end_s))

        if self._stream is None or self._connection is None:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                self._stream = await anyio.connect_tcp(*self._address)
            self._connection = h11.Connection(h11.CLIENT)
        stream, connection = self._stream, self._connection
        headers = [("Host", str(self._address))]
        request = h11.Request(method="GET", target=target, headers=headers)
        data = connection.send(request) + connection.send(h11.EndOfMessage())
        await stream.send(data)
        status, headers, body = await http_response.read(
            connection, stream, self._max_body_bytes, on_data
        )
        if connection.our_state is h11.DONE is connection.their_state:
            connection.start_next_cycle()
        else:
            await self.aclose()
        return status, headers, body

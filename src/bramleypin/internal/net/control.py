"""Control links over WebSocket (RFC 6455), one message a frame."""

import anyio
from websockets.asyncio import client
from websockets.asyncio import connection as connection_module
from websockets.asyncio import server
from websockets import exceptions

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.internal.wire import control

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
# Messages that may wait in a link before the sender is held back.
QUEUED_MESSAGES = 1

# Compression would keep a window of memory for each link, and the proxy of
# the process's environment variables has no place between two VMs. The
# system's own heartbeats replace the pings of the library.
_OPTIONS = {
    "compression": None,
    "max_size": control.MAX_MESSAGE_BYTES + 64,
    "max_queue": QUEUED_MESSAGES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "ping_interval": None,
}


class WebsocketLink:
    """A control link over one WebSocket connection."""

    def __init__(self, connection: connection_module.Connection):
        self._connection = connection

    async def send(self, message: bytes) -> None:
        """Send a message."""
        try:
            await self._connection.send(message)
        except exceptions.ConnectionClosed as error:
            raise errors.LinkClosed(str(error)) from error

    async def receive(self) -> bytes:
        """Wait for a message."""
        try:
            message = await self._connection.recv(decode=False)
        except exceptions.ConnectionClosed as error:
            raise errors.LinkClosed(str(error)) from error
        return bytes(message)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.close()


class WebsocketNetwork:
    """Opens and accepts control links with ``websockets``."""

    async def connect(self, to: address.Address) -> environment.ControlLink:
        """Open a link."""
        try:
            connection = await client.connect(
                f"ws://{to}/", proxy=None, user_agent_header=None, **_OPTIONS
            )
        except (
            OSError,
            TimeoutError,
            exceptions.WebSocketException,
        ) as error:
            raise errors.PeerUnreachable(f"{to}: {error}") from error
        return WebsocketLink(connection)

    async def serve(
        self, at: address.Address, handler: environment.LinkHandler
    ) -> None:
        """Accept links until cancelled, with one task for each."""

        async def handle(connection: server.ServerConnection) -> None:
            await handler(WebsocketLink(connection))

        listener = await server.serve(
            handle, at.host, at.port, server_header=None, **_OPTIONS
        )
        async with listener:
            await anyio.sleep_forever()

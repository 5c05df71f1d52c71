"""Control links over WebSocket (RFC 6455), one message per frame."""

import socket

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
# Received messages that a link buffers before backpressure stops the sender.
MAX_QUEUED_MESSAGES = 1

# Compression is off because it keeps a window in memory for each link. Pings
# are off because lease requests serve as heartbeats. The maximum size is 64
# bytes above the message limit: enough for the sequence number and the MAC,
# 8 bytes each, before the message.
_CONNECTION_OPTIONS = {
    "compression": None,
    "max_size": control.MAX_MESSAGE_BYTES + 64,
    "max_queue": MAX_QUEUED_MESSAGES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "ping_interval": None,
}


class WebsocketLink:
    """A control link over one WebSocket connection."""

    def __init__(self, connection: connection_module.Connection):
        self._connection = connection

    async def send(self, message: bytes) -> None:
        """Send a message.

        :raises errors.LinkClosed: when the connection is closed.
        """
        try:
            await self._connection.send(message)
        except exceptions.ConnectionClosed as error:
            raise errors.LinkClosed(str(error)) from error

    async def receive(self) -> bytes:
        """Wait for a message.

        :raises errors.LinkClosed: when the connection is closed.
        """
        try:
            message = await self._connection.recv(decode=False)
        except exceptions.ConnectionClosed as error:
            raise errors.LinkClosed(str(error)) from error
        return bytes(message)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._connection.close()


class WebsocketNetwork:
    """Opens and accepts control links with the ``websockets`` library."""

    async def connect(
        self, destination: address.Address
    ) -> environment.ControlLink:
        """Open a link.

        :raises errors.PeerUnreachable: when the connection fails.
        """
        try:
            # Traffic between VMs must not go through a proxy that the
            # environment variables name.
            connection = await client.connect(
                f"ws://{destination}/",
                proxy=None,
                user_agent_header=None,
                **_CONNECTION_OPTIONS,
            )
        except (
            OSError,
            TimeoutError,
            exceptions.WebSocketException,
        ) as error:
            raise errors.PeerUnreachable(f"{destination}: {error}") from error
        return WebsocketLink(connection)

    async def serve(
        self,
        local_address: address.Address,
        handler: environment.LinkHandler,
        listening_socket: socket.socket | None = None,
    ) -> None:
        """Accept links until cancelled, with one task per link.

        A listening socket that is open already is used instead of the address.
        """
        if listening_socket is None:
            listening_socket = socket.create_server(
                (local_address.host, local_address.port)
            )

        async def handle(connection: server.ServerConnection) -> None:
            await handler(WebsocketLink(connection))

        listener = await server.serve(
            handle,
            sock=listening_socket,
            server_header=None,
            **_CONNECTION_OPTIONS,
        )
        async with listener:
            await anyio.sleep_forever()

"""Control links whose library is imported when the first one is opened.

Importing the WebSocket library takes 0.1 s of processor time, and most daemons
never open a link: views are exchanged only while the store is unavailable.
"""

import socket

import anyio

from bramleypin.internal import address
from bramleypin.internal.net import environment


def _import_network() -> environment.ControlNetwork:
    from bramleypin.internal.net import control

    return control.WebsocketNetwork()


class LazyControlNetwork:
    """Opens and accepts control links, with an import on first use."""

    async def connect(
        self, destination: address.Address
    ) -> environment.ControlLink:
        """Open a link.

        :raises errors.PeerUnreachable: when the connection fails.
        """
        return await _import_network().connect(destination)

    async def serve(
        self, local_address: address.Address, handler: environment.LinkHandler
    ) -> None:
        """Accept links until cancelled, with one task per link."""
        listening_socket = socket.create_server(
            (local_address.host, local_address.port)
        )
        with listening_socket:
            listening_socket.setblocking(False)
            await anyio.wait_readable(listening_socket)
            await _import_network().serve(
                local_address, handler, listening_socket
            )

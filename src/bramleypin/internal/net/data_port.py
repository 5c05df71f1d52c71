"""The data port: one UDP port for the frames between processes."""

import functools
import typing

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram


@kernel_module.service("port", roles=("balancer", "agent"))
class DataPort(kernel_module.Service):
    """Opens ``settings.addresses.data``; the methods are the open port's."""

    address: address.Address
    send: typing.Callable[[bytes, address.Address], None]
    receive: typing.Callable[
        [], typing.Awaitable[tuple[bytes, address.Address]]
    ]
    receive_nowait: typing.Callable[[], tuple[bytes, address.Address] | None]

    async def start(self) -> None:
        """Open the port.

        The open port's methods become attributes, which saves a call for
        each datagram.
        """
        settings = self.kernel.settings.addresses
        port = await self.kernel.environment.open_datagram_port(
            settings.data_address
        )
        self._port = port
        self.address = port.address
        self.send = port.send
        self.receive = port.receive
        self.receive_nowait = port.receive_nowait
        self.send_burst = functools.partial(datagram.send_burst, port)

    async def stop(self) -> None:
        """Close the port."""
        await self._port.aclose()

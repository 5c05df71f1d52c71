"""The data port, the UDP port for frames between processes."""

import functools
import typing

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.net import datagram


@kernel_module.service("port", roles=("balancer", "agent"))
class DataPort(kernel_module.Service):
    """Owns the UDP port bound to ``settings.addresses.data``."""

    address: address.Address
    send: typing.Callable[[bytes, address.Address], None]
    receive: typing.Callable[
        [], typing.Awaitable[tuple[bytes, address.Address]]
    ]
    receive_nowait: typing.Callable[[], tuple[bytes, address.Address] | None]

    async def start(self) -> None:
        """Open the port.

        The methods of the open port become attributes of this service, which
        saves a method call per datagram.
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

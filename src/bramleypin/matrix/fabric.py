"""A fabric that sprays the datagrams of callers over the balancers."""

import functools
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal.wire import proxy_header


class Fabric:
    """Owns the service addresses and knows the balancers' ingress ports.

    It has no memory of flows: each datagram goes to any balancer. Answers
    leave from the service address, as the caller expects.
    """

    def __init__(self, process: typing.Any, at: address.Address):
        self.process = process
        self.address = at
        self.targets: dict[str, address.Address] = {}
        self.service_addresses: list[address.Address] = []
        self._port_by_service_address: dict[address.Address, typing.Any] = {}
        self._inner: typing.Any = None

    async def run(self) -> None:
        """Forward both ways until cancelled."""
        self._inner = await self.process.open_datagram_port(self.address)
        async with anyio.create_task_group() as tasks:
            for item in self.service_addresses:
                port = await self.process.open_datagram_port(item)
                self._port_by_service_address[item] = port
                tasks.start_soon(functools.partial(self._inward, port, item))
            await self._outward()

    async def _inward(self, port: typing.Any, at: address.Address) -> None:
        while True:
            data, caller = await port.receive()
            names = sorted(self.targets)
            if names:
                name = self.process.random.choice(names)
                header = proxy_header.encode(caller, at)
                self._inner.send(header + data, self.targets[name])

    async def _outward(self) -> None:
        while True:
            data, _ = await self._inner.receive()
            service_address, caller = proxy_header.decode(data)
            port = self._port_by_service_address.get(service_address)
            if port is not None:
                port.send(data[proxy_header.HEADER_BYTES :], caller)

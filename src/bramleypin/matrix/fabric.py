"""A network fabric that spreads callers' datagrams over the balancers."""

import functools
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal.wire import proxy_header


class Fabric:
    """Binds the service addresses and forwards to the balancers' ingress.

    The fabric is stateless: each datagram goes to a random balancer,
    regardless of its flow. Answers are sent from the service address, as the
    caller expects.
    """

    def __init__(
        self, process: typing.Any, balancer_side_address: address.Address
    ):
        self.process = process
        self.address = balancer_side_address
        self.ingress_by_balancer: dict[str, address.Address] = {}
        self.service_addresses: list[address.Address] = []
        self._port_by_service_address: dict[address.Address, typing.Any] = {}
        self._balancer_port: typing.Any = None

    async def run(self) -> None:
        """Forward in both directions until cancelled."""
        self._balancer_port = await self.process.open_datagram_port(
            self.address
        )
        async with anyio.create_task_group() as tasks:
            for item in self.service_addresses:
                port = await self.process.open_datagram_port(item)
                self._port_by_service_address[item] = port
                tasks.start_soon(
                    functools.partial(self._forward_to_balancers, port, item)
                )
            await self._forward_to_callers()

    async def _forward_to_balancers(
        self, port: typing.Any, service_address: address.Address
    ) -> None:
        while True:
            data, caller = await port.receive()
            names = sorted(self.ingress_by_balancer)
            if names:
                name = self.process.random.choice(names)
                header = proxy_header.encode(caller, service_address)
                self._balancer_port.send(
                    header + data, self.ingress_by_balancer[name]
                )

    async def _forward_to_callers(self) -> None:
        while True:
            data, _ = await self._balancer_port.receive()
            service_address, caller = proxy_header.decode(data)
            port = self._port_by_service_address.get(service_address)
            if port is not None:
                port.send(data[proxy_header.HEADER_BYTES :], caller)

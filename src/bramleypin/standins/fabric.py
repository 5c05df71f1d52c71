"""A simulated fabric that distributes datagrams over the balancers."""

import random
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.internal.wire import proxy_header


class Fabric:
    """Forwards between service addresses and balancers with PROXY headers.

    The headers have version 2 of the PROXY protocol. ``balancers`` may be
    changed at any time. Tests replace ``drop`` to lose datagrams and
    ``choose_balancer`` to select the balancer of each datagram.
    """

    def __init__(
        self,
        env: environment.Environment,
        service_addresses: list[address.Address],
        balancer_side_address: address.Address,
        balancers: list[address.Address],
        rng: random.Random,
    ):
        self._environment = env
        self._service_addresses = service_addresses
        self._balancer_side_address = balancer_side_address
        self.balancers = balancers
        self.choose_balancer: typing.Callable[[list], address.Address] = (
            rng.choice
        )
        self.drop: typing.Callable[[], bool] = lambda: False
        self.ready = anyio.Event()
        self.forwarded_count = 0
        self.returned = 0
        self.undeliverable = 0
        self._port_by_service: dict[
            address.Address, environment.DatagramPort
        ] = {}

    async def run(self) -> None:
        """Forward datagrams in both directions until cancelled."""
        open_port = self._environment.open_datagram_port
        self._balancer_port = await open_port(self._balancer_side_address)
        try:
            for item in self._service_addresses:
                port = await open_port(item)
                self._port_by_service[port.address] = port
            async with anyio.create_task_group() as tasks:
                for port in self._port_by_service.values():
                    tasks.start_soon(self._forward_to_balancers, port)
                tasks.start_soon(self._return_answers)
                self.ready.set()
        finally:
            with anyio.CancelScope(shield=True):
                for port in (
                    self._balancer_port,
                    *self._port_by_service.values(),
                ):
                    await port.aclose()

    @property
    def service_addresses(self) -> list[address.Address]:
        """Service addresses whose ports are open."""
        return list(self._port_by_service)

    async def _forward_to_balancers(
        self, port: environment.DatagramPort
    ) -> None:
        while True:
            try:
                data, caller = await port.receive()
            except errors.PortClosed:
                return
            if not self.balancers or self.drop():
                continue
            header = proxy_header.encode(
                address.Address(*caller), port.address
            )
            self._balancer_port.send(
                header + data, self.choose_balancer(self.balancers)
            )
            self.forwarded_count += 1

    async def _return_answers(self) -> None:
        while True:
            try:
                data, _ = await self._balancer_port.receive()
                source, caller = proxy_header.decode(data)
            except errors.PortClosed:
                return
            except errors.InvalidFrame:
                self.undeliverable += 1
                continue
            port = self._port_by_service.get(source)
            if port is None:
                self.undeliverable += 1
            elif not self.drop():
                port.send(data[proxy_header.HEADER_BYTES :], caller)
                self.returned += 1

"""An in-memory network of processes under a virtual clock.

It implements the interfaces of ``internal/net/environment.py``. A test can
lose, duplicate, reorder and delay datagrams, partition the network, and kill,
pause and wake processes. All random choices derive from one seed.

The network must run under trio with
``trio.testing.MockClock(autojump_threshold=0)``; ``run`` at the end of this
module sets this up.
"""

import collections.abc
import dataclasses
import functools
import itertools
import random
import typing

import anyio
import trio.testing

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.standins import virtual_ports
from bramleypin.standins import virtual_process
from bramleypin.standins import virtual_schedule

SAME_HOST_LATENCY_S = 0.00005
FIRST_EPHEMERAL_PORT = 49_152


@dataclasses.dataclass(slots=True)
class Packet:
    """A datagram in the network, as passed to hooks and rules.

    ``receiver`` is the process that has the destination address, or ``None``.
    """

    sent_s: float
    source: address.Address
    destination: address.Address
    sender: "virtual_process.Process"
    receiver: "virtual_process.Process | None"
    data: bytes


PacketHook = typing.Callable[[Packet], None]
PacketFilter = typing.Callable[[Packet], bool]


@dataclasses.dataclass
class Rule:
    """A fault that is injected into selected datagrams.

    ``match`` selects datagrams. ``loss`` and ``duplicate`` are probabilities.
    ``delay_s`` is added to the latency, and up to ``jitter_s`` more at
    random, which reorders datagrams. ``remaining`` is the number of
    datagrams that the rule still applies to, or ``None`` for no limit.
    """

    match: PacketFilter
    loss: float = 0.0
    duplicate: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0
    remaining: int | None = None

    def delays(self, packet: Packet, rng: random.Random) -> list[float] | None:
        """Return an extra delay in seconds for each copy to deliver.

        An empty list loses the datagram; ``None`` means that the rule does
        not apply to it.
        """
        if self.remaining == 0 or not self.match(packet):
            return None
        if self.remaining is not None:
            self.remaining -= 1
        if rng.random() < self.loss:
            return []
        copies = 2 if rng.random() < self.duplicate else 1
        return [
            self.delay_s + rng.random() * self.jitter_s for _ in range(copies)
        ]


@dataclasses.dataclass(frozen=True)
class Partition:
    """Blocks traffic from one set of failure domains to another.

    With ``both_ways``, it also blocks traffic in the opposite direction.
    """

    sources: frozenset[str]
    destinations: frozenset[str]
    both_ways: bool = True

    def cuts(self, source: str, destination: str) -> bool:
        """Return whether the partition blocks a path between two domains."""
        forward = source in self.sources and destination in self.destinations
        if not self.both_ways:
            return forward
        backward = source in self.destinations and destination in self.sources
        return forward or backward


class VirtualNetwork:
    """Processes, their bound ports and the network paths between them.

    ``latency_s`` is the one-way latency between hosts;
    ``latency_by_pair`` overrides it for pairs of failure domains.
    """

    def __init__(self, seed: int = 0, latency_s: float = 0.001):
        self.seed = seed
        self.random = random.Random(f"network {seed}")
        self.latency_s = latency_s
        self.latency_by_pair: dict[tuple[str, str], float] = {}
        self.process_by_name: dict[str, virtual_process.Process] = {}
        self.port_by_address: dict[
            address.Address, virtual_ports.BoundPort
        ] = {}
        self.listener_by_address: dict[address.Address, typing.Any] = {}
        self.rules: list[Rule] = []
        self.partitions: list[Partition] = []
        self.on_send: list[PacketHook] = []
        self.on_delivery: list[PacketHook] = []
        self.links: list[typing.Any] = []
        self.schedule = virtual_schedule.Schedule()
        self.pause_instrument = virtual_process.PauseInstrument()
        self._ephemeral_ports = itertools.count(FIRST_EPHEMERAL_PORT)

    def process(
        self, name: str, host: str, failure_domain: str = "outside"
    ) -> "virtual_process.Process":
        """Return a new process on a host.

        A process with the name of an ended one counts as its restart.

        :raises errors.UnknownName: when a live process has this name.
        """
        previous = self.process_by_name.get(name)
        if previous is not None and previous.alive:
            raise errors.UnknownName("free process name", name, ["another"])
        restart_count = 0 if previous is None else previous.restart_count + 1
        new_process = virtual_process.Process(self, name, host, failure_domain)
        new_process.restart_count = restart_count
        new_process.random = random.Random(
            f"{name} {restart_count} {self.seed}"
        )
        self.process_by_name[name] = new_process
        return new_process

    async def run(self) -> None:
        """Deliver datagrams until cancelled; run it in its own task."""
        trio.lowlevel.add_instrument(self.pause_instrument)
        try:
            await self.schedule.run()
        finally:
            self.pause_instrument.release()
            trio.lowlevel.remove_instrument(self.pause_instrument)

    # Paths

    def path_latency_s(
        self,
        source: "virtual_process.Process",
        destination: "virtual_process.Process | None",
    ) -> float:
        """Return the one-way latency between two processes in seconds."""
        if destination is None:
            return self.latency_s
        if source.host == destination.host:
            return SAME_HOST_LATENCY_S
        domain_pair = (source.failure_domain, destination.failure_domain)
        default = self.latency_by_pair.get(domain_pair[::-1], self.latency_s)
        return self.latency_by_pair.get(domain_pair, default)

    def is_cut(
        self,
        source: "virtual_process.Process",
        destination: "virtual_process.Process | None",
    ) -> bool:
        """Return whether a partition blocks traffic between two processes."""
        if destination is None or source.host == destination.host:
            return False
        domain_pair = (source.failure_domain, destination.failure_domain)
        return any(item.cuts(*domain_pair) for item in self.partitions)

    def partition(
        self,
        sources: collections.abc.Iterable[str],
        destinations: collections.abc.Iterable[str],
        both_ways: bool = True,
    ) -> Partition:
        """Block traffic between failure domains until ``heal``.

        Datagrams across a partition are lost; control links stall.
        """
        new_partition = Partition(
            frozenset(sources), frozenset(destinations), both_ways
        )
        self.partitions.append(new_partition)
        return new_partition

    def heal(self, partition: Partition | None = None) -> None:
        """Remove one or all partitions and resume stalled links."""
        if partition is None:
            self.partitions.clear()
        elif partition in self.partitions:
            self.partitions.remove(partition)
        for link in list(self.links):
            link.resume()

    def add_rule(self, rule: Rule) -> Rule:
        """Apply a rule to all datagrams that are sent afterwards."""
        self.rules.append(rule)
        return rule

    def remove_rule(self, rule: Rule) -> None:
        """Remove a rule; a rule that was not added is ignored."""
        if rule in self.rules:
            self.rules.remove(rule)

    # Datagrams

    def bind(
        self, port: "virtual_ports.BoundPort", local_address: address.Address
    ) -> address.Address:
        """Bind a port to an address; port number 0 selects a free one.

        :raises OSError: when the address is in use.
        """
        if local_address.port == 0:
            local_address = address.Address(
                local_address.host, next(self._ephemeral_ports)
            )
        if local_address in self.port_by_address:
            raise OSError(f"address {local_address} is in use")
        self.port_by_address[local_address] = port
        return local_address

    def unbind(self, port: "virtual_ports.BoundPort") -> None:
        """Release a port's address."""
        if self.port_by_address.get(port.address) is port:
            del self.port_by_address[port.address]

    def send(
        self,
        sender: "virtual_process.Process",
        source: address.Address,
        destination: address.Address,
        data: bytes,
    ) -> None:
        """Schedule a datagram's delivery, unless a fault loses it."""
        if not sender.alive:
            return
        bound_port = self.port_by_address.get(destination)
        receiver = None if bound_port is None else bound_port.process
        packet = Packet(
            anyio.current_time(), source, destination, sender, receiver, data
        )
        for hook in list(self.on_send):
            hook(packet)
        if self.is_cut(sender, receiver):
            return
        latency_s = self.path_latency_s(sender, receiver)
        for extra_s in self._delays(packet):
            due_s = packet.sent_s + latency_s + extra_s
            self.schedule.call_at(
                due_s, functools.partial(self._deliver, packet)
            )

    def _delays(self, packet: Packet) -> list[float]:
        delays = [0.0]
        for rule in list(self.rules):
            extra_delays = rule.delays(packet, self.random)
            if extra_delays is not None:
                delays = [
                    delay + extra for delay in delays for extra in extra_delays
                ]
        return delays

    def _deliver(self, packet: Packet) -> None:
        bound_port = self.port_by_address.get(packet.destination)
        if bound_port is None:
            self._report_closed_port(packet)
            return
        packet.receiver = bound_port.process
        for hook in list(self.on_delivery):
            hook(packet)
        bound_port.buffer(packet.data, packet.source)

    def _report_closed_port(self, packet: Packet) -> None:
        """Report a closed destination port to a connected sender."""
        source = self.port_by_address.get(packet.source)
        if source is not None and source.remote == packet.destination:
            delay_s = self.path_latency_s(packet.sender, None)
            if source.remote.host == source.address.host:
                delay_s = SAME_HOST_LATENCY_S
            due_s = anyio.current_time() + delay_s
            self.schedule.call_at(due_s, source.mark_refused)


def run(
    main: typing.Callable[[], typing.Awaitable[typing.Any]], seed: int = 0
):
    """Run ``main`` under a virtual clock, reproducibly for each seed.

    trio runs tasks that are ready at the same time in random order, so its
    random generator is seeded here.
    """
    # trio has no public interface for a deterministic task order. Hypothesis
    # and pytest-trio use the same two private names as the code below.
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})

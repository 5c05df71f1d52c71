"""Simulated callers of stream flows."""

import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.stream import segment
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_endpoint
from bramleypin.standins import virtual_process

# Times at which a caller sends its opening packet until it gets an answer, and
# the timeout after which the request ends as ``silence``, both in seconds from
# the start of the request.
OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMIT_INTERVAL_S = 0.2
# Distance between the initial sequence numbers of flows that use a port one
# after the other.
SEQUENCE_STEP = 1 << 26
MAX_RETRANSMIT_INTERVAL_S = 1.6
SEQUENCE_MASK = 0xFFFFFFFF
REQUEST_START = b"request "


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a request: ``answered``, ``reset`` or ``silence``."""

    kind: str
    seconds: float


class StreamCaller:
    """Sends requests, each in its own flow, through the balancers.

    ``balancers`` returns the ingress addresses of the balancers that get
    traffic; each flow uses one of them.
    """

    def __init__(self, process: virtual_process.Process, port: int, balancers):
        self.process = process
        self._local_address = address.Address(process.host, port)
        self._balancers = balancers
        self._codec = stream_codec.TestCodec()
        self._next_port = 1_024
        self._flow_count_by_port: dict[int, int] = {}
        self._inbox_by_port: dict[int, list[segment.Segment]] = {}
        self._event_by_port: dict[int, anyio.Event] = {}

    async def run(self) -> None:
        """Receive until cancelled."""
        self._port = await self.process.open_datagram_port(self._local_address)
        while True:
            data, _ = await self._port.receive()
            packet = self._codec.decode(data)
            if packet is None:
                continue
            port = packet.destination[1]
            if port in self._inbox_by_port:
                self._inbox_by_port[port].append(packet)
                self._event_by_port[port].set()

    async def send_opening(self, service_address: tuple[int, int]) -> None:
        """Send the opening packet of a flow that is not continued."""
        self._next_port += 1
        source = (segment.ipv4_to_int(self.process.host), self._next_port)
        self.send(source, service_address, stream_codec.SYN, 0, 0)

    async def request(
        self,
        service_address: tuple[int, int],
        budget_s: float = 1.5,
        pause_s: float = 0.0,
        port: int = 0,
    ) -> Outcome:
        """Send one request and wait up to ``budget_s`` for its outcome.

        With ``pause_s``, the request is sent as two packets with this pause
        between them. With ``port``, the flow uses that port, which may have
        been in use before, and is closed by both ends.
        """
        closes_flow = bool(port)
        port = self._begin_flow(port)
        started_s = anyio.current_time()
        kind = "silence"
        source = (segment.ipv4_to_int(self.process.host), port)
        with anyio.move_on_after(budget_s):
            kind = await self._run_request(
                source, service_address, pause_s, closes_flow
            )
        del self._inbox_by_port[port]
        return Outcome(kind, anyio.current_time() - started_s)

    def _begin_flow(self, port: int) -> int:
        """Return the port of a new flow: the given or, for 0, the next one."""
        if not port:
            self._next_port += 1
            port = self._next_port
        self._flow_count_by_port[port] = (
            self._flow_count_by_port.get(port, 0) + 1
        )
        self._inbox_by_port[port] = []
        self._event_by_port[port] = anyio.Event()
        return port

    def _initial_sequence(self, port: int) -> int:
        """Return the initial sequence number of a port's latest flow."""
        return (self._flow_count_by_port.get(port, 1) - 1) * SEQUENCE_STEP

    async def _open(self, source, service_address) -> segment.Segment | None:
        """Send openings; return the first answer, or ``None`` without one."""
        started_s = anyio.current_time()
        for count, at_s in enumerate(OPENING_SEND_TIMES_S):
            self.send(source, service_address, stream_codec.SYN, 0, count)
            wait_end_s = (*OPENING_SEND_TIMES_S[1:], OPENING_TIMEOUT_S)[count]
            packet = await self.wait_for_packet(
                source[1], started_s + wait_end_s
            )
            if packet is not None:
                return packet
        return None

    async def _run_request(
        self, source, service_address, pause_s, closes_flow
    ) -> str:
        packet = await self._open(source, service_address)
        if packet is None:
            return "silence"
        if packet.rst:
            return "reset"
        acknowledged = packet.sequence + 1
        if pause_s:
            flags = stream_codec.ACK
            self.send(
                source, service_address, flags, 1, acknowledged, REQUEST_START
            )
            await anyio.sleep(pause_s)
        while True:
            flags = stream_codec.ACK
            self.send(
                source,
                service_address,
                flags,
                1,
                acknowledged,
                stream_endpoint.REQUEST_END,
            )
            until_s = anyio.current_time() + RETRANSMIT_INTERVAL_S
            packet = await self.wait_for_packet(
                source[1], until_s, answers_only=True
            )
            if packet is None:
                continue
            if packet.rst:
                return "reset"
            if closes_flow:
                flags = stream_codec.ACK | stream_codec.FIN
                end = packet.sequence + packet.data_bytes + 1
                self.send(source, service_address, flags, 1, end)
            return "answered"

    async def wait_for_packet(
        self, port: int, until_s: float, answers_only: bool = False
    ) -> segment.Segment | None:
        """Return the next packet to a port; ``None`` at ``until_s``."""
        with anyio.move_on_after(until_s - anyio.current_time()):
            while True:
                for packet in self._inbox_by_port[port]:
                    if packet.rst or packet.data_bytes or not answers_only:
                        self._inbox_by_port[port].clear()
                        return packet
                self._event_by_port[port] = anyio.Event()
                await self._event_by_port[port].wait()
        return None

    async def open_kept_flow(
        self, service_address: tuple[int, int], port: int = 0
    ) -> "KeptFlow | None":
        """Open a flow for several requests; ``None`` if none is accepted.

        ``port`` is as in ``request``.
        """
        port = self._begin_flow(port)
        source = (segment.ipv4_to_int(self.process.host), port)
        answer = await self._open(source, service_address)
        if answer is None or answer.rst:
            return None
        kept_flow = KeptFlow(self, source, service_address, answer.sequence)
        kept_flow.acknowledge()
        return kept_flow

    def send(
        self, source, service_address, flags, sequence, acknowledged, data=b""
    ) -> None:
        """Send one packet through the balancer that the fabric chooses.

        ``sequence`` counts from the flow's initial sequence number.
        """
        sequence += self._initial_sequence(source[1])
        raw = stream_codec.encode(
            source,
            service_address,
            flags,
            sequence,
            acknowledged & SEQUENCE_MASK,
            data,
        )
        balancers = self._balancers()
        if balancers:
            ingress_address = balancers[
                hash((source, service_address)) % len(balancers)
            ]
            self._port.send(raw, ingress_address)


class KeptFlow:
    """An open flow on which a caller sends one request after another.

    ``answers`` are the payloads of the endpoint's data packets, in order.
    """

    def __init__(
        self,
        caller: StreamCaller,
        source: tuple[int, int],
        service_address: tuple[int, int],
        endpoint_sequence: int,
    ):
        self.flow = segment.Flow(*source, *service_address)
        self.answers: list[bytes] = []
        self._caller = caller
        self._position = 1
        self._acknowledged = endpoint_sequence + 1

    def acknowledge(self) -> None:
        """Send a packet without data."""
        self.send(b"")

    def finish(self) -> None:
        """Send a FIN after the data."""
        self.send(b"", stream_codec.ACK | stream_codec.FIN)

    async def request(self, budget_s: float = 4.0) -> Outcome:
        """Send one request and wait up to ``budget_s`` for its outcome."""
        started_s = anyio.current_time()
        kind = "silence"
        data = REQUEST_START + stream_endpoint.REQUEST_END
        with anyio.move_on_after(budget_s):
            kind = await self._exchange(data)
        self._position += len(data)
        return Outcome(kind, anyio.current_time() - started_s)

    async def _exchange(self, data: bytes) -> str:
        interval_s = RETRANSMIT_INTERVAL_S
        while True:
            self.send(data)
            until_s = anyio.current_time() + interval_s
            interval_s = min(MAX_RETRANSMIT_INTERVAL_S, 2 * interval_s)
            packet = await self._caller.wait_for_packet(
                self.flow.caller_port, until_s, answers_only=True
            )
            if packet is None:
                continue
            if packet.rst:
                return "reset"
            self.answers.append(packet.raw[-packet.data_bytes :])
            self._acknowledged = packet.sequence + packet.data_bytes
            self.acknowledge()
            return "answered"

    def send(self, data: bytes, flags: int = stream_codec.ACK) -> None:
        """Send a packet at the position of the next request."""
        self._caller.send(
            self.flow[:2],
            self.flow[2:],
            flags,
            self._position,
            self._acknowledged,
            data,
        )

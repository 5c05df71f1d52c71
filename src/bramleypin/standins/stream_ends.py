"""Simulated callers and endpoints of stream flows."""

import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.stream import segment
from bramleypin.standins import stream_codec
from bramleypin.standins import virtual_process

# Times at which a caller sends its opening packet until it gets an answer, and
# the timeout after which the request ends as ``silence``, both in seconds from
# the start of the request.
OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMIT_INTERVAL_S = 0.2
SEQUENCE_MASK = 0xFFFFFFFF
REQUEST_START = b"request "
REQUEST_END = b"end"


@dataclasses.dataclass(frozen=True)
class FlowEvent:
    """The time at which an endpoint accepted a flow or began its request."""

    flow: segment.Flow
    at_s: float


class StreamEndpoint:
    """An endpoint that answers one request per flow and closes the flow.

    While ``silent`` is set, it drops all packets, like a machine that has
    lost power.
    """

    def __init__(
        self,
        process: virtual_process.Process,
        local_address: address.Address,
        outbound: address.Address,
        slots: int = 5,
        work_s: float = 0.05,
    ):
        self.process = process
        self.local_address = local_address
        self.outbound = outbound
        self.slots = slots
        self.work_s = work_s
        self.silent = False
        self.runs: list[FlowEvent] = []
        self.openings: list[FlowEvent] = []
        self.bounced_packets = 0
        self._codec = stream_codec.TestCodec()
        self._sequence_by_flow: dict[segment.Flow, int] = {}
        self._flows_with_request: set[segment.Flow] = set()
        self._free_slots = anyio.Semaphore(slots)

    def crash(self) -> None:
        """Discard the state of all flows."""
        self._sequence_by_flow.clear()
        self._flows_with_request.clear()

    async def run(self) -> None:
        """Serve until cancelled."""
        self._port = await self.process.open_datagram_port(self.local_address)
        async with anyio.create_task_group() as tasks:
            while True:
                data, _ = await self._port.receive()
                packet = self._codec.decode(data)
                if packet is not None and not self.silent:
                    self._handle_packet(tasks, packet)

    def _handle_packet(self, tasks, packet: segment.Segment) -> None:
        flow = packet.flow_from_caller()
        if packet.opening:
            initial_sequence = self._sequence_by_flow.get(flow)
            if initial_sequence is None:
                initial_sequence = self.process.random.getrandbits(32)
                self._sequence_by_flow[flow] = initial_sequence
                self.openings.append(FlowEvent(flow, anyio.current_time()))
            flags = stream_codec.SYN | stream_codec.ACK
            self._send(flow, flags, initial_sequence, packet.sequence + 1)
            return
        sequence = self._sequence_by_flow.get(flow)
        acknowledges_opening = sequence is not None and (
            packet.acknowledged == (sequence + 1) & SEQUENCE_MASK
        )
        if not acknowledges_opening:
            self.bounced_packets += 1
            raw = bytearray(packet.raw)
            raw[stream_codec.FLAGS_OFFSET] |= stream_codec.BOUNCED
            self._port.send(bytes(raw), self.outbound)
        elif (
            packet.raw.endswith(REQUEST_END)
            and flow not in self._flows_with_request
        ):
            self._flows_with_request.add(flow)
            tasks.start_soon(self._serve_request, flow, packet.sequence)

    async def _serve_request(self, flow: segment.Flow, sequence: int) -> None:
        async with self._free_slots:
            self.runs.append(FlowEvent(flow, anyio.current_time()))
            await anyio.sleep(self.work_s)
        own_sequence = self._sequence_by_flow.get(flow)
        if own_sequence is not None and not self.silent:
            flags = stream_codec.ACK | stream_codec.FIN
            self._send(flow, flags, own_sequence + 1, sequence, b"answer")

    def _send(
        self,
        flow: segment.Flow,
        flags: int,
        sequence: int,
        acknowledged: int,
        data: bytes = b"",
    ) -> None:
        raw = stream_codec.encode(
            (flow.service_host, flow.service_port),
            (flow.caller_host, flow.caller_port),
            flags,
            sequence & SEQUENCE_MASK,
            acknowledged & SEQUENCE_MASK,
            data,
        )
        self._port.send(raw, self.outbound)


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
        self._send(source, service_address, stream_codec.SYN, 0, 0)

    async def request(
        self,
        service_address: tuple[int, int],
        budget_s: float = 1.5,
        pause_s: float = 0.0,
    ) -> Outcome:
        """Send one request and wait up to ``budget_s`` for its outcome.

        With ``pause_s``, the request is sent as two packets with this pause
        between them.
        """
        self._next_port += 1
        port = self._next_port
        self._inbox_by_port[port] = []
        self._event_by_port[port] = anyio.Event()
        started_s = anyio.current_time()
        kind = "silence"
        source = (segment.ipv4_to_int(self.process.host), port)
        with anyio.move_on_after(budget_s):
            kind = await self._run_request(source, service_address, pause_s)
        del self._inbox_by_port[port]
        return Outcome(kind, anyio.current_time() - started_s)

    async def _run_request(self, source, service_address, pause_s) -> str:
        started_s = anyio.current_time()
        for count, at_s in enumerate(OPENING_SEND_TIMES_S):
            self._send(source, service_address, stream_codec.SYN, 0, count)
            wait_end_s = (*OPENING_SEND_TIMES_S[1:], OPENING_TIMEOUT_S)[count]
            packet = await self._wait_for_packet(
                source[1], started_s + wait_end_s
            )
            if packet is not None:
                break
        else:
            return "silence"
        if packet.rst:
            return "reset"
        acknowledged = packet.sequence + 1
        if pause_s:
            flags = stream_codec.ACK
            self._send(
                source, service_address, flags, 1, acknowledged, REQUEST_START
            )
            await anyio.sleep(pause_s)
        while True:
            flags = stream_codec.ACK
            self._send(
                source, service_address, flags, 1, acknowledged, REQUEST_END
            )
            until_s = anyio.current_time() + RETRANSMIT_INTERVAL_S
            packet = await self._wait_for_packet(
                source[1], until_s, answers_only=True
            )
            if packet is not None:
                return "reset" if packet.rst else "answered"

    async def _wait_for_packet(
        self, port: int, until_s: float, answers_only: bool = False
    ) -> segment.Segment | None:
        with anyio.move_on_after(until_s - anyio.current_time()):
            while True:
                for packet in self._inbox_by_port[port]:
                    if packet.rst or packet.data_bytes or not answers_only:
                        self._inbox_by_port[port].clear()
                        return packet
                self._event_by_port[port] = anyio.Event()
                await self._event_by_port[port].wait()
        return None

    def _send(
        self, source, service_address, flags, sequence, acknowledged, data=b""
    ) -> None:
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

"""Simulated callers and endpoints that use the platform's packets."""

import collections
import contextlib
import dataclasses
import random
import struct

import anyio

from bramleypin.internal import address as address_module
from bramleypin.internal.net import datagram
from bramleypin.internal.stream import segment
from bramleypin.platform import packet as packet_module

_HEADER = struct.Struct("<IHIIHHB3xIII")
SEQUENCE_MASK = 0xFFFFFFFF
# Times at which a caller sends its opening packet until it gets an answer, and
# the timeout after which the request ends as ``silence``, both in seconds from
# the start of the request.
OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
# Share of the flows that use the port of a flow that has ended before.
REUSED_PORTS_FRACTION = 0.3
# Time that a port stays unused after its flow.
REUSE_DELAY_S = 3.0
RETRANSMIT_INTERVAL_S = 0.2
# A caller ignores a reset by the load balancer if its flow is open and the
# sequence number is further than this from its own last acknowledgement.
RESET_WINDOW_BYTES = 76_800
SYSTEM_CHECKSUM = bytes(4)
CODEC = packet_module.PacketCodec()


def encode(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Return an encoded packet with checksum 1.

    Checksum 0 marks resets that the load balancer generates.
    """
    return (
        _HEADER.pack(
            1,
            len(data),
            destination[0],
            source[0],
            source[1],
            destination[1],
            flags,
            sequence & SEQUENCE_MASK,
            acknowledged & SEQUENCE_MASK,
            0,
        )
        + data
    )


@contextlib.asynccontextmanager
async def _closing(port):
    """Close a port at the end, since a later run may use its address."""
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            await port.aclose()


def _is_out_of_window(reset: segment.Segment, acknowledged: int) -> bool:
    """Return whether a caller ignores a reset on its open flow."""
    if not reset.raw.startswith(SYSTEM_CHECKSUM):
        return False
    distance = (reset.sequence - acknowledged) & SEQUENCE_MASK
    return min(distance, SEQUENCE_MASK + 1 - distance) > RESET_WINDOW_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that an endpoint has executed."""

    request: str
    endpoint: str
    service: str
    at_s: float


@dataclasses.dataclass(slots=True)
class FlowState:
    """A flow at its endpoint.

    ``initial_sequence`` is that of the endpoint, ``end`` the position after
    what it has sent. ``request_end`` is the position after the last request,
    or -1 before the first one. ``answer`` holds the position of the last
    request and the arguments of ``_send`` for its answer.
    """

    initial_sequence: int
    end: int
    request_end: int = -1
    answer: tuple | None = None


class Endpoint:
    """An endpoint of a service; it answers several requests per flow.

    ``openings`` holds the time and service address of each accepted flow,
    ``accepted`` the flows with the endpoint's initial sequence number, and
    ``resets`` the flows that it has reset, with the positions of the resets.
    """

    def __init__(
        self,
        name,
        service,
        app_address,
        outbound_address,
        executions,
        work_s=0.03,
    ):
        self.name = name
        self.service = service
        self.app_address = app_address
        self.outbound_address = outbound_address
        self.work_s = work_s
        self.executions: list[Execution] = executions
        self.openings: list[tuple[float, tuple[int, int]]] = []
        self.accepted: set[tuple[segment.Flow, int]] = set()
        self.resets: set[tuple[segment.Flow, int]] = set()
        self.alive = True
        self.flows: dict[segment.Flow, FlowState] = {}
        self._opening_sequence_by_flow: dict[segment.Flow, int] = {}
        self._ended_flows: set[segment.Flow] = set()

    async def serve(self) -> None:
        """Serve until cancelled."""
        self._socket = await datagram.open_port(
            address_module.Address(*self.app_address)
        )
        async with _closing(self._socket), anyio.create_task_group() as tasks:
            while True:
                data, _ = await self._socket.receive()
                packet = CODEC.decode(data)
                if packet is not None:
                    self._handle_packet(packet, tasks)

    def _handle_packet(self, packet: segment.Segment, tasks) -> None:
        flow = packet.flow_from_caller()
        state = self.flows.get(flow)
        if packet.opening:
            if self._opening_sequence_by_flow.get(flow) != packet.sequence:
                # The addresses and ports of an earlier flow are in use again.
                self._opening_sequence_by_flow[flow] = packet.sequence
                self._ended_flows.discard(flow)
                state = None
            if state is None:
                start = random.getrandbits(32)
                state = FlowState(start, (start + 1) & SEQUENCE_MASK)
                self.flows[flow] = state
                self.accepted.add((flow, start))
                now_s = anyio.current_time()
                self.openings.append((now_s, packet.destination))
            flags = packet_module.SYN | packet_module.ACK
            self._send(
                flow, flags, state.initial_sequence, packet.sequence + 1
            )
            return
        is_ended = flow in self._ended_flows
        if not is_ended and not self._holds(state, packet):
            raw = bytearray(packet.raw)
            raw[packet_module.FLAGS_OFFSET] |= packet_module.BOUNCED
            self._socket.send(bytes(raw), self.outbound_address)
            return
        if packet.fin or packet.rst:
            if packet.fin:
                flags = packet_module.ACK
                if not is_ended:
                    flags |= packet_module.FIN
                self._ended_flows.add(flow)
                sequence = packet.acknowledged
                self._send(flow, flags, sequence, packet.sequence + 1)
            return
        if not packet.data_bytes:
            return
        if is_ended:
            self.resets.add((flow, packet.acknowledged))
            self._send(flow, packet_module.RST, packet.acknowledged)
            return
        end = (packet.sequence + packet.data_bytes) & SEQUENCE_MASK
        # A daemon that was paused may deliver a copy of an old request much
        # later. Like a real endpoint, this one runs each request only once.
        if (
            state.request_end < 0
            or segment.bytes_ahead(end, state.request_end) > 0
        ):
            state.request_end = end
            tasks.start_soon(self._execute, flow, packet, state)
        elif state.answer and state.answer[0] == packet.sequence:
            # The caller resent the request: its answer was lost or late.
            self._send(flow, *state.answer[1:])

    @staticmethod
    def _holds(state: FlowState | None, packet: segment.Segment) -> bool:
        """Return whether a packet acknowledges what this endpoint has sent."""
        if state is None or not packet.ack:
            return False
        first = state.initial_sequence + 1
        acknowledged = (packet.acknowledged - first) & SEQUENCE_MASK
        return acknowledged <= (state.end - first) & SEQUENCE_MASK

    async def _execute(
        self, flow, packet: segment.Segment, state: FlowState
    ) -> None:
        request = packet.raw[packet_module.HEADER_BYTES :].decode()
        now_s = anyio.current_time()
        self.executions.append(
            Execution(request, self.name, self.service, now_s)
        )
        await anyio.sleep(self.work_s)
        if self.flows.get(flow) is not state:
            return
        body = f"{request} by {self.service}".encode()
        answer_sequence = packet.acknowledged
        answer = (
            packet_module.ACK,
            answer_sequence,
            packet.sequence + packet.data_bytes,
            body,
        )
        state.answer = (packet.sequence, *answer)
        state.end = (answer_sequence + len(body)) & SEQUENCE_MASK
        self._send(flow, *answer)

    def _send(self, flow, flags, sequence, acknowledged=0, data=b""):
        raw = encode(
            (flow.service_host, flow.service_port),
            (flow.caller_host, flow.caller_port),
            flags,
            sequence,
            acknowledged,
            data,
        )
        self._socket.send(raw, self.outbound_address)


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of one request.

    ``kind`` is ``answered``, ``reset`` or ``silence``. A reset
    refuses the opening of the flow, or ends the open flow if ``opened`` is
    set. ``body`` is the answer. ``reset`` is the packet that ended the flow,
    ``endpoint_sequence`` the initial sequence number of its endpoint.
    """

    request: str
    address: tuple[int, int]
    sent_s: float
    flow: segment.Flow
    ended_s: float = 0.0
    kind: str = "silence"
    opened: bool = False
    body: str = ""
    reset: segment.Segment | None = None
    endpoint_sequence: int = -1

    @property
    def is_reset_by_system(self) -> bool:
        """Whether the load balancer, and no endpoint, has reset the flow."""
        reset = self.reset
        return reset is not None and reset.raw.startswith(SYSTEM_CHECKSUM)


class Caller:
    """Opens flows through the ready balancers and records outcomes."""

    def __init__(
        self,
        host: str,
        port: int,
        balancers,
        rng: random.Random,
        reused_ports_fraction: float = REUSED_PORTS_FRACTION,
        reuse_delay_s: float = REUSE_DELAY_S,
    ):
        self._host = host
        self._reused_ports_fraction = reused_ports_fraction
        self._reuse_delay_s = reuse_delay_s
        self._port = port
        self._balancers = balancers
        self._rng = rng
        self._next_port = 1_024
        # Ports whose flows have ended, with the time of the end.
        self._used_ports: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._opening_sequence_by_port: dict[int, int] = {}
        self._number = 0
        self._streams: dict[int, object] = {}
        self.outcomes: list[Outcome] = []

    async def serve(self) -> None:
        """Receive until cancelled."""
        local_address = address_module.Address(self._host, self._port)
        self._socket = await datagram.open_port(local_address)
        async with _closing(self._socket):
            while True:
                data, _ = await self._socket.receive()
                packet = CODEC.decode(data)
                stream = packet and self._streams.get(packet.destination[1])
                if stream is not None:
                    stream.send_nowait(packet)

    async def flow(
        self, address: tuple[int, int], requests: int, pause_s: float
    ) -> None:
        """Open a flow and send ``requests`` requests, ``pause_s`` apart."""
        port = self._choose_port()
        sender, receiver = anyio.create_memory_object_stream(1_000)
        self._streams[port] = sender
        source = (segment.ipv4_to_int(self._host), port)
        try:
            await self._run_flow(source, address, requests, pause_s, receiver)
        finally:
            del self._streams[port]
            self._used_ports.append((anyio.current_time(), port))

    def _choose_port(self) -> int:
        """Return a new port, or one that has been unused for some time."""
        oldest_s = anyio.current_time() - self._reuse_delay_s
        reuses_port = self._rng.random() < self._reused_ports_fraction
        if reuses_port and self._used_ports:
            ended_s, port = self._used_ports[0]
            if ended_s < oldest_s:
                self._used_ports.popleft()
                self._opening_sequence_by_port[port] = self._rng.getrandbits(
                    32
                )
                return port
        self._next_port += 1
        return self._next_port

    async def _run_flow(
        self, source, address, requests, pause_s, inbox
    ) -> None:
        flow = segment.Flow(*source, *address)
        outcome = self._start_request(flow)
        opening_sequence = self._opening_sequence_by_port.get(source[1], 0)
        packet = None
        for count, at_s in enumerate(OPENING_SEND_TIMES_S):
            flags = packet_module.SYN
            self._send(source, address, flags, opening_sequence, count)
            wait_s = (*OPENING_SEND_TIMES_S[1:], OPENING_TIMEOUT_S)[
                count
            ] - at_s
            packet = await self._next_packet(inbox, wait_s)
            if packet is not None:
                break
        if packet is None or packet.rst:
            self._finish_request(
                outcome, "reset" if packet is not None else "silence"
            )
            return
        outcome.opened = True
        outcome.endpoint_sequence = packet.sequence
        sequence, acknowledged = opening_sequence + 1, packet.sequence + 1
        for number in range(requests):
            if number:
                await anyio.sleep(pause_s)
                outcome = self._start_request(flow)
                outcome.opened = True
                outcome.endpoint_sequence = packet.sequence
            data = outcome.request.encode()
            answer = await self._send_request(
                source, address, sequence, acknowledged, data, inbox
            )
            if answer is None or answer.rst:
                outcome.reset = answer
                self._finish_request(
                    outcome, "reset" if answer is not None else "silence"
                )
                return
            body = answer.raw[packet_module.HEADER_BYTES :]
            outcome.body = body.decode()
            self._finish_request(outcome, "answered")
            sequence += len(data)
            acknowledged += len(body)
        flags = packet_module.FIN | packet_module.ACK
        self._send(source, address, flags, sequence, acknowledged)

    async def _send_request(
        self, source, address, sequence, acknowledged, data, inbox
    ):
        wait_s = RETRANSMIT_INTERVAL_S
        for _ in range(5):
            flags = packet_module.ACK
            self._send(source, address, flags, sequence, acknowledged, data)
            end_s = anyio.current_time() + wait_s
            while (remaining_s := end_s - anyio.current_time()) > 0:
                packet = await self._next_packet(inbox, remaining_s)
                if packet is None:
                    break
                if packet.rst and _is_out_of_window(packet, acknowledged):
                    continue
                end = (sequence + len(data)) & SEQUENCE_MASK
                if packet.rst or packet.acknowledged == end:
                    return packet
            wait_s = min(1.6, 2 * wait_s)
        return None

    async def _next_packet(self, inbox, wait_s):
        with anyio.move_on_after(wait_s):
            return await inbox.receive()
        return None

    def _start_request(self, flow: segment.Flow) -> Outcome:
        self._number += 1
        request = f"{self._host}-{self._number}"
        outcome = Outcome(request, flow[2:], anyio.current_time(), flow)
        self.outcomes.append(outcome)
        return outcome

    @staticmethod
    def _finish_request(outcome: Outcome, kind: str) -> None:
        outcome.kind = kind
        outcome.ended_s = anyio.current_time()

    def _send(self, source, address, flags, sequence, ack, data=b""):
        balancers = self._balancers()
        if balancers:
            balancer_host = balancers[hash((source, address)) % len(balancers)]
            raw = encode(source, address, flags, sequence, ack, data)
            self._socket.send(raw, (balancer_host, self._port))

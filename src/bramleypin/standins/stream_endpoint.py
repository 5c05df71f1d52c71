"""Simulated endpoints of stream flows."""

import dataclasses

import anyio

from bramleypin.internal import address
from bramleypin.internal.stream import segment
from bramleypin.standins import stream_codec
from bramleypin.standins import virtual_process

SEQUENCE_MASK = 0xFFFFFFFF
REQUEST_END = b"end"
SLOW_FACTOR = 8


@dataclasses.dataclass(frozen=True)
class FlowEvent:
    """The time at which an endpoint accepted a flow or began its request."""

    flow: segment.Flow
    at_s: float


class StreamEndpoint:
    """An endpoint that answers one request per flow and closes the flow.

    It resets data on a flow that the caller has closed as well. With
    ``keep_open``, it answers any number of requests on a flow and closes
    none. While ``silent`` is set, it drops all packets, like a machine that
    has lost power. ``received`` and ``bounced`` are the flows' packets, except
    openings, that it accepted and returned. With ``fault``, it fails the
    fraction ``fault_fraction`` of its requests: "hang" never answers and keeps
    no slot, "reset" and "close" end the flow without an answer, "slow" takes
    eight times as long, "error" answers at once.
    """

    def __init__(
        self,
        process: virtual_process.Process,
        local_address: address.Address,
        outbound: address.Address,
        slots: int = 5,
        work_s: float = 0.05,
        keep_open: bool = False,
    ):
        self.process = process
        self.local_address = local_address
        self.outbound = outbound
        self.slots = slots
        self.work_s = work_s
        self.keep_open = keep_open
        self.silent = False
        self.fault = ""
        self.fault_fraction = 0.4
        self.received: list[FlowEvent] = []
        self.bounced: list[FlowEvent] = []
        self.runs: list[FlowEvent] = []
        self.openings: list[FlowEvent] = []
        self.bounced_packets = 0
        self.resets_sent = 0
        self._ended_flows: set[segment.Flow] = set()
        self._codec = stream_codec.TestCodec()
        self._sequence_by_flow: dict[segment.Flow, int] = {}
        self._opening_sequence_by_flow: dict[segment.Flow, int] = {}
        self._flows_with_request: set[segment.Flow] = set()
        self._request_end_by_flow: dict[segment.Flow, int] = {}
        self._sent_bytes_by_flow: dict[segment.Flow, int] = {}
        self._free_slots = anyio.Semaphore(slots)

    def crash(self) -> None:
        """Discard the state of all flows."""
        self._sequence_by_flow.clear()
        self._flows_with_request.clear()
        self._request_end_by_flow.clear()
        self._sent_bytes_by_flow.clear()

    def _forget(self, flow: segment.Flow) -> None:
        """Discard an earlier flow with the same addresses and ports."""
        self._ended_flows.discard(flow)
        self._sequence_by_flow.pop(flow, None)
        self._flows_with_request.discard(flow)
        self._request_end_by_flow.pop(flow, None)
        self._sent_bytes_by_flow.pop(flow, None)

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
            if self._opening_sequence_by_flow.get(flow) != packet.sequence:
                self._forget(flow)
                self._opening_sequence_by_flow[flow] = packet.sequence
            initial_sequence = self._sequence_by_flow.get(flow)
            if initial_sequence is None:
                initial_sequence = self.process.random.getrandbits(32)
                self._sequence_by_flow[flow] = initial_sequence
                self.openings.append(FlowEvent(flow, anyio.current_time()))
            flags = stream_codec.SYN | stream_codec.ACK
            self._send(flow, flags, initial_sequence, packet.sequence + 1)
            return
        now_s = anyio.current_time()
        if flow in self._ended_flows:
            if packet.data_bytes:
                self.resets_sent += 1
                self._send(flow, stream_codec.RST, packet.acknowledged, 0)
            return
        if not self._holds(flow, packet.acknowledged):
            self.bounced_packets += 1
            self.bounced.append(FlowEvent(flow, now_s))
            raw = bytearray(packet.raw)
            raw[stream_codec.FLAGS_OFFSET] |= stream_codec.BOUNCED
            self._port.send(bytes(raw), self.outbound)
            return
        self.received.append(FlowEvent(flow, now_s))
        if packet.fin:
            self._ended_flows.add(flow)
        if not packet.raw.endswith(REQUEST_END):
            return
        if self.keep_open:
            end = packet.sequence + packet.data_bytes
            if end > self._request_end_by_flow.get(flow, 0):
                self._request_end_by_flow[flow] = end
                tasks.start_soon(self._serve_next_request, flow, end)
        elif flow not in self._flows_with_request:
            self._flows_with_request.add(flow)
            tasks.start_soon(self._serve_request, flow, packet.sequence)

    def _holds(self, flow: segment.Flow, acknowledged: int) -> bool:
        sequence = self._sequence_by_flow.get(flow)
        if sequence is None:
            return False
        ahead = (acknowledged - sequence - 1) & SEQUENCE_MASK
        return ahead <= self._sent_bytes_by_flow.get(flow, 0)

    async def _work(self, flow: segment.Flow) -> bool:
        """Run a request; return whether to answer it."""
        fault = ""
        if self.fault and self.process.random.random() < self.fault_fraction:
            fault = self.fault
        if fault == "hang":
            return False
        if fault == "error":
            return True
        if fault in ("reset", "close"):
            own_sequence = self._sequence_by_flow.get(flow, 0)
            sent_bytes = self._sent_bytes_by_flow.get(flow, 0)
            flags = {
                "reset": stream_codec.RST,
                "close": stream_codec.ACK | stream_codec.FIN,
            }[fault]
            self._ended_flows.add(flow)
            self._send(flow, flags, own_sequence + 1 + sent_bytes, 0)
            return False
        async with self._free_slots:
            self.runs.append(FlowEvent(flow, anyio.current_time()))
            work_s = self.work_s * (SLOW_FACTOR if fault == "slow" else 1)
            await anyio.sleep(work_s)
        return True

    async def _serve_next_request(self, flow: segment.Flow, end: int) -> None:
        """Answer one of several requests of a flow with its end position."""
        if not await self._work(flow):
            return
        own_sequence = self._sequence_by_flow.get(flow)
        if own_sequence is None or self.silent:
            return
        sent_bytes = self._sent_bytes_by_flow.get(flow, 0)
        answer = f"answer {end}".encode("ascii")
        self._sent_bytes_by_flow[flow] = sent_bytes + len(answer)
        position = own_sequence + 1 + sent_bytes
        self._send(flow, stream_codec.ACK, position, end, answer)

    def send_data(
        self, flow: segment.Flow, position: int, data: bytes
    ) -> None:
        """Send data at any position, e.g. a late copy of an answer."""
        self._send(flow, stream_codec.ACK, position, 0, data)

    def send_end(self, flow: segment.Flow, position: int) -> None:
        """Send a FIN at any position, e.g. a late one."""
        flags = stream_codec.ACK | stream_codec.FIN
        self._send(flow, flags, position, 0)

    async def _serve_request(self, flow: segment.Flow, sequence: int) -> None:
        if not await self._work(flow):
            return
        own_sequence = self._sequence_by_flow.get(flow)
        if own_sequence is not None and not self.silent:
            flags = stream_codec.ACK | stream_codec.FIN
            answer = b"answer"
            # The FIN takes a position as well.
            self._sent_bytes_by_flow[flow] = len(answer) + 1
            self._send(flow, flags, own_sequence + 1, sequence, answer)

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

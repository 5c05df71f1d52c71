"""A host of PROTOCOL.md: accepts flows, runs requests, answers, bounces."""

import asyncio
import collections
import json
import random
import time

from standins3 import wire

RETRANSMIT_S, MAX_RETRANSMIT_S, RETRANSMISSIONS = 0.2, 1.6, 8
BEAT_S = 1.2
LAPSE_BEATS = 3
WINDOW, MAX_DATA = 16, 1_200


class Flow:
    """A flow at its host. ``end`` is the position after all that was sent."""

    def __init__(self, start, opened_by):
        self.start = start
        self.opened_by = opened_by
        self.end = (start + 1) & wire.MASK
        self.received = (opened_by + 1) & wire.MASK
        self.open = False
        self.ended = False
        self.position = self.end
        self.queue = []
        self.in_flight = []
        self.progress = 0
        self.early = {}
        self.request = bytearray()
        self.packets = 0


class Host(asyncio.DatagramProtocol):
    """One host; ``id`` stays the same over its lifetimes.

    ``taken`` has one entry for each opening packet that was accepted: arrival,
    flow and the start that the host gave it. ``runs`` has time and request.
    """

    def __init__(self, deployment, machine, service, id_):
        self.deployment = deployment
        self.machine = machine
        self.service = service
        self.id = id_
        self.settings = deployment.settings
        self.alive = False
        self.lifetime = 0
        self.clock_ahead_ms = 0
        # Returns the length of an answer, where the request doesn't say it.
        self.answer_size = None
        self.cold_until = 0.0
        self.cold_spans = []
        self.draining = False
        self.taken = []
        self.opened = set()
        self.runs = []
        self.bounced = collections.Counter()
        self.received = []
        self.resets = set()
        self.flows = {}
        self._transport = None
        self._tasks = set()

    async def start(self, cold=True):
        """Begin a lifetime: register, then accept flows."""
        self.lifetime += 1
        self.flows = {}
        self._running = 0
        self._queue = collections.deque()
        self.draining = False
        self.born_ms = int(time.time() * 1000) + self.clock_ahead_ms
        now = time.monotonic()
        cold_s = self.settings["cold_start_s"] if cold else 0.0
        self.cold_until = now + cold_s
        self._seq = 0
        if self._transport is None:
            loop = asyncio.get_running_loop()
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(self.machine.host,
                                          self.deployment.ports["app"]))
        self.register()
        self.alive = True
        if cold:
            self.cold_spans.append((now, self.cold_until))
        self._spawn(self._beat(self.lifetime))
        self.deployment.record.note(
            "host", f"{self.id} started, lifetime {self.lifetime}, "
            f"{'cold' if cold else 'warm'}")

    def register(self):
        """Write this host's entry; false if the store did not take it."""
        self._seq += 1
        now = time.monotonic()
        self.written = self.deployment.store.put(f"servers/{self.id}", {
            "service": self.service,
            "address": f"{self.machine.host}:{self.deployment.ports['app']}",
            "zone": self.machine.zone, "version": "v1",
            "slots": self.settings["slots"],
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": max(0, int((self.cold_until - now) * 1000)),
            "born": self.born_ms, "seq": self._seq})
        if self.written:
            self.last_written = now
        return self.written

    async def _beat(self, lifetime):
        while self.alive and self.lifetime == lifetime:
            await asyncio.sleep(BEAT_S if self.written else 0.2)
            if self.alive and self.lifetime == lifetime:
                self.register()

    def crash(self):
        """End the lifetime without a word; all flows are lost."""
        self.alive = False
        self.flows = {}
        self.deployment.record.note("host", f"{self.id} crashed")
        self._spawn(self._lapse(self.lifetime))

    async def _lapse(self, lifetime):
        left = self.last_written + LAPSE_BEATS * BEAT_S - time.monotonic()
        await asyncio.sleep(max(0.0, left))
        while self.deployment.store.down:
            await asyncio.sleep(0.1)
        if self.lifetime == lifetime and not self.alive:
            self.deployment.store.delete(f"servers/{self.id}")
            self.deployment.record.note("store", f"{self.id} lapsed")

    def _spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, key, flags, seq, ack=0, data=b""):
        src, sport, dst, dport = key
        raw = wire.encode((dst, dport, src, sport), flags, seq, ack, data)
        self._out(raw)

    def _out(self, raw):
        self._transport.sendto(
            raw, (self.machine.host, self.deployment.ports["outbound"]))

    def datagram_received(self, data, _):
        """Handle one packet."""
        packet = wire.decode(data)
        if not self.alive or packet is None:
            return
        if not packet.genuine:
            self.deployment.judge.altered.append((self.id, data.hex()))
            return
        key = packet.key
        flow = self.flows.get(key)
        if packet.flags & wire.SYN:
            self._on_syn(key, flow, packet)
            return
        if flow is None or not self._of_flow(flow, packet):
            self.bounced[key] += 1
            raw = bytearray(data)
            raw[18] |= wire.BOUNCED
            raw[19:22] = bytes(3)
            self._out(bytes(raw))
            return
        self.received.append((time.monotonic(), key, flow.start))
        if not flow.open:
            flow.open = True
            self.opened.add((key, flow.start))
        if packet.flags & wire.RST:
            flow.ended = True
            return
        self._acknowledge(key, flow, packet.ack)
        if packet.flags & wire.FIN:
            self._send(key, wire.ACK | (0 if flow.ended else wire.FIN),
                       flow.end, packet.seq + 1)
            flow.ended = True
            return
        if not packet.data:
            return
        if flow.ended:
            self.resets.add((key, packet.ack))
            self._send(key, wire.RST, packet.ack)
            return
        self._collect(key, flow, packet)

    def _collect(self, key, flow, packet):
        """Put a request together from its packets; run it when complete."""
        if wire.ahead(packet.seq, flow.received) >= 0:
            flow.early[packet.seq] = packet.data
        else:
            self._send(key, wire.ACK, flow.end, flow.received)
        while flow.received in flow.early:
            data = flow.early.pop(flow.received)
            flow.request += data
            flow.received = (flow.received + len(data)) & wire.MASK
        line, found, rest = bytes(flow.request[:200]).partition(b"\n")
        if found:
            fields = json.loads(line)
            if len(flow.request) >= len(line) + 1 + fields.get("up", 0):
                flow.request.clear()
                flow.packets = 0
                self._queue.append((key, flow, fields))
                self._next()
                return
        flow.packets += 1
        if flow.packets % 2 == 0:
            self._send(key, wire.ACK, flow.end, flow.received)

    @staticmethod
    def _of_flow(flow, packet):
        sent = (flow.end - flow.start) & wire.MASK
        return 1 <= ((packet.ack - flow.start) & wire.MASK) <= sent

    def _on_syn(self, key, flow, packet):
        if flow is not None and flow.opened_by == packet.seq:
            if not flow.open:
                self._send(key, wire.SYN | wire.ACK, flow.start,
                           packet.seq + 1)
            return
        if (len(self._queue) + self._running
                >= self.settings["slots"] + self.settings["queue"]):
            raw = bytearray(packet.raw)
            raw[18] |= wire.BOUNCED
            self._out(bytes(raw))
            return
        flow = self.flows[key] = Flow(random.getrandbits(32), packet.seq)
        self.taken.append((time.monotonic(), key, packet.seq, flow.start))
        self._send(key, wire.SYN | wire.ACK, flow.start, packet.seq + 1)

    def _next(self):
        while self._queue and self._running < self.settings["slots"]:
            self._running += 1
            self._spawn(self._run(self.lifetime, *self._queue.popleft()))

    async def _run(self, lifetime, key, flow, fields):
        self.runs.append((time.monotonic(), fields["id"], self.service))
        work = fields["work_s"]
        if time.monotonic() < self.cold_until:
            work *= self.settings["cold_x"]
        await asyncio.sleep(work)
        if self.lifetime != lifetime:
            return
        self._running -= 1
        self._next()
        if not self.alive or self.flows.get(key) is not flow or flow.ended:
            return
        head = {"stamp": self.id, "id": fields["id"],
                "size": (self.answer_size() if self.answer_size
                         else fields.get("size", 0))}
        body = json.dumps(head).encode() + b"\n" + bytes(head["size"])
        for at in range(0, len(body), MAX_DATA):
            data = body[at:at + MAX_DATA]
            flow.queue.append((flow.position, data))
            flow.position = (flow.position + len(data)) & wire.MASK
        idle = not flow.in_flight
        self._pump(key, flow)
        if idle:
            await self._retransmit(key, flow)

    def _acknowledge(self, key, flow, ack):
        """Drop what the requester has and send what fits in the window."""
        left = [(seq, data) for seq, data in flow.in_flight
                if wire.ahead((seq + len(data)) & wire.MASK, ack) > 0]
        if len(left) != len(flow.in_flight):
            flow.in_flight = left
            flow.progress += 1
            self._pump(key, flow)

    def _pump(self, key, flow):
        while flow.queue and len(flow.in_flight) < WINDOW:
            seq, data = flow.queue.pop(0)
            flow.in_flight.append((seq, data))
            flow.end = (seq + len(data)) & wire.MASK
            self._send(key, wire.ACK, seq, flow.received, data)

    async def _retransmit(self, key, flow):
        lifetime, wait, copies = self.lifetime, RETRANSMIT_S, 0
        while flow.in_flight and copies < RETRANSMISSIONS:
            progress = flow.progress
            await asyncio.sleep(wait)
            if not self.alive or self.lifetime != lifetime or flow.ended:
                return
            if flow.progress != progress:
                wait, copies = RETRANSMIT_S, 0
                continue
            for seq, data in flow.in_flight:
                self._send(key, wire.ACK, seq, flow.received, data)
            wait, copies = min(MAX_RETRANSMIT_S, 2 * wait), copies + 1

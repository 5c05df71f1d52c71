"""Stand-ins for the users' platform, for the scripts of cases 6 to 10.

A store, hosts, requesters and the routers of a small deployment, as the pages
PROTOCOL.md and DEPLOY.md describe them. They use the standard library alone.
The programs under review run as separate processes, with the command of the
deploy file; all addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = struct.Struct("<IHIIHHB3sIII")
SYN, ACK, FIN, RST, BOUNCED = 64, 128, 8, 1, 2
SEQUENCES = 1 << 32
SUM_KEY = b"known to requesters and hosts alone"
DATA_BYTES = 1_200
IN_FLIGHT = 16
# PROTOCOL.md, Flows: copies of the opening, its end, retransmissions.
OPENING_COPY_S = (0.0, 0.2, 0.6)
OPENING_END_S = 1.4
RETRANSMIT_S, MAX_RETRANSMIT_S, HOST_RETRANSMISSIONS = 0.2, 1.6, 8
RESET_WINDOW = 76_800
STORE_ANSWER_S = 0.004
RESTART_S = 0.5
FIRST_START_S = 3.0


def troubled():
    """Return whether the script applies its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def ahead(position, reference):
    """Return how far a position is ahead of another; negative if behind."""
    distance = (position - reference) % SEQUENCES
    return distance - SEQUENCES if distance >= SEQUENCES // 2 else distance


def to_int(text):
    return int.from_bytes(socket.inet_aton(text), "big")


def to_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def checksum(src, sport, dst, dport, flags, seq, ack, data):
    fields = struct.pack(
        ">IHIHBII", src, sport, dst, dport, flags & ~BOUNCED, seq, ack
    )
    return zlib.crc32(SUM_KEY + fields + data) or 1


def encode(source, destination, flags, seq, ack=0, data=b""):
    """Return a packet; the ends are pairs of an address and a port."""
    seq, ack = seq % SEQUENCES, ack % SEQUENCES
    head = HEAD.pack(
        checksum(*source, *destination, flags, seq, ack, data),
        len(data),
        destination[0],
        source[0],
        source[1],
        destination[1],
        flags,
        bytes(3),
        seq,
        ack,
        0,
    )
    return head + data


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        self.raw = raw
        (
            self.sum,
            length,
            dst,
            src,
            sport,
            dport,
            self.flags,
            self.pad,
            self.seq,
            self.ack,
            self.echo,
        ) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size :]
        self.source, self.destination = (src, sport), (dst, dport)
        self.is_sound = len(self.data) == length and self.sum == checksum(
            *self.source,
            *self.destination,
            self.flags,
            self.seq,
            self.ack,
            self.data,
        )

    def has(self, flag):
        return bool(self.flags & flag)


class Record:
    """Writes ``record.txt`` and keeps what the check needs."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w", buffering=1)
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")


class Udp(asyncio.DatagramProtocol):
    """A UDP port that hands datagrams to a function."""

    def __init__(self, receive):
        self._receive = receive

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self._receive(data, addr)

    @classmethod
    async def open(cls, address, receive):
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: cls(receive), local_addr=address
        )
        return protocol

    def send(self, data, address):
        self.transport.sendto(data, address)


class Store:
    """The platform's store, with an address for each machine.

    ``cut_watch_s`` is the time after which a waiting watch is cut, or None.
    """

    def __init__(self, record):
        self.revision = 1
        self.items = {}
        self.events = []
        self.cut_watch_s = None
        self.calls = {}
        self._record = record
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; its return is the ack."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {"created": self.revision})["created"]
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._publish(item, f"store: {key} is {value.decode()[:400]}")

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._publish(event, f"store: {key} is removed")

    def _publish(self, event, text):
        self.events.append(event)
        self._record.write(f"{text} (revision {self.revision}, ack)")
        self._changed.set()
        self._changed = asyncio.Event()

    async def listen(self, host, port):
        await asyncio.start_server(
            lambda r, w: self._serve(host, r, w), host, port
        )

    async def _serve(self, machine, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                await asyncio.sleep(STORE_ANSWER_S)
                body = await self._answer(machine, target)
                if body is None:
                    return
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (len(data), data)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, machine, target):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        prefix = query.get("prefix", "")
        call = path.rpartition("/")[2]
        self.calls[call] = self.calls.get(call, 0) + 1
        if call == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [k for k in keys if k > query.get("after", "")]
            return {
                "as_of": self.revision,
                "items": [self.items[key] for key in keys],
                "has_more": False,
            }
        after = int(query["after"])
        limit_s = int(query["wait_ms"]) / 1000
        wait_s = limit_s
        if self.cut_watch_s is not None:
            wait_s = min(limit_s, self.cut_watch_s)
        end_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after
                and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
        if not events and wait_s < limit_s:
            self.calls["cut"] = self.calls.get("cut", 0) + 1
            return None
        return {"as_of": self.revision, "events": events}


class HostFlow:
    """A flow at its host."""

    def __init__(self, key, packet):
        self.key = key
        self.opening = packet.seq
        self.start = random.getrandbits(32)
        self.received = (packet.seq + 1) % SEQUENCES
        self.sent = (self.start + 1) % SEQUENCES
        self.acked = self.sent
        self.open = self.ended = False
        self.fin_received = self.fin_sent = False
        self.buffer = b""
        self.unacked = []
        self.pending = []
        self.timer = None
        self.tries = 0


class Host:
    """A host of a service, beside its machine's daemon."""

    def __init__(self, name, machine, record, work_s=0.05, slots=4):
        self.name, self.machine = name, machine
        self.service = machine.service
        self.record = record
        self.work_s, self.slots = work_s, slots
        self.alive, self.draining = False, False
        self.flows = {}
        self.ended = set()
        self.openings = []
        self.runs = []
        self.strangers = []
        # Times at which packets of a flow reached this host, by flow; those
        # of flows that it does not hold are bounced.
        self.own_packets = {}
        self.bounced_packets = {}
        self.born = int(time.time() * 1000)
        self._slots = asyncio.Semaphore(slots)

    async def start(self):
        self.udp = await Udp.open(self.machine.app, self._receive)
        self.alive = True

    def crash(self):
        """End without a word; flows and their work are gone."""
        self.alive = False
        self.udp.transport.close()
        for flow in self.flows.values():
            if flow.timer:
                flow.timer.cancel()
        self.flows.clear()

    def entry(self, state="ready", seq=1):
        return {
            "service": self.service,
            "address": "%s:%d" % self.machine.app,
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": seq,
            "born": self.born,
        }

    def _send(self, flow, flags, seq, data=b""):
        caller, service = flow.key[:2], flow.key[2:]
        raw = encode(service, caller, flags, seq, flow.received, data)
        self.udp.send(raw, self.machine.outbound)

    def _receive(self, raw, _):
        if not self.alive:
            return
        packet = Packet(raw)
        key = (*packet.source, *packet.destination)
        if not packet.is_sound or packet.has(BOUNCED):
            self.strangers.append(key)
            self.record.write(f"{self.name}: a packet that nobody sent so")
            return
        flow = self.flows.get(key)
        if packet.has(SYN):
            self._on_opening(key, flow, packet)
            return
        holds = flow is not None and (
            0 <= ahead(packet.ack, flow.start + 1) <= ahead(
                flow.sent, flow.start + 1
            )
        )
        if not holds:
            self.bounced_packets.setdefault(key, []).append(self.record.now())
            if packet.has(RST):
                return
            bounced = bytearray(raw)
            bounced[18] |= BOUNCED
            self.udp.send(bytes(bounced), self.machine.outbound)
            return
        self.own_packets.setdefault(key, []).append(self.record.now())
        self._on_packet(flow, packet)

    def _on_opening(self, key, flow, packet):
        if flow is None or flow.opening != packet.seq:
            flow = self.flows[key] = HostFlow(key, packet)
            self.openings.append((self.record.now(), key))
            self.record.write(f"{self.name}: opening {key} taken")
        if not flow.open:
            self._send(flow, SYN | ACK, flow.start)

    def _on_packet(self, flow, packet):
        if packet.has(RST):
            self._end(flow)
            return
        if flow.ended:
            if packet.data:
                self._send(flow, RST, packet.ack)
            elif packet.has(FIN):
                self._send(flow, ACK, flow.sent)
            return
        flow.open = True
        self._on_ack(flow, packet.ack)
        if packet.data:
            if packet.seq == flow.received:
                flow.received = (packet.seq + len(packet.data)) % SEQUENCES
                flow.buffer += packet.data
                self._on_data(flow)
            self._send(flow, ACK, flow.sent)
        if packet.has(FIN) and (
            packet.seq + len(packet.data)
        ) % SEQUENCES == flow.received:
            flow.received = (flow.received + 1) % SEQUENCES
            flow.fin_received = True
            if not flow.fin_sent:
                self._queue(flow, b"", FIN)
            self._send(flow, ACK, flow.sent)
            self._check_end(flow)

    def _check_end(self, flow):
        if flow.fin_received and flow.fin_sent and not flow.unacked:
            self._end(flow)

    def _end(self, flow):
        flow.ended = True
        flow.unacked.clear()
        flow.pending.clear()
        if flow.timer:
            flow.timer.cancel()

    def _on_data(self, flow):
        while b"\r\n\r\n" in flow.buffer:
            head, _, rest = flow.buffer.partition(b"\r\n\r\n")
            length = 0
            request_id = ""
            for line in head.decode().split("\r\n")[1:]:
                name, _, value = line.partition(": ")
                if name == "Content-Length":
                    length = int(value)
                if name == "X-Request-Id":
                    request_id = value
            if len(rest) < length:
                return
            flow.buffer = rest[length:]
            asyncio.ensure_future(self._run(flow, request_id))

    async def _run(self, flow, request_id):
        async with self._slots:
            if not self.alive:
                return
            self.runs.append((self.record.now(), request_id, flow.key))
            self.record.write(f"{self.name}: runs {request_id}")
            await asyncio.sleep(self.work_s)
        if not self.alive or self.flows.get(flow.key) is not flow:
            return
        body = f"{request_id} by {self.name}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.name}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self._queue(flow, head.encode() + body, 0)
        if self.draining:
            self._queue(flow, b"", FIN)

    def _queue(self, flow, data, flag):
        if flow.ended or flow.fin_sent:
            return
        for start in range(0, max(1, len(data)), DATA_BYTES):
            part = data[start : start + DATA_BYTES]
            flow.pending.append((ACK | flag, flow.sent, part))
            flow.sent = (flow.sent + len(part) + bool(flag)) % SEQUENCES
        flow.fin_sent |= bool(flag)
        self._pump(flow)

    def _pump(self, flow):
        while flow.pending and len(flow.unacked) < IN_FLIGHT:
            flow.unacked.append(flow.pending.pop(0))
            self._send(flow, *flow.unacked[-1])
        if flow.unacked and flow.timer is None:
            self._arm(flow)

    def _arm(self, flow):
        delay_s = min(MAX_RETRANSMIT_S, RETRANSMIT_S * 2**flow.tries)
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(delay_s, self._retransmit, flow)

    def _retransmit(self, flow):
        flow.timer = None
        if not flow.unacked or not self.alive or flow.ended:
            return
        flow.tries += 1
        if flow.tries > HOST_RETRANSMISSIONS:
            self.record.write(f"{self.name}: gives up flow {flow.key}")
            self._end(flow)
            return
        self._send(flow, *flow.unacked[0])
        self._arm(flow)

    def _on_ack(self, flow, ack):
        before = len(flow.unacked)
        flow.unacked = [
            item
            for item in flow.unacked
            if ahead(
                ack, item[1] + len(item[2]) + bool(item[0] & FIN)
            ) < 0
        ]
        if len(flow.unacked) < before:
            flow.tries = 0
            if flow.timer:
                flow.timer.cancel()
                flow.timer = None
        self._pump(flow)
        self._check_end(flow)


class Request:
    """One requester attempt and what its requester saw."""

    def __init__(self, request_id, route, sent_s):
        self.id, self.route, self.sent_s = request_id, route, sent_s
        self.outcome = "none"
        self.ended_s = sent_s
        self.opened_s = None
        self.port = 0
        self.server = ""


class Requester:
    """Sends requests to routes through the routers of one zone."""

    def __init__(self, name, host, router, record, time_budget_s=3.0):
        self.name, self.host = name, host
        self.router, self.record = router, record
        self.time_budget_s = time_budget_s
        self.requests = []
        self.foreign = []
        self.resets = []
        self._queue_by_port = {}
        self._port = random.randrange(2_000, 30_000)

    async def start(self, port):
        self.udp = await Udp.open((self.host, port), self._receive)

    def _receive(self, raw, _):
        packet = Packet(raw)
        is_system_reset = packet.sum == 0 and packet.flags == RST
        if not packet.is_sound and not is_system_reset:
            self.foreign.append(raw)
            self.record.write(f"{self.name}: a packet that nobody sent so")
            return
        queue = self._queue_by_port.get(packet.destination[1])
        if queue is not None:
            queue.put_nowait(packet)

    async def flow(self, route, count=1, pause_s=0.0, on_request=None):
        """Open a flow and send ``count`` requests on it, with pauses."""
        self._port += 1
        port = self._port
        queue = self._queue_by_port[port] = asyncio.Queue()
        try:
            await _FlowClient(self, port, route, queue).run(
                count, pause_s, on_request
            )
        finally:
            del self._queue_by_port[port]

    def begin(self, route, port):
        number = len(self.requests) + 1
        request = Request(f"{self.name}-{number}", route, self.record.now())
        request.port = port
        self.requests.append(request)
        return request

    def finish(self, request, outcome):
        request.outcome = outcome
        request.ended_s = self.record.now()
        self.record.write(
            f"{self.name}: {request.id} to {route_text(request.route)} from "
            f"port {request.port}: {outcome} {request.server}".rstrip()
        )


def route_text(route):
    return f"{to_text(route[0])}:{route[1]}"


class _FlowClient:
    """The requester's end of one flow."""

    def __init__(self, requester, port, route, queue):
        self.requester, self.port, self.route = requester, port, route
        self.queue = queue
        self.source = (to_int(requester.host), port)
        self.start = random.getrandbits(32)
        self.sent = (self.start + 1) % SEQUENCES
        self.received = 0
        self.fin_received = False

    def _send(self, flags, seq, ack, data=b""):
        raw = encode(self.source, self.route, flags, seq, ack, data)
        self.requester.router.send(
            self.requester.udp, self.source, self.route, raw
        )

    async def _next(self, until_s):
        left_s = until_s - time.monotonic()
        if left_s <= 0:
            return None
        try:
            return await asyncio.wait_for(self.queue.get(), left_s)
        except TimeoutError:
            return None

    async def _open(self):
        started_s = time.monotonic()
        times = (*OPENING_COPY_S[1:], OPENING_END_S)
        for copies, until_s in enumerate(times):
            self._send(SYN, self.start, copies)
            while True:
                packet = await self._next(started_s + until_s)
                if packet is None:
                    break
                if packet.has(RST):
                    return "reset before it opened"
                if packet.has(SYN) and packet.ack == self.sent:
                    self.received = (packet.seq + 1) % SEQUENCES
                    self._send(ACK, self.sent, self.received)
                    return ""
        return "no answer to the opening"

    async def run(self, count, pause_s, on_request):
        request = self.requester.begin(self.route, self.port)
        failure = await self._open()
        if failure:
            self.requester.finish(request, failure)
            return
        request.opened_s = self.requester.record.now()
        for number in range(count):
            if number:
                await asyncio.sleep(pause_s)
                if self._closed_meanwhile():
                    break
                request = self.requester.begin(self.route, self.port)
                request.opened_s = request.sent_s
            if on_request is not None:
                on_request(request)
            outcome = await self._exchange(request)
            self.requester.finish(request, outcome)
            if outcome != "200":
                self._send(RST | ACK, self.sent, self.received)
                return
            if self.fin_received:
                break
        await self._close()

    def _closed_meanwhile(self):
        while not self.queue.empty():
            self._take(self.queue.get_nowait(), b"")
        return self.fin_received

    def _take(self, packet, buffer):
        """Return the bytes received, with those of one more packet."""
        if packet.has(SYN):
            return buffer
        if packet.data and packet.seq == self.received:
            buffer += packet.data
            self.received = (self.received + len(packet.data)) % SEQUENCES
        if packet.has(FIN) and (
            packet.seq + len(packet.data)
        ) % SEQUENCES == self.received and not self.fin_received:
            self.received = (self.received + 1) % SEQUENCES
            self.fin_received = True
        if packet.data or packet.has(FIN):
            self._send(ACK, self.sent, self.received)
        return buffer

    def _is_reset(self, packet):
        distance = abs(ahead(packet.seq, self.received))
        if packet.has(RST) and distance <= RESET_WINDOW:
            self.requester.resets.append(
                (self.requester.record.now(), self.port, packet.sum == 0)
            )
            return True
        return False

    async def _exchange(self, request):
        text = (
            f"POST /work HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request.id}"
            "\r\nContent-Length: 0\r\n\r\n"
        )
        data, start = text.encode(), self.sent
        self.sent = (start + len(data)) % SEQUENCES
        end_s = time.monotonic() + self.requester.time_budget_s
        wait_s, acked, buffer = RETRANSMIT_S, False, b""
        while time.monotonic() < end_s:
            if not acked:
                self._send(ACK, start, self.received, data)
            until_s = min(end_s, time.monotonic() + wait_s)
            while (packet := await self._next(until_s)) is not None:
                if packet.has(RST):
                    if self._is_reset(packet):
                        by = "the system" if packet.sum == 0 else "its host"
                        return f"reset by {by}"
                    continue
                acked |= ahead(packet.ack, self.sent) >= 0
                buffer = self._take(packet, buffer)
                answer = self._answer(buffer)
                if answer is not None:
                    return self._check(request, *answer)
                if self.fin_received:
                    return "closed without an answer"
            wait_s = min(MAX_RETRANSMIT_S, 2 * wait_s)
        return "no answer"

    @staticmethod
    def _answer(buffer):
        head, found, body = buffer.partition(b"\r\n\r\n")
        if not found:
            return None
        lines = dict(
            line.split(": ", 1) for line in head.decode().split("\r\n")[1:]
        )
        if len(body) < int(lines["Content-Length"]):
            return None
        return lines.get("X-Server-Stamp", ""), body.decode()

    @staticmethod
    def _check(request, server, body):
        request.server = server
        is_own = body == f"{request.id} by {server}"
        return "200" if is_own else "a foreign answer"

    async def _close(self):
        for _ in range(3):
            self._send(FIN | ACK, self.sent, self.received)
            until_s = time.monotonic() + RETRANSMIT_S
            while (packet := await self._next(until_s)) is not None:
                self._take(packet, b"")
                if ahead(packet.ack, self.sent) > 0 and self.fin_received:
                    return


class Router:
    """The platform's routers for one zone, which hash by ``mod``."""

    def __init__(self, machines, record):
        self.machines, self.record = machines, record
        self.missed = {machine.name: 2 for machine in machines}
        self._salt = random.getrandbits(32)

    def in_rotation(self):
        ready = [m for m in self.machines if self.missed[m.name] < 2]
        if 2 * len(ready) < len(self.machines):
            return self.machines
        return ready

    def send(self, udp, source, destination, raw):
        machines = self.in_rotation()
        text = f"{source}{destination}{self._salt}".encode()
        machine = machines[zlib.crc32(text) % len(machines)]
        udp.send(raw, machine.ingress)

    async def probe(self):
        while True:
            await asyncio.gather(*map(self._probe, self.machines))
            await asyncio.sleep(0.5)

    async def _probe(self, machine):
        before = self.missed[machine.name] < 2
        try:
            async with asyncio.timeout(0.4):
                is_ready = await self._is_ready(machine)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_ready = False
        self.missed[machine.name] = (
            0 if is_ready else self.missed[machine.name] + 1
        )
        after = self.missed[machine.name] < 2
        if before != after:
            state = "in rotation" if after else "out of rotation"
            self.record.write(f"router: {machine.name} is {state}")

    @staticmethod
    async def _is_ready(machine):
        reader, writer = await asyncio.open_connection(*machine.ready)
        try:
            writer.write(
                b"GET /bramleypin/readiness HTTP/1.1\r\nHost: h\r\n\r\n"
            )
            line = await reader.readuntil(b"\r\n")
            return b" 200" in line
        finally:
            writer.close()


class Machine:
    """A machine with one daemon process of the system."""

    def __init__(self, site, number, cls, zone, service=""):
        self.site, self.number = site, number
        self.cls, self.zone, self.service = cls, zone, service
        self.name = f"{cls}-{number}"
        self.host = f"{site.net}.{number}"
        ports = site.ports
        self.ingress = (self.host, ports[0])
        self.ready = (self.host, ports[1])
        self.control = (self.host, ports[2])
        self.outbound = (self.host, ports[3])
        self.app = (self.host, ports[4])
        self.store = (f"{site.net}.{number + 100}", ports[5])
        self.process = None
        self.starts = 0

    def _settings(self):
        listen = {
            "datagram_addr": "%s:%d" % self.ingress,
            "ready_addr": "%s:%d" % self.ready,
        }
        fields = {"serves": ["side"]}
        if self.cls == "front":
            fields["serves"] = ["front", "control"]
            listen["control"] = "%s:%d" % self.control
        else:
            listen["outbound"] = "%s:%d" % self.outbound
            fields["service"] = self.service
            fields["app"] = "%s:%d" % self.app
        fronts = [m for m in self.site.machines if m.cls == "front"]
        zones = {m.zone: "one-region" for m in self.site.machines}
        return {
            "node": self.name,
            "role": "balancer" if self.cls == "front" else "agent",
            "machine_class": self.cls,
            "ip": self.host,
            "zone": self.zone,
            "region": "one-region",
            "zones": zones,
            "listen": listen,
            "internal_ports": [self.site.ports[6], self.site.ports[6] + 15],
            "seeds": ["%s:%d" % m.control for m in fronts[:3]],
            "bootstrap": self.starts == 0,
            "counts_as_loss": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
            "data_dir": None,
            "discovery": "platform",
            "entry": "announcement",
            "heartbeat_ms": 1200,
            "hash": "mod",
            "deploy_mode": "agent",
            "bounds": BOUNDS,
            "platform": {
                "address": "%s:%d" % self.store,
                "deploy_mode": "read",
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
            },
            **fields,
        }

    def start(self):
        settings = self.site.folder / f"{self.name}.json"
        settings.write_text(json.dumps(self._settings()))
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.site.command[self.cls],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "BRAMLEYPIN_BOOT": str(settings),
                },
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.starts += 1
        self.site.record.write(f"{self.name}: process started")

    def kill(self, number=signal.SIGKILL):
        self.site.record.write(f"{self.name}: {number.name}")
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def terminate(self):
        """Stop the process as the platform does; return its exit code."""
        self.kill(signal.SIGTERM)
        end_s = time.monotonic() + BOUNDS["grace_s"]
        while self.process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.kill()
            await self.wait()
        self.site.record.write(f"{self.name}: ended")
        return self.process.returncode

    async def restart(self, down_s=RESTART_S):
        await self.terminate()
        await asyncio.sleep(down_s)
        self.start()


# The bounds of the two small deployments.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "stable_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "outer_ms": 12000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "flow_max_s": 60,
}


class Site:
    """A small deployment: machines, hosts, store, routers, requesters."""

    def __init__(self, folder, fronts, sides):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = {
            role["on"]: role["run"].split()
            for role in deploy["roles"].values()
        }
        self.net, self.ports = _free_addresses(len(fronts) + len(sides))
        self.machines = []
        for zone in fronts:
            self._add("front", zone)
        for zone, service in sides:
            self._add("side", zone, service)
        self.fronts = [m for m in self.machines if m.cls == "front"]
        self.sides = [m for m in self.machines if m.cls == "side"]
        self.hosts = []
        # Machines that are added after the start.
        self.later = []
        self.version = 5
        self._tasks = []

    def _add(self, cls, zone, service=""):
        number = len(self.machines) + 1
        self.machines.append(Machine(self, number, cls, zone, service))

    def route(self, number):
        """Return the address of a route, by its number."""
        return to_int("198.18.0.1"), 8_000 + number

    def configure(self, routes, priority=1, idle_ms=15_000):
        """Write a version; ``routes`` has a service and a type by number."""
        self.version += 2
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": [
                    {
                        "name": f"r-{number}",
                        "hostname": "198.18.0.1",
                        "prefix": f"/{8_000 + number}/",
                        "type": kind,
                        "timeout_ms": 3000,
                        "target_latency_ms": 250,
                        "priority": priority,
                        "service": service,
                        "attempts": 2,
                    }
                    for number, (service, kind) in routes.items()
                ],
                "services": [
                    {
                        "name": name,
                        "health_path": "/health",
                        "max_conns": 2000,
                        "protocol": "h1",
                        "tls": False,
                        "cold_start_s": 2.0,
                        "cold_per_s": 0.0,
                    }
                    for name in sorted({s for s, _ in routes.values()})
                ],
                "limits": {"idle_timeout_ms": idle_ms},
            },
        )

    async def start(self, routes, requesters=1, work_s=0.05):
        self.store = Store(self.record)
        for machine in self.machines:
            await self.store.listen(*machine.store)
        self.configure(routes)
        self.work_s = work_s
        present = [m for m in self.machines if m not in self.later]
        for machine in present:
            if machine.cls == "side":
                await self.add_host(machine, False)
        self.router = Router(self.fronts, self.record)
        self.requesters = []
        for number in range(requesters):
            requester = Requester(
                f"client-{number + 1}",
                f"{self.net}.{90 + number}",
                self.router,
                self.record,
            )
            await requester.start(self.ports[0])
            self.requesters.append(requester)
        for machine in present:
            machine.start()
        self.spawn(self.router.probe())
        end_s = time.monotonic() + 15
        while any(missed >= 2 for missed in self.router.missed.values()):
            if time.monotonic() > end_s:
                raise CannotRun("the balancers are not ready")
            await asyncio.sleep(0.05)
        await asyncio.sleep(FIRST_START_S)

    async def add_host(self, machine, starts_daemon=True):
        """Start the host beside a machine's daemon, and the daemon."""
        name = f"host-{self.sides.index(machine) + 1}"
        host = Host(name, machine, self.record, self.work_s)
        await host.start()
        self.hosts.append(host)
        self.store.put(f"servers/{host.name}", host.entry())
        if starts_daemon:
            machine.start()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def load(self, route, per_s, seconds, count=1, pause_s=0.0):
        """Send flows at an even rate, and wait until all have ended."""
        flows = []
        end_s = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end_s:
            requester = self.requesters[number % len(self.requesters)]
            number += 1
            flows.append(
                asyncio.ensure_future(
                    requester.flow(route, count, pause_s)
                )
            )
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*flows)

    def outcomes(self, since_s=0.0):
        """Return the number of requests by outcome."""
        counts = {}
        for requester in self.requesters:
            for request in requester.requests:
                if request.sent_s >= since_s:
                    counts[request.outcome] = (
                        counts.get(request.outcome, 0) + 1
                    )
        return counts

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process:
                machine.process.wait()
        for task in self._tasks:
            task.cancel()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                target = pathlib.Path(keep) / path.name
                target.write_bytes(path.read_bytes())
        self.temporary.cleanup()


class CannotRun(Exception):
    """Raised when a case cannot be played here."""


def _free_addresses(count):
    """Return a part of the loopback range whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        base = random.randrange(20_000, 30_000)
        ports = [base + number for number in range(7)]
        if _is_free(net, count, (*ports, ports[6], 9_102)):
            return net, ports
    raise CannotRun("no free loopback addresses")


def _is_free(net, count, ports):
    try:
        for number in (*range(1, count + 1), 90, 91, 101):
            for port in ports:
                for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{net}.{number}", port))
    except OSError:
        return False
    return True


def main(folder, play, fronts, sides):
    """Play a case; exit with 1 if its rule was broken, 2 if it can't run."""

    async def run():
        site = Site(folder, fronts, sides)
        try:
            if not (ROOT / "target" / "deps" / "bramleypin").is_dir():
                raise CannotRun("target/deps is missing; build first")
            async with asyncio.timeout(110):
                return bool(await play(site))
        except CannotRun as error:
            site.record.write(f"cannot run: {error}")
            return 2
        finally:
            await site.stop()

    try:
        result = asyncio.run(run())
    except Exception as error:
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
        result = 2
    verdict = {0: "the rule held", 1: "the rule was broken"}
    print(verdict.get(int(result), "the case could not run"))
    sys.exit(int(result))

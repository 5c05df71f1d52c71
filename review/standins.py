"""Stand-ins around the real daemons: store, hosts, requesters and routers.

They follow the pages PROTOCOL.md and DEPLOY.md and use the standard library
only. All of them run in one process on loopback addresses; each daemon is a
separate process, started with the command of the deploy file.
"""

import asyncio
import base64
import dataclasses
import hashlib
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
HEAD = struct.Struct("<IHIIHHB3xIII")
SYN, ACK, FIN, RST, BOUNCED = 64, 128, 8, 1, 2
MASK = 0xFFFFFFFF
MAX_DATA = 1_200
RESET_WINDOW = 76_800
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
ZONES = ("a", "b", "c")
ROUTE_HOST = "198.18.0.1"
# Figures of sites/lsws-dispatch.toml and of the settings in DEPLOY.md.
HEARTBEAT_S = 1.2
BOUNDS = {
    "stable_window_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "outer_ms": 12000,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "flow_max_s": 60,
}


class CannotRun(Exception):
    """Raised when the case could not be set up; the exit status is 2."""


def ip_number(text):
    return int.from_bytes(socket.inet_aton(text), "big")


def encode(source, dest, flags, seq, ack, data=b""):
    head = HEAD.pack(
        0, len(data), dest[0], source[0], source[1], dest[1], flags,
        seq & MASK, ack & MASK, 0,
    )
    # The key of the sum is known to hosts and requesters only; 0 is left to
    # the resets of the system.
    total = zlib.crc32(b"key" + head[4:18] + head[22:30] + data) or 1
    return struct.pack("<I", total) + head[4:] + data


@dataclasses.dataclass(slots=True)
class Packet:
    total: int
    source: tuple
    dest: tuple
    flags: int
    seq: int
    ack: int
    data: bytes
    raw: bytes


def decode(raw):
    if len(raw) < HEAD.size:
        return None
    total, length, dest, src, sport, dport, flags, seq, ack, _ = (
        HEAD.unpack_from(raw)
    )
    if len(raw) != HEAD.size + length:
        return None
    return Packet(
        total, (src, sport), (dest, dport), flags, seq, ack,
        raw[HEAD.size:], raw,
    )


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, address):
        self.handler(data)

    def error_received(self, error):
        """A daemon that is down refuses datagrams; they are lost."""


async def open_udp(host, port, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(handler), local_addr=(host, port)
    )
    return transport


class Record:
    """Writes the lines of record.txt and the time since the start."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def line(self, text):
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's metadata store, reached through a door per machine."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.item_by_key = {}
        self.events = []
        self.down = False
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; the return is the store's ack."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        old = self.item_by_key.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": 0,
        }
        self.item_by_key[key] = item
        self._publish(item)

    def delete(self, key):
        if self.item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self._publish(
            {"key": key, "revision": self.revision, "tombstone": True}
        )

    def _publish(self, event):
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def answer(self, target):
        await asyncio.sleep(0.004)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path.endswith("/kv-range"):
            after, prefix = query.get("after", ""), query.get("prefix", "")
            keys = sorted(
                key for key in self.item_by_key
                if key.startswith(prefix) and key > after
            )
            return 200, {
                "items": [self.item_by_key[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "as_of": self.revision,
            }
        if path.endswith("/kv-watch"):
            after = int(query["after"])
            end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while self.revision <= after:
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    break
            events = [e for e in self.events if e["revision"] > after]
            return 200, {"events": events, "as_of": self.revision}
        return 404, {}


class Door:
    """The store as one machine reaches it.

    ``mode`` is ``pass``, ``silent`` (no answer) or ``busy`` (503).
    """

    def __init__(self, store):
        self.store = store
        self.mode = "pass"
        self.answers = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode()
                if self.mode == "busy":
                    status, body = 503, {}
                else:
                    status, body = await self.store.answer(target)
                if self.store.down or self.mode == "silent":
                    # A channel on which an answer is lost returns nothing
                    # further.
                    await reader.read()
                    return
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
                self.answers += status == 200
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class HostFlow:
    """A flow at a host."""

    def __init__(self, iss, caller_seq):
        self.iss = iss
        self.opening_seq = caller_seq
        self.opened = False
        self.received_to = (caller_seq + 1) & MASK
        self.sent_to = (iss + 1) & MASK
        self.acked_to = self.sent_to
        self.unsent = b""
        self.buffer = b""
        self.caller_fin = self.own_fin = False


class Host:
    """An application host beside an agent.

    It answers each request of a flow after ``work_s`` and closes the flow
    when the requester does. ``openings`` and ``runs`` are what it took.
    """

    def __init__(self, fleet, machine, service, slots=5, work_s=0.03):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.id = "i-" + hashlib.md5(machine.name.encode()).hexdigest()[:8]
        self.state = "ready"
        self.left = False
        self.flow_by_key = {}
        self.ended = {}
        self.openings = []
        self.runs = []
        self.born = int(time.time() * 1000)
        self.lapses_s = 0.0
        self._heard_s = time.monotonic()

    async def start(self):
        self._socket = await open_udp(
            self.machine.ip, self.fleet.port["app"], self._receive
        )
        self.fleet.spawn(self._beat())

    def leave(self):
        """Exit after a drain: the entry goes, and so do all flows."""
        self.left = True
        self._socket.close()
        self.flow_by_key.clear()
        self.fleet.store.delete(f"servers/{self.id}")
        self.fleet.record.line(f"{self.machine.name}: its host has left")

    def entry(self):
        return {
            "service": self.service,
            "address": f"{self.machine.ip}:{self.fleet.port['app']}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def write(self):
        """Write the entry unless nothing but ``seq`` has changed."""
        store = self.fleet.store
        key = f"servers/{self.id}"
        data = json.dumps(self.entry()).encode()
        item = store.item_by_key.get(key)
        self._heard_s = time.monotonic()
        if item is None or base64.b64decode(item["value"]) != data:
            store.put(key, data)
            self.fleet.record.line(
                f"store: entry of {self.machine.name} {self.state}"
            )

    async def _beat(self):
        await asyncio.sleep(self.fleet.random.random() * HEARTBEAT_S)
        while not self.left:
            if not self.fleet.store.down:
                self.write()
            else:
                silent_s = time.monotonic() - self._heard_s
                if self.fleet.lapse and silent_s > 3 * HEARTBEAT_S:
                    self.fleet.store.delete(f"servers/{self.id}")
            await asyncio.sleep(HEARTBEAT_S)

    def _send(self, key, flags, seq, ack, data=b""):
        raw = encode(key[1], key[0], flags, seq, ack, data)
        self._socket.sendto(raw, (self.machine.ip, self.fleet.port["outbound"]))

    def _bounce(self, packet):
        raw = bytearray(packet.raw)
        raw[18] |= BOUNCED
        self._socket.sendto(
            bytes(raw), (self.machine.ip, self.fleet.port["outbound"])
        )

    def _receive(self, raw):
        packet = decode(raw)
        if packet is None:
            return
        key = (packet.source, packet.dest)
        flow = self.flow_by_key.get(key)
        if packet.flags & SYN:
            if flow is None or flow.opening_seq != packet.seq:
                flow = HostFlow(self.fleet.random.getrandbits(32), packet.seq)
                self.flow_by_key[key] = flow
                self.ended.pop(key, None)
                self.openings.append((self.fleet.record.now_s(), key))
                self.fleet.record.line(
                    f"{self.machine.name}: SYN of port {key[0][1]}"
                )
            self._send(key, SYN | ACK, flow.iss, flow.received_to)
            return
        if flow is None:
            if key in self.ended:
                if packet.flags & FIN:
                    ack = packet.seq + len(packet.data) + 1
                    self._send(key, ACK, packet.ack, ack)
                    return
                if packet.data:
                    self.fleet.resets.append((self, key))
                    self.fleet.record.line(
                        f"{self.machine.name}: RST to port {key[0][1]}, data "
                        "on an ended flow"
                    )
                    self._send(key, RST, packet.ack, packet.seq)
                    return
                if packet.ack == self.ended[key]:
                    return
            self._bounce(packet)
            return
        ahead = (packet.ack - flow.iss) & MASK
        sent = (flow.sent_to - flow.iss) & MASK
        if packet.flags & RST:
            if ahead <= sent:
                self.flow_by_key.pop(key)
            return
        if not packet.flags & ACK or not 1 <= ahead <= sent + 1:
            self._bounce(packet)
            return
        flow.opened = True
        self.fleet.record_arrival(self, key)
        if (packet.ack - flow.acked_to) & MASK <= sent:
            flow.acked_to = packet.ack
        if packet.data and packet.seq == flow.received_to:
            flow.received_to = (flow.received_to + len(packet.data)) & MASK
            flow.buffer += packet.data
            while b"\r\n\r\n" in flow.buffer:
                text, _, flow.buffer = flow.buffer.partition(b"\r\n\r\n")
                self.fleet.spawn(self._run(key, flow, text))
        if packet.flags & FIN and not flow.caller_fin:
            if (packet.seq + len(packet.data)) & MASK == flow.received_to:
                flow.caller_fin = True
                flow.received_to = (flow.received_to + 1) & MASK
                self._send(key, ACK | FIN, flow.sent_to, flow.received_to)
                self.ended[key] = (flow.sent_to + 1) & MASK
                self.flow_by_key.pop(key)
                return
        if packet.data:
            self._send(key, ACK, flow.sent_to, flow.received_to)

    async def _run(self, key, flow, text):
        request = text.split(b"X-Request-Id: ", 1)[1].split(b"\r\n")[0].decode()
        self.runs.append((self.fleet.record.now_s(), request))
        self.fleet.record.line(f"{self.machine.name}: runs {request}")
        await asyncio.sleep(self.work_s)
        body = f"{request} at {self.machine.name}".encode()
        data = (
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: " + self.id.encode()
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        start = flow.sent_to
        flow.sent_to = (start + len(data)) & MASK
        wait_s = 0.2
        for _ in range(9):
            if self.flow_by_key.get(key) is not flow:
                return
            if (flow.acked_to - start) & MASK >= len(data):
                if (flow.acked_to - start) & MASK < 1 << 31:
                    return
            self._send(key, ACK, start, flow.received_to, data)
            await asyncio.sleep(wait_s)
            wait_s = min(1.6, 2 * wait_s)


class ClientFlow:
    """A flow at its requester.

    ``end`` tells why it is not open: ``""`` while it is, else ``silence``,
    ``system reset``, ``host reset`` or ``closed``.
    """

    def __init__(self, client, port, route_port, zone):
        self.client = client
        self.key = (
            (client.number, port), (ip_number(ROUTE_HOST), route_port)
        )
        self.zone = zone
        self.seq = client.fleet.random.getrandbits(32)
        self.ack = 0
        self.opened = False
        self.end = ""
        self._changed = asyncio.Event()
        self._answer = b""

    def _send(self, flags, seq, ack, data=b""):
        self.client.fleet.route(
            self, encode(*self.key, flags, seq, ack, data)
        )

    async def _wait(self, wait_s):
        self._changed.clear()
        try:
            await asyncio.wait_for(self._changed.wait(), max(0.001, wait_s))
        except TimeoutError:
            pass

    async def open(self):
        """Open the flow; return whether a host accepted it."""
        self.client.flow_by_port[self.key[0][1]] = self
        start_s = time.monotonic()
        for count, next_s in enumerate((0.2, 0.6, SYN_TIMEOUT_S)):
            self._send(SYN, self.seq, count)
            while not self.opened and not self.end:
                left_s = start_s + next_s - time.monotonic()
                if left_s <= 0:
                    break
                await self._wait(left_s)
            if self.opened or self.end:
                break
        if not self.opened:
            self.end = self.end or "silence"
            return False
        self.seq = (self.seq + 1) & MASK
        self._send(ACK, self.seq, self.ack)
        return True

    def receive(self, packet):
        if packet.flags & RST:
            if packet.total == 0:
                ahead = (packet.seq - self.ack) & MASK
                near = min(ahead, MASK + 1 - ahead) <= RESET_WINDOW
                if self.opened and not near:
                    return
                self.end = self.end or "system reset"
            elif self.opened and packet.seq == self.ack:
                self.end = self.end or "host reset"
        elif packet.flags & SYN:
            if not self.opened and packet.ack == (self.seq + 1) & MASK:
                self.opened = True
                self.ack = (packet.seq + 1) & MASK
        elif self.opened:
            if packet.data and packet.seq == self.ack:
                self._answer += packet.data
                self.ack = (self.ack + len(packet.data)) & MASK
                self._send(ACK, self.seq, self.ack)
            elif packet.data:
                self._send(ACK, self.seq, self.ack)
            if packet.flags & FIN and not self.end:
                self.ack = (self.ack + 1) & MASK
                self.end = "closed"
        self._changed.set()

    async def request(self, name, budget_s=4.0):
        """Send a request; return ``200`` or how it ended."""
        data = (
            f"GET /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n\r\n"
        ).encode()
        start_s = time.monotonic()
        self._answer = b""
        sent_s, wait_s = start_s, 0.2
        self._send(ACK, self.seq, self.ack, data)
        base = self.seq
        self.seq = (self.seq + len(data)) & MASK
        while time.monotonic() - start_s < budget_s:
            if self.end:
                return self.end
            if b"\r\n\r\n" in self._answer:
                head, _, body = self._answer.partition(b"\r\n\r\n")
                length = int(head.split(b"Content-Length: ")[1].split()[0])
                if len(body) >= length:
                    return "200"
            left_s = sent_s + wait_s - time.monotonic()
            if left_s <= 0:
                self._send(ACK, base, self.ack, data)
                sent_s, wait_s = time.monotonic(), min(1.6, 2 * wait_s)
                left_s = wait_s
            await self._wait(min(left_s, start_s + budget_s - time.monotonic()))
        return "deadline"

    async def close(self):
        """Close the flow: both ends send a FIN."""
        for wait_s in (0.2, 0.4, 0.8):
            if self.end:
                break
            self._send(FIN | ACK, self.seq, self.ack)
            await self._wait(wait_s)
        # Acknowledges the host's FIN.
        if self.end == "closed":
            self._send(ACK, self.seq + 1, self.ack)
        return self.end == "closed"


class Client:
    """A requester's machine in a zone."""

    def __init__(self, fleet, ip, zone):
        self.fleet = fleet
        self.ip = ip
        self.number = ip_number(ip)
        self.zone = zone
        self.flow_by_port = {}

    async def start(self):
        self.socket = await open_udp(
            self.ip, self.fleet.port["ingress"], self._receive
        )

    def _receive(self, raw):
        packet = decode(raw)
        flow = packet and self.flow_by_port.get(packet.dest[1])
        if flow is not None:
            flow.receive(packet)

    def flow(self, port, route_port=443):
        return ClientFlow(self, port, route_port, self.zone)


class Machine:
    """A machine with one daemon, which is restarted when it ends."""

    def __init__(self, fleet, number, role, zone, service=""):
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.role = role
        self.service = service
        self.name = f"{role}-{zone}-{number}"
        self.ip = f"{fleet.net}.{number}"
        self.store_ip = f"{fleet.net}.{number + 100}"
        self.door = Door(fleet.store)
        self.process = None
        self.stopped = False
        self.own_ends = []
        self.misses = 2
        self.in_rotation = False

    def settings(self):
        port = self.fleet.port
        listen = {
            "datagram_addr": f"{self.ip}:{port['ingress']}",
            "ready_addr": f"{self.ip}:{port['ready']}",
        }
        if self.role == "front":
            listen["control"] = f"{self.ip}:{port['control']}"
        else:
            listen["outbound"] = f"{self.ip}:{port['outbound']}"
        fields = {
            "node": self.name,
            "role": self.role,
            "machine_class": self.role,
            "serves": ["front", "control"] if self.role == "front" else ["side"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r",
            "zones": {zone: "r" for zone in ZONES},
            "listen": listen,
            "internal_ports": [port["peer"], port["peer"] + 1],
            "seeds": [
                f"{machine.ip}:{port['control']}"
                for machine in self.fleet.machines
                if machine.role == "front"
            ][:3],
            "bootstrap": self.fleet.first_start,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "hash": "mod",
            "deploy_mode": "agent",
            "discovery": "platform",
            "entry": "announcement",
            "platform": {
                "address": f"{self.store_ip}:{port['store']}",
                "deploy_mode": "read",
            },
        }
        if self.service:
            fields["service"] = self.service
            fields["app"] = f"{self.ip}:{port['app']}"
        return fields

    async def open_door(self):
        # 200 KB entries fit into one request of a daemon and its answer.
        await asyncio.start_server(
            self.door.serve, self.store_ip, self.fleet.port["store"],
            limit=1 << 20,
        )

    def start(self):
        file = self.fleet.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings()))
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        env |= {
            "BRAMLEYPIN_BOOT": str(file),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = (self.fleet.folder / f"{self.name}.log").open("ab")
        with log:
            self.process = subprocess.Popen(
                self.fleet.command, env=env, cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.fleet.record.line(f"{self.name}: started")

    async def supervise(self):
        """Start the process again after it ended by itself or was stopped."""
        while True:
            await asyncio.sleep(0.05)
            if self.process is None or self.process.poll() is None:
                continue
            if self.stopped:
                continue
            self.own_ends.append(self.fleet.record.now_s())
            self.fleet.record.line(
                f"{self.name}: ended by itself, status "
                f"{self.process.returncode}"
            )
            await asyncio.sleep(0.3)
            self.start()

    async def roll(self):
        """Planned restart: SIGTERM, SIGKILL after the grace time, start."""
        self.stopped = True
        self.fleet.record.line(f"{self.name}: SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + BOUNDS["grace_s"]
        while self.process.poll() is None and time.monotonic() < end_s:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.fleet.record.line(f"{self.name}: stopped")
        await asyncio.sleep(0.3)
        self.start()
        self.stopped = False

    async def probe(self):
        """Ask for readiness twice a second, as the routers do."""
        while True:
            ready = False
            try:
                ready = await asyncio.wait_for(self._is_ready(), 0.4)
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            self.misses = 0 if ready else self.misses + 1
            in_rotation = self.misses < 2
            if in_rotation != self.in_rotation:
                self.in_rotation = in_rotation
                self.fleet.record.line(
                    f"{self.name}: {'in' if in_rotation else 'out of'} rotation"
                )
            await asyncio.sleep(0.5)

    async def _is_ready(self):
        reader, writer = await asyncio.open_connection(
            self.ip, self.fleet.port["ready"]
        )
        try:
            writer.write(
                b"GET /bramleypin/readiness HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            return b" 200 " in await reader.readuntil(b"\r\n")
        finally:
            writer.close()


class Fleet:
    """A small deployment: fronts, sides with their hosts, and the store."""

    def __init__(self, folder, seed=1):
        self.random = random.Random(seed)
        self.record = Record(folder)
        self.store = Store(self.record)
        self.lapse = True
        self.first_start = True
        self.machines = []
        self.hosts = []
        self.clients = []
        self.arrivals = []
        self.resets = []
        self._tasks = set()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["balancer"]["run"].split()
        if not (ROOT / "target" / "deps" / "bramleypin").is_dir():
            raise CannotRun("run the build of deploy/system.toml first")
        self._choose_addresses()

    def _choose_addresses(self):
        rng = random.Random()
        names = (
            "ingress", "ready", "control", "outbound", "app", "store", "peer"
        )
        for _ in range(50):
            self.net = f"127.{rng.randint(10, 250)}.{rng.randint(1, 250)}"
            base = rng.randint(20_000, 30_000)
            self.port = {name: base + n for n, name in enumerate(names)}
            try:
                for port in (*self.port.values(), 9102):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{self.net}.1", port))
                return
            except OSError:
                continue
        raise CannotRun("no free ports on loopback")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def add_machine(self, role, zone, service="", **options):
        number = len(self.machines) + 1
        machine = Machine(self, number, role, zone, service)
        self.machines.append(machine)
        if service:
            host = Host(self, machine, service, **options)
            machine.host = host
            self.hosts.append(host)
        return machine

    def add_client(self, zone):
        ip = f"{self.net}.{200 + len(self.clients)}"
        client = Client(self, ip, zone)
        self.clients.append(client)
        return client

    def record_arrival(self, host, key):
        self.arrivals.append((self.record.now_s(), host, key))

    def fronts(self):
        return [m for m in self.machines if m.role == "front"]

    def route(self, flow, raw):
        """Send a requester's packet to the daemon that the hash selects."""
        fronts = [m for m in self.fronts() if m.zone == flow.zone]
        ready = [m for m in fronts if m.in_rotation]
        if 2 * len(ready) < len(fronts):
            ready = fronts
        number = zlib.crc32(repr(flow.key).encode())
        front = ready[number % len(ready)]
        flow.front = front
        flow.client.socket.sendto(raw, (front.ip, self.port["ingress"]))

    def configure(self, version, service_by_port, idle_ms=15_000):
        routes = [
            {
                "name": f"r-{port}", "hostname": ROUTE_HOST,
                "prefix": f"/{port}/", "type": "unsafe", "timeout_ms": 2000,
                "target_latency_ms": 300, "priority": 1, "service": service,
                "attempts": 2,
            }
            for port, service in service_by_port.items()
        ]
        services = [
            {
                "name": name, "health_path": "/health", "max_conns": 2000,
                "protocol": "h1", "tls": False, "cold_start_s": 2.0,
                "cold_per_s": 0.0,
            }
            for name in sorted(set(service_by_port.values()))
        ]
        self.store.put("op/config", {
            "version": version, "routes": routes, "services": services,
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": idle_ms,
            },
        })
        self.record.line(f"store: configuration {version} acknowledged")

    async def start(self):
        for machine in self.machines:
            await machine.open_door()
        for part in (*self.hosts, *self.clients):
            await part.start()
        for machine in self.machines:
            machine.start()
            self.spawn(machine.supervise())
        for front in self.fronts():
            self.spawn(front.probe())
        end_s = time.monotonic() + 30
        while not all(front.in_rotation for front in self.fronts()):
            if time.monotonic() > end_s:
                raise CannotRun("the daemons did not get ready within 30 s")
            await asyncio.sleep(0.1)
        # All hosts register within a beat, and the first listings settle.
        await asyncio.sleep(4.0)
        self.first_start = False

    def log_lines(self, text):
        """Return the lines of all daemons' logs that hold a text."""
        found = []
        for file in sorted(self.folder.glob("*.log")):
            for line in file.read_text(errors="replace").splitlines():
                if text in line:
                    found.append(f"{file.stem}: {line}")
        return found

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for file in self.folder.glob("*.log"):
                (pathlib.Path(keep) / file.name).write_bytes(file.read_bytes())
        self._temporary.cleanup()


def main(file, scenario):
    """Run ``scenario(fleet, trouble)``; exit with 1 if it returns findings."""
    folder = pathlib.Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = Fleet(folder)
        fleet.record.line(f"disruption: {'on' if trouble else 'off'}")
        try:
            async with asyncio.timeout(110):
                findings = await scenario(fleet, trouble)
            for text in findings:
                fleet.record.line(f"BROKEN: {text}")
            fleet.record.line(
                f"result: {'broken' if findings else 'held'}"
            )
            return findings
        finally:
            await fleet.stop()

    def end(*_):
        raise SystemExit(2)

    # The daemons are ended as well if the script is stopped.
    signal.signal(signal.SIGTERM, end)
    try:
        findings = asyncio.run(run())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in findings[:5]:
        print(text)
    print(f"{len(findings)} findings")
    sys.exit(1 if findings else 0)

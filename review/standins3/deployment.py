"""A small deployment: daemons as processes, hosts, requesters and a router."""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from standins3 import host as host_module
from standins3 import store as store_module
from standins3 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_END_S = 1.4
WINDOW, MAX_DATA = 16, 1_200
PROBE_S = 0.5
SERVICE_IP = "198.18.0.1"
RUN = ("python3", "-m", "bramleypin.platform")


class Record:
    """Writes what happens to a file, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def note(self, who, text):
        """Write one line."""
        now = time.monotonic() - self.started
        self._file.write(f"{now:8.3f} {who}: {text}\n")

    def close(self):
        """Write what is buffered."""
        self._file.close()


class Judge:
    """What was seen on sockets that no rule allows."""

    def __init__(self):
        self.altered = []


class Machine:
    """A machine with one daemon of the system."""

    def __init__(self, deployment, number, name, class_, zone, service=""):
        self.deployment = deployment
        self.host = deployment.address(number)
        self.store_host = deployment.address(number, third=1)
        self.name, self.class_, self.zone = name, class_, zone
        self.service = service
        self.process = None
        self.missed = 2
        self.ends = []
        self.starts = []

    def write_settings(self, first):
        """Write the settings file, as DEPLOY.md shows it."""
        deployment, ports = self.deployment, self.deployment.ports
        listen = {"datagram_addr": f"{self.host}:{ports['datagram']}",
                  "ready_addr": f"{self.host}:{ports['ready']}"}
        serves = ["side"]
        fields = {}
        if self.class_ == "front":
            serves = ["front", "control"]
            listen["control"] = f"{self.host}:{ports['control']}"
        else:
            listen["outbound"] = f"{self.host}:{ports['outbound']}"
            fields = {"app": f"{self.host}:{ports['app']}",
                      "service": self.service}
        seeds = [f"{machine.host}:{ports['control']}"
                 for machine in deployment.fronts[:3]]
        settings = {
            "node": self.name,
            "role": "balancer" if self.class_ == "front" else "agent",
            "machine_class": self.class_, "serves": serves, "ip": self.host,
            "zone": self.zone, "region": "r1",
            "zones": {zone: "r1" for zone in deployment.zones},
            "listen": listen,
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": seeds, "bootstrap": first, "counts_as_loss": False,
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform",
            "entry": "announcement", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover",
                          "flows", "places", "platform"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_delay_s": 2,
                       "stable_window_ms": 4000, "ack_ms": 5000,
                       "catch_up_s": 4, "drain_ms": 3000, "grace_s": 6,
                       "loss_slack_ms": 200, "config_apply_ms": 3000,
                       "rollback_slack_ms": 250, "outer_ms": 12000,
                       "cold_over": 1.5, "cold_slack": 5,
                       "evacuate_ms": 5000, "recovery_s": 12,
                       "flow_ms": 2000, "flow_max_s": 60},
            "hash": "mod", "deploy_mode": "agent",
            "platform": {"address": f"{self.store_host}:{ports['store']}",
                         "deploy_mode": "read", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000},
            **fields}
        self.file = deployment.folder / f"{self.name}.json"
        self.file.write_text(json.dumps(settings))

    def start(self, first=False):
        """Start the daemon with the command of the deploy file."""
        self.write_settings(first)
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        with log:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                     "PYTHONPATH": str(ROOT / "target" / "deps"),
                     "PYTHONDONTWRITEBYTECODE": "1",
                     "BRAMLEYPIN_BOOT": str(self.file)})
        self.starts.append(time.monotonic())
        self.deployment.record.note("machine", f"{self.name} starts")

    def signal(self, number):
        """Send a signal to the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.deployment.record.note(
                "machine", f"{self.name} gets {signal.Signals(number).name}")

    async def restart(self, number, pause_s=0.5, grace_s=6.0):
        """Send SIGTERM or SIGKILL; start again a short time after the end."""
        self.signal(number)
        end = time.monotonic() + grace_s
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() > end:
                self.signal(signal.SIGKILL)
        self.ends.append(time.monotonic())
        self.deployment.record.note(
            "machine", f"{self.name} ended with {self.process.returncode}")
        await asyncio.sleep(pause_s)
        self.start()

    async def probe(self):
        """Ask for readiness twice a second, as the routers do."""
        while True:
            ok = False
            try:
                ok = await asyncio.wait_for(self._ready(), PROBE_S)
            except (OSError, asyncio.TimeoutError):
                pass
            self.missed = 0 if ok else self.missed + 1
            await asyncio.sleep(PROBE_S)

    async def _ready(self):
        reader, writer = await asyncio.open_connection(
            self.host, self.deployment.ports["ready"])
        try:
            writer.write(b"GET /bramleypin/readiness HTTP/1.1\r\n"
                         b"Host: ready\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()


class Requester(asyncio.DatagramProtocol):
    """One requester address; each request opens a flow from a new port."""

    def __init__(self, deployment, host, zone):
        self.deployment, self.host, self.zone = deployment, host, zone
        self._next_port = random.randint(2_000, 20_000)
        self._inbox = {}
        self._transport = None
        self.outcomes = []
        self.resets = []

    async def start(self):
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self.host, self.deployment.ports["datagram"]))

    def datagram_received(self, data, _):
        """Hand a packet to its flow."""
        packet = wire.decode(data)
        if packet is None:
            return
        if not packet.genuine and not packet.system_reset:
            self.deployment.judge.altered.append((self.host, data.hex()))
            return
        inbox = self._inbox.get(packet.dport)
        if inbox is not None:
            inbox.put_nowait(packet)

    def _send(self, key, flags, seq, ack=0, data=b""):
        target = self.deployment.route(self.zone, key)
        if target is not None:
            self._transport.sendto(
                wire.encode(key, flags, seq, ack, data),
                (target, self.deployment.ports["datagram"]))

    async def request(self, port, work_s=0.06, budget_s=2.0, requests=1,
                      pause_s=0.0, size=0, up=0):
        """Open a flow and send requests on it, one after the other."""
        self._next_port += 1
        key = (wire.ip(self.host), self._next_port, wire.ip(SERVICE_IP), port)
        inbox = self._inbox[key[1]] = asyncio.Queue()
        outcome = {"flow": key, "sent": time.monotonic(), "end": "silence",
                   "opened": None, "start": -1, "answers": [], "resets": []}
        self.outcomes.append(outcome)
        try:
            await self._flow(key, inbox, outcome, work_s, budget_s, requests,
                             pause_s, size, up)
        finally:
            outcome["ended"] = time.monotonic()
            del self._inbox[key[1]]

    async def _flow(self, key, inbox, outcome, work_s, budget_s, requests,
                    pause_s, size, up):
        began, first = time.monotonic(), random.getrandbits(32)
        outcome["syn"] = first
        answer = None
        for copies, at in enumerate(SYN_TIMES_S):
            self._send(key, wire.SYN, first, copies)
            until = began + (*SYN_TIMES_S[1:], SYN_END_S)[copies]
            answer = await self._next(inbox, until)
            if answer is not None:
                break
        if answer is None:
            return
        if answer.flags & wire.RST:
            outcome["end"] = "reset"
            return
        outcome["opened"], outcome["start"] = time.monotonic(), answer.seq
        seq, ack = first + 1, (answer.seq + 1) & wire.MASK
        for number in range(requests):
            if number:
                # A reset that arrives in a pause is seen as well.
                packet = await self._next(inbox, time.monotonic() + pause_s)
                while packet is not None:
                    if self._is_reset(packet, ack, outcome):
                        outcome["end"] = "reset"
                        return
                    packet = await self._next(inbox, time.monotonic() + 0.05)
            id_ = f"{wire.text_ip(key[0])}-{key[1]}-{number}"
            data = json.dumps({"id": id_, "work_s": work_s, "size": size,
                               "up": up}).encode() + b"\n" + bytes(up)
            parts = [(seq + at, data[at:at + MAX_DATA])
                     for at in range(0, len(data), MAX_DATA)]
            sent, wait, until = 0, 0.2, 0.0
            end = time.monotonic() + budget_s
            began_s, body, early, packets, head = (
                time.monotonic(), bytearray(), {}, 0, None)
            while head is None or len(body) < head["total"]:
                now = time.monotonic()
                if now >= end:
                    outcome["end"] = "silence"
                    outcome["request"] = number
                    return
                if parts and now >= until and not body:
                    if sent:
                        for at, part in parts[:sent]:
                            self._send(key, wire.ACK, at, ack, part)
                    until, wait = now + wait, min(1.6, 2 * wait)
                while parts and sent < min(WINDOW, len(parts)):
                    at, part = parts[sent]
                    sent += 1
                    self._send(key, wire.ACK, at, ack, part)
                packet = await self._next(
                    inbox, min(end, until) if parts else end)
                if packet is None:
                    continue
                if not packet.flags & wire.RST:
                    got = [p for p in parts if wire.ahead(
                        p[0] + len(p[1]) & wire.MASK, packet.ack) <= 0]
                    if got:
                        del parts[:len(got)]
                        sent -= len(got)
                        until, wait = time.monotonic() + 0.2, 0.4
                if packet.flags & wire.RST:
                    if self._is_reset(packet, ack, outcome):
                        outcome["end"] = "reset"
                        outcome["request"] = number
                        return
                    continue
                if not packet.data:
                    continue
                early[packet.seq] = packet.data
                while ack in early:
                    part = early.pop(ack)
                    body += part
                    ack = (ack + len(part)) & wire.MASK
                if head is None and b"\n" in body:
                    line, _, _ = bytes(body).partition(b"\n")
                    head = json.loads(line)
                    head["total"] = len(line) + 1 + head["size"]
                packets += 1
                if packets % 2 == 0:
                    self._send(key, wire.ACK, seq + len(data), ack)
            outcome["answers"].append((began_s, time.monotonic(),
                                       head["id"] == id_, len(body)))
            seq += len(data)
            self._send(key, wire.ACK, seq, ack)
        outcome["end"] = "answered"
        self._send(key, wire.ACK | wire.FIN, seq, ack)

    def _is_reset(self, packet, ack, outcome):
        if not packet.flags & wire.RST:
            return False
        if abs(wire.ahead(packet.seq, ack)) > wire.RESET_WINDOW:
            return False
        outcome["resets"].append((time.monotonic(), packet.system_reset))
        return True

    @staticmethod
    async def _next(inbox, until):
        try:
            return await asyncio.wait_for(
                inbox.get(), max(0.0, until - time.monotonic()))
        except asyncio.TimeoutError:
            return None


class Deployment:
    """Starts everything on loopback addresses of its own and ends it.

    ``hosts`` lists (zone, service) of each host, ``fronts`` the zone of each
    front machine.
    """

    def __init__(self, folder, record, settings, fronts, hosts, spare=()):
        self.folder, self.record, self.settings = folder, record, settings
        self.judge = Judge()
        self._net = (random.randint(40, 230), random.randint(2, 200))
        self.zones = list(dict.fromkeys([*fronts, *(z for z, _ in hosts)]))
        base = random.randint(20_000, 28_000)
        names = ("datagram", "ready", "control", "outbound", "app", "store")
        self.ports = {name: base + n for n, name in enumerate(names)}
        self.ports["internal"] = base + 100
        self.store = store_module.Store(record)
        self.version = 3
        self.fronts, self.sides, self.hosts, self.requesters = [], [], [], []
        for n, zone in enumerate([*fronts, *spare]):
            self.fronts.append(Machine(
                self, 10 + n, f"front-{zone}-{n + 1}", "front", zone))
        self.spares = self.fronts[len(fronts):]
        self.in_use = self.fronts[:len(fronts)]
        for n, (zone, service) in enumerate(hosts):
            machine = Machine(self, 40 + n, f"side-{zone}-{n + 1}", "side",
                              zone, service)
            self.sides.append(machine)
            self.hosts.append(host_module.Host(
                self, machine, service, f"i-{random.getrandbits(40):010x}"))
        self.extra_machines = []
        self._tasks = []

    def address(self, number, third=0):
        """Return a loopback address of this deployment."""
        return f"127.{self._net[0]}.{self._net[1] + third}.{number}"

    def route(self, zone, key):
        """Return the front machine to which a packet goes (``mod``)."""
        local = [m for m in self.in_use if m.zone == zone]
        ready = [m for m in local if m.missed < 2]
        chosen = ready if 2 * len(ready) >= len(local) else local
        if not ready:
            chosen = [m for m in self.in_use if m.missed < 2] or local
        if not chosen:
            return None
        return chosen[hash(key) % len(chosen)].host

    def configure(self, routes, services):
        """Write a configuration, as the operator does."""
        self.version += random.randint(1, 4)
        self.store.put("op/config", {
            "version": self.version, "services": services, "routes": routes,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.record.note("operator", f"configuration {self.version} acked")

    async def start(self, requesters_per_zone=2):
        """Start store, hosts, daemons and requesters; wait until ready."""
        for machine in [*self.fronts, *self.sides]:
            await self.store.listen(machine.store_host, self.ports["store"],
                                    machine.name)
        for host in self.hosts:
            await host.start(cold=False)
        for machine in [*self.in_use, *self.sides]:
            machine.start(first=True)
            self._tasks.append(asyncio.ensure_future(machine.probe()))
        for n, zone in enumerate(self.zones):
            for k in range(requesters_per_zone):
                requester = Requester(
                    self, self.address(120 + 10 * n + k), zone)
                await requester.start()
                self.requesters.append(requester)
        end = time.monotonic() + 15
        while any(m.missed for m in self.in_use):
            if time.monotonic() > end:
                raise RuntimeError("front machines did not become ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3.0)

    def add(self, machine):
        """Add a spare front machine."""
        machine.start()
        self.in_use.append(machine)
        self._tasks.append(asyncio.ensure_future(machine.probe()))

    async def traffic(self, seconds, per_s, port, **request):
        """Send requests at random times for some seconds."""
        tasks, end = set(), time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(random.expovariate(per_s))
            requester = random.choice(self.requesters)
            task = asyncio.ensure_future(requester.request(port, **request))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=10)

    def stop(self):
        """End all processes that were started."""
        for machine in [*self.fronts, *self.sides, *self.extra_machines]:
            if machine.process is not None:
                if machine.process.poll() is None:
                    machine.process.kill()
                machine.process.wait()
        for task in self._tasks:
            task.cancel()

    def outcomes(self):
        """Return the outcomes of all requests, in order of sending."""
        return sorted((o for r in self.requesters for o in r.outcomes),
                      key=lambda o: o["sent"])


def cold_excess(deployment, span_s=1.0):
    """Return the worst second of each cold span: (requests, host, at).

    Counted are requests that were sent and arrived inside that second.
    """
    sent = {(o["flow"], o.get("syn")): o["sent"]
            for o in deployment.outcomes()}
    worst = []
    for host in deployment.hosts:
        for begin, end in host.cold_spans:
            taken = [(arrived, sent.get((key, syn), arrived))
                     for arrived, key, syn, _ in host.taken
                     if begin <= arrived <= end]
            best = (0, begin)
            for _, first in taken:
                count = sum(1 for arrived, at in taken
                            if at >= first and arrived <= first + span_s)
                best = max(best, (count, first))
            worst.append((best[0], host.id, best[1], len(taken)))
    return sorted(worst, reverse=True)


def main(folder, scenario):
    """Run a scenario; exit with 0 if the rule held, 1 if not, 2 on errors."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    logs = os.environ.get("KEEP_LOGS")
    code = 2
    with tempfile.TemporaryDirectory() as temporary:
        path = pathlib.Path(logs or temporary)
        path.mkdir(parents=True, exist_ok=True)
        try:
            code = asyncio.run(asyncio.wait_for(
                scenario(path, record, trouble), 110))
        except (OSError, RuntimeError, TimeoutError,
                asyncio.TimeoutError) as error:
            record.note("run", f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}")
        finally:
            record.note("run", f"exit code {code}")
            record.close()
    sys.exit(code)

"""One soak run: a deployment, a schedule of faults, and the checks."""

import collections
import dataclasses
import pathlib
import random
import signal

import anyio

from bramleypin.internal.stream import segment
from tests.soak import ends
from tests.soak import machines
from tests.soak import store as store_module

DOMAINS = ("a", "b", "c")
BALANCERS = 3
ENDPOINTS = 5
FAULTS_S = 9.0
SETTLE_S = 2.5
RECOVERY_S = 6.0
REQUESTS_PER_S = 40.0
SERVICE_HOST = segment.ipv4_to_int("198.18.0.1")
ADDRESS_BY_SERVICE = {
    "desk": (SERVICE_HOST, 443),
    "archive": (SERVICE_HOST, 8443),
}
# The address of a route that a configuration change removes.
DROPPED = (SERVICE_HOST, 9000)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that hits a machine, given by its index in the deployment.

    The kinds ``forget history`` and ``kill all balancers`` ignore it.
    """

    at_s: float
    kind: str
    machine: int
    for_s: float


STORE_MODES = ("delay", "silent", "one_way", "refuse")
KINDS = (
    *(f"store {mode}" for mode in STORE_MODES),
    "kill",
    "stop",
    "pause",
    "hangup",
    "kill all balancers",
    "forget history",
)


def schedule(rng: random.Random) -> list[Fault]:
    """Return random series of faults, which may overlap, by start time."""
    found = []
    for _ in range(rng.randint(3, 7)):
        at_s = rng.uniform(0.0, FAULTS_S - 2.0)
        machine = rng.randrange(BALANCERS + ENDPOINTS)
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(KINDS)
            found.append(Fault(at_s, kind, machine, rng.uniform(0.2, 2.0)))
            at_s += rng.uniform(0.05, 1.0)
    return sorted(found, key=lambda fault: fault.at_s)


class World:
    """A deployment on loopback addresses with the three octets ``net``."""

    def __init__(self, folder: pathlib.Path, net: str, seed: int):
        self.rng = random.Random(seed)
        self.faults = schedule(self.rng)
        self.store = store_module.Store()
        self.runs: list[ends.Run] = []
        self.violations: list[str] = []
        self.acks: dict[str, float] = {}
        # Start and end of all faults, and of those that may break flows.
        self.disturbances: list[tuple[float, float]] = []
        self.broken: list[tuple[float, float]] = []
        self._net = net
        self._version = 1
        self.machines: list[machines.Machine] = []
        self.endpoints: list[ends.Endpoint] = []
        for number in range(BALANCERS + ENDPOINTS):
            more = {"zone": DOMAINS[number % 3], "store": self.store}
            if number < BALANCERS:
                more["serves"] = ["front", "control"]
            else:
                more["serves"] = ["side"]
                # The endpoints of "archive" are in two failure domains, one
                # of which is taken out of service.
                more["service"] = "archive" if number in (5, 6) else "desk"
            machine = machines.Machine(folder, net, number + 1, **more)
            self.machines.append(machine)
            if number >= BALANCERS:
                self.endpoints.append(
                    ends.Endpoint(
                        f"e{number}",
                        more["service"],
                        (machine.host, machines.APP_PORT),
                        (machine.host, machines.OUTBOUND_PORT),
                        self.runs,
                    )
                )
        self.caller = ends.Caller(
            f"{net}.90", machines.INGRESS_PORT, self.in_rotation, self.rng
        )

    def in_rotation(self) -> list[str]:
        """Return the ready balancers' hosts, or all when none is ready."""
        fronts = self.machines[:BALANCERS]
        ready = [m.host for m in fronts if m.missed < machines.MISSES]
        return ready or [m.host for m in fronts]

    def register(self, endpoint: ends.Endpoint, state: str = "ready") -> None:
        """Write an endpoint's registration to the store."""
        machine = self.machine_of(endpoint)
        entry = {
            "service": endpoint.service,
            "address": f"{machine.host}:{machines.APP_PORT}",
            "zone": machine.domain,
            "version": "1",
            "slots": 5,
            "state": state,
            "cold_remaining_ms": 0,
            "born": 1_700_000_000_000,
            "seq": 1,
        }
        self.store.put(f"servers/{endpoint.name}", entry)

    def machine_of(self, endpoint: ends.Endpoint) -> machines.Machine:
        """Return the machine that runs the endpoint's agent."""
        number = self.endpoints.index(endpoint)
        return self.machines[BALANCERS + number]

    def configure(self, drop: bool) -> None:
        """Write the configuration, with or without the dropped route."""
        addresses = dict(ADDRESS_BY_SERVICE)
        if not drop:
            addresses["dropped"] = DROPPED
        self._version += 3
        routes = [
            {
                "name": name,
                "hostname": segment.ipv4_to_text(host),
                "prefix": f"/{port}/",
                "service": "desk" if name == "dropped" else name,
                "type": "unsafe",
                "timeout_ms": 2000,
                "target_latency_ms": 250,
                "priority": 1,
            }
            for name, (host, port) in addresses.items()
        ]
        services = [{"name": name} for name in ADDRESS_BY_SERVICE]
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": services,
                "limits": {"idle_timeout_ms": 15000},
            },
        )
        if drop:
            self.acks["dropped"] = anyio.current_time()

    async def play(self) -> list[str]:
        """Run the deployment under load and faults; return the violations."""
        self.configure(drop=False)
        for endpoint in self.endpoints:
            self.register(endpoint)
        async with anyio.create_task_group() as tasks:
            for endpoint in self.endpoints:
                tasks.start_soon(endpoint.serve)
            tasks.start_soon(self.caller.serve)
            for machine in self.machines:
                tasks.start_soon(machine.serve_store)
                tasks.start_soon(machine.ask_readiness)
                machine.start()
            try:
                await anyio.sleep(SETTLE_S)
                await self._under_load()
            finally:
                with anyio.CancelScope(shield=True):
                    async with anyio.create_task_group() as ending:
                        for machine in self.machines:
                            ending.start_soon(machine.end)
            tasks.cancel_scope.cancel()
        return self.violations

    async def _under_load(self) -> None:
        started_s = anyio.current_time()
        async with anyio.create_task_group() as load:
            load.start_soon(self._planned)
            async with anyio.create_task_group() as striking:
                striking.start_soon(self._send, load, started_s)
                for fault in self.faults:
                    striking.start_soon(self._strike, fault, started_s)
        self._check(started_s)

    async def _send(self, load, started_s: float) -> None:
        end_s = started_s + FAULTS_S + RECOVERY_S
        addresses = [*ADDRESS_BY_SERVICE.values(), DROPPED]
        while anyio.current_time() < end_s:
            address = self.rng.choices(addresses, (10, 4, 1))[0]
            requests = self.rng.choice((1, 1, 1, 4))
            pause_s = self.rng.uniform(0.05, 0.8)
            load.start_soon(self.caller.flow, address, requests, pause_s)
            await anyio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def _planned(self) -> None:
        """Drain an endpoint, remove a route, take a domain out and back."""
        await anyio.sleep(self.rng.uniform(0.0, 2.0))
        leaving = self.endpoints[0]
        self.register(leaving, "draining")
        self.acks[leaving.name] = anyio.current_time()
        await anyio.sleep(self.rng.uniform(0.0, 2.0))
        self.configure(drop=True)
        await anyio.sleep(self.rng.uniform(0.0, 1.0))
        self.store.put("op/evacuate/c", {})
        self.acks["out"] = anyio.current_time()
        await anyio.sleep(machines.OUT_S + 3.0)
        self.store.delete("op/evacuate/c")
        self.acks["back"] = anyio.current_time()

    async def _strike(self, fault: Fault, started_s: float) -> None:
        left_s = started_s + fault.at_s - anyio.current_time()
        await anyio.sleep(max(0.0, left_s))
        if fault.kind == "forget history":
            self.store.forget_history()
            return
        hit = [self.machines[fault.machine]]
        if fault.kind == "kill all balancers":
            hit = self.machines[:BALANCERS]
        began_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for machine in hit:
                tasks.start_soon(self._apply, fault, machine)
        span = (began_s, anyio.current_time())
        self.disturbances.append(span)
        # Neither a graceful stop of a balancer nor an unavailable store may
        # break an open flow.
        planned = fault.kind == "stop" and fault.machine < BALANCERS
        if not planned and not fault.kind.startswith(("store", "hangup")):
            self.broken.append(span)

    @staticmethod
    async def _apply(fault: Fault, machine: machines.Machine) -> None:
        kind, _, mode = fault.kind.partition(" ")
        if kind == "store":
            machine.proxy.mode = mode
            await anyio.sleep(fault.for_s)
            machine.proxy.mode = "pass"
        elif kind == "pause":
            machine.signal(signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            machine.signal(signal.SIGCONT)
        elif kind == "hangup":
            machine.signal(signal.SIGHUP)
        elif kind in ("kill", "stop"):
            if kind == "kill" and machine.running:
                machine.process.kill()
            await machine.end()
            await anyio.sleep(fault.for_s / 4)
            if not machine.running:
                machine.start()

    def summary(self) -> str:
        """Return the number of requests by outcome."""
        kinds = collections.Counter(o.kind for o in self.caller.outcomes)
        return ", ".join(f"{n} {kind}" for kind, n in kinds.most_common())

    # Checks

    def _fail(self, text: str) -> None:
        self.violations.append(text)

    @staticmethod
    def _is_calm(at_s: float, spans: list[tuple[float, float]]) -> bool:
        """Return whether no fault was active or ended within the bound."""
        return not any(
            began_s <= at_s <= ended_s + machines.CALM_S
            for began_s, ended_s in spans
        )

    def _check(self, started_s: float) -> None:
        """Check the guarantees against what callers and endpoints recorded."""
        self._check_requests()
        self._check_openings()
        self._check_recovery(started_s + FAULTS_S)
        for machine in self.machines:
            if not machine.running:
                self._fail(f"{machine.name} exited without being stopped")

    def _check_requests(self) -> None:
        service_by_address = {
            address: name for name, address in ADDRESS_BY_SERVICE.items()
        }
        service_by_address[DROPPED] = "desk"
        outcome_by_request = {o.request: o for o in self.caller.outcomes}
        seen: dict[str, ends.Run] = {}
        for run in self.runs:
            outcome = outcome_by_request.get(run.request)
            if outcome is None:
                self._fail(f"{run.request!r} was executed but never sent")
            elif service_by_address[outcome.address] != run.service:
                self._fail(f"{run.request} was executed by the wrong service "
                    f"{run.service}")
            before = seen.get(run.request)
            if before is not None:
                self._fail(
                    f"{run.request} was executed twice: {before.endpoint} at "
                    f"{before.at_s:.3f}, {run.endpoint} at {run.at_s:.3f}"
                )
            seen[run.request] = run
        for outcome in self.caller.outcomes:
            service = service_by_address[outcome.address]
            expected = f"{outcome.request} by {service}"
            if outcome.kind == "answered" and outcome.body != expected:
                self._fail(f"{outcome.request} has a wrong answer: {outcome.body!r}")
            if (
                outcome.kind == "reset"
                and outcome.opened
                and self._is_calm(outcome.ended_s, self.broken)
                and outcome.address != DROPPED
            ):
                self._fail(f"{outcome.request} was reset in an open flow without a fault")

    def _check_openings(self) -> None:
        for endpoint in self.endpoints:
            drained_s = self.acks.get(endpoint.name)
            domain = self.machine_of(endpoint).domain
            for at_s, address in endpoint.openings:
                if not self._is_calm(at_s, self.disturbances):
                    continue
                if drained_s and at_s > drained_s + machines.DRAIN_S:
                    self._fail(f"{endpoint.name} accepted a flow after its drain bound")
                out_s, back_s = self.acks["out"], self.acks["back"]
                if domain == "c" and out_s + machines.OUT_S < at_s < back_s:
                    self._fail(f"{endpoint.name} accepted a flow out of service")
                dropped_s = self.acks["dropped"] + machines.CONFIGURATION_S
                if address == DROPPED and at_s > dropped_s:
                    self._fail(f"{endpoint.name} accepted a flow on a removed route")

    def _check_recovery(self, faults_end_s: float) -> None:
        """Check that all requests are answered after the last fault."""
        ends_s = [ended_s for _, ended_s in self.disturbances]
        from_s = max([faults_end_s, *ends_s]) + machines.CALM_S
        late = [
            outcome
            for outcome in self.caller.outcomes
            if outcome.sent_s > from_s and outcome.address != DROPPED
        ]
        lost = [item for item in late if item.kind != "answered"]
        for outcome in lost:
            self._fail(f"{outcome.request} ended in {outcome.kind} after recovery")

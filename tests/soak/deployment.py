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
from tests import store_entries

DOMAINS = ("a", "b", "c")
BALANCERS = 3
ENDPOINTS = 5
FAULT_PERIOD_S = 9.0
STARTUP_S = 2.5
RECOVERY_PERIOD_S = 6.0
REQUESTS_PER_S = 40.0
# In half of the runs, balancers and agents are killed in series that overlap,
# while callers keep flows open and soon use their ports again.
KILL_INTERVAL_S = (0.4, 1.6)
# A balancer stays away until it is out of rotation, so that flows change
# balancers and return.
BALANCER_DOWN_S = (0.8, 2.0)
AGENT_DOWN_S = (0.0, 0.5)
KEPT_FLOW_REQUESTS = 6
KEPT_FLOW_PAUSE_S = (0.5, 1.2)
KEPT_FLOW_FRACTION = 0.4
KEPT_FLOW_REUSED_PORTS_FRACTION = 0.9
KEPT_FLOW_REUSE_DELAY_S = 1.0
# In two of five runs, the store is restored from a copy. What it loses by that
# is written again within the time that a live endpoint needs to register.
RESTORATIONS = 2
RESTORED_AGE_S = (0.5, 6.0)
UNAVAILABLE_S = (0.0, 1.5)
REWRITE_S = (0.1, 1.5)
SERVICE_HOST = segment.ipv4_to_int("198.18.0.1")
ADDRESS_BY_SERVICE = {
    "desk": (SERVICE_HOST, 443),
    "archive": (SERVICE_HOST, 8443),
}
# The address of a route that a configuration change removes.
DROPPED_ADDRESS = (SERVICE_HOST, 9000)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that hits a machine, given by its index in the deployment.

    The kinds ``forget history`` and ``kill all balancers`` do not use
    ``machine``.
    """

    at_s: float
    kind: str
    machine: int
    duration_s: float


STORE_MODES = ("delay", "silent", "one_way", "refuse")
FAULT_KINDS = (
    *(f"store {mode}" for mode in STORE_MODES),
    "kill",
    "stop",
    "pause",
    "hangup",
    "kill all balancers",
    "forget history",
)


def schedule(rng: random.Random) -> list[Fault]:
    """Return faults of random, overlapping series, sorted by start."""
    faults = []
    for _ in range(rng.randint(3, 7)):
        at_s = rng.uniform(0.0, FAULT_PERIOD_S - 2.0)
        machine = rng.randrange(BALANCERS + ENDPOINTS)
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(FAULT_KINDS)
            faults.append(Fault(at_s, kind, machine, rng.uniform(0.2, 2.0)))
            at_s += rng.uniform(0.05, 1.0)
    return sorted(faults, key=lambda fault: fault.at_s)


class Deployment:
    """A deployment whose loopback addresses start with ``net``."""

    def __init__(self, folder: pathlib.Path, net: str, seed: int):
        self.rng = random.Random(seed)
        self.faults = schedule(self.rng)
        # Random numbers of their own keep the schedules of earlier seeds.
        self._foreign_rng = random.Random(seed)
        self._kill_rng = random.Random(seed)
        self._restore_rng = random.Random(seed)
        self._restores = seed % 5 in (1, 2)
        self._kills_in_series = seed % 4 >= 2
        self.store = store_module.Store()
        self.executions: list[ends.Execution] = []
        self.violations: list[str] = []
        self.acknowledged_s_by_change: dict[str, float] = {}
        # Start and end of all faults, and of those that may break flows.
        self.fault_spans: list[tuple[float, float]] = []
        self.flow_breaking_spans: list[tuple[float, float]] = []
        self._net = net
        self._version = 1
        self.machines: list[machines.Machine] = []
        self.endpoints: list[ends.Endpoint] = []
        for number in range(BALANCERS + ENDPOINTS):
            fields = {"zone": DOMAINS[number % 3], "store": self.store}
            if number < BALANCERS:
                fields["serves"] = ["front", "control"]
            else:
                fields["serves"] = ["side"]
                # The endpoints of "archive" are in two failure domains, one
                # of which is taken out of service.
                fields["service"] = "archive" if number in (5, 6) else "desk"
            machine = machines.Machine(folder, net, number + 1, **fields)
            self.machines.append(machine)
            if number >= BALANCERS:
                self.endpoints.append(
                    ends.Endpoint(
                        f"e{number}",
                        fields["service"],
                        (machine.host, machines.APP_PORT),
                        (machine.host, machines.OUTBOUND_PORT),
                        self.executions,
                    )
                )
        reuse = (
            (KEPT_FLOW_REUSED_PORTS_FRACTION, KEPT_FLOW_REUSE_DELAY_S)
            if self._kills_in_series
            else ()
        )
        self.caller = ends.Caller(
            f"{net}.90",
            machines.INGRESS_PORT,
            self.in_rotation,
            random.Random(seed),
            *reuse,
        )

    def in_rotation(self) -> list[str]:
        """Return the hosts of ready balancers, or of all if none is ready."""
        balancers = self.machines[:BALANCERS]
        ready_hosts = [
            machine.host
            for machine in balancers
            if machine.missed_probes < machines.MAX_MISSED_PROBES
        ]
        return ready_hosts or [machine.host for machine in balancers]

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
        """Write the configuration; with ``drop``, omit the removed route."""
        addresses = dict(ADDRESS_BY_SERVICE)
        if not drop:
            addresses["dropped"] = DROPPED_ADDRESS
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
            self.acknowledged_s_by_change["dropped"] = anyio.current_time()

    async def run_scenario(self) -> list[str]:
        """Run the deployment under load and faults; return violations."""
        self.configure(drop=False)
        for endpoint in self.endpoints:
            self.register(endpoint)
        async with anyio.create_task_group() as tasks:
            for endpoint in self.endpoints:
                tasks.start_soon(endpoint.serve)
            tasks.start_soon(self.caller.serve)
            for machine in self.machines:
                tasks.start_soon(machine.serve_store)
                tasks.start_soon(machine.probe_readiness)
                machine.start()
            try:
                await anyio.sleep(STARTUP_S)
                await self._run_under_load()
            finally:
                with anyio.CancelScope(shield=True):
                    async with anyio.create_task_group() as ending:
                        for machine in self.machines:
                            ending.start_soon(machine.terminate)
            tasks.cancel_scope.cancel()
        return self.violations

    async def _run_under_load(self) -> None:
        started_s = anyio.current_time()
        async with anyio.create_task_group() as load:
            load.start_soon(self._make_planned_changes)
            load.start_soon(self._write_foreign_entries)
            if self._restores:
                load.start_soon(self._restore_store)
            async with anyio.create_task_group() as injections:
                injections.start_soon(self._generate_load, load, started_s)
                if self._kills_in_series:
                    for group, down_s in (
                        (self.machines[:BALANCERS], BALANCER_DOWN_S),
                        (self.machines[BALANCERS:], AGENT_DOWN_S),
                    ):
                        injections.start_soon(
                            self._kill_in_turn, group, down_s
                        )
                for fault in self.faults:
                    injections.start_soon(self._inject, fault, started_s)
        self._check(started_s)

    async def _generate_load(self, load, started_s: float) -> None:
        end_s = started_s + FAULT_PERIOD_S + RECOVERY_PERIOD_S
        addresses = [*ADDRESS_BY_SERVICE.values(), DROPPED_ADDRESS]
        while anyio.current_time() < end_s:
            address = self.rng.choices(addresses, (10, 4, 1))[0]
            requests = self.rng.choice((1, 1, 1, 4))
            pause_s = self.rng.uniform(0.05, 0.8)
            if (
                self._kills_in_series
                and self._kill_rng.random() < KEPT_FLOW_FRACTION
            ):
                requests = KEPT_FLOW_REQUESTS
                pause_s = self._kill_rng.uniform(*KEPT_FLOW_PAUSE_S)
            load.start_soon(self.caller.flow, address, requests, pause_s)
            await anyio.sleep(self.rng.expovariate(REQUESTS_PER_S))

    async def _make_planned_changes(self) -> None:
        """Drain an endpoint, remove a route, temporarily evacuate a domain."""
        await anyio.sleep(self.rng.uniform(0.0, 2.0))
        draining_endpoint = self.endpoints[0]
        self.register(draining_endpoint, "draining")
        self.acknowledged_s_by_change[draining_endpoint.name] = (
            anyio.current_time()
        )
        await anyio.sleep(self.rng.uniform(0.0, 2.0))
        self.configure(drop=True)
        await anyio.sleep(self.rng.uniform(0.0, 1.0))
        self.store.put("op/evacuate/c", {})
        self.acknowledged_s_by_change["out"] = anyio.current_time()
        await anyio.sleep(machines.EVACUATION_S + 3.0)
        self.store.delete("op/evacuate/c")
        self.acknowledged_s_by_change["back"] = anyio.current_time()

    async def _write_foreign_entries(self) -> None:
        """Write entries as another writer among those of the endpoints."""
        end_s = anyio.current_time() + FAULT_PERIOD_S + RECOVERY_PERIOD_S
        while anyio.current_time() < end_s:
            await anyio.sleep(self._foreign_rng.uniform(0.2, 1.5))
            key = f"servers/foreign-{self._foreign_rng.randrange(4)}"
            _, value = self._foreign_rng.choice(store_entries.ENTRIES)
            if self._foreign_rng.random() < 0.3:
                self.store.delete(key)
            else:
                self.store.put_bytes(key, value)

    async def _restore_store(self) -> None:
        """Restore the store from copies; write again what that loses."""
        rng = self._restore_rng
        for _ in range(RESTORATIONS):
            await anyio.sleep(
                rng.uniform(0.2, 0.8) * FAULT_PERIOD_S / RESTORATIONS
            )
            unavailable_s = rng.uniform(*UNAVAILABLE_S)
            proxies = [machine.proxy for machine in self.machines]
            affected = [item for item in proxies if item.mode == "pass"]
            for proxy in affected:
                proxy.mode = "refuse"
            await anyio.sleep(unavailable_s)
            lost = self.store.restore(rng.uniform(*RESTORED_AGE_S))
            for proxy in affected:
                proxy.mode = "pass"
            restored_s = anyio.current_time()
            for key in sorted(lost, key=lambda _: rng.random()):
                await anyio.sleep(rng.uniform(*REWRITE_S) / len(lost))
                self.store.write_again(key, lost[key])
            rewritten_s = anyio.current_time()
            # A change that no daemon may have heard of before the restoration
            # counts as acknowledged when it is written again.
            oldest_s = restored_s - unavailable_s - machines.EVACUATION_S
            for change, at_s in self.acknowledged_s_by_change.items():
                if at_s > oldest_s and change != "back":
                    self.acknowledged_s_by_change[change] = rewritten_s

    async def _kill_in_turn(
        self, group: list[machines.Machine], down_s: tuple[float, float]
    ) -> None:
        """Kill machines of a group one after the other, and start them."""
        end_s = anyio.current_time() + FAULT_PERIOD_S
        while anyio.current_time() < end_s:
            await anyio.sleep(self._kill_rng.uniform(*KILL_INTERVAL_S))
            machine = self._kill_rng.choice(group)
            start_s = anyio.current_time()
            await self._restart(
                machine, self._kill_rng.uniform(*down_s), kill=True
            )
            span = (start_s, anyio.current_time())
            self.fault_spans.append(span)
            self.flow_breaking_spans.append(span)

    async def _inject(self, fault: Fault, started_s: float) -> None:
        delay_s = started_s + fault.at_s - anyio.current_time()
        await anyio.sleep(max(0.0, delay_s))
        if fault.kind == "forget history":
            self.store.forget_history()
            return
        affected = [self.machines[fault.machine]]
        if fault.kind == "kill all balancers":
            affected = self.machines[:BALANCERS]
        start_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for machine in affected:
                tasks.start_soon(self._apply, fault, machine)
        span = (start_s, anyio.current_time())
        self.fault_spans.append(span)
        # A graceful stop of a balancer, an unavailable store or SIGHUP must
        # not break an open flow.
        is_graceful_stop = fault.kind == "stop" and fault.machine < BALANCERS
        if not is_graceful_stop and not fault.kind.startswith(
            ("store", "hangup")
        ):
            self.flow_breaking_spans.append(span)

    @staticmethod
    async def _restart(
        machine: machines.Machine, down_s: float, kill: bool
    ) -> None:
        """Kill or stop a machine's process, and start it ``down_s`` later."""
        if kill and machine.running:
            machine.process.kill()
        await machine.terminate()
        await anyio.sleep(down_s)
        if not machine.running:
            machine.start()

    @staticmethod
    async def _apply(fault: Fault, machine: machines.Machine) -> None:
        kind, _, mode = fault.kind.partition(" ")
        if kind == "store":
            machine.proxy.mode = mode
            await anyio.sleep(fault.duration_s)
            machine.proxy.mode = "pass"
        elif kind == "pause":
            machine.signal(signal.SIGSTOP)
            await anyio.sleep(fault.duration_s)
            machine.signal(signal.SIGCONT)
        elif kind == "hangup":
            machine.signal(signal.SIGHUP)
        elif kind in ("kill", "stop"):
            await Deployment._restart(
                machine, fault.duration_s / 4, kill=kind == "kill"
            )

    def summary(self) -> str:
        """Return the number of requests by outcome, as text."""
        kinds = collections.Counter(
            outcome.kind for outcome in self.caller.outcomes
        )
        return ", ".join(f"{n} {kind}" for kind, n in kinds.most_common())

    # Checks

    def _add_violation(self, text: str) -> None:
        self.violations.append(text)

    @staticmethod
    def _is_undisturbed(at_s: float, spans: list[tuple[float, float]]) -> bool:
        """Return whether no fault was active at a time or shortly before it.

        The interval before ``at_s`` is ``RECOVERY_TIME_S``.
        """
        return not any(
            start_s <= at_s <= ended_s + machines.RECOVERY_TIME_S
            for start_s, ended_s in spans
        )

    def _check(self, started_s: float) -> None:
        """Check the guarantees against what callers and endpoints recorded."""
        self._check_requests()
        self._check_resets()
        self._check_openings()
        self._check_recovery(started_s + FAULT_PERIOD_S)
        for machine in self.machines:
            if not machine.running:
                self._add_violation(
                    f"{machine.name} exited without being stopped, "
                    f"with status {machine.process.returncode}"
                )

    def _check_requests(self) -> None:
        service_by_address = {
            address: name for name, address in ADDRESS_BY_SERVICE.items()
        }
        service_by_address[DROPPED_ADDRESS] = "desk"
        outcome_by_request = {
            outcome.request: outcome for outcome in self.caller.outcomes
        }
        execution_by_request: dict[str, ends.Execution] = {}
        for execution in self.executions:
            outcome = outcome_by_request.get(execution.request)
            if outcome is None:
                self._add_violation(
                    f"{execution.request!r} was executed but never sent"
                )
            elif service_by_address[outcome.address] != execution.service:
                self._add_violation(
                    f"{execution.request} was executed by the wrong service "
                    f"{execution.service}"
                )
            earlier = execution_by_request.get(execution.request)
            if earlier is not None:
                self._add_violation(
                    f"{execution.request} was executed twice: "
                    f"{earlier.endpoint} at {earlier.at_s:.3f}, "
                    f"{execution.endpoint} at {execution.at_s:.3f}"
                )
            execution_by_request[execution.request] = execution
        for outcome in self.caller.outcomes:
            service = service_by_address[outcome.address]
            expected_body = f"{outcome.request} by {service}"
            if outcome.kind == "answered" and outcome.body != expected_body:
                self._add_violation(
                    f"{outcome.request} has a wrong answer: {outcome.body!r}"
                )
            if (
                outcome.kind == "reset"
                and outcome.opened
                and self._is_undisturbed(
                    outcome.ended_s, self.flow_breaking_spans
                )
                and outcome.address != DROPPED_ADDRESS
            ):
                self._add_violation(
                    f"{outcome.request} was reset in an open flow "
                    "without a fault"
                )

    def _check_resets(self) -> None:
        """Check who has reset open flows; a fault of a daemon excuses none.

        No endpoint ends in a run, so each open flow is held by its own.
        """
        for outcome in self.caller.outcomes:
            reset = outcome.reset
            if reset is None or outcome.address == DROPPED_ADDRESS:
                continue
            owners = [
                endpoint
                for endpoint in self.endpoints
                if (outcome.flow, outcome.endpoint_sequence)
                in endpoint.accepted
            ]
            if outcome.is_reset_by_system or not any(
                (outcome.flow, reset.sequence) in endpoint.resets
                for endpoint in owners
            ):
                sender = "system" if outcome.is_reset_by_system else "endpoint"
                names = ",".join(endpoint.name for endpoint in owners)
                self._add_violation(
                    f"{outcome.request} was reset by the {sender} at "
                    f"{outcome.ended_s:.3f} in a flow that is open at {names}"
                )

    def _check_openings(self) -> None:
        for endpoint in self.endpoints:
            drained_s = self.acknowledged_s_by_change.get(endpoint.name)
            domain = self.machine_of(endpoint).domain
            for at_s, address in endpoint.openings:
                if not self._is_undisturbed(at_s, self.fault_spans):
                    continue
                if drained_s and at_s > drained_s + machines.DRAIN_S:
                    self._add_violation(
                        f"{endpoint.name} accepted a flow more than "
                        "DRAIN_S after its drain began"
                    )
                out_s, back_s = (
                    self.acknowledged_s_by_change["out"],
                    self.acknowledged_s_by_change["back"],
                )
                if (
                    domain == "c"
                    and out_s + machines.EVACUATION_S < at_s < back_s
                ):
                    self._add_violation(
                        f"{endpoint.name} accepted a flow more than "
                        "EVACUATION_S after its failure domain was taken out "
                        "of service"
                    )
                dropped_s = (
                    self.acknowledged_s_by_change["dropped"]
                    + machines.CONFIGURATION_APPLY_S
                )
                if address == DROPPED_ADDRESS and at_s > dropped_s:
                    self._add_violation(
                        f"{endpoint.name} accepted a flow more than "
                        "CONFIGURATION_APPLY_S after its route was removed"
                    )

    def _check_recovery(self, faults_end_s: float) -> None:
        """Check that all requests are answered after the last fault."""
        ends_s = [ended_s for _, ended_s in self.fault_spans]
        from_s = max([faults_end_s, *ends_s]) + machines.RECOVERY_TIME_S
        after_recovery = [
            outcome
            for outcome in self.caller.outcomes
            if outcome.sent_s > from_s and outcome.address != DROPPED_ADDRESS
        ]
        unanswered = [
            item for item in after_recovery if item.kind != "answered"
        ]
        for outcome in unanswered:
            self._add_violation(
                f"{outcome.request} ended in {outcome.kind} after recovery"
            )

"""One cell of the matrix: faults injected at a step of a request."""

import dataclasses
import functools
import random
import re
import typing

import anyio

from bramleypin.internal import address
from bramleypin.matrix import checker
from bramleypin.matrix import deployment as deployment_module

# Imported to register the faults.
from bramleypin.matrix import faults as faults_module  # noqa: F401
from bramleypin.matrix import journal as journal_module
from bramleypin.matrix import packets
from bramleypin.matrix import registries
from bramleypin.matrix import steps
from bramleypin.matrix import workload as workload_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_platform

WARM_UP_S = 6.0
SETTLE_S = 6.0
# A cell that exceeds this limit is waiting for an event that never occurs.
TIMEOUT_S = 400.0
DEFAULT_FAULT_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True)
class CellSpec:
    """The faults of a cell and the step at which they are injected.

    ``faults`` holds names of faults, in the order of injection, and waits
    such as ``2.5s`` between them.
    """

    faults: tuple[str, ...]
    step: str
    seed: int = 1

    def __str__(self) -> str:
        return f"{'+'.join(self.faults)}@{self.step}"


def parse_wait_s(name: str) -> float | None:
    """Return the seconds of a wait such as ``2.5s``; ``None`` for a fault."""
    matched = re.fullmatch(r"(\d+(?:\.\d+)?)s", name)
    return None if matched is None else float(matched.group(1))


def parse(text: str, seed: int = 1) -> CellSpec:
    """Parse ``FAULT@STEP``, ``FAULT+FAULT@STEP`` or ``FAULT+2.5s+FAULT@STEP``.

    Without a wait, a fault is injected ``DEFAULT_FAULT_INTERVAL_S`` after the
    previous one.

    :raises errors.UnknownName: when a fault or the step does not exist.
    """
    names, _, step = text.partition("@")
    faults = tuple(names.split("+"))
    for name in faults:
        if parse_wait_s(name) is None:
            registries.FAULTS.get(name)
    registries.STEPS.get(step)
    return CellSpec(faults, step, seed)


@dataclasses.dataclass(frozen=True)
class Result:
    """The outcome of a cell.

    ``violations`` is empty when all promises held. ``calls``, ``answered`` and
    ``runs`` count calls, answered calls and runs at endpoints.
    ``injection_started`` is set once the cell's step was reached or its wait
    timed out.
    """

    cell: str
    seed: int
    violations: tuple[str, ...]
    calls: int
    answered: int
    runs: int
    injection_started: bool


class Cell:
    """A running cell: the deployment, its callers and the record of both.

    Steps wait for a point in the run of the cell, and faults call the cell's
    methods.
    """

    def __init__(self, spec: CellSpec):
        self.spec = spec
        self.journal = journal_module.Journal()
        self.network = virtual_network.VirtualNetwork(spec.seed)
        self.random = random.Random(f"cell {spec.seed}")
        self.deployment = deployment_module.Deployment(
            self.network, self.journal
        )
        self.step_tracker = steps.StepTracker(self)
        self.watched_caller_name = workload_module.WATCHED_CALLER
        self.keys = (bytes.fromhex(deployment_module.KEY),)
        self.workload = workload_module.Workload(self)
        self.pending_actions = 0
        self.injection_started = False
        self.tasks: typing.Any = None

    async def run(self) -> Result:
        """Run the cell and check the promises.

        :raises TimeoutError: when the cell runs longer than ``TIMEOUT_S``.
        """
        observer = packets.Observer(self.journal, self.keys)
        self.network.on_send += [
            observer.record_packet,
            self.step_tracker.on_send,
        ]
        self.network.on_delivery.append(self.step_tracker.on_delivery)
        for endpoint in self.deployment.endpoint_by_name.values():
            endpoint.on_event.append(self.step_tracker.on_endpoint_event)
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.network.run)
            await self.deployment.start(tasks)
            with anyio.fail_after(TIMEOUT_S):
                await self._run_phases()
            tasks.cancel_scope.cancel()
        return self._make_result()

    async def _run_phases(self) -> None:
        # The fault "domain-returns" needs a domain that is out of service.
        if "domain-returns" in self.spec.faults:
            self.take_domain_out(self.target_domain(), None)
        await anyio.sleep(WARM_UP_S)
        self.tasks.start_soon(self._inject_faults)
        await anyio.sleep(0)
        self.step_tracker.mark_reached("before-first")
        await anyio.sleep(0.01)
        await self.workload.run()
        while self.pending_actions:
            await anyio.sleep(0.5)
        await anyio.sleep(SETTLE_S)
        self.journal.final_phase_s = anyio.current_time()
        await self.workload.run_final()
        self.journal.ended_s = anyio.current_time()

    async def _inject_faults(self) -> None:
        await registries.STEPS.get(self.spec.step).wait_until_reached(self)
        self.injection_started = True
        pause_s = 0.0
        for name in self.spec.faults:
            wait_s = parse_wait_s(name)
            if wait_s is not None:
                pause_s = wait_s
                continue
            await anyio.sleep(pause_s)
            await registries.FAULTS.get(name).inject(self)
            pause_s = DEFAULT_FAULT_INTERVAL_S

    def track_spread(self, index: int) -> None:
        """Mark the half-spread step once half of the daemons read a value.

        ``index`` is the platform index under which the value was published.
        """
        self.tasks.start_soon(self._wait_for_spread, index)

    async def _wait_for_spread(self, index: int) -> None:
        platform = self.deployment.platform
        readers: set[str] = set()
        while len(readers) < steps.HALF_OF_DAEMONS:
            await platform.wait_for_reader()
            readers = platform.readers_by_index.get(index, set())
        self.step_tracker.mark_reached("configuration-half-spread")

    def _make_result(self) -> Result:
        calls = list(self.journal.calls.values())
        answered = [call for call in calls if call.outcome == "answered"]
        return Result(
            cell=str(self.spec),
            seed=self.spec.seed,
            violations=tuple(checker.check(self.journal)),
            calls=len(calls),
            answered=len(answered),
            runs=len(self.journal.runs),
            injection_started=self.injection_started,
        )

    # Actions of faults

    def begin_span(self, kind: str, subject: str) -> journal_module.Span:
        """Open a span in the journal, starting now."""
        return self.journal.begin_span(kind, subject, anyio.current_time())

    def end_span(self, span: journal_module.Span) -> None:
        """Close a span now."""
        span.end_s = anyio.current_time()

    def call_later(
        self, delay_s: float, function: typing.Callable, *arguments: typing.Any
    ) -> None:
        """Call a function after a delay.

        The cell waits for all such calls before its final phase.
        """
        self.pending_actions += 1
        self.tasks.start_soon(self._run_later, delay_s, function, arguments)

    async def _run_later(
        self, delay_s: float, function: typing.Callable, arguments: tuple
    ) -> None:
        await anyio.sleep(delay_s)
        function(*arguments)
        self.pending_actions -= 1

    def target_domain(self) -> str:
        """Return the failure domain of the watched request's agent."""
        daemon = self.deployment.daemon_by_name[self.step_tracker.agent]
        return daemon.settings.failure_domain

    def restart_daemon(self, name: str, span: journal_module.Span) -> None:
        """Restart a daemon unless it is running, and close the span."""
        if not self.deployment.daemon_by_name[name].process.alive:
            self.deployment.start_daemon(name)
            self.deployment.publish_members()
        self.end_span(span)

    def restart_endpoint(self, name: str, span: journal_module.Span) -> None:
        """Restart a crashed endpoint, which is cold, and close the span."""
        self.deployment.start_endpoint(name)
        self.end_span(span)

    def take_domain_out(self, domain: str, duration_s: float | None) -> None:
        """Take a failure domain out of service for ``duration_s``.

        With ``None``, it stays out until ``return_domain`` is called.
        """
        self.deployment.publication.set_out(domain, True)
        self.deployment.publish()
        self.begin_span("domain-out", domain)
        if duration_s is not None:
            self.call_later(duration_s, self.return_domain, domain)

    def return_domain(self, domain: str) -> None:
        """Return a failure domain to service."""
        if self.deployment.publication.failure_domains[domain].out:
            self.deployment.publication.set_out(domain, False)
            self.deployment.publish()
        for span in self.journal.find_spans(("domain-out",), domain):
            if span.end_s is None:
                self.end_span(span)

    def set_platform_mode(
        self, mode: virtual_platform.Mode, duration_s: float
    ) -> None:
        """Change how the configuration service answers, for ``duration_s``."""
        self.deployment.platform.set_mode(mode)
        span = self.begin_span(f"platform-{mode.value}", "platform")

        def end_mode() -> None:
            self.end_span(span)
            if not any(
                item.end_s is None
                for item in self.journal.find_spans(checker.PLATFORM_KINDS)
            ):
                normal_mode = virtual_platform.Mode.UP
                self.deployment.platform.set_mode(normal_mode)

        self.call_later(duration_s, end_mode)

    def pause_daemon(self, name: str, duration_s: float) -> None:
        """Pause a daemon for ``duration_s``.

        The weights of endpoints change 1 s after the pause starts, so that the
        daemon has an outdated view when it resumes.
        """
        process = self.deployment.daemon_by_name[name].process
        process.pause()
        span = self.begin_span("paused", name)

        def resume() -> None:
            process.wake()
            self.end_span(span)

        self.call_later(duration_s, resume)
        self.call_later(1.0, self.workload.change_weights)

    def partition_domain(
        self, domain: str, both_ways: bool, duration_s: float
    ) -> None:
        """Partition a failure domain from the others for ``duration_s``.

        With ``both_ways`` false, only traffic out of the domain is lost.
        """
        other_domains = [
            item for item in deployment_module.DOMAINS if item != domain
        ]
        partition = self.network.partition([domain], other_domains, both_ways)
        kind = "partition-two-way" if both_ways else "partition-one-way"
        # A pinned flow may go to an endpoint in another domain, across the
        # partition, so the fault interval is recorded for every domain.
        spans = [
            self.begin_span(kind, item) for item in deployment_module.DOMAINS
        ]

        def heal() -> None:
            self.network.heal(partition)
            for span in spans:
                self.end_span(span)

        self.call_later(duration_s, heal)

    def drain_daemon(self, name: str) -> None:
        """Shut a daemon down gracefully and restart it when it has ended."""
        daemon = self.deployment.daemon_by_name[name]
        if not daemon.process.alive:
            return
        daemon.kernel.shutdown()
        span = self.begin_span("draining", name)
        self.pending_actions += 1
        self.tasks.start_soon(
            self._restart_after_drain, daemon, daemon.process, span
        )

    async def _restart_after_drain(
        self, daemon: typing.Any, process: typing.Any, span: typing.Any
    ) -> None:
        if daemon.settings.role == "balancer":
            self.deployment.fabric.ingress_by_balancer.pop(daemon.name, None)
        await process.ended.wait()
        self.end_span(span)
        if daemon.settings.role == "agent":
            self.end_span(self.begin_span("replaced", daemon.name))
        await anyio.sleep(1.0)
        self.pending_actions -= 1
        if daemon.process is process:
            self.deployment.start_daemon(daemon.name)

    def is_fault_target(self, packet: virtual_network.Packet) -> bool:
        """Return whether datagram faults apply to a datagram.

        They apply only to datagrams of the watched caller. It does not use the
        address that moves, because the intended service of a late datagram to
        a moved address cannot be determined.
        """
        addresses = packets.caller_and_service_address(packet, self.keys)
        if addresses is None:
            return False
        caller: address.Address = addresses[0]
        return caller.host == workload_module.WATCHED_HOST


def run_cell(spec: CellSpec) -> Result:
    """Run a cell under its own virtual clock."""
    return virtual_network.run(
        functools.partial(_run_cell, spec), seed=spec.seed
    )


def run_and_get_journal(spec: CellSpec) -> journal_module.Journal:
    """Run a cell and return its journal instead of the result."""
    cells: list[Cell] = []

    async def main() -> None:
        cells.append(Cell(spec))
        await cells[0].run()

    virtual_network.run(main, seed=spec.seed)
    return cells[0].journal


async def _run_cell(spec: CellSpec) -> Result:
    return await Cell(spec).run()

"""One cell of the matrix: faults at a step of a small deployment."""

import dataclasses
import functools
import random
import re
import typing

import anyio

from bramleypin.internal import address
from bramleypin.matrix import checker
from bramleypin.matrix import deployment as deployment_module
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
# A cell that has not ended by then waits for something that never comes.
TIMEOUT_S = 400.0
SECOND_FAULT_AFTER_S = 0.4


@dataclasses.dataclass(frozen=True)
class CellSpec:
    """Faults, struck in this order, and the step where they strike."""

    faults: tuple[str, ...]
    step: str
    seed: int = 1

    def __str__(self) -> str:
        return f"{'+'.join(self.faults)}@{self.step}"


def wait_s(name: str) -> float | None:
    """Return the seconds of a wait such as ``2.5s``; ``None`` for a fault."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)s", name)
    return None if found is None else float(found.group(1))


def parse(text: str, seed: int = 1) -> CellSpec:
    """Parse ``FAULT@STEP``, ``FAULT+FAULT@STEP`` or ``FAULT+2.5s+FAULT@STEP``.

    Without a wait, a fault strikes ``SECOND_FAULT_AFTER_S`` after the one
    before it.

    :raises errors.UnknownName: when a fault or the step does not exist.
    """
    names, _, step = text.partition("@")
    faults = tuple(names.split("+"))
    for name in faults:
        if wait_s(name) is None:
            registries.FAULTS.get(name)
    registries.STEPS.get(step)
    return CellSpec(faults, step, seed)


@dataclasses.dataclass(frozen=True)
class Result:
    """What a cell showed; ``violations`` is empty when all promises held."""

    cell: str
    seed: int
    violations: tuple[str, ...]
    calls: int
    answered: int
    runs: int
    faulted: bool


class Cell:
    """A running cell; faults and steps act on it."""

    def __init__(self, name: CellSpec):
        self.name = name
        self.journal = journal_module.Journal()
        self.network = virtual_network.VirtualNetwork(name.seed)
        self.random = random.Random(f"cell {name.seed}")
        self.deployment = deployment_module.Deployment(
            self.network, self.journal
        )
        self.watch = steps.Watch(self)
        self.watched_caller = workload_module.WATCHED_CALLER
        self.keys = (bytes.fromhex(deployment_module.KEY),)
        self.workload = workload_module.Workload(self)
        self.pending_ends = 0
        self.faulted = False
        self.tasks: typing.Any = None

    async def run(self) -> Result:
        """Run the cell and check the promises."""
        observer = packets.Observer(self.journal, self.keys)
        self.network.on_send += [observer.note, self.watch.on_send]
        self.network.on_delivery.append(self.watch.on_delivery)
        for endpoint in self.deployment.endpoint_by_name.values():
            endpoint.on_event.append(self.watch.on_endpoint_event)
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.network.run)
            await self.deployment.start(tasks)
            with anyio.fail_after(TIMEOUT_S):
                await self._run_phases()
            tasks.cancel_scope.cancel()
        return self._result()

    async def _run_phases(self) -> None:
        if "domain-returns" in self.name.faults:
            self.take_out(self.target_domain(), None)
        await anyio.sleep(WARM_UP_S)
        self.tasks.start_soon(self._inject)
        await anyio.sleep(0)
        self.watch.reach("before-first")
        await anyio.sleep(0.01)
        await self.workload.run()
        while self.pending_ends:
            await anyio.sleep(0.5)
        await anyio.sleep(SETTLE_S)
        self.journal.final_s = anyio.current_time()
        await self.workload.run_final()
        self.journal.ended_s = anyio.current_time()

    async def _inject(self) -> None:
        await registries.STEPS.get(self.name.step).arm(self)
        self.faulted = True
        pause_s = 0.0
        for name in self.name.faults:
            given_s = wait_s(name)
            if given_s is not None:
                pause_s = given_s
                continue
            await anyio.sleep(pause_s)
            await registries.FAULTS.get(name).inject(self)
            pause_s = SECOND_FAULT_AFTER_S

    def watch_spread(self, index: int) -> None:
        """Tell the watch when the values of an index are half spread."""
        self.tasks.start_soon(self._watch_spread, index)

    async def _watch_spread(self, index: int) -> None:
        platform = self.deployment.platform
        readers: set[str] = set()
        while len(readers) < steps.HALF_OF_DAEMONS:
            await platform.wait_for_reader()
            readers = platform.readers_by_index.get(index, set())
        self.watch.reach("configuration-half-spread")

    def _result(self) -> Result:
        calls = list(self.journal.calls.values())
        answered = [call for call in calls if call.outcome == "answered"]
        return Result(
            cell=str(self.name),
            seed=self.name.seed,
            violations=tuple(checker.check(self.journal)),
            calls=len(calls),
            answered=len(answered),
            runs=len(self.journal.runs),
            faulted=self.faulted,
        )

    # What faults do

    def begin(self, kind: str, subject: str) -> journal_module.Span:
        """Open a span in the journal."""
        return self.journal.begin(kind, subject, anyio.current_time())

    def end(self, span: journal_module.Span) -> None:
        """Close a span."""
        span.end_s = anyio.current_time()

    def later(
        self, after_s: float, call: typing.Callable, *arguments: typing.Any
    ) -> None:
        """Call something later; the cell does not settle before."""
        self.pending_ends += 1
        self.tasks.start_soon(self._later, after_s, call, arguments)

    async def _later(
        self, after_s: float, call: typing.Callable, arguments: tuple
    ) -> None:
        await anyio.sleep(after_s)
        call(*arguments)
        self.pending_ends -= 1

    def target_domain(self) -> str:
        """Return the failure domain of the watched request's agent."""
        daemon = self.deployment.daemon_by_name[self.watch.agent]
        return daemon.settings.failure_domain

    def restart_daemon(self, name: str, span: journal_module.Span) -> None:
        """Start a dead daemon again."""
        if not self.deployment.daemon_by_name[name].process.alive:
            self.deployment.start_daemon(name)
            self.deployment.publish_members()
        self.end(span)

    def restart_endpoint(self, name: str, span: journal_module.Span) -> None:
        """Start a crashed endpoint again, cold."""
        self.deployment.start_endpoint(name)
        self.end(span)

    def take_out(self, domain: str, for_s: float | None) -> None:
        """Take a failure domain out, and return it later."""
        self.deployment.publication.set_out(domain, True)
        self.deployment.publish()
        self.begin("domain-out", domain)
        if for_s is not None:
            self.later(for_s, self.return_domain, domain)

    def return_domain(self, domain: str) -> None:
        """Return a failure domain to service."""
        if self.deployment.publication.failure_domains[domain].out:
            self.deployment.publication.set_out(domain, False)
            self.deployment.publish()
        for span in self.journal.find_spans(("domain-out",), domain):
            if span.end_s is None:
                self.end(span)

    def set_platform(self, mode: virtual_platform.Mode, for_s: float) -> None:
        """Change how the configuration service answers, for some time."""
        self.deployment.platform.set_mode(mode)
        span = self.begin(f"platform-{mode.value}", "platform")

        def stop() -> None:
            self.end(span)
            if not any(
                item.end_s is None
                for item in self.journal.find_spans(checker.PLATFORM)
            ):
                up = virtual_platform.Mode.UP
                self.deployment.platform.set_mode(up)

        self.later(for_s, stop)

    def pause(self, name: str, for_s: float) -> None:
        """Pause a daemon over a change of the configuration."""
        process = self.deployment.daemon_by_name[name].process
        process.pause()
        span = self.begin("paused", name)

        def wake() -> None:
            process.wake()
            self.end(span)

        self.later(for_s, wake)
        self.later(1.0, self.workload.change_weights)

    def cut(self, domain: str, both_ways: bool, for_s: float) -> None:
        """Cut a failure domain off from the others for some time."""
        others = [item for item in deployment_module.DOMAINS if item != domain]
        made = self.network.partition([domain], others, both_ways)
        kind = "partition-two-way" if both_ways else "partition-one-way"
        # Flows of every domain may be pinned across the cut.
        spans = [self.begin(kind, item) for item in deployment_module.DOMAINS]

        def heal() -> None:
            self.network.heal(made)
            for span in spans:
                self.end(span)

        self.later(for_s, heal)

    def drain(self, name: str) -> None:
        """Shut a daemon down gracefully and start it again afterwards."""
        daemon = self.deployment.daemon_by_name[name]
        if not daemon.process.alive:
            return
        daemon.kernel.shutdown()
        span = self.begin("draining", name)
        self.pending_ends += 1
        self.tasks.start_soon(self._replace, daemon, daemon.process, span)

    async def _replace(
        self, daemon: typing.Any, process: typing.Any, span: typing.Any
    ) -> None:
        if daemon.settings.role == "balancer":
            self.deployment.fabric.targets.pop(daemon.name, None)
        await process.ended.wait()
        self.end(span)
        if daemon.settings.role == "agent":
            self.end(self.begin("replaced", daemon.name))
        await anyio.sleep(1.0)
        self.pending_ends -= 1
        if daemon.process is process:
            self.deployment.start_daemon(daemon.name)

    def may_disturb(self, packet: virtual_network.Packet) -> bool:
        """Tell whether a datagram fault may strike a datagram.

        It strikes the watched caller's. Nobody can tell for which service a
        late datagram to a moved address was meant, so those are left alone;
        the watched caller does not use that address.
        """
        ends = packets.caller_of(packet, self.keys)
        if ends is None:
            return False
        caller: address.Address = ends[0]
        return caller.host == workload_module.WATCHED_HOST


def run_cell(name: CellSpec) -> Result:
    """Run a cell under its own virtual clock."""
    return virtual_network.run(functools.partial(_run, name), seed=name.seed)


def run_and_get_journal(name: CellSpec) -> journal_module.Journal:
    """Run a cell and return its record instead of the checks' result."""
    made: list[Cell] = []

    async def main() -> None:
        made.append(Cell(name))
        await made[0].run()

    virtual_network.run(main, seed=name.seed)
    return made[0].journal


async def _run(name: CellSpec) -> Result:
    return await Cell(name).run()

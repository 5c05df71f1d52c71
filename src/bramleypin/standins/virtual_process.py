"""Processes of the virtual network, which tests run, kill, pause and wake.

A paused process behaves as after SIGSTOP: none of its tasks or timers runs,
and datagrams and messages are buffered in its ports and links. When it is
woken, it continues with the state that it had before the pause.
"""

import contextvars
import functools
import random
import typing

import anyio
import trio

from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.standins import virtual_links
from bramleypin.standins import virtual_ports

_CURRENT_PROCESS: contextvars.ContextVar["Process | None"] = (
    contextvars.ContextVar("virtual process", default=None)
)

MainFunction = typing.Callable[[], typing.Awaitable[typing.Any]]


class PauseInstrument(trio.abc.Instrument):
    """Suspends the tasks of paused processes.

    Each task inherits the context of the task that started it, and a context
    variable identifies the process. trio has no public interface to suspend a
    task, so a scheduled task is removed from trio's run queue.
    """

    def __init__(self):
        self._held_tasks_by_process: dict[
            Process, list[trio.lowlevel.Task]
        ] = {}

    def pause(self, process: "Process") -> None:
        """Suspend the tasks of a process, including those already queued."""
        self._held_tasks_by_process.setdefault(process, [])
        run_queue = trio.lowlevel.current_root_task()._runner.runq
        for task in list(run_queue):
            if task.context.get(_CURRENT_PROCESS) is process:
                run_queue.remove(task)
                self._held_tasks_by_process[process].append(task)

    def wake(self, process: "Process") -> None:
        """Queue a process's suspended tasks and stop suspending them."""
        for task in self._held_tasks_by_process.pop(process, ()):
            task._runner.runq.append(task)

    def release(self) -> None:
        """Wake all processes, so that their tasks can be cancelled."""
        for process in list(self._held_tasks_by_process):
            self.wake(process)

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """Suspend a task of a paused process; trio calls this method."""
        if not self._held_tasks_by_process:
            return
        held_tasks = self._held_tasks_by_process.get(
            task.context.get(_CURRENT_PROCESS)
        )
        if held_tasks is not None:
            task._runner.runq.pop()
            held_tasks.append(task)


class Process:
    """A simulated process; created by ``VirtualNetwork.process``.

    Partitions and latencies depend on ``failure_domain``. ``restart_count``
    is the number of earlier processes with the same name.
    """

    def __init__(
        self, network: typing.Any, name: str, host: str, failure_domain: str
    ):
        self.network = network
        self.name = name
        self.host = host
        self.failure_domain = failure_domain
        self.random = random.Random(name)
        self.restart_count = 0
        self.alive = True
        self.paused = False
        self.ports: list[virtual_ports.BoundPort] = []
        self.control = virtual_links.VirtualControlNetwork(self)
        self.failure: BaseException | None = None
        self._scope = anyio.CancelScope()
        self.ended = anyio.Event()

    def environment(
        self, platform: environment.PlatformSource
    ) -> environment.Environment:
        """Return the environment in which this process's kernel runs."""
        return environment.Environment(
            open_datagram_port=self.open_datagram_port,
            open_endpoint_port=self.open_endpoint_port,
            control=self.control,
            platform=platform,
            random=self.random,
        )

    async def open_datagram_port(
        self, local_address: address.Address
    ) -> virtual_ports.VirtualDatagramPort:
        """Bind a UDP port; its host may differ from that of the process."""
        await anyio.lowlevel.checkpoint()
        return virtual_ports.VirtualDatagramPort(self, local_address)

    async def open_endpoint_port(
        self, remote_address: address.Address
    ) -> virtual_ports.VirtualEndpointPort:
        """Bind a UDP port that is connected to one remote address."""
        await anyio.lowlevel.checkpoint()
        local_address = address.Address(self.host, 0)
        return virtual_ports.VirtualEndpointPort(
            self, local_address, remote_address
        )

    async def run(self, main: MainFunction) -> None:
        """Run the process until ``main`` returns or ``kill`` is called.

        An exception in ``main`` ends only this process and is stored in
        ``failure``.
        """
        token = _CURRENT_PROCESS.set(self)
        try:
            async with anyio.create_task_group() as tasks:
                # The child task inherits a context that names this process.
                # The current task belongs to the caller, so the context
                # variable is reset for it.
                tasks.start_soon(self._run_main, main, name=self.name)
                _CURRENT_PROCESS.reset(token)
                token = None
        finally:
            if token is not None:
                _CURRENT_PROCESS.reset(token)
            self._release_resources()

    async def _run_main(self, main: MainFunction) -> None:
        try:
            with self._scope:
                await main()
        except Exception as error:
            if self.alive:
                self.failure = error

    def kill(self) -> None:
        """End the process at once; its later sends have no effect."""
        if not self.alive:
            return
        self._release_resources()
        self._scope.cancel()
        self.wake()

    def pause(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        if self.alive and not self.paused:
            self.paused = True
            self.network.pause_instrument.pause(self)

    def wake(self) -> None:
        """Continue a paused process, as SIGCONT does."""
        if self.paused:
            self.paused = False
            self.network.pause_instrument.wake(self)

    def _release_resources(self) -> None:
        self.alive = False
        for port in list(self.ports):
            port.close()
        self.ports.clear()
        self.control.release()
        self.ended.set()


def spawn(tasks: typing.Any, process: Process, main: MainFunction) -> None:
    """Run ``main`` as a process in a task group."""
    tasks.start_soon(functools.partial(process.run, main), name=process.name)

"""The control path of many processes on the virtual network.

Each process runs only the membership services, so that one test can run
hundreds of processes.
"""

import dataclasses
import typing

import anyio
import anyio.abc

from bramleypin import errors
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import control_server  # noqa: F401
from bramleypin.internal.membership import lease  # noqa: F401
from bramleypin.internal.membership import members  # noqa: F401
from bramleypin.internal.membership import sync  # noqa: F401
from bramleypin.internal.membership import view_store  # noqa: F401
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal.net import environment
from bramleypin.internal.observe import metrics  # noqa: F401
from bramleypin.internal.observe import status  # noqa: F401
from bramleypin import settings as settings_module
from bramleypin.standins import platform
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

SERVICES = ("control", "sync", "lease", "members", "view")
KEY = "5a" * settings_module.KEY_BYTES
DATA_PORT = 7000
CONTROL_PORT = 7001


def make_settings(
    vm: vms.Vm, keys: tuple[str, ...] = (KEY,)
) -> settings_module.Settings:
    """Return the settings of the process on a VM."""
    endpoint = None
    if vm.role == "agent":
        endpoint = settings_module.Endpoint("service", vm.id, "127.0.0.1:1")
    return settings_module.Settings(
        role=vm.role,
        id=vm.id,
        failure_domain=vm.failure_domain,
        keys=keys,
        addresses=settings_module.Addresses(vm.data, vm.control),
        endpoint=endpoint,
    )


def make_vms(
    count: int, failure_domains: tuple[str, ...], balancers: int = 2
) -> list[vms.Vm]:
    """Return VMs spread over failure domains, with ``balancers`` in each."""
    result = []
    for number in range(count):
        host = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}"
        rank, domain = divmod(number, len(failure_domains))
        result.append(
            vms.Vm(
                f"vm-{number}",
                "balancer" if rank < balancers else "agent",
                failure_domains[domain],
                f"{host}:{DATA_PORT}",
                f"{host}:{CONTROL_PORT}",
            )
        )
    return result


def make_services(
    count: int,
    failure_domains: tuple[str, ...],
    endpoints: int = 2,
    slots: int = 5,
) -> dict[str, configuration.Service]:
    """Return services with one address each, by name."""
    result = {}
    for number in range(count):
        name = f"service-{number}"
        host = f"172.16.{number // 256}.{number % 256}"
        service_endpoints = tuple(
            configuration.Endpoint(
                id=f"{name}-{rank}",
                failure_domain=failure_domains[
                    (number + rank) % len(failure_domains)
                ],
                data=f"10.{rank}.{number // 256}.{number % 256}:{DATA_PORT}",
                control=(
                    f"10.{rank}.{number // 256}.{number % 256}:{CONTROL_PORT}"
                ),
                slots=slots,
            )
            for rank in range(endpoints)
        )
        result[name] = configuration.Service(
            name, (f"{host}:5683",), service_endpoints
        )
    return result


@dataclasses.dataclass
class Member:
    """One running process of a fleet."""

    vm: vms.Vm
    process: virtual_process.Process
    kernel: kernel_module.Kernel
    revisions: list[tuple[float, int]]

    @property
    def revision(self) -> int:
        """Current revision, or the last one of a process that has ended."""
        return self.revisions[-1][1] if self.revisions else 0

    def get(self, name: str) -> typing.Any:
        """Return a service of the process."""
        return self.kernel.get(name)


class Fleet:
    """Processes that read the same platform, at most one per VM.

    ``member_by_id`` holds the last process of each VM by the VM's id.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        vm_list: list[vms.Vm],
        failure_domains: tuple[str, ...],
        services: int = 4,
        seed: int = 0,
        latency_s: float = 0.001,
    ):
        self.tasks = tasks
        self.network = virtual_network.VirtualNetwork(seed, latency_s)
        self.platform = platform.MemoryPlatform()
        self.publisher = platform.Publisher(self.platform)
        self.vm_by_id = {vm.id: vm for vm in vm_list}
        self.member_by_id: dict[str, Member] = {}
        self.domains = {
            name: configuration.FailureDomain("region")
            for name in failure_domains
        }
        self.services = make_services(services, failure_domains)
        self.revision = 0
        self.vms_version = 0
        tasks.start_soon(self.network.run)

    def start(
        self,
        vm_id: str,
        source: environment.PlatformSource | None = None,
        keys: tuple[str, ...] = (KEY,),
    ) -> Member:
        """Start the process of a VM; an earlier one must have ended."""
        vm = self.vm_by_id[vm_id]
        host = vm.control.rpartition(":")[0]
        process = self.network.process(vm_id, host, vm.failure_domain)
        env = process.environment(source or self.platform)
        kernel = kernel_module.Kernel(make_settings(vm, keys), env, SERVICES)
        member = Member(vm, process, kernel, [])
        self.member_by_id[vm_id] = member
        virtual_process.spawn(self.tasks, process, kernel.run)
        self.tasks.start_soon(self._record_revisions, member)
        return member

    def start_all(self, keys: tuple[str, ...] = (KEY,)) -> None:
        """Start a process on every VM where none was started yet."""
        for vm_id in self.vm_by_id:
            if vm_id not in self.member_by_id:
                self.start(vm_id, keys=keys)

    async def _record_revisions(self, member: Member) -> None:
        await member.kernel.started.wait()
        store = member.get("view")

        def append_revision() -> None:
            entry = (anyio.current_time(), store.view.revision)
            member.revisions.append(entry)

        store.listeners.append(append_revision)
        if store.view.revision:
            append_revision()

    def publish(self, changed: str | None = None) -> int:
        """Publish the next revision, in which one service has changed.

        Without ``changed``, the services change in turn.
        """
        self.revision += 1
        name = changed or f"service-{self.revision % len(self.services)}"
        service = self.services[name]
        self.services[name] = configuration.Service(
            service.name,
            service.addresses,
            service.endpoints,
            max_duration_s=float(self.revision),
        )
        self.publisher.publish(
            self.revision, self.services.values(), self.domains
        )
        return self.revision

    def publish_vms(self) -> int:
        """Publish the next version of the VM list."""
        self.vms_version += 1
        self.publisher.publish_vms(
            self.vms_version, list(self.vm_by_id.values())
        )
        return self.vms_version

    def live_members(self) -> list[Member]:
        """Return the processes that have not ended."""
        return [m for m in self.member_by_id.values() if m.process.alive]

    async def wait_for_revision(
        self, revision: int, timeout_s: float
    ) -> float | None:
        """Wait until all live processes have applied a revision.

        Returns the elapsed seconds, or ``None`` after the timeout.
        """
        started_s = anyio.current_time()
        with anyio.move_on_after(timeout_s):
            for member in self.live_members():
                await member.kernel.started.wait()
                await member.get("view").wait_for_change(revision - 1)
            return anyio.current_time() - started_s
        return None

    def check_processes(self) -> None:
        """Raise the error of the first failed process as ``ServiceFailed``."""
        for member in self.member_by_id.values():
            if member.process.failure is not None:
                raise errors.ServiceFailed(
                    member.vm.id, member.process.failure
                )


def run(
    scenario: typing.Callable[[Fleet], typing.Awaitable[typing.Any]],
    count: int,
    failure_domains: tuple[str, ...] = ("a", "b", "c"),
    services: int = 4,
    seed: int = 0,
    settle_s: float = 3.0,
    latency_s: float = 0.001,
) -> typing.Any:
    """Run a scenario on a fleet that has applied the first revision.

    When the scenario ends, the first process failure is raised.
    """

    async def main() -> typing.Any:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(
                tasks,
                make_vms(count, failure_domains),
                failure_domains,
                services,
                seed,
                latency_s,
            )
            fleet.publish_vms()
            fleet.publish()
            fleet.start_all()
            await anyio.sleep(settle_s)
            result = await scenario(fleet)
            # Paused processes are woken first, since cancellation does not
            # reach their tasks.
            for member in fleet.live_members():
                member.process.wake()
            tasks.cancel_scope.cancel()
        fleet.check_processes()
        return result

    return virtual_network.run(main, seed)

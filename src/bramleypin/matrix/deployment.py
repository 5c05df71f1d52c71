"""A small deployment of real daemons in the virtual network.

It has three failure domains, a fabric and a platform. Each domain has a
balancer and, for each of two services, an endpoint with its agent. Callers
are outside the deployment.
"""

import dataclasses
import functools
import typing

import anyio
import msgspec

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal import services
from bramleypin.matrix import endpoint as endpoint_module
from bramleypin.matrix import fabric as fabric_module
from bramleypin.matrix import journal as journal_module
from bramleypin.matrix import publication as publication_module
from bramleypin import settings as settings_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_platform
from bramleypin.standins import virtual_process

DOMAINS = ("austin", "san-marcos", "waco")
SERVICES = ("planstore", "scheduler")
SLOTS = 5
COLD_SLOTS = 1
RAMP_S = 10.0
KEY = "5c" * 32
DATA_PORT = 7000
CONTROL_PORT = 7001
INGRESS_PORT = 7002
ENDPOINT_PORT = 5683
# Time after which the fabric stops sending to a dead balancer.
FABRIC_LAG_S = 1.0
# Time after which the VM list shows that a daemon was added or killed.
VMS_LAG_S = 2.0
START_TIMEOUT_S = 30.0

ADDRESS_BY_SERVICE = {
    "planstore": address.Address("198.51.100.1", 5683),
    "scheduler": address.Address("198.51.100.2", 5683),
}
# An address that is moved from scheduler to planstore during each cell.
MOVED_ADDRESS = address.Address("198.51.100.3", 5683)


@dataclasses.dataclass
class Daemon:
    """A daemon: its settings, and the process that currently runs it."""

    settings: settings_module.Settings
    process: typing.Any = None
    kernel: typing.Any = None

    @property
    def name(self) -> str:
        """The process's name in the network and the journal."""
        return self.settings.id

    @property
    def vm(self) -> vms.Vm:
        """The daemon's entry in the VM list."""
        return vms.of_daemon(self.settings)


def _balancer_settings(domain: str, host: str) -> settings_module.Settings:
    return settings_module.Settings(
        role="balancer",
        id=f"balancer-{domain}",
        failure_domain=domain,
        keys=(KEY,),
        addresses=settings_module.Addresses(
            f"{host}:{DATA_PORT}", f"{host}:{CONTROL_PORT}"
        ),
        ingress=settings_module.Ingress("proxied", f"{host}:{INGRESS_PORT}"),
    )


def _agent_settings(
    service: str, domain: str, host: str
) -> settings_module.Settings:
    name = f"{service}-{domain}"
    return settings_module.Settings(
        role="agent",
        id=name,
        failure_domain=domain,
        keys=(KEY,),
        addresses=settings_module.Addresses(
            f"{host}:{DATA_PORT}", f"{host}:{CONTROL_PORT}"
        ),
        endpoint=settings_module.Endpoint(
            service, name, f"{host}:{ENDPOINT_PORT}"
        ),
    )


class Deployment:
    """All processes of a cell except the callers."""

    def __init__(
        self,
        network: virtual_network.VirtualNetwork,
        journal: journal_module.Journal,
    ):
        self.network = network
        self.journal = journal
        self.platform = virtual_platform.VirtualPlatform()
        self.daemon_by_name: dict[str, Daemon] = {}
        self.endpoint_by_name: dict[str, endpoint_module.RecordingEndpoint] = (
            {}
        )
        self.endpoint_process_by_name: dict[str, typing.Any] = {}
        self.vms_lag_s = VMS_LAG_S
        self.tasks: typing.Any = None
        host = "10.9.0.1"
        self.fabric_process = network.process("fabric", host)
        self.fabric = fabric_module.Fabric(
            self.fabric_process, address.Address(host, 9000)
        )
        self._create_daemons()

    def _create_daemons(self) -> None:
        for number, domain in enumerate(DOMAINS, 1):
            settings = _balancer_settings(domain, f"10.{number}.0.1")
            self.daemon_by_name[settings.id] = Daemon(settings)
            for position, service in enumerate(SERVICES, 2):
                host = f"10.{number}.0.{position}"
                settings = _agent_settings(service, domain, host)
                self.daemon_by_name[settings.id] = Daemon(settings)
                self.endpoint_by_name[settings.id] = (
                    endpoint_module.RecordingEndpoint(
                        settings.id,
                        service,
                        address.Address(host, ENDPOINT_PORT),
                        SLOTS,
                        COLD_SLOTS,
                        RAMP_S,
                        self.journal,
                    )
                )
        self.publication = publication_module.Publication(
            self.platform,
            {name: self._service(name) for name in SERVICES},
            {name: configuration.FailureDomain() for name in DOMAINS},
        )

    def _service(self, name: str) -> configuration.Service:
        addresses = [str(ADDRESS_BY_SERVICE[name])]
        if name == "scheduler":
            addresses.append(str(MOVED_ADDRESS))
        endpoints = tuple(
            configuration.Endpoint(
                id=daemon.name,
                failure_domain=daemon.settings.failure_domain,
                data=daemon.settings.addresses.data,
                control=daemon.settings.addresses.control,
                slots=SLOTS,
                cold_slots=COLD_SLOTS,
                ramp_s=RAMP_S,
            )
            for daemon in self.agents()
            if daemon.settings.endpoint.service == name
        )
        return configuration.Service(name, tuple(addresses), endpoints)

    def agents(self) -> list[Daemon]:
        """Return the daemons on endpoint VMs."""
        return [
            item
            for item in self.daemon_by_name.values()
            if item.settings.role == "agent"
        ]

    def balancers(self) -> list[Daemon]:
        """Return the daemons on entry VMs."""
        return [
            item
            for item in self.daemon_by_name.values()
            if item.settings.role == "balancer"
        ]

    async def start(self, tasks: typing.Any) -> None:
        """Publish the configuration and start all processes.

        :raises errors.ServiceFailed: when a daemon has not started within
            ``START_TIMEOUT_S``.
        """
        self.tasks = tasks
        for role in ("balancer", "agent"):
            services.load(role)
        self.publish()
        self.publication.publish_vms(self._members())
        for name in self.endpoint_by_name:
            self.start_endpoint(name)
        for name in self.daemon_by_name:
            self.start_daemon(name)
        self.fabric.service_addresses = [
            *ADDRESS_BY_SERVICE.values(),
            MOVED_ADDRESS,
        ]
        virtual_process.spawn(tasks, self.fabric_process, self.fabric.run)
        await self._wait_for_start()

    async def _wait_for_start(self) -> None:
        with anyio.move_on_after(START_TIMEOUT_S):
            for daemon in self.daemon_by_name.values():
                await daemon.kernel.started.wait()
            return
        raise errors.ServiceFailed(
            "a daemon", TimeoutError("; ".join(self.journal.failures))
        )

    def publish(self) -> int:
        """Publish a revision, record it in the journal and return it."""
        revision = self.publication.publish()
        self.journal.published_revisions.append(
            journal_module.PublishedRevision(revision, anyio.current_time())
        )
        return revision

    def start_daemon(self, name: str) -> None:
        """Start a daemon, or restart it after its process has ended."""
        daemon = self.daemon_by_name[name]
        host = daemon.settings.addresses.data_address.host
        domain = daemon.settings.failure_domain
        daemon.process = self.network.process(name, host, domain)
        env = daemon.process.environment(self.platform.source(name))
        daemon.kernel = kernel_module.Kernel(daemon.settings, env)
        main = functools.partial(self._run_daemon, daemon, daemon.process)
        virtual_process.spawn(self.tasks, daemon.process, main)
        if daemon.settings.role == "balancer":
            self.fabric.ingress_by_balancer[name] = address.parse(
                daemon.settings.ingress.address
            )

    async def _run_daemon(self, daemon: Daemon, process: typing.Any) -> None:
        try:
            await daemon.kernel.run()
        except Exception as error:
            if process.alive:
                self.journal.failures.append(
                    f"{daemon.name} ended with {error!r} "
                    f"at {anyio.current_time():.3f} s"
                )

    def add_balancer(self, name: str, domain: str) -> None:
        """Start an additional balancer.

        The VM list shows it after ``vms_lag_s``.
        """
        number = DOMAINS.index(domain) + 1
        settings = _balancer_settings(domain, f"10.{number}.0.9")
        settings = msgspec.structs.replace(settings, id=name)
        self.daemon_by_name[name] = Daemon(settings)
        self.start_daemon(name)
        self.tasks.start_soon(self._publish_members_later)

    async def _publish_members_later(self) -> None:
        await anyio.sleep(self.vms_lag_s)
        self.publish_members()

    def crash_endpoint(self, name: str) -> None:
        """Kill an endpoint's process; the next start is cold."""
        self.endpoint_process_by_name[name].kill()

    def start_endpoint(self, name: str) -> None:
        """Start an endpoint; after a crash, restart it as a cold one."""
        endpoint = self.endpoint_by_name[name]
        if name in self.endpoint_process_by_name:
            endpoint.turn_cold()
        process = self.network.process(
            f"{name} endpoint",
            endpoint.address.host,
            self.daemon_by_name[name].settings.failure_domain,
        )
        self.endpoint_process_by_name[name] = process
        main = functools.partial(endpoint.run, process)
        virtual_process.spawn(self.tasks, process, main)

    def kill_daemon(self, name: str) -> None:
        """Kill a daemon.

        The fabric drops it after ``FABRIC_LAG_S``, the VM list after
        ``vms_lag_s``.
        """
        daemon = self.daemon_by_name[name]
        daemon.process.kill()
        self.tasks.start_soon(self._deregister, daemon, daemon.process)

    async def _deregister(self, daemon: Daemon, process: typing.Any) -> None:
        await anyio.sleep(FABRIC_LAG_S)
        if daemon.process is process:
            self.fabric.ingress_by_balancer.pop(daemon.name, None)
        await anyio.sleep(max(0.0, self.vms_lag_s - FABRIC_LAG_S))
        self.publish_members()

    def publish_members(self) -> None:
        """Publish the VM list without daemons whose process has ended."""
        self.publication.publish_vms(self._members())

    def _members(self) -> list[vms.Vm]:
        return [
            item.vm
            for item in self.daemon_by_name.values()
            if item.process is None or item.process.alive
        ]

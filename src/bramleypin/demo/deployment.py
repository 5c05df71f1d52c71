"""A small version of Lone Star's deployment on loopback, in one process.

Every VM and caller has its own loopback host and real sockets. All of them
share one operating system process, since bramleypin must not start others.
"""

import dataclasses
import os
import random
import typing

import anyio
import anyio.abc
import msgspec

from bramleypin import daemon
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal.net import environment
from bramleypin.internal import services
from bramleypin import settings as settings_module
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import fabric as fabric_module
from bramleypin.standins import platform as platform_module

DOMAINS = ("austin", "waco", "san-marcos")
SPEED_BY_DOMAIN = {"austin": 1.0, "waco": 2.0, "san-marcos": 4.0}
SLOTS = 5
RAMP_S = 2.0
START_TIMEOUT_S = 10.0
POLL_S = 0.02
SERVICE_TIME_S = 0.08
PLAN_BYTES = 24_000

DATA_PORT = 7000
CONTROL_PORT = 7001
INGRESS_PORT = 7002
ENDPOINT_PORT = 7003
SERVICE_PORT = 5683


def _network_prefix() -> str:
    """Return the first two octets of this run's loopback hosts.

    They are derived from the process id, so that demonstrations that run at
    the same time rarely share them.
    """
    return f"127.{64 + os.getpid() % 128}"


@dataclasses.dataclass
class Host:
    """A VM of the demonstration and the daemon that runs on it.

    ``arrivals_s`` holds the arrival times of datagrams at the host.
    """

    settings: settings_module.Settings
    kernel: kernel_module.Kernel | None = None
    stopped: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    arrivals_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def vm(self) -> vms.Vm:
        """The host's entry in the VM list."""
        return vms.of_daemon(self.settings)


class _ArrivalRecordingPort:
    """A datagram port that records when datagrams arrive."""

    def __init__(
        self, port: environment.DatagramPort, arrivals_s: list[float]
    ):
        self._port = port
        self._arrivals_s = arrivals_s
        self.address = port.address
        self.send = port.send
        self.aclose = port.aclose

    async def receive(self) -> tuple[bytes, address.Address]:
        """Wait for a datagram and record its arrival time."""
        datagram = await self._port.receive()
        self._arrivals_s.append(anyio.current_time())
        return datagram

    def receive_nowait(self) -> tuple[bytes, address.Address] | None:
        """Return a buffered datagram, or ``None``, and record its arrival."""
        datagram = self._port.receive_nowait()
        if datagram is not None:
            self._arrivals_s.append(anyio.current_time())
        return datagram


class Deployment:
    """The hosts of the demonstration, and planned changes to them."""

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int):
        self.tasks = tasks
        self.network = _network_prefix()
        self.random = random.Random(seed)
        self.platform = platform_module.MemoryPlatform()
        self.publisher = platform_module.Publisher(self.platform)
        self.revision = 0
        self.vms_version = 0
        self.out_domains: set[str] = set()
        self.host_by_id: dict[str, Host] = {}
        self.standin_by_id: dict[str, endpoint_module.EndpointStandin] = {}
        self.endpoints_by_service: dict[
            str, dict[str, configuration.Endpoint]
        ] = {"scheduler": {}, "planstore": {}}
        self.address_by_service = {
            "scheduler": address.Address(f"{self.network}.0.1", SERVICE_PORT),
            "planstore": address.Address(f"{self.network}.0.2", SERVICE_PORT),
        }
        self._hosts_in_domain = dict.fromkeys(DOMAINS, 0)
        self._url = ""

    async def start(self) -> None:
        """Start all hosts and wait until the configuration is in force.

        :raises TimeoutError: when that takes longer than
            ``START_TIMEOUT_S``.
        """
        for role in services.MODULES_BY_ROLE:
            services.load(role)
        server = platform_module.HttpServer(self.platform)
        server_address = await self.tasks.start(server.serve)
        self._url = f"http://{server_address}"
        for domain in DOMAINS:
            self._add_balancer(f"entry-{domain}", domain)
            for service in self.endpoints_by_service:
                self.add_endpoint(service, domain)
        self.publish()
        for host in self.host_by_id.values():
            self._start_daemon(host)
        with anyio.fail_after(START_TIMEOUT_S):
            for host in self.host_by_id.values():
                await self._wait_until_configured(host)
        await self._start_fabric()

    async def _start_fabric(self) -> None:
        self.environment = daemon.real_environment(
            self._any_balancer().settings
        )
        self.fabric = fabric_module.Fabric(
            self.environment,
            list(self.address_by_service.values()),
            address.Address(f"{self.network}.0.9", INGRESS_PORT),
            self._ingress_addresses(),
            self.random,
        )
        self.tasks.start_soon(self.fabric.run)
        await self.fabric.ready.wait()

    def _any_balancer(self) -> Host:
        return self.host_by_id[f"entry-{DOMAINS[0]}"]

    def _ingress_addresses(self) -> list[address.Address]:
        return [
            address.parse(host.settings.ingress.address)
            for host in self.host_by_id.values()
            if host.settings.role == "balancer" and not host.stopped.is_set()
        ]

    def _next_ip(self, domain: str) -> str:
        self._hosts_in_domain[domain] += 1
        number = self._hosts_in_domain[domain]
        return f"{self.network}.{DOMAINS.index(domain) + 1}.{number}"

    def _settings(
        self, role: str, host_id: str, domain: str, ip: str
    ) -> settings_module.Settings:
        return settings_module.Settings(
            role=role,
            id=host_id,
            failure_domain=domain,
            keys=("6b" * settings_module.KEY_BYTES,),
            addresses=settings_module.Addresses(
                f"{ip}:{DATA_PORT}", f"{ip}:{CONTROL_PORT}"
            ),
            platform=settings_module.Platform(self._url),
        )

    def _add_balancer(self, host_id: str, domain: str) -> Host:
        ip = self._next_ip(domain)
        settings = msgspec.structs.replace(
            self._settings("balancer", host_id, domain, ip),
            ingress=settings_module.Ingress("proxied", f"{ip}:{INGRESS_PORT}"),
        )
        self.host_by_id[host_id] = Host(settings)
        return self.host_by_id[host_id]

    def add_endpoint(self, service: str, domain: str) -> Host:
        """Add an endpoint VM to a service, and start its endpoint.

        The agent on the VM is not started.
        """
        number = len(self.endpoints_by_service[service]) + 1
        host_id = f"{service}-{number}"
        ip = self._next_ip(domain)
        endpoint_address = f"{ip}:{ENDPOINT_PORT}"
        settings = msgspec.structs.replace(
            self._settings("agent", host_id, domain, ip),
            endpoint=settings_module.Endpoint(
                service, host_id, endpoint_address
            ),
        )
        self.host_by_id[host_id] = Host(settings)
        self.endpoints_by_service[service][host_id] = configuration.Endpoint(
            id=host_id,
            failure_domain=domain,
            data=settings.addresses.data,
            control=settings.addresses.control,
            slots=SLOTS,
            ramp_s=RAMP_S,
            weight=SPEED_BY_DOMAIN[domain],
        )
        self._start_standin(host_id, settings, domain)
        return self.host_by_id[host_id]

    def _start_standin(
        self, host_id: str, settings: settings_module.Settings, domain: str
    ) -> None:
        profile = endpoint_module.Profile(
            slots=SLOTS,
            ramp_s=RAMP_S,
            service_time_s=SERVICE_TIME_S,
            speed=SPEED_BY_DOMAIN[domain],
        )
        standin = endpoint_module.EndpointStandin(
            daemon.real_environment(settings),
            settings.endpoint.endpoint_address,
            profile,
        )
        standin.content_by_path["plans/house"] = bytes(PLAN_BYTES)
        self.standin_by_id[host_id] = standin
        self.tasks.start_soon(standin.run)

    def _start_daemon(self, host: Host) -> None:
        env = daemon.real_environment(host.settings)
        open_port = env.open_datagram_port

        async def open_recording_port(
            local_address: address.Address,
        ) -> environment.DatagramPort:
            return _ArrivalRecordingPort(
                await open_port(local_address), host.arrivals_s
            )

        env.open_datagram_port = open_recording_port
        host.kernel = kernel_module.Kernel(host.settings, env)
        self.tasks.start_soon(self._run_daemon, host)

    async def _run_daemon(self, host: Host) -> None:
        await host.kernel.run()
        host.stopped.set()

    async def _wait_until_configured(self, host: Host) -> None:
        await host.kernel.started.wait()
        store = host.kernel.get("view")
        await store.wait_for_change(self.revision - 1)
        while not host.kernel.get("lease").is_valid():
            await anyio.sleep(POLL_S)

    def publish(self) -> None:
        """Publish the next revision and the VM list."""
        self.revision += 1
        documents = [
            configuration.Service(
                name=name,
                addresses=(str(self.address_by_service[name]),),
                endpoints=tuple(endpoints.values()),
            )
            for name, endpoints in self.endpoints_by_service.items()
        ]
        domains = {
            name: configuration.FailureDomain(
                "texas", name in self.out_domains
            )
            for name in DOMAINS
        }
        self.publisher.publish(self.revision, documents, domains)
        self.vms_version += 1
        vm_list = [
            host.vm
            for host in self.host_by_id.values()
            if not host.stopped.is_set()
        ]
        self.publisher.publish_vms(self.vms_version, vm_list)

    def _revise_endpoint(
        self, service: str, host_id: str, **fields: object
    ) -> None:
        endpoints = self.endpoints_by_service[service]
        endpoints[host_id] = msgspec.structs.replace(
            endpoints[host_id], **fields
        )
        self.publish()

    async def revise_weight(self) -> None:
        """Change the weight of an endpoint."""
        self._revise_endpoint("scheduler", "scheduler-1", weight=1.5)

    async def endpoint_leaves(self) -> None:
        """Mark an endpoint as leaving; it keeps its established flows."""
        self._revise_endpoint("scheduler", "scheduler-2", state="leaving")

    async def endpoint_joins(self) -> None:
        """Start a new endpoint, which is cold."""
        host = self.add_endpoint("scheduler", "san-marcos")
        self.publish()
        self._start_daemon(host)
        await self._wait_until_configured(host)

    async def balancer_stops(self) -> None:
        """Remove a balancer from the fabric and shut it down gracefully."""
        host = self.host_by_id["entry-san-marcos"]
        ingress_address = address.parse(host.settings.ingress.address)
        self.fabric.balancers.remove(ingress_address)
        host.kernel.shutdown()
        await host.stopped.wait()
        self.publish()

    async def balancer_joins(self) -> None:
        """Start a new balancer with an empty flow cache."""
        host = self._add_balancer("entry-new", "san-marcos")
        self.publish()
        self._start_daemon(host)
        await self._wait_until_configured(host)
        self.fabric.balancers.append(
            address.parse(host.settings.ingress.address)
        )

    async def domain_out(self) -> None:
        """Take a failure domain out of service."""
        self.out_domains.add("waco")
        self.publish()

    async def domain_returns(self) -> None:
        """Return the failure domain to service."""
        self.out_domains.discard("waco")
        self.publish()

    def domain_of(self, endpoint_id: str) -> str:
        """Return an endpoint's failure domain."""
        return self.host_by_id[endpoint_id].settings.failure_domain

    def arrivals(self, domain: str) -> list[float]:
        """Return when datagrams reached the agents of a failure domain."""
        return [
            time_s
            for host in self.host_by_id.values()
            if host.settings.failure_domain == domain
            and host.settings.role == "agent"
            for time_s in host.arrivals_s
        ]

    def executions(
        self,
    ) -> typing.Iterator[tuple[str, endpoint_module.Execution]]:
        """Yield all executions of requests, with the endpoint's id."""
        for host_id, standin in self.standin_by_id.items():
            for item in standin.log:
                yield host_id, item

"""A simulated deployment for stream flows."""

import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal import services
from bramleypin.internal.stream import program
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.internal.stream import view
from bramleypin.standins import stream_callers
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_endpoint
from bramleypin.standins import stream_store
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

PEER_PORT = 7000
INGRESS_PORT = 7001
READINESS_PORT = 7002
ENDPOINT_PORT = 7003
OUTBOUND_PORT = 7004
# Time of day at second 0 of the simulation.
UNIX_START_S = 1_700_000_000.0
SERVICE_HOST = segment.ipv4_to_int("198.18.0.1")


def route(
    port: int = 443,
    service: str = "desk",
    priority: int = 1,
    latency_objective_s: float = 0.25,
    timeout_s: float = 1.5,
    idempotent: bool = True,
) -> view.Route:
    """Return a route from a port of the test address to a service."""
    return view.Route(
        name=f"{service}-{port}",
        host=SERVICE_HOST,
        port=port,
        weight_by_service=((service, 1.0),),
        idempotent=idempotent,
        timeout_s=timeout_s,
        latency_objective_s=latency_objective_s,
        priority=priority,
    )


def configuration(
    version: int, *routes: view.Route, cold_per_s: float = 0.0
) -> view.Configuration:
    """Return a configuration with these routes and the services they use."""
    names = {name for item in routes for name, _ in item.weight_by_service}
    return view.Configuration(
        version,
        {(item.host, item.port): item for item in routes},
        {name: view.Service(name, cold_per_s, 2.0, 2_000) for name in names},
        15.0,
    )


class IdleListener:
    """A listener that never accepts a connection."""

    async def serve(self, handler: typing.Any) -> None:
        """Wait until cancelled."""
        await anyio.sleep_forever()

    async def aclose(self) -> None:
        """Return at once; there is nothing to close."""


async def _open_listener(listen_address: address.Address) -> IdleListener:
    return IdleListener()


class Daemon:
    """A daemon of the deployment; ``kernel`` is set once it runs."""

    def __init__(self, fleet: "StreamFleet", settings):
        self.fleet = fleet
        self.settings = settings
        self.kernel: kernel_module.Kernel | None = None
        self.process: virtual_process.Process | None = None
        self.leaving = False

    def start(self) -> None:
        """Start or restart the daemon in a new process."""
        self.leaving = False
        self.process = self.fleet.network.process(
            self.settings.id, self.settings.host, self.settings.failure_domain
        )
        virtual_process.spawn(self.fleet.tasks, self.process, self._run_kernel)

    async def _run_kernel(self) -> None:
        services.load(self.settings.role)
        process = self.process
        self.kernel = kernel_module.Kernel(
            self.settings,
            program.StreamEnvironment(
                open_datagram_port=process.open_datagram_port,
                open_listener=_open_listener,
                control=process.control,
                platform=stream_store.StoreClient(
                    self.fleet.store, self.settings.host
                ),
                codec=stream_codec.TestCodec(),
                random=process.random,
                unix_time=lambda: UNIX_START_S + anyio.current_time(),
            ),
        )
        await self.kernel.run()

    def kill(self) -> None:
        """Kill the daemon without a graceful shutdown."""
        self.process.kill()

    def stop(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""
        self.leaving = True
        self.kernel.shutdown()


class StreamFleet:
    """Balancers, endpoints with their agents, a store and callers."""

    def __init__(self, tasks, seed: int = 1):
        self.tasks = tasks
        self.network = virtual_network.VirtualNetwork(seed)
        self.store = stream_store.Store()
        self.balancer_by_name: dict[str, Daemon] = {}
        self.agent_by_name: dict[str, Daemon] = {}
        self.endpoint_by_name: dict[str, stream_endpoint.StreamEndpoint] = {}
        tasks.start_soon(self.network.run)

    def _settings(
        self, role: str, name: str, host: str, domain: str, **fields
    ):
        return stream_settings.StreamSettings(
            role=role,
            id=name,
            failure_domain=domain,
            ingress=address.Address(host, INGRESS_PORT),
            peers=address.Address(host, PEER_PORT),
            readiness=address.Address(host, READINESS_PORT),
            seeds=(address.Address("10.0.0.1", PEER_PORT),),
            caller_port=INGRESS_PORT,
            **fields,
        )

    def add_balancer(self, name: str, host: str, domain: str) -> Daemon:
        """Start a balancer."""
        settings = self._settings("stream_balancer", name, host, domain)
        balancer = self.balancer_by_name[name] = Daemon(self, settings)
        balancer.start()
        return balancer

    def add_endpoint(
        self,
        name: str,
        host: str,
        domain: str,
        service: str = "desk",
        slots: int = 5,
        work_s: float = 0.05,
        keep_open: bool = False,
    ) -> stream_endpoint.StreamEndpoint:
        """Start an endpoint and its agent and register the endpoint."""
        endpoint_address = address.Address(host, ENDPOINT_PORT)
        outbound = address.Address(host, OUTBOUND_PORT)
        settings = self._settings(
            "stream_agent",
            f"agent-{name}",
            host,
            domain,
            service=service,
            endpoint=endpoint_address,
            outbound=outbound,
        )
        agent = self.agent_by_name[name] = Daemon(self, settings)
        agent.start()
        process = self.network.process(name, host, domain)
        endpoint = stream_endpoint.StreamEndpoint(
            process, endpoint_address, outbound, slots, work_s, keep_open
        )
        self.endpoint_by_name[name] = endpoint
        virtual_process.spawn(self.tasks, process, endpoint.run)
        self.store.put(self.registration(name, service, slots))
        return endpoint

    def registration(
        self, name: str, service: str = "desk", slots: int = 5, **fields
    ) -> view.Endpoint:
        """Return a registration; ``fields`` override its default values."""
        settings = self.agent_by_name[name].settings
        values = {
            "id": name,
            "service": service,
            "host": settings.host,
            "failure_domain": settings.failure_domain,
            "slots": slots,
            "draining": False,
            "started_ms": 1,
            "revision": 0,
            "created": 1,
            "cold_s": 0.0,
            "seen_s": 0.0,
        }
        return view.Endpoint(**{**values, **fields})

    def add_caller(self, host: str) -> stream_callers.StreamCaller:
        """Start a caller on a host."""
        process = self.network.process(f"caller-{host}", host)
        caller = stream_callers.StreamCaller(
            process, INGRESS_PORT, self.in_rotation
        )
        virtual_process.spawn(self.tasks, process, caller.run)
        return caller

    def in_rotation(self) -> list[address.Address]:
        """Return ingress addresses of live balancers that are not leaving."""
        return [
            daemon.settings.ingress
            for daemon in self.balancer_by_name.values()
            if daemon.process.alive and not daemon.leaving
        ]

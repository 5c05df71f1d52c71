"""A simulated deployment for stream flows, with its metadata store."""

import dataclasses
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal import services
from bramleypin.internal.stream import program
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.internal.stream import view
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_ends
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

PEER_PORT = 7000
INGRESS_PORT = 7001
READINESS_PORT = 7002
ENDPOINT_PORT = 7003
OUTBOUND_PORT = 7004
STORE_LATENCY_S = 0.004
# The real store client waits this long for a listing.
LISTING_TIMEOUT_S = 1.5
TRANSFER_STEP_S = 0.01
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


# Decodes an entry of a given revision as the store's client does.
EntryDecoder = typing.Callable[[int], view.Changes]


def _with_decoded(
    changes: view.Changes, entries: typing.Iterable[tuple[int, EntryDecoder]]
) -> view.Changes:
    """Add the entries that are decoded when the store is read."""
    for revision, decode in entries:
        decoded = decode(revision)
        changes = dataclasses.replace(
            changes,
            endpoints=(*changes.endpoints, *decoded.endpoints),
            removed_ids=(*changes.removed_ids, *decoded.removed_ids),
            skipped_count=changes.skipped_count + decoded.skipped_count,
        )
    return changes


class Store:
    """A simulated metadata store.

    While ``down`` is set, all requests fail at once; those of
    ``refused_hosts`` always do. While ``silent`` is set, all requests stay
    unanswered and fail after ``LISTING_TIMEOUT_S``; those of ``silent_hosts``
    always do. A watch that is already waiting fails in the same way at the
    next change. A stale listing shows the state ``stale_commits`` changes ago.
    ``calls`` counts calls as they are charged: a stale one costs a tenth.
    """

    def __init__(self):
        self.revision = 1
        self.configuration = view.NO_CONFIGURATION
        self.endpoint_by_id: dict[str, view.Endpoint] = {}
        self._foreign_by_id: dict[str, tuple[int, EntryDecoder]] = {}
        self.domains_out: set[str] = set()
        self.down = False
        self.silent = False
        self.transfer_s = 0.0
        self.refused_hosts: set[str] = set()
        self.silent_hosts: set[str] = set()
        self.calls = 0.0
        self.stale_commits = 0
        self._states: list[tuple[int, view.Configuration, tuple, tuple]] = [
            (self.revision, self.configuration, (), ())
        ]
        self._change_log: list[tuple[int, str, object]] = []
        self._oldest_revision = 0
        self._change_event = anyio.Event()

    def _commit(self, kind: str, value: object) -> None:
        self.revision += 1
        self._change_log.append((self.revision, kind, value))
        self._states.append(
            (
                self.revision,
                self.configuration,
                tuple(self.endpoint_by_id.values()),
                tuple(self.domains_out),
            )
        )
        change_event, self._change_event = self._change_event, anyio.Event()
        change_event.set()

    def configure(self, new_configuration: view.Configuration) -> None:
        """Publish a configuration."""
        self.configuration = new_configuration
        self._commit("configuration", new_configuration)

    def put(self, endpoint: view.Endpoint) -> None:
        """Register an endpoint or replace its registration."""
        endpoint = dataclasses.replace(endpoint, revision=self.revision + 1)
        self.endpoint_by_id[endpoint.id] = endpoint
        self._commit("endpoint", endpoint)

    def put_foreign(self, id_: str, decode: EntryDecoder) -> None:
        """Write an entry of another writer, which each read decodes."""
        entry = (self.revision + 1, decode)
        self._foreign_by_id[id_] = entry
        self._commit("foreign", entry)

    def remove(self, id_: str) -> None:
        """Remove an endpoint's registration."""
        del self.endpoint_by_id[id_]
        self._commit("removed", id_)

    def take_out_of_service(self, domain: str) -> None:
        """Take a failure domain out of service."""
        self.domains_out.add(domain)
        self._commit("out", domain)

    def return_to_service(self, domain: str) -> None:
        """Return a failure domain to service."""
        self.domains_out.discard(domain)
        self._commit("back", domain)

    def forget_history(self) -> None:
        """Discard the change history; watches from older revisions fail."""
        self._oldest_revision = self.revision

    async def _raise_if_unavailable(self, host: str) -> None:
        if self.silent or host in self.silent_hosts:
            await anyio.sleep(LISTING_TIMEOUT_S)
            raise errors.PlatformUnavailable("the store does not answer")
        if self.down or host in self.refused_hosts:
            raise errors.PlatformUnavailable("the store refuses requests")

    def _mark_seen(self, endpoint: view.Endpoint) -> view.Endpoint:
        return dataclasses.replace(endpoint, seen_s=anyio.current_time())

    async def read(self, host: str, allow_stale: bool) -> view.Changes:
        """Return a complete listing.

        :raises errors.PlatformUnavailable: when the store is unavailable.
        """
        self.calls += 0.1 if allow_stale else 1.0
        await anyio.sleep(STORE_LATENCY_S)
        await self._raise_if_unavailable(host)
        index = len(self._states) - 1
        if allow_stale:
            index = max(0, index - self.stale_commits)
        revision, listed, endpoints, domains_out = self._states[index]
        listing = view.Changes(
            revision,
            listed if listed.version >= 0 else None,
            tuple(self._mark_seen(item) for item in endpoints),
            (),
            domains_out,
            (),
            complete=True,
        )
        return _with_decoded(listing, self._foreign_by_id.values())

    async def watch(
        self, host: str, after: int, wait_s: float
    ) -> view.Changes:
        """Wait up to ``wait_s`` for changes after a revision.

        :raises errors.PlatformHistoryLost: when some of these changes
            have been discarded.
        :raises errors.PlatformUnavailable: when the store is unavailable.
        """
        self.calls += 1
        await anyio.sleep(STORE_LATENCY_S)
        await self._raise_if_unavailable(host)
        if after < self._oldest_revision:
            raise errors.PlatformHistoryLost(
                "the simulated store has discarded some of these changes"
            )
        with anyio.move_on_after(wait_s):
            while self.revision <= after:
                await self._change_event.wait()
                await self._raise_if_unavailable(host)
        changes = [item for item in self._change_log if item[0] > after]
        by_kind: dict[str, list] = {}
        for _, kind, value in changes:
            by_kind.setdefault(kind, []).append(value)
        watched = view.Changes(
            self.revision,
            by_kind.get("configuration", [None])[-1],
            tuple(
                self._mark_seen(item) for item in by_kind.get("endpoint", ())
            ),
            tuple(by_kind.get("removed", ())),
            tuple(by_kind.get("out", ())),
            tuple(by_kind.get("back", ())),
        )
        return _with_decoded(watched, by_kind.get("foreign", ()))


@dataclasses.dataclass
class StoreClient:
    """One machine's client of the store.

    A listing takes ``store.transfer_s`` on the machine's network link, whose
    bandwidth concurrent listings share.
    """

    store: Store
    host: str
    transfers: int = 0

    @property
    def receiving(self) -> bool:
        """Whether a listing is being transferred."""
        return self.transfers > 0

    async def read(
        self, allow_stale: bool = False
    ) -> tuple[view.Changes, ...]:
        """Return a listing after its simulated transfer, and later changes.

        :raises errors.PlatformUnavailable: when the store is unavailable, or
            the transfer takes longer than ``LISTING_TIMEOUT_S``.
        """
        listing = await self.store.read(self.host, allow_stale)
        remaining_s = self.store.transfer_s
        if remaining_s <= 0:
            return await self._with_later_changes(listing, allow_stale)
        self.transfers += 1
        try:
            with anyio.fail_after(LISTING_TIMEOUT_S):
                while remaining_s > 0:
                    await anyio.sleep(TRANSFER_STEP_S)
                    remaining_s -= TRANSFER_STEP_S / self.transfers
        except TimeoutError as error:
            message = "the listing took longer than LISTING_TIMEOUT_S"
            raise errors.PlatformUnavailable(message) from error
        finally:
            self.transfers -= 1
        return await self._with_later_changes(listing, allow_stale)

    async def _with_later_changes(
        self, listing: view.Changes, allow_stale: bool
    ) -> tuple[view.Changes, ...]:
        if not allow_stale:
            return (listing,)
        return listing, await self.watch(listing.revision, 0.0)

    async def watch(self, after: int, wait_s: float) -> view.Changes:
        """Wait up to ``wait_s`` for changes after a revision."""
        return await self.store.watch(self.host, after, wait_s)


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
                platform=StoreClient(self.fleet.store, self.settings.host),
                codec=stream_codec.TestCodec(),
                random=process.random,
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
        self.store = Store()
        self.balancer_by_name: dict[str, Daemon] = {}
        self.agent_by_name: dict[str, Daemon] = {}
        self.endpoint_by_name: dict[str, stream_ends.StreamEndpoint] = {}
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
    ) -> stream_ends.StreamEndpoint:
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
        endpoint = stream_ends.StreamEndpoint(
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

    def add_caller(self, host: str) -> stream_ends.StreamCaller:
        """Start a caller on a host."""
        process = self.network.process(f"caller-{host}", host)
        caller = stream_ends.StreamCaller(
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

"""Test harness for the daemon that the bench ``control`` measures.

It simulates the platform over HTTP, the daemon's upstream processes (one
server for all of them) and its children, all over loopback.
"""

import dataclasses
import random
import subprocess
import sys
import time
import typing

import anyio
import anyio.abc

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.membership import secure_link
from bramleypin.internal.membership import trees
from bramleypin.internal.model import configuration
from bramleypin.internal.model import vms
from bramleypin.internal.net import control as network_module
from bramleypin.internal.wire import control
from bramleypin.standins import fleet
from bramleypin.standins import platform as platform_module

LOOPBACK_HOST = "127.0.0.1"
KEY_TEXT = "5a" * 32
KEY = bytes.fromhex(KEY_TEXT)
DOMAINS = tuple(f"domain-{number}" for number in range(9))
REGION_COUNT = 4
CHILDREN = trees.TREE_COUNT * trees.FANOUT
# One link in each of the two trees to a VM of the daemon's own domain, and one
# link to another domain.
UPSTREAM_LINKS = 3
DAEMON_ID = "measured"
START_TIMEOUT_S = 30.0
EVENT_TIMEOUT_S = 10.0


@dataclasses.dataclass
class Size:
    """Size of a view; ``hosts`` counts the endpoints of all services."""

    services: int
    hosts: int
    vms_per_domain: int


async def free_port() -> int:
    """Return a loopback port that was free at the time of the call."""
    listener = await anyio.create_tcp_listener(local_host=LOOPBACK_HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return port


class Peer:
    """The remote side of a link to the daemon, and the state it received."""

    def __init__(self, link: secure_link.AuthenticatedLink):
        self.link = link
        self.revision = 0
        self.vm_list_version = 0
        self.lease_answers = 0
        self.received_messages = 0
        self.message_received = anyio.Event()


class Harness:
    """Runs one daemon, sends it events and reads its resource usage."""

    def __init__(self, size: Size):
        self.size = size
        self.platform = platform_module.MemoryPlatform()
        self.publisher = platform_module.Publisher(self.platform)
        self.upstream: list[Peer] = []
        self.children: list[Peer] = []
        self.revision = 0
        self.vm_list_version = 0
        self._network = network_module.WebsocketNetwork()
        self._random = random.Random(1)
        self._daemon_address = address.Address(LOOPBACK_HOST, 0)
        self._process: subprocess.Popen | None = None
        self._domains = {
            name: configuration.FailureDomain(f"region-{rank % REGION_COUNT}")
            for rank, name in enumerate(DOMAINS)
        }
        self._encoded_by_name = self._make_services()
        self._vm_by_id: dict[str, vms.Vm] = {}

    def _make_services(self) -> dict[str, bytes]:
        services = fleet.make_services(self.size.services, DOMAINS)
        # Services have two hosts. Some get a third, to reach ``hosts`` in all.
        larger_count = self.size.hosts - 2 * self.size.services
        larger_services = fleet.make_services(max(larger_count, 0), DOMAINS, 3)
        services.update(larger_services)
        return {
            name: configuration.encode(service)
            for name, service in services.items()
        }

    def _make_vms(self, upstream_address: str) -> None:
        for number in range(self.size.vms_per_domain * len(DOMAINS)):
            rank, domain = divmod(number, len(DOMAINS))
            host = f"10.{domain}.{rank // 256}.{rank % 256}"
            # One VM in six is a balancer; in the target 1,500 of 8,900 are.
            vm = vms.Vm(
                f"vm-{number}",
                "balancer" if rank % 6 == 0 else "agent",
                DOMAINS[domain],
                f"{host}:{fleet.DATA_PORT}",
                upstream_address,
            )
            self._vm_by_id[vm.id] = vm
        # The daemon replaces one VM, so that the number of VMs does not
        # change.
        replaced_vm = self._vms_of_own_domain()[0]
        del self._vm_by_id[replaced_vm.id]
        daemon_vm = vms.Vm(
            self._find_reader_id(),
            "balancer",
            DOMAINS[0],
            f"{LOOPBACK_HOST}:1",
            str(self._daemon_address),
        )
        self._vm_by_id[daemon_vm.id] = daemon_vm
        self.daemon_id = daemon_vm.id

    def _vms_of_own_domain(self) -> list[vms.Vm]:
        return [
            vm
            for vm in self._vm_by_id.values()
            if vm.failure_domain == DOMAINS[0]
        ]

    def _find_reader_id(self) -> str:
        """Return an id that ranks the daemon among the readers of a tree.

        Readers call the platform, and have the position with the highest load.

        :raises errors.UnknownName: when none of the 1,000,000 tried ids is a
            reader.
        """
        other_vms = self._vms_of_own_domain()
        for number in range(1_000_000):
            vm = vms.Vm(
                f"{DAEMON_ID}-{number}", "balancer", DOMAINS[0], "", ""
            )
            ranking = trees.rank_members([*other_vms, vm], 0)
            if ranking.index(vm) < trees.READERS_PER_DOMAIN:
                return vm.id
        raise errors.UnknownName("reader", DAEMON_ID, [])

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all processes and wait until the daemon holds the view."""
        server = platform_module.HttpServer(self.platform)
        platform_address = await tasks.start(server.serve)
        upstream_address = address.Address(LOOPBACK_HOST, await free_port())
        tasks.start_soon(
            self._network.serve, upstream_address, self._accept_upstream
        )
        self._daemon_address = address.Address(
            LOOPBACK_HOST, await free_port()
        )
        self._make_vms(str(upstream_address))
        self.publish_vms(set(DOMAINS))
        self.publish({})
        self._process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "bramleypin.bench.control_daemon",
                self._daemon_settings(f"http://{platform_address}"),
            ]
        )
        with anyio.fail_after(START_TIMEOUT_S):
            while (await self.usage())["revision"] < self.revision:
                await anyio.sleep(0.2)
            for number in range(CHILDREN):
                await self._connect_child(tasks, f"child-{number}")
            while len(self.upstream) < UPSTREAM_LINKS:
                await anyio.sleep(0.1)
        await anyio.sleep(1.0)

    def stop(self) -> None:
        """Kill the daemon and wait for its exit."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _daemon_settings(self, url: str) -> str:
        return (
            f'role = "balancer"\nid = "{self.daemon_id}"\n'
            f'failure_domain = "{DOMAINS[0]}"\nkeys = ["{KEY_TEXT}"]\n'
            f'[addresses]\ndata = "{LOOPBACK_HOST}:1"\n'
            f'control = "{self._daemon_address}"\n'
            f'[platform]\nurl = "{url}"\n'
        )

    def _new_hello(self, name: str) -> control.Hello:
        return secure_link.new_hello(self._random, name, "agent", DOMAINS[0])

    async def _accept_upstream(self, raw_link: typing.Any) -> None:
        link = await secure_link.handshake(
            raw_link, self._new_hello("upstream"), (KEY,), is_initiator=False
        )
        peer = Peer(link)
        self.upstream.append(peer)
        try:
            await self._receive(peer)
        finally:
            self.upstream.remove(peer)

    async def _connect_child(
        self, tasks: anyio.abc.TaskGroup, name: str
    ) -> None:
        link = await secure_link.open_link(
            self._network, self._daemon_address, self._new_hello(name), (KEY,)
        )
        peer = Peer(link)
        manifest = self.publisher.manifest
        await link.send(
            control.Subscribe(
                manifest.revision,
                manifest.digest_by_shard,
                self.vm_list_version,
            )
        )
        peer.revision = self.revision
        peer.vm_list_version = self.vm_list_version
        self.children.append(peer)
        tasks.start_soon(self._receive, peer)

    async def _receive(self, peer: Peer) -> None:
        while True:
            try:
                message = await peer.link.receive()
            except errors.LinkClosed:
                return
            peer.received_messages += 1
            if isinstance(message, control.LeaseRequest):
                await peer.link.send(
                    control.LeaseAnswer(message.id, self.revision)
                )
            elif isinstance(message, control.LeaseAnswer):
                peer.lease_answers += 1
            elif isinstance(message, control.MemberUpdate):
                peer.vm_list_version = message.version
            elif isinstance(message, control.Update):
                manifest = configuration.decode(
                    message.manifest, configuration.Manifest, "manifest"
                )
                peer.revision = manifest.revision
            peer.message_received.set()
            peer.message_received = anyio.Event()

    def publish(self, changed_services: dict[str, bytes]) -> control.Update:
        """Publish a revision, and return the update for upstream to send."""
        self.revision += 1
        self._encoded_by_name.update(changed_services)
        manifest = self.publisher.publish_encoded(
            self.revision, self._encoded_by_name, self._domains
        )
        return control.Update(configuration.encode(manifest), changed_services)

    def view_bytes(self) -> int:
        """Return the bytes of manifest and shards that a new process reads."""
        shards = platform_module.group_by_shard(self._encoded_by_name).values()
        manifest = configuration.encode(self.publisher.manifest)
        encoded_shards = (
            configuration.encode_shard(shard) for shard in shards
        )
        return len(manifest) + sum(len(data) for data in encoded_shards)

    def make_changed_services(self, count: int) -> dict[str, bytes]:
        """Return new documents of ``count`` services.

        Consecutive revisions change different services in turn.
        """
        names = list(self._encoded_by_name)
        encoded_by_name = {}
        for step in range(count):
            name = names[(self.revision * count + step) % len(names)]
            service = configuration.decode(
                self._encoded_by_name[name], configuration.Service, name
            )
            encoded_by_name[name] = configuration.encode(
                configuration.Service(
                    service.name,
                    service.addresses,
                    service.endpoints,
                    max_duration_s=float(self.revision + 1),
                )
            )
        return encoded_by_name

    def publish_vms(self, changed_domains: set[str]) -> None:
        """Publish the parts of the VM list for the changed failure domains."""
        self.vm_list_version += 1
        self.publisher.publish_vms_in_parts(
            self.vm_list_version,
            list(self._vm_by_id.values()),
            changed_domains,
        )

    def change_vm(self) -> None:
        """Toggle one VM between live and leaving, and publish the VM list."""
        candidates = [
            vm
            for vm in self._vm_by_id.values()
            if vm.failure_domain
            == DOMAINS[self.vm_list_version % len(DOMAINS)]
            and vm.id != self.daemon_id
        ]
        vm = candidates[self.vm_list_version * 7 % len(candidates)]
        state = "leaving" if vm.state == "live" else "live"
        self._vm_by_id[vm.id] = vms.Vm(
            vm.id, vm.role, vm.failure_domain, vm.data, vm.control, state
        )
        self.publish_vms({vm.failure_domain})

    async def propagate_change(self, services: int = 1) -> float:
        """Publish a change of services and wait until all children have it.

        If only one service changes, all upstream peers also send the change.
        The daemon must read a larger change from the platform. Returns the
        seconds until the last child has received the change.
        """
        update = self.publish(self.make_changed_services(services))
        start_s = time.perf_counter()
        if services == 1:
            for peer in list(self.upstream):
                await peer.link.send(update)
        await self._wait_for_children(
            lambda peer: peer.revision >= self.revision
        )
        return time.perf_counter() - start_s

    async def propagate_vm_change(self) -> None:
        """Change one VM and wait until all children have the update."""
        self.change_vm()
        await self._wait_for_children(
            lambda peer: peer.vm_list_version >= self.vm_list_version
        )

    async def exchange_lease_requests(self) -> None:
        """Send one lease request from each child and wait for all answers."""
        expected_answers_by_peer = {
            id(peer): peer.lease_answers + 1 for peer in self.children
        }
        for peer in self.children:
            await peer.link.send(
                control.LeaseRequest(expected_answers_by_peer[id(peer)])
            )
        await self._wait_for_children(
            lambda peer: peer.lease_answers
            >= expected_answers_by_peer[id(peer)]
        )

    async def _wait_for_children(
        self, is_done: typing.Callable[[Peer], bool]
    ) -> None:
        with anyio.fail_after(EVENT_TIMEOUT_S):
            for peer in self.children:
                while not is_done(peer):
                    await peer.message_received.wait()

    async def usage(self) -> dict[str, typing.Any]:
        """Request the resource usage of the daemon until it answers."""
        while True:
            try:
                answer = await secure_link.ask(
                    self._network,
                    self._daemon_address,
                    (KEY,),
                    control.StatusRequest(),
                )
                return answer.sections["usage"]
            except (errors.PeerUnreachable, errors.LinkClosed):
                await anyio.sleep(0.1)

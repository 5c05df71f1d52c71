"""Flows broken over planned changes, with views up to 30 s apart.

Balancers and agents are the product's, in the virtual network. Each process
accepts each revision up to 30 s after its publication. Half of the callers
carry pins, half do not. After each change a quarter of the flows, in turn,
send a request each through a random live balancer, and at the end all do. A
flow is broken when another agent answers or nobody does, after
retransmissions.
"""

import collections.abc
import concurrent.futures
import dataclasses
import random
import typing

import anyio
import anyio.abc
import loguru

from bramleypin.bench import rows
from bramleypin.internal import address
from bramleypin.internal.balancer import flow_key
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal import placement
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import proxy_header
from bramleypin import settings as settings_module
from bramleypin.standins import agent_rig
from bramleypin.standins import balancer_rig
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

SEEDS = range(1, 11)
FLOWS = 2_000
CHANGES = 20
WORKERS = 5
ENDPOINTS = 10
BALANCERS = 4
SLOTS = 200
CHANGE_INTERVAL_S = 10.0
VIEW_LAG_S = 30.0
ATTEMPTS = 4
ATTEMPT_S = 0.5
BATCH = 100
DOMAINS = ("austin", "waco", "san-marcos")
INGRESS_PORT = 7100
FABRIC = address.Address("10.7.0.1", 1)
# An empty message announces a later answer, and 5.03 is "not run, try
# later"; the caller goes on waiting and retransmits.
NO_ANSWERS = (0, coap.SERVICE_UNAVAILABLE)
KINDS = ("weights", "endpoint leaves", "endpoint joins", "balancer dies")
_KEYS = (bytes.fromhex(balancer_rig.KEY),)


@dataclasses.dataclass(slots=True)
class Flow:
    """A caller's flow, and who answered it first."""

    caller: address.Address
    carries_pin: bool
    pin: bytes = b""
    owner: address.Address | None = None
    hashed: str = ""
    broken: bool = False
    baseline_broken: bool = False


@dataclasses.dataclass
class Balancer:
    """A running balancer."""

    process: virtual_process.Process
    kernel: kernel_module.Kernel
    ingress: address.Address


@dataclasses.dataclass(frozen=True)
class Result:
    """What one seed gave."""

    flows: int
    broken_with_pin: int
    broken_without_pin: int
    baseline_broken: int


class Churn:
    """One run: a fleet, its flows, and a sequence of changes."""

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int, flows: int):
        self._tasks = tasks
        self._random = random.Random(seed)
        self._network = virtual_network.VirtualNetwork(seed)
        self._revision = 1
        self._documents: list[configuration.Endpoint] = []
        self._rigs: list[agent_rig.AgentRig] = []
        self._balancers: list[Balancer] = []
        self._started = 0
        self._due_by_kernel: dict[kernel_module.Kernel, float] = {}
        self._answer_by_caller: dict[address.Address, bytes] = {}
        self._owner_by_caller: dict[address.Address, address.Address] = {}
        self._mid = 0
        self.flows = [
            Flow(
                address.Address(f"10.8.{n >> 8}.{n & 255}", 40_000), n % 2 == 0
            )
            for n in range(flows)
        ]

    async def run(self) -> Result:
        """Open all flows, make all changes and count broken flows."""
        self._tasks.start_soon(self._network.run)
        self._network.on_send.append(self._watch)
        outside = self._network.process("fabric", FABRIC.host)
        self._port = await outside.open_datagram_port(FABRIC)
        self._tasks.start_soon(self._collect)
        for _ in range(ENDPOINTS):
            self._add_document()
        for document in self._documents:
            await self._start_agent(document)
        for _ in range(BALANCERS):
            await self._start_balancer()
        await self._check_all(self.flows)
        kinds = list(KINDS) * (CHANGES // len(KINDS))
        self._random.shuffle(kinds)
        for number, kind in enumerate(kinds):
            await self._change(kind)
            await anyio.sleep(CHANGE_INTERVAL_S)
            # Pairs, because every second flow carries a pin.
            await self._check_all(
                [
                    flow
                    for place, flow in enumerate(self.flows)
                    if (place // 2 + number) % 4 == 0
                ]
            )
        await anyio.sleep(VIEW_LAG_S)
        await self._check_all(self.flows)
        return Result(
            len(self.flows),
            sum(flow.broken and flow.carries_pin for flow in self.flows),
            sum(flow.broken and not flow.carries_pin for flow in self.flows),
            sum(flow.baseline_broken for flow in self.flows),
        )

    # Processes

    def _add_document(self) -> configuration.Endpoint:
        number = len(self._documents) + 1
        document = agent_rig.endpoint_document(
            number,
            DOMAINS[number % len(DOMAINS)],
            slots=SLOTS,
            weight=self._random.choice((1.0, 2.0, 4.0)),
        )
        self._documents.append(document)
        return document

    def _service(self) -> configuration.Service:
        return agent_rig.service_document(self._documents)

    async def _start_agent(self, document: configuration.Endpoint) -> None:
        rig = agent_rig.AgentRig(
            self._network,
            document,
            endpoint_module.Profile(
                slots=SLOTS, cold_slots=SLOTS, service_time_s=0.002
            ),
            service=self._service(),
            revision=self._revision,
        )
        self._rigs.append(rig)
        rig.start_endpoint(self._tasks)
        await rig.start_agent(self._tasks)

    async def _start_balancer(self) -> None:
        self._started += 1
        host = f"10.1.0.{self._started}"
        at = address.Address(host, INGRESS_PORT)
        settings = balancer_rig.balancer_settings(
            f"balancer-{self._started}",
            f"{host}:{agent_rig.DATA_PORT}",
            settings_module.Ingress(address=str(at)),
        )
        process = self._network.process(f"balancer {self._started}", host)
        ready = anyio.Event()

        async def main() -> None:
            env = process.environment(typing.cast(typing.Any, None))
            async with anyio.create_task_group() as inner:
                kernel, _ = await balancer_rig.start(settings, env, inner)
                agent_rig.apply(kernel, self._revision, self._service())
                self._balancers.append(Balancer(process, kernel, at))
                ready.set()

        virtual_process.spawn(self._tasks, process, main)
        await ready.wait()

    # Changes

    async def _change(self, kind: str) -> None:
        if kind == "balancer dies":
            victim = self._random.choice(self._balancers)
            self._balancers.remove(victim)
            victim.process.kill()
            await self._start_balancer()
            return
        joined = None
        if kind == "weights":
            for number in range(len(self._documents)):
                weight = self._random.choice((1.0, 2.0, 4.0))
                self._replace(number, weight=weight)
        elif kind == "endpoint leaves":
            staying = [
                number
                for number, document in enumerate(self._documents)
                if document.state == "in_service"
            ]
            self._replace(self._random.choice(staying), state="leaving")
        else:
            joined = self._add_document()
        self._publish()
        if joined is not None:
            await self._start_agent(joined)

    def _replace(self, number: int, **fields: typing.Any) -> None:
        values = {
            name: getattr(self._documents[number], name)
            for name in self._documents[number].__struct_fields__
        }
        self._documents[number] = configuration.Endpoint(**values | fields)

    def _publish(self) -> None:
        """Bring a revision to each process within the next 30 s, in order."""
        self._revision += 1
        made = (self._revision, self._service())
        kernels = [item.kernel for item in self._balancers]
        kernels += [rig.kernel for rig in self._rigs]
        for kernel in kernels:
            due = anyio.current_time() + self._random.uniform(0, VIEW_LAG_S)
            due = max(due, self._due_by_kernel.get(kernel, 0.0) + 0.001)
            self._due_by_kernel[kernel] = due
            self._tasks.start_soon(self._apply_at, due, kernel, *made)

    async def _apply_at(
        self,
        due: float,
        kernel: kernel_module.Kernel,
        revision: int,
        service: configuration.Service,
    ) -> None:
        await anyio.sleep(due - anyio.current_time())
        agent_rig.apply(kernel, revision, service)

    # Flows

    async def _collect(self) -> None:
        while True:
            data, _ = await self._port.receive()
            caller = proxy_header.decode(data)[1]
            answer = data[proxy_header.HEADER_BYTES :]
            if answer[1] not in NO_ANSWERS:
                self._answer_by_caller[caller] = answer

    def _watch(self, packet: virtual_network.Packet) -> None:
        """Note which agent answers which caller."""
        ports = (packet.source.port, packet.destination.port)
        if ports != (agent_rig.DATA_PORT, agent_rig.DATA_PORT):
            return
        frame, _, payload = frames.decode(packet.data, _KEYS)
        if isinstance(frame, frames.Answer) and payload[1] not in NO_ANSWERS:
            self._owner_by_caller[frame.caller] = packet.source

    async def _check_all(self, flows: list[Flow]) -> None:
        for start in range(0, len(flows), BATCH):
            await self._check(flows[start : start + BATCH])

    async def _check(self, batch: list[Flow]) -> None:
        self._answer_by_caller.clear()
        request_by_caller = {}
        for flow in batch:
            self._check_baseline(flow)
            request_by_caller[flow.caller] = self._request(flow)
        for _ in range(ATTEMPTS):
            missing = request_by_caller.keys() - self._answer_by_caller.keys()
            if not missing:
                break
            for caller in sorted(missing):
                self._send(caller, request_by_caller[caller])
            with anyio.move_on_after(ATTEMPT_S):
                while len(self._answer_by_caller) < len(batch):
                    await anyio.sleep(0.005)
        for flow in batch:
            self._judge(flow, self._answer_by_caller.get(flow.caller))

    def _request(self, flow: Flow) -> bytes:
        self._mid = (self._mid + 1) & 0xFFFF
        token = self._mid.to_bytes(2, "big")
        message = coap.message(coap.CON, 1, self._mid, token)
        message.opt.uri_path = ("visits",)
        if flow.pin:
            coap.set_option(message, coap.ECHO, flow.pin)
        return coap.encode(message)

    def _send(self, caller: address.Address, request: bytes) -> None:
        header = proxy_header.encode(caller, agent_rig.SERVICE_ADDRESS)
        to = self._random.choice(self._balancers).ingress
        self._port.send(header + request, to)

    def _judge(self, flow: Flow, answer: bytes | None) -> None:
        if answer is None:
            flow.broken = True
            return
        owner = self._owner_by_caller[flow.caller]
        flow.owner = flow.owner or owner
        flow.broken |= flow.owner != owner
        if flow.carries_pin:
            flow.pin = coap.scan_option(answer, coap.ECHO) or flow.pin

    def _check_baseline(self, flow: Flow) -> None:
        """Ask a random balancer's view for the first by hash alone."""
        view = self._random.choice(self._balancers).kernel.get("view").view
        service = view.service(agent_rig.SERVICE)
        staying = [item for item in service.endpoints if not item.leaving]
        key = flow_key.encode(flow.caller, agent_rig.SERVICE_ADDRESS)
        order = placement.weighted_rendezvous(service.name, staying, key)
        flow.hashed = flow.hashed or order[0].id
        flow.baseline_broken |= flow.hashed != order[0].id


def run_seed(seed: int, flows: int = FLOWS) -> Result:
    """Run one seed in this process."""
    loguru.logger.remove()

    async def main() -> Result:
        async with anyio.create_task_group() as tasks:
            result = await Churn(tasks, seed, flows).run()
            tasks.cancel_scope.cancel()
        return result

    return virtual_network.run(main, seed)


@rows.BENCHES.register("churn")
def run() -> collections.abc.Iterator[rows.Row]:
    """Run all seeds, a few at a time, and report each and their sum."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run_seed, SEEDS))
    for seed, result in zip(SEEDS, results, strict=True):
        broken = result.broken_with_pin + result.broken_without_pin
        yield _row(f"{result.flows} flows", broken, result, seed)
    total = Result(
        *(
            sum(getattr(result, field.name) for result in results)
            for field in dataclasses.fields(Result)
        )
    )
    yield _row(
        f"{total.flows // 2} flows with pins, all seeds",
        total.broken_with_pin,
        total,
        None,
    )
    yield _row(
        f"{total.flows // 2} flows without pins, all seeds",
        total.broken_without_pin,
        total,
        None,
    )


def _row(case: str, broken: int, result: Result, seed: int | None) -> rows.Row:
    return rows.Row(
        bench="churn",
        case=f"{case}, {CHANGES} changes, views {VIEW_LAG_S:.0f} s apart",
        ours=broken,
        baseline=result.baseline_broken,
        baseline_name="rendezvous hashing without ownership, all flows",
        bound=0,
        unit="broken flows",
        seed=seed,
    )

"""Counts the flows that break when views lag behind changes by up to 30 s.

The bench runs the production balancers and agents in the virtual network. Each
process applies a revision up to 30 s after its publication. Half of the
callers carry pins. After each change, a quarter of the flows, in rotation,
send one request each through a random live balancer. At the end, all flows do
so. A flow is broken when a different agent than before answers it, or when no
agent answers after retransmissions.
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
FLOW_COUNT = 2_000
CHANGE_COUNT = 20
WORKER_PROCESSES = 5
INITIAL_ENDPOINTS = 10
BALANCER_COUNT = 4
SLOTS = 200
CHANGE_INTERVAL_S = 10.0
VIEW_LAG_S = 30.0
REQUEST_ATTEMPTS = 4
ATTEMPT_TIMEOUT_S = 0.5
BATCH_FLOWS = 100
DOMAINS = ("austin", "waco", "san-marcos")
INGRESS_PORT = 7100
FABRIC_ADDRESS = address.Address("10.7.0.1", 1)
# CoAP codes that are not final answers: an empty message announces a separate
# response, and 5.03 means that the request was not run and may be retried. The
# caller keeps waiting and retransmits.
NON_FINAL = (0, coap.SERVICE_UNAVAILABLE)
CHANGES = ("weights", "endpoint leaves", "endpoint joins", "balancer dies")
_KEYS = (bytes.fromhex(balancer_rig.KEY),)


@dataclasses.dataclass(slots=True)
class Flow:
    """A caller's flow, with its first owner.

    ``owner`` is the agent that first answered the flow, and
    ``baseline_endpoint_id`` the endpoint that the baseline first selected.
    """

    caller: address.Address
    carries_pin: bool
    pin: bytes = b""
    owner: address.Address | None = None
    baseline_endpoint_id: str = ""
    broken: bool = False
    baseline_broken: bool = False


@dataclasses.dataclass
class Balancer:
    """A running balancer with its kernel and ingress address."""

    process: virtual_process.Process
    kernel: kernel_module.Kernel
    ingress: address.Address


@dataclasses.dataclass(frozen=True)
class Result:
    """Numbers of flows and of broken flows, of one seed or of all."""

    flows: int
    broken_with_pin: int
    broken_without_pin: int
    baseline_broken: int


class ChurnRun:
    """Runs a fleet through a random sequence of changes and checks flows."""

    def __init__(self, tasks: anyio.abc.TaskGroup, seed: int, flows: int):
        self._tasks = tasks
        self._random = random.Random(seed)
        self._network = virtual_network.VirtualNetwork(seed)
        self._revision = 1
        self._endpoints: list[configuration.Endpoint] = []
        self._agent_rigs: list[agent_rig.AgentRig] = []
        self._balancers: list[Balancer] = []
        self._balancer_id = 0
        self._due_by_kernel: dict[kernel_module.Kernel, float] = {}
        self._answer_by_caller: dict[address.Address, bytes] = {}
        self._owner_by_caller: dict[address.Address, address.Address] = {}
        self._message_id = 0
        self.flows = [
            Flow(
                address.Address(f"10.8.{n >> 8}.{n & 255}", 40_000), n % 2 == 0
            )
            for n in range(flows)
        ]

    async def run(self) -> Result:
        """Open all flows, apply all changes and count the broken flows."""
        self._tasks.start_soon(self._network.run)
        self._network.on_send.append(self._record_owner)
        fabric = self._network.process("fabric", FABRIC_ADDRESS.host)
        self._fabric_port = await fabric.open_datagram_port(FABRIC_ADDRESS)
        self._tasks.start_soon(self._receive_answers)
        for _ in range(INITIAL_ENDPOINTS):
            self._add_endpoint()
        for document in self._endpoints:
            await self._start_agent(document)
        for _ in range(BALANCER_COUNT):
            await self._start_balancer()
        await self._check_flows(self.flows)
        changes = list(CHANGES) * (CHANGE_COUNT // len(CHANGES))
        self._random.shuffle(changes)
        for step, kind in enumerate(changes):
            await self._apply_change(kind)
            await anyio.sleep(CHANGE_INTERVAL_S)
            # Even-numbered flows carry a pin. Each of the four groups takes
            # neighbouring pairs of flows, so half of its flows are pinned.
            await self._check_flows(
                [
                    flow
                    for index, flow in enumerate(self.flows)
                    if (index // 2 + step) % 4 == 0
                ]
            )
        await anyio.sleep(VIEW_LAG_S)
        await self._check_flows(self.flows)
        return Result(
            len(self.flows),
            sum(flow.broken and flow.carries_pin for flow in self.flows),
            sum(flow.broken and not flow.carries_pin for flow in self.flows),
            sum(flow.baseline_broken for flow in self.flows),
        )

    # Processes

    def _add_endpoint(self) -> configuration.Endpoint:
        number = len(self._endpoints) + 1
        document = agent_rig.endpoint_document(
            number,
            DOMAINS[number % len(DOMAINS)],
            slots=SLOTS,
            weight=self._random.choice((1.0, 2.0, 4.0)),
        )
        self._endpoints.append(document)
        return document

    def _make_service(self) -> configuration.Service:
        return agent_rig.service_document(self._endpoints)

    async def _start_agent(self, document: configuration.Endpoint) -> None:
        rig = agent_rig.AgentRig(
            self._network,
            document,
            endpoint_module.Profile(
                slots=SLOTS, cold_slots=SLOTS, service_time_s=0.002
            ),
            service=self._make_service(),
            revision=self._revision,
        )
        self._agent_rigs.append(rig)
        rig.start_endpoint(self._tasks)
        await rig.start_agent(self._tasks)

    async def _start_balancer(self) -> None:
        self._balancer_id += 1
        host = f"10.1.0.{self._balancer_id}"
        ingress = address.Address(host, INGRESS_PORT)
        settings = balancer_rig.balancer_settings(
            f"balancer-{self._balancer_id}",
            f"{host}:{agent_rig.DATA_PORT}",
            settings_module.Ingress(address=str(ingress)),
        )
        process = self._network.process(f"balancer {self._balancer_id}", host)
        ready = anyio.Event()

        async def main() -> None:
            env = process.environment(typing.cast(typing.Any, None))
            async with anyio.create_task_group() as subtasks:
                kernel, _ = await balancer_rig.start(settings, env, subtasks)
                agent_rig.apply(kernel, self._revision, self._make_service())
                self._balancers.append(Balancer(process, kernel, ingress))
                ready.set()

        virtual_process.spawn(self._tasks, process, main)
        await ready.wait()

    # Changes

    async def _apply_change(self, kind: str) -> None:
        if kind == "balancer dies":
            killed_balancer = self._random.choice(self._balancers)
            self._balancers.remove(killed_balancer)
            killed_balancer.process.kill()
            await self._start_balancer()
            return
        new_endpoint = None
        if kind == "weights":
            for number in range(len(self._endpoints)):
                weight = self._random.choice((1.0, 2.0, 4.0))
                self._change_endpoint(number, weight=weight)
        elif kind == "endpoint leaves":
            active = [
                number
                for number, document in enumerate(self._endpoints)
                if document.state == "in_service"
            ]
            self._change_endpoint(self._random.choice(active), state="leaving")
        else:
            new_endpoint = self._add_endpoint()
        self._publish()
        if new_endpoint is not None:
            await self._start_agent(new_endpoint)

    def _change_endpoint(self, number: int, **fields: typing.Any) -> None:
        values = {
            name: getattr(self._endpoints[number], name)
            for name in self._endpoints[number].__struct_fields__
        }
        self._endpoints[number] = configuration.Endpoint(**values | fields)

    def _publish(self) -> None:
        """Schedule a new revision on each process within the next 30 s.

        A process applies revisions in the order of their publication.
        """
        self._revision += 1
        update = (self._revision, self._make_service())
        kernels = [balancer.kernel for balancer in self._balancers]
        kernels += [rig.kernel for rig in self._agent_rigs]
        for kernel in kernels:
            due_s = anyio.current_time() + self._random.uniform(0, VIEW_LAG_S)
            due_s = max(due_s, self._due_by_kernel.get(kernel, 0.0) + 0.001)
            self._due_by_kernel[kernel] = due_s
            self._tasks.start_soon(self._apply_at, due_s, kernel, *update)

    async def _apply_at(
        self,
        due_s: float,
        kernel: kernel_module.Kernel,
        revision: int,
        service: configuration.Service,
    ) -> None:
        await anyio.sleep(due_s - anyio.current_time())
        agent_rig.apply(kernel, revision, service)

    # Flows

    async def _receive_answers(self) -> None:
        while True:
            datagram, _ = await self._fabric_port.receive()
            caller = proxy_header.decode(datagram)[1]
            answer = datagram[proxy_header.HEADER_BYTES :]
            if answer[1] not in NON_FINAL:
                self._answer_by_caller[caller] = answer

    def _record_owner(self, packet: virtual_network.Packet) -> None:
        """Record which agent answers which caller."""
        ports = (packet.source.port, packet.destination.port)
        if ports != (agent_rig.DATA_PORT, agent_rig.DATA_PORT):
            return
        frame, _, payload = frames.decode(packet.data, _KEYS)
        if isinstance(frame, frames.Answer) and payload[1] not in NON_FINAL:
            self._owner_by_caller[frame.caller] = packet.source

    async def _check_flows(self, flows: list[Flow]) -> None:
        for start in range(0, len(flows), BATCH_FLOWS):
            await self._check_batch(flows[start : start + BATCH_FLOWS])

    async def _check_batch(self, batch: list[Flow]) -> None:
        self._answer_by_caller.clear()
        request_by_caller = {}
        for flow in batch:
            self._check_baseline(flow)
            request_by_caller[flow.caller] = self._encode_request(flow)
        for _ in range(REQUEST_ATTEMPTS):
            pending = request_by_caller.keys() - self._answer_by_caller.keys()
            if not pending:
                break
            for caller in sorted(pending):
                self._send(caller, request_by_caller[caller])
            with anyio.move_on_after(ATTEMPT_TIMEOUT_S):
                while len(self._answer_by_caller) < len(batch):
                    await anyio.sleep(0.005)
        for flow in batch:
            self._check_answer(flow, self._answer_by_caller.get(flow.caller))

    def _encode_request(self, flow: Flow) -> bytes:
        self._message_id = (self._message_id + 1) & 0xFFFF
        token = self._message_id.to_bytes(2, "big")
        message = coap.message(coap.CON, 1, self._message_id, token)
        message.opt.uri_path = ("visits",)
        if flow.pin:
            coap.set_option(message, coap.ECHO, flow.pin)
        return coap.encode(message)

    def _send(self, caller: address.Address, request: bytes) -> None:
        header = proxy_header.encode(caller, agent_rig.SERVICE_ADDRESS)
        ingress = self._random.choice(self._balancers).ingress
        self._fabric_port.send(header + request, ingress)

    def _check_answer(self, flow: Flow, answer: bytes | None) -> None:
        if answer is None:
            flow.broken = True
            return
        owner = self._owner_by_caller[flow.caller]
        flow.owner = flow.owner or owner
        flow.broken |= flow.owner != owner
        if flow.carries_pin:
            flow.pin = coap.scan_option(answer, coap.ECHO) or flow.pin

    def _check_baseline(self, flow: Flow) -> None:
        """Set ``baseline_broken`` if hashing selects a different endpoint.

        The baseline ranks the endpoints in the view of a random balancer by
        hashing alone.
        """
        view = self._random.choice(self._balancers).kernel.get("view").view
        service = view.service(agent_rig.SERVICE)
        endpoints = [item for item in service.endpoints if not item.leaving]
        key = flow_key.encode(flow.caller, agent_rig.SERVICE_ADDRESS)
        ranking = placement.weighted_rendezvous(service.name, endpoints, key)
        flow.baseline_endpoint_id = flow.baseline_endpoint_id or ranking[0].id
        flow.baseline_broken |= flow.baseline_endpoint_id != ranking[0].id


def run_seed(seed: int, flows: int = FLOW_COUNT) -> Result:
    """Run the bench with one seed in this process."""
    loguru.logger.remove()

    async def main() -> Result:
        async with anyio.create_task_group() as tasks:
            result = await ChurnRun(tasks, seed, flows).run()
            tasks.cancel_scope.cancel()
        return result

    return virtual_network.run(main, seed)


@rows.BENCHES.register("churn")
def run() -> collections.abc.Iterator[rows.Row]:
    """Run all seeds in a pool of processes; report each one and the sums."""
    with concurrent.futures.ProcessPoolExecutor(WORKER_PROCESSES) as pool:
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
        case=f"{case}, {CHANGE_COUNT} changes, views {VIEW_LAG_S:.0f} s apart",
        ours=broken,
        baseline=result.baseline_broken,
        baseline_name="rendezvous hashing without ownership, all flows",
        bound=0,
        unit="broken flows",
        seed=seed,
    )

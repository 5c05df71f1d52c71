"""Agents and their endpoints on a virtual network, for tests and benchmarks.

The membership services are replaced by ``balancer_rig.Membership``, whose
state a test sets directly; all other services are the real ones. ``Sender``
takes the place of a balancer and sends single frames.
"""

import collections
import dataclasses
import importlib
import typing

import anyio
import anyio.abc

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.model import configuration
from bramleypin.internal import services
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin import settings as settings_module
from bramleypin.standins import balancer_rig
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

KEY = bytes.fromhex(balancer_rig.KEY)
SERVICE = "scheduler"
SERVICE_ADDRESS = address.Address("10.9.0.1", 5683)
CALLER = address.Address("10.8.0.1", 40_000)
DATA_PORT = 7000
CONTROL_PORT = 7001
ENDPOINT_PORT = 5683

_START_ORDER = (
    "metrics",
    "trace",
    "outcomes",
    "status",
    "view",
    "port",
    "identity",
    "admission",
    "endpoint",
    "flows",
    "frames",
)


def endpoint_document(
    number: int, failure_domain: str = "austin", **fields: typing.Any
) -> configuration.Endpoint:
    """Return the configuration of the endpoint on host ``number``."""
    host = f"10.0.0.{number}"
    slots = fields.get("slots", 5)
    values = {"slots": slots, "cold_slots": slots, "ramp_s": 0.0, **fields}
    return configuration.Endpoint(
        id=f"host-{number}",
        failure_domain=failure_domain,
        data=f"{host}:{DATA_PORT}",
        control=f"{host}:{CONTROL_PORT}",
        **values,
    )


def service_document(
    endpoints: typing.Iterable[configuration.Endpoint],
    **fields: typing.Any,
) -> configuration.Service:
    """Return the configuration of the test service with these endpoints."""
    values = {"name": SERVICE, "addresses": (str(SERVICE_ADDRESS),), **fields}
    return configuration.Service(endpoints=tuple(endpoints), **values)


def apply(
    kernel: kernel_module.Kernel,
    revision: int,
    service: configuration.Service,
    out: typing.Container[str] = (),
) -> None:
    """Apply a configuration to the view of one process.

    ``out`` lists the failure domains that are out of service.
    """
    domains = {item.failure_domain for item in service.endpoints}
    manifest, encoded = balancer_rig.documents(
        revision, (service,), sorted(domains | {"austin"}), out
    )
    kernel.get("view").apply(manifest, encoded)


@dataclasses.dataclass
class AgentRig:
    """An agent and its endpoint, as two processes on one virtual host."""

    network: virtual_network.VirtualNetwork
    document: configuration.Endpoint
    profile: endpoint_module.Profile
    limits: settings_module.Limits = settings_module.Limits()
    policy: str = "adaptive"
    service: configuration.Service | None = None
    revision: int = 1

    def __post_init__(self) -> None:
        """Create the endpoint and its process, without starting them."""
        self.membership = balancer_rig.Membership()
        self.data = address.parse(self.document.data)
        self.kernel: kernel_module.Kernel
        self.process: virtual_process.Process
        self.endpoint_process = self.network.process(
            f"endpoint {self.document.id}",
            self.data.host,
            self.document.failure_domain,
        )
        self.endpoint = endpoint_module.EndpointStandin(
            self.endpoint_process.environment(typing.cast(typing.Any, None)),
            address.Address(self.data.host, ENDPOINT_PORT),
            self.profile,
        )

    def start_endpoint(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run the endpoint in ``tasks``."""
        virtual_process.spawn(tasks, self.endpoint_process, self.endpoint.run)

    async def start_agent(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the agent and wait until it is ready.

        After ``kill_agent``, this restarts the agent in a new process.
        """
        self.process = self.network.process(
            f"agent {self.document.id}",
            self.data.host,
            self.document.failure_domain,
        )
        ready = anyio.Event()
        virtual_process.spawn(
            tasks, self.process, lambda: self._run_agent(ready)
        )
        while not ready.is_set():
            await anyio.sleep(0.001)
            if self.process.failure is not None:
                raise self.process.failure

    def kill_agent(self) -> None:
        """Kill the agent process without a graceful stop."""
        self.process.kill()

    def _settings(self) -> settings_module.Settings:
        return settings_module.Settings(
            role="agent",
            id=f"agent-{self.document.id}",
            failure_domain=self.document.failure_domain,
            keys=(balancer_rig.KEY,),
            addresses=settings_module.Addresses(
                self.document.data, self.document.control
            ),
            endpoint=settings_module.Endpoint(
                service=SERVICE,
                id=self.document.id,
                address=f"{self.data.host}:{ENDPOINT_PORT}",
                policy=self.policy,
            ),
            limits=self.limits,
        )

    async def _run_agent(self, ready: anyio.Event) -> None:
        _load_modules()
        env = self.process.environment(typing.cast(typing.Any, None))
        kernel = self.kernel = kernel_module.Kernel(self._settings(), env)
        for name in ("members", "sync"):
            kernel.service_by_name[name] = typing.cast(
                typing.Any, self.membership
            )
        async with anyio.create_task_group() as tasks:
            for name in _START_ORDER:
                entry = kernel_module.SERVICES.get(f"agent/{name}")
                instance = entry.factory(kernel)
                await instance.start()
                kernel.service_by_name[name] = instance
                if name == "view":
                    service = self.service or service_document(
                        (self.document,)
                    )
                    apply(kernel, self.revision, service)
            for name in _START_ORDER:
                tasks.start_soon(kernel.get(name).run)
            kernel.started.set()
            # Gives the agent time for its first health check.
            await anyio.sleep(0.01)
            ready.set()

    async def drain(self) -> None:
        """Drain the agent's services in reverse start order."""
        for name in reversed(_START_ORDER):
            await self.kernel.get(name).drain()


def _load_modules() -> None:
    for name in services.MODULES_BY_ROLE["agent"]:
        if "membership" not in name or name.endswith("view_store"):
            importlib.import_module(name)


class Sender:
    """A process that sends frames to agents and records their answers."""

    def __init__(
        self,
        network: virtual_network.VirtualNetwork,
        name: str = "sender",
        host: str = "10.1.0.1",
    ):
        self.process = network.process(name, host)
        self.sequence = 0
        self.nonce = hash(name) & 0xFFFF
        self.answers: list[coap.Message] = []
        self.answer_frames: list[frames.Answer] = []
        self.payloads: list[bytes] = []
        self.probe_answers: list[frames.ProbeAnswer] = []
        self.notices: list[frames.Notice] = []
        self.answers_by_token: dict[bytes, list[coap.Message]] = (
            collections.defaultdict(list)
        )
        self._answer_event = anyio.Event()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Open the data port and receive from it in ``tasks``."""
        local_address = address.Address(self.process.host, DATA_PORT)
        self._port = await self.process.open_datagram_port(local_address)
        self.address = local_address
        tasks.start_soon(self._read)

    async def _read(self) -> None:
        while True:
            data, _ = await self._port.receive()
            frame, _, payload = frames.decode(data, (KEY,))
            if isinstance(frame, frames.Answer):
                self._record_answer(frame, payload)
            elif isinstance(frame, frames.ProbeAnswer):
                self.probe_answers.append(frame)
            elif isinstance(frame, frames.Notice):
                self.notices.append(frame)
            self._answer_event.set()
            self._answer_event = anyio.Event()

    def _record_answer(self, frame: frames.Answer, payload: bytes) -> None:
        self.answer_frames.append(frame)
        self.payloads.append(payload)
        try:
            message = coap.decode(payload)
        except Exception:
            return
        self.answers.append(message)
        if message.code:
            self.answers_by_token[message.token].append(message)

    def forward(
        self,
        rig: AgentRig,
        data: bytes,
        sequence: int | None = None,
        **fields: typing.Any,
    ) -> None:
        """Send a FORWARD frame; ``fields`` override its default values.

        Without ``sequence``, the next sequence number is used.
        """
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        values = {
            "nonce": self.nonce,
            "incarnation": rig.kernel.get("identity").incarnation,
            "revision": rig.kernel.get("view").view.revision,
            "service": SERVICE,
            "service_address": SERVICE_ADDRESS,
            "caller": CALLER,
            "return_address": self.address,
            "pinned": False,
            "open": False,
            **fields,
        }
        frame = frames.Forward(**values)
        self._port.send(frames.encode(frame, KEY, sequence, data), rig.data)

    def send_raw(self, rig: AgentRig, data: bytes) -> None:
        """Send bytes unchanged; they need not be a valid frame."""
        self._port.send(data, rig.data)

    def probe(self, rig: AgentRig, caller: address.Address = CALLER) -> None:
        """Send a PROBE frame for a caller's flow."""
        revision = rig.kernel.get("view").view.revision
        frame = frames.Probe(1, revision, SERVICE, SERVICE_ADDRESS, caller)
        self._port.send(frames.encode(frame, KEY), rig.data)

    async def answer(self, token: bytes, within_s: float) -> coap.Message:
        """Wait for the next answer with this token and remove it.

        :raises TimeoutError: when none arrives within ``within_s`` seconds.
        """
        with anyio.fail_after(within_s):
            while not self.answers_by_token[token]:
                await self._answer_event.wait()
        return self.answers_by_token[token].pop(0)


def request(
    method: str,
    token: bytes,
    mid: int = 1,
    payload: bytes = b"",
    pin: bytes = b"",
    deadline_ms: int | None = None,
    cancel: bool = False,
    path: str = "bookings",
    confirmable: bool = True,
) -> bytes:
    """Return an encoded CoAP request with the given options."""
    code = {"GET": 1, "POST": 2, "PUT": 3, "DELETE": 4}[method]
    kind = coap.CON if confirmable else coap.NON
    message = coap.message(kind, code, mid, token, payload)
    message.opt.uri_path = (path,)
    if pin:
        coap.set_option(message, coap.ECHO, pin)
    if deadline_ms is not None:
        coap.set_uint_option(message, coap.DEADLINE, deadline_ms)
    if cancel:
        coap.set_option(message, coap.CANCEL, b"")
    return coap.encode(message)

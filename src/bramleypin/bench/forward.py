"""Datagrams a second that one balancer core forwards, against a bare loop.

A generator fills the receiving socket with a burst, and only the time that
draining and forwarding it takes is counted. Generator and receiver thus cost
no part of the measured core, and bursts of both loops alternate, so that a
slower moment of the machine meets both.
"""

import collections.abc
import contextlib
import random
import socket
import statistics
import time

import anyio

from bramleypin.bench import rows
from bramleypin.internal import address
from bramleypin.internal.model import configuration
from bramleypin.internal.net import datagram
from bramleypin.internal.net import environment
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin as pin_module
from bramleypin.internal.wire import proxy_header
from bramleypin.standins import balancer_rig

BOUND = 0.5
BURST = 1_000
ROUNDS = 200
WARM_UP_ROUNDS = 20
FLOWS_BY_CASE = {"1,000": 1_000, "100,000": 100_000}
PAYLOAD_BYTES = 64
SEED = 1
BASELINE_NAME = "bare recvfrom and sendto loop"
_LOOPBACK = address.Address("127.0.0.1", 0)
_SERVICE_ADDRESS = address.Address("127.0.0.50", 5683)
_KEY = bytes.fromhex(balancer_rig.KEY)
_INCARNATION = 77


class Sink(contextlib.AbstractContextManager):
    """Stands for all agents: a socket whose datagrams are thrown away."""

    def __init__(self) -> None:
        self.socket = datagram.new_socket()
        self.socket.bind(_LOOPBACK)
        self.address = address.Address(*self.socket.getsockname())

    def __exit__(self, *_: object) -> None:
        self.socket.close()

    def drain(self) -> int:
        """Read everything that has arrived and return its number."""
        received = 0
        with contextlib.suppress(BlockingIOError):
            while self.socket.recv(datagram.RECEIVE_BYTES):
                received += 1
        return received


def _documents(owner: address.Address, protocol: str):
    endpoint = configuration.Endpoint(
        id="host-1",
        failure_domain="austin",
        data=str(owner),
        control="127.0.0.1:1",
        slots=5,
    )
    service = configuration.Service(
        name="scheduler",
        addresses=(str(_SERVICE_ADDRESS),),
        endpoints=(endpoint,),
        protocol=protocol,
    )
    return balancer_rig.documents(1, [service], ["austin"])


def _callers(flows: int) -> list[address.Address]:
    return [
        address.Address(
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 40_000
        )
        for number in range(flows)
    ]


def _pinned_request(owner: address.Address, number: int) -> bytes:
    """Return a GET with a pin and a payload, as a tablet sends it."""
    pin = pin_module.Pin(
        owner,
        pin_module.failure_domain_code("austin"),
        _INCARNATION,
        number,
        1,
    )
    message = coap.message(
        coap.CON, 1, number & 0xFFFF, b"tokn", b"x" * PAYLOAD_BYTES
    )
    message.opt.uri_path = ("visits",)
    coap.set_option(
        message, coap.ECHO, pin_module.encode(pin, "scheduler", _KEY)
    )
    return coap.encode(message)


def _bare_burst(receiver: socket.socket, to: address.Address) -> None:
    """Forward a burst as a loop of two system calls does it."""
    with contextlib.suppress(BlockingIOError):
        while True:
            data, _ = receiver.recvfrom(datagram.RECEIVE_BYTES)
            receiver.sendto(data, to)


class Comparison:
    """Both loops, with the same datagrams and the same sink."""

    def __init__(self, sink: Sink, ingress: address.Address):
        self._sink = sink
        self._ingress = ingress
        self._generator = datagram.new_socket()
        self._bare = datagram.new_socket()
        self._bare.bind(_LOOPBACK)

    def close(self) -> None:
        """Close the sockets."""
        self._generator.close()
        self._bare.close()

    def bare_rate(self, burst: list[bytes]) -> float:
        """Return datagrams a second of the bare loop for a burst."""
        self._fill(burst, self._bare.getsockname())
        start_s = time.perf_counter()
        _bare_burst(self._bare, self._sink.address)
        elapsed_s = time.perf_counter() - start_s
        return self._sink.drain() / elapsed_s

    async def balancer_rate(self, burst: list[bytes], count) -> float:
        """Return datagrams a second of the balancer for a burst."""
        self._fill(burst, self._ingress)
        before = count()
        start_s = time.perf_counter()
        while count() - before < len(burst):
            await anyio.sleep(0)
        elapsed_s = time.perf_counter() - start_s
        return self._sink.drain() / elapsed_s

    def _fill(self, burst: list[bytes], to: address.Address) -> None:
        for item in burst:
            self._generator.sendto(item, to)


async def _measure(protocol: str, flows: int) -> list[tuple[float, float]]:
    """Return the rates of balancer and bare loop, burst by burst."""
    rng = random.Random(SEED)
    env = environment.Environment(
        open_datagram_port=datagram.open_port,
        open_endpoint_port=datagram.open_endpoint_port,
        control=None,
        platform=None,
        random=rng,
    )
    with Sink() as sink:
        async with anyio.create_task_group() as tasks:
            kernel, _ = await balancer_rig.start(
                balancer_rig.balancer_settings(), env, tasks
            )
            kernel.get("view").apply(*_documents(sink.address, protocol))
            ingress = kernel.get("ingress").addresses[0]
            comparison = Comparison(sink, ingress)
            forwarder = kernel.get("forwarder")
            datagrams = _datagrams(forwarder, sink.address, protocol, flows)
            # The first datagram of each flow passes all checks.
            for item in datagrams:
                forwarder.handle_burst([(item, ingress)])
                sink.drain()
            pairs = []
            for _ in range(WARM_UP_ROUNDS + ROUNDS):
                burst = rng.sample(datagrams, BURST)
                ours = await comparison.balancer_rate(
                    burst, lambda: forwarder.sequence
                )
                pairs.append((ours, comparison.bare_rate(burst)))
            comparison.close()
            await balancer_rig.stop(kernel)
            tasks.cancel_scope.cancel()
    return pairs[WARM_UP_ROUNDS:]


def _datagrams(
    forwarder, owner: address.Address, protocol: str, flows: int
) -> list[bytes]:
    """Fill the flow cache and return one datagram of each flow."""
    datagrams = []
    for number, caller in enumerate(_callers(flows)):
        request = _pinned_request(owner, number)
        forwarder.answers.relay(
            frames.Answer(
                revision=1,
                service="scheduler",
                service_address=_SERVICE_ADDRESS,
                caller=caller,
                owner=owner,
                incarnation=_INCARNATION,
                pin=coap.scan_option(request, coap.ECHO),
            ),
            b"",
        )
        header = proxy_header.encode(caller, _SERVICE_ADDRESS)
        datagrams.append(header + request)
    return datagrams


@rows.BENCHES.register("forward")
def run() -> collections.abc.Iterator[rows.Row]:
    """Compare the cached path with a bare loop, for both protocols."""
    for protocol in ("coap", "datagram"):
        for name, flows in FLOWS_BY_CASE.items():
            pairs = anyio.run(_measure, protocol, flows)
            yield from _rows(f"{name} cached {protocol} flows", pairs)


def _rows(
    case: str, pairs: list[tuple[float, float]]
) -> collections.abc.Iterator[rows.Row]:
    """Return medians; the ratio is that of bursts that followed directly."""
    yield rows.Row(
        bench="forward",
        case=f"{case}, rate",
        ours=round(statistics.median(ours for ours, _ in pairs)),
        baseline=round(statistics.median(bare for _, bare in pairs)),
        baseline_name=BASELINE_NAME,
        bound=None,
        unit="datagrams/s",
        seed=SEED,
    )
    yield rows.Row(
        bench="forward",
        case=f"{case}, ratio",
        ours=round(statistics.median(ours / bare for ours, bare in pairs), 3),
        baseline=1.0,
        baseline_name=BASELINE_NAME,
        bound=BOUND,
        unit="ratio",
        seed=SEED,
    )

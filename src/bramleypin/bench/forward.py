"""Compares the forwarding rate of one balancer core with a bare loop.

A generator fills the receiving socket with a burst, and only the time to
read and forward the burst is measured. The generator and the sink therefore
take no time of the measured core. Bursts of both loops alternate, so that a
temporary slowdown of the machine affects both.
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

RATIO_BOUND = 0.5
BURST_DATAGRAMS = 1_000
MEASURED_ROUNDS = 200
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
    """A socket that stands in for all agents and discards its datagrams."""

    def __init__(self) -> None:
        self.socket = datagram.new_socket()
        self.socket.bind(_LOOPBACK)
        self.address = address.Address(*self.socket.getsockname())

    def __exit__(self, *_: object) -> None:
        self.socket.close()

    def drain(self) -> int:
        """Discard all received datagrams and return their number."""
        datagram_count = 0
        with contextlib.suppress(BlockingIOError):
            while self.socket.recv(datagram.RECEIVE_BYTES):
                datagram_count += 1
        return datagram_count


def _make_documents(owner: address.Address, protocol: str):
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


def _make_callers(flows: int) -> list[address.Address]:
    return [
        address.Address(
            f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 40_000
        )
        for number in range(flows)
    ]


def _pinned_request(owner: address.Address, number: int) -> bytes:
    """Return a GET request with a pin and a payload, as callers send it."""
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


def _forward_burst(
    receiver: socket.socket, destination: address.Address
) -> None:
    """Forward a burst with two system calls for each datagram."""
    with contextlib.suppress(BlockingIOError):
        while True:
            data, _ = receiver.recvfrom(datagram.RECEIVE_BYTES)
            receiver.sendto(data, destination)


class Comparison:
    """Runs the same datagrams through both loops into the same sink."""

    def __init__(self, sink: Sink, ingress: address.Address):
        self._sink = sink
        self._ingress = ingress
        self._generator = datagram.new_socket()
        self._bare_socket = datagram.new_socket()
        self._bare_socket.bind(_LOOPBACK)

    def close(self) -> None:
        """Close the sockets of the generator and the bare loop."""
        self._generator.close()
        self._bare_socket.close()

    def bare_rate(self, burst: list[bytes]) -> float:
        """Return the datagrams a second at which the bare loop forwards."""
        self._send_burst(burst, self._bare_socket.getsockname())
        start_s = time.perf_counter()
        _forward_burst(self._bare_socket, self._sink.address)
        elapsed_s = time.perf_counter() - start_s
        return self._sink.drain() / elapsed_s

    async def balancer_rate(
        self, burst: list[bytes], count_forwarded
    ) -> float:
        """Return the datagrams a second at which the balancer forwards.

        ``count_forwarded`` returns the number of datagrams forwarded so far.
        """
        self._send_burst(burst, self._ingress)
        count_before = count_forwarded()
        start_s = time.perf_counter()
        while count_forwarded() - count_before < len(burst):
            await anyio.sleep(0)
        elapsed_s = time.perf_counter() - start_s
        return self._sink.drain() / elapsed_s

    def _send_burst(
        self, burst: list[bytes], destination: address.Address
    ) -> None:
        for datagram_bytes in burst:
            self._generator.sendto(datagram_bytes, destination)


async def _measure_rates(
    protocol: str, flows: int
) -> list[tuple[float, float]]:
    """Return the rates of the balancer and the bare loop for each burst."""
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
            kernel.get("view").apply(*_make_documents(sink.address, protocol))
            ingress = kernel.get("ingress").addresses[0]
            comparison = Comparison(sink, ingress)
            forwarder = kernel.get("forwarder")
            datagrams = _make_datagrams(
                forwarder, sink.address, protocol, flows
            )
            # The first datagram of a flow takes the slow path with all
            # checks, so it is sent before the measurement.
            for datagram_bytes in datagrams:
                forwarder.handle_burst([(datagram_bytes, ingress)])
                sink.drain()
            rate_pairs = []
            for _ in range(WARM_UP_ROUNDS + MEASURED_ROUNDS):
                burst = rng.sample(datagrams, BURST_DATAGRAMS)
                balancer_rate = await comparison.balancer_rate(
                    burst, lambda: forwarder.sequence
                )
                rate_pairs.append((balancer_rate, comparison.bare_rate(burst)))
            comparison.close()
            await balancer_rig.stop(kernel)
            tasks.cancel_scope.cancel()
    return rate_pairs[WARM_UP_ROUNDS:]


def _make_datagrams(
    forwarder, owner: address.Address, protocol: str, flows: int
) -> list[bytes]:
    """Fill the flow cache and return one datagram for each flow."""
    datagrams = []
    for number, caller in enumerate(_make_callers(flows)):
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
    """Compare cached flows of both protocols with a bare loop."""
    for protocol in ("coap", "datagram"):
        for name, flows in FLOWS_BY_CASE.items():
            rate_pairs = anyio.run(_measure_rates, protocol, flows)
            yield from _rows(f"{name} cached {protocol} flows", rate_pairs)


def _rows(
    case: str, rate_pairs: list[tuple[float, float]]
) -> collections.abc.Iterator[rows.Row]:
    """Return medians of the rates, and of the ratio of adjacent bursts."""
    yield rows.Row(
        bench="forward",
        case=f"{case}, rate",
        ours=round(statistics.median(balancer for balancer, _ in rate_pairs)),
        baseline=round(statistics.median(bare for _, bare in rate_pairs)),
        baseline_name=BASELINE_NAME,
        bound=None,
        unit="datagrams/s",
        seed=SEED,
    )
    yield rows.Row(
        bench="forward",
        case=f"{case}, ratio",
        ours=round(
            statistics.median(
                balancer / bare for balancer, bare in rate_pairs
            ),
            3,
        ),
        baseline=1.0,
        baseline_name=BASELINE_NAME,
        bound=RATIO_BOUND,
        unit="ratio",
        seed=SEED,
    )

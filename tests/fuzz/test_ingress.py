"""Fuzz tests of the ingress port and the data port of a balancer."""

import unittest

import anyio
import cbor2
import hypothesis
from hypothesis import strategies

from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import mac
from bramleypin.internal.wire import proxy_header
from bramleypin.standins import balancer_bed

HEADER = proxy_header.encode(balancer_bed.CALLER, balancer_bed.SERVICE_ADDRESS)
# A CoAP message whose option is no valid UTF-8 text.
INVALID_OPTION = HEADER + bytes.fromhex("40000000300180")
MAX_UDP_PAYLOAD_BYTES = 65_507
MAX_EXAMPLES = 80

settings = hypothesis.settings(
    max_examples=MAX_EXAMPLES, derandomize=True, deadline=None, database=None
)

# The two highest bits of 0x41 are the CoAP version 01, so about half of the
# datagrams with the service's header pass the first format check.
_datagrams = strategies.one_of(
    strategies.binary(max_size=80),
    strategies.binary(max_size=80).map(lambda tail: b"\x41\x01" + tail),
    strategies.just(b"\x00" * MAX_UDP_PAYLOAD_BYTES),
)
_ingress_input = strategies.lists(
    strategies.one_of(
        _datagrams,
        _datagrams.map(lambda data: HEADER + data),
        strategies.integers(0, len(HEADER)).map(lambda n: HEADER[:n]),
        strategies.tuples(
            strategies.integers(0, len(HEADER) - 1), strategies.binary()
        ).map(lambda pair: HEADER[: pair[0]] + pair[1]),
    ),
    min_size=1,
    max_size=20,
)


def _signed(body: bytes) -> bytes:
    return mac.sign(balancer_bed.KEYS[0], body) + body


def _signed_frame(values: list) -> bytes:
    header = cbor2.dumps(values)
    return _signed(bytes(8) + len(header).to_bytes(2, "big") + header)


_cbor_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.binary(max_size=12)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=6,
)
_EXAMPLE_HEADERS = [
    cbor2.loads(frames.encode_header(frame))
    for frame in (
        frames.Answer(
            1,
            "scheduler",
            balancer_bed.SERVICE_ADDRESS,
            balancer_bed.CALLER,
            balancer_bed.CALLER,
            5,
            b"pin",
        ),
        frames.ProbeAnswer(70, True, frames.State.READY, 0.5, 1, 5),
        frames.Notice(
            frames.NoticeReason.STALE_INCARNATION, 9, balancer_bed.CALLER, 5
        ),
    )
]


WRONG_VALUES = [None, "text", -1, 2**70, 1.5, b"", [], [1], True]


def _frames_with_a_wrong_field():
    """Yield each frame with each field replaced by each wrong value."""
    for values in _EXAMPLE_HEADERS:
        for index in range(1, len(values)):
            for value in WRONG_VALUES:
                yield _signed_frame(
                    [*values[:index], value, *values[index + 1 :]]
                )


_frame_input = strategies.lists(
    strategies.one_of(
        strategies.binary(max_size=100),
        strategies.binary(max_size=60).map(_signed),
        strategies.tuples(
            strategies.integers(0, 6),
            strategies.lists(_cbor_values, max_size=11),
        ).map(lambda pair: _signed_frame([pair[0], *pair[1]])),
    ),
    min_size=1,
    max_size=20,
)


class TestArbitraryInput(unittest.TestCase):
    @settings
    @hypothesis.given(_ingress_input)
    @hypothesis.example([INVALID_OPTION, INVALID_OPTION])
    def test_arbitrary_ingress_input_does_not_stop_the_balancer(self, inputs):
        """Guards against datagrams by which any sender stops a balancer."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            answer = await bed.ask(0, bed.request())
            self.assertIsNotNone(answer)
            forwarder = bed.balancers[0].kernel.get("forwarder")
            for data in inputs:
                bed.send_raw(0, data)
                await anyio.sleep(balancer_bed.SETTLE_S)
                forwarder.cache.clear()
            for agent in bed.agents:
                for forward, payload in agent.received:
                    self.assertEqual("scheduler", forward.service)
                    coap.decode(payload)
                # A cached route is used without a look at the message. Only
                # the first input can find one.
                for payload in agent.malformed_payloads:
                    self.assertEqual(HEADER + payload, inputs[0])
                self.assertLessEqual(len(agent.malformed_payloads), 1)
            self.assertIsNotNone(await bed.ask(0, bed.request()))

        balancer_bed.run(scenario)

    @settings
    @hypothesis.given(_frame_input)
    def test_arbitrary_frames_do_not_stop_the_balancer(self, inputs):
        """Guards against frames, signed or not, that stop a balancer."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            port = bed.balancers[0].kernel.get("port").address
            for data in inputs:
                bed.agents[0].port.send(data, port)
            await anyio.sleep(balancer_bed.SETTLE_S)
            self.assertIsNotNone(await bed.ask(0, bed.request()))

        balancer_bed.run(scenario)

    def test_wrong_field_types_do_not_stop_the_balancer(self):
        """Guards against frames of another version that stop a balancer."""

        async def scenario(bed):
            await bed.start(balancers=1)
            bed.publish(1)
            port = bed.balancers[0].kernel.get("port").address
            for data in _frames_with_a_wrong_field():
                bed.agents[0].port.send(data, port)
            await anyio.sleep(balancer_bed.SETTLE_S)
            # A NOTICE corrects the incarnations that the frames set wrongly.
            await bed.ask(0, bed.request())
            self.assertIsNotNone(await bed.ask(0, bed.request()))

        balancer_bed.run(scenario)

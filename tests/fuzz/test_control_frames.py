"""Tests that an invalid control frame closes only its own link."""

import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies
import parameterized

from bramleypin import errors
from bramleypin.internal.membership import secure_link
from bramleypin.internal.wire import control
from bramleypin.standins import fleet as fleet_module

KEY = bytes.fromhex(fleet_module.KEY)
EXAMPLES = [
    control.Hello(b"n" * 16, "id", "agent", "a"),
    control.Proof(b"m" * 32),
    control.Subscribe(3, {1: b"d" * 16}, 4, True),
    control.Update(b"manifest", {"s": b"x", "gone": None}, (1, 2)),
    control.Shard(3, 1, b"services"),
    control.LeaseRequest(9),
    control.LeaseAnswer(9, 3),
    control.MemberUpdate(2, 1, [["a"] * 6], ["b"], [], ["10.0.0.1:1"]),
    control.StatusRequest(),
    control.StatusAnswer({"sync": {"revision": 3}}),
    control.TraceRequest("flow", 10),
    control.TraceAnswer([["flow", 1.5]]),
    control.OutcomesRequest(60.0),
    control.OutcomesAnswer({"s": {"answered": 1}}),
    control.RequestFailed("reason"),
]


class RecordingLink:
    """A link wrapper that records the frames that it sends."""

    def __init__(self, link):
        self.link = link
        self.sent = []

    async def send(self, message):
        self.sent.append(message)
        await self.link.send(message)

    async def receive(self):
        return await self.link.receive()

    async def aclose(self):
        await self.link.aclose()


def repeat_last_frame(recorder):
    """Return the last frame sent, unchanged."""
    return recorder.sent[-1]


def flip_last_bit(recorder):
    """Return the last frame sent with its last bit flipped."""
    return recorder.sent[-1][:-1] + bytes([recorder.sent[-1][-1] ^ 1])


def truncate_last_frame(recorder):
    """Return the first 9 bytes of the last frame sent."""
    return recorder.sent[-1][:9]


def repeat_handshake(recorder):
    """Return the first frame of the handshake."""
    return recorder.sent[0]


def empty_frame(recorder):
    """Return an empty frame."""
    return b""


class TestControlFrames(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(type(item).__name__, item) for item in EXAMPLES]
    )
    def test_a_message_is_unchanged_after_encoding_and_decoding(self, _, item):
        """Guards against a field that the codec drops or reorders."""
        self.assertEqual(item, control.decode(control.encode(item)))

    def test_every_message_is_covered(self):
        """Guards against a message class without an encoding test."""
        covered = {type(item) for item in EXAMPLES}
        self.assertEqual(set(control.CLASS_BY_CODE.values()), covered)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        strategies.sampled_from(EXAMPLES),
        strategies.binary(max_size=40),
        strategies.integers(0, 200),
    )
    def test_damaged_messages_are_refused(self, item, noise, position):
        """Guards against exceptions other than ``InvalidFrame``.

        A damaged message may still be valid by chance.
        """
        data = control.encode(item)
        for damaged in (noise, data[:position] + noise + data[position + 1 :]):
            try:
                control.decode(damaged)
            except errors.InvalidFrame:
                continue

    @parameterized.parameterized.expand(
        [
            (
                repeat_last_frame.__name__,
                repeat_last_frame,
                "control_replayed",
            ),
            (flip_last_bit.__name__, flip_last_bit, "control_mac"),
            (
                truncate_last_frame.__name__,
                truncate_last_frame,
                "control_truncated",
            ),
            (empty_frame.__name__, empty_frame, "control_truncated"),
            (repeat_handshake.__name__, repeat_handshake, "control_mac"),
        ]
    )
    def test_a_bad_frame_ends_its_link_only(self, _, damage, reason):
        """Guards against a peer that closes the links of others."""

        async def scenario(fleet):
            victim, other = fleet.live_members()[:2]
            links = len(victim.get("sync").links)
            raw = await other.process.control.connect(
                victim.vm.control_address
            )
            recorder = RecordingLink(raw)
            hello = secure_link.new_hello(
                random.Random(1), "intruder", "agent", "a"
            )
            link = await secure_link.handshake(recorder, hello, (KEY,), True)
            await link.send(control.LeaseRequest(1))
            self.assertEqual(
                control.LeaseAnswer, type(await receive_answer(link))
            )
            await raw.send(damage(recorder))
            await anyio.sleep(1.0)
            sync = victim.get("sync")
            self.assertEqual({reason: 1}, sync.rejected_by_reason)
            self.assertEqual(links, len(sync.links))
            self.assertTrue(victim.get("lease").is_valid())

        fleet_module.run(scenario, 6)

    @parameterized.parameterized.expand(
        [
            ("wrong_key", b"w" * 32, "authentication"),
            ("reflected_hello", None, "authentication"),
        ]
    )
    def test_a_peer_without_a_key_is_refused(self, _, key, reason):
        """Guards against links to processes without a valid key."""

        async def scenario(fleet):
            victim, other = fleet.live_members()[:2]
            raw = await other.process.control.connect(
                victim.vm.control_address
            )
            if key is None:
                hello = await raw.receive()
                await raw.send(hello)
            else:
                hello = secure_link.new_hello(
                    random.Random(1), "intruder", "agent", "a"
                )
                with self.assertRaises(errors.BramleypinError):
                    await secure_link.handshake(raw, hello, (key,), True)
            await anyio.sleep(1.0)
            rejected = victim.get("sync").rejected_by_reason
            self.assertEqual({reason: 1}, rejected)

        fleet_module.run(scenario, 6)

    def test_random_bytes_before_the_handshake_are_counted(self):
        """Guards against a listener that stops after random input."""

        async def scenario(fleet):
            victim, other = fleet.live_members()[:2]
            source = random.Random(5)
            for length in (0, 1, 16, 1_000, 5_000, 100_000):
                raw = await other.process.control.connect(
                    victim.vm.control_address
                )
                await raw.send(source.randbytes(length))
            await anyio.sleep(3.0)
            rejected = victim.get("sync").rejected_by_reason
            self.assertEqual(6, sum(rejected.values()))
            self.assertTrue(victim.get("lease").is_valid())

        fleet_module.run(scenario, 6)


async def receive_answer(link):
    """Return the next ``LeaseAnswer``; skip other messages."""
    while True:
        message = await link.receive()
        if isinstance(message, control.LeaseAnswer):
            return message

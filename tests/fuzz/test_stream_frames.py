"""Random input to the decoders of frames and packets."""

import unittest

import hypothesis
from hypothesis import strategies

from bramleypin import errors
from bramleypin.internal.stream import frames
from bramleypin.platform import packet

SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None
)
REPORT = frames.Report("10.0.1.1", "desk", 1, 5, 0.1, False, -1, "ready", 4)
MESSAGES = (
    frames.Offer(1, "10.0.0.1", "desk", 2, 3, ["10.0.1.1"], []),
    frames.OfferAnswer(1, "taken", "", REPORT),
    frames.Data(True),
    frames.FlowNotHeld("10.0.1.1"),
    frames.Lookup(1, (1, 2, 3, 4), 5, -1),
    frames.LookupAnswer(1, "10.0.1.1", "holds", 3, 0.5),
    frames.LoadReport(REPORT),
)


class FramesTest(unittest.TestCase):
    def test_every_message_is_unchanged_by_a_round_trip(self):
        """Guards against a message whose fields change in encoding."""
        for message in MESSAGES:
            with self.subTest(message=type(message).__name__):
                data = frames.encode(message, b"packet")
                self.assertEqual((message, b"packet"), frames.decode(data))

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes_raise_invalid_frame_or_decode(self, data):
        """Guards against input that stops the task that reads frames."""
        try:
            frames.decode(data)
        except errors.InvalidFrame:
            return

    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from(MESSAGES),
        strategies.integers(0, 200),
        strategies.integers(0, 255),
    )
    def test_a_changed_byte_raises_nothing_else(self, message, at, value):
        """Guards against fields of the wrong type after a valid prefix."""
        data = bytearray(frames.encode(message))
        data[at % len(data)] = value
        try:
            frames.decode(bytes(data))
        except errors.InvalidFrame:
            return

    @SETTINGS
    @hypothesis.given(strategies.binary(max_size=1_300))
    def test_random_datagrams_are_no_packet_or_keep_their_bytes(self, data):
        """Guards against a decoder that alters the bytes of a packet."""
        found = packet.PacketCodec().decode(data)
        if found is not None:
            self.assertEqual(data, found.raw)
            self.assertEqual(len(data), packet.HEADER_BYTES + found.data_bytes)

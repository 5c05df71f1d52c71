"""Random input to the decoders of frames and packets."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies
import msgspec
import parameterized

from bramleypin import errors
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import relay
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
    frames.LoadReport(msgspec.structs.replace(REPORT, era=2**63 - 1)),
    frames.Offer(1, "10.0.0.1", "desk", 2, 3, [], [], True, 4),
    frames.LookupAnswer(1, "10.0.1.1", "holds", 3, 0.5, 4),
    relay.RelayQuery(3, 4),
    relay.RelayAnswer(3, True, 4),
)


class FramesTest(unittest.TestCase):
    @parameterized.parameterized.expand([(None,), (-1,), (2**63,), ("1",)])
    def test_an_era_is_absent_or_in_its_range(self, era):
        """Guards against a frame whose era exceeds all that follow.

        A daemon of an earlier version sends none.
        """
        data = cbor2.dumps([3, True] + ([] if era is None else [era]))
        if era is None:
            decoded = frames.decode_body(data, relay.RelayAnswer)
            self.assertEqual((0, 3), decoded.view_stamp())
            return
        with self.assertRaises(errors.InvalidFrame):
            frames.decode_body(data, relay.RelayAnswer)

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

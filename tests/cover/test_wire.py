"""Tests of the encoding of pins, frames and headers."""

import unittest

import parameterized

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import pin
from bramleypin.internal.wire import proxy_header

KEY = b"k" * 32
OTHER_KEY = b"o" * 32
HERE = address.Address("127.0.0.1", 7000)
THERE = address.Address("127.0.0.2", 7001)
PIN = pin.Pin(HERE, 7, 2**48 - 1, 5, 300)
FORWARD = frames.Forward(
    1,
    2,
    3,
    "scheduler",
    HERE,
    THERE,
    HERE,
    False,
    True,
    9,
    (frames.Candidate(HERE, frames.State.COLD, 0.5, 8),),
)


class TestPin(unittest.TestCase):
    def test_a_pin_of_either_valid_key_is_accepted(self):
        """Guards against losing flows during a key rotation."""
        for key in (KEY, OTHER_KEY):
            data = pin.encode(PIN, "scheduler", key)
            decoded = pin.decode(data, "scheduler", (KEY, OTHER_KEY))
            self.assertEqual(PIN, decoded)

    @parameterized.parameterized.expand(
        [
            ("another_service", "planstore", KEY, None),
            ("an_old_key", "scheduler", OTHER_KEY, None),
            ("a_changed_byte", "scheduler", KEY, 9),
        ]
    )
    def test_a_forged_pin_is_refused(self, _, service, key, flipped_index):
        """Guards against a pin that routes a datagram to another service."""
        data = bytearray(pin.encode(PIN, "scheduler", KEY))
        if flipped_index is not None:
            data[flipped_index] ^= 1
        with self.assertRaises(errors.InvalidPin):
            pin.decode(bytes(data), service, (key,))


class TestFrames(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("forward", FORWARD),
            (
                "answer",
                frames.Answer(1, "s", HERE, THERE, HERE, 4, b"pin"),
            ),
            ("probe", frames.Probe(1, 2, "s", HERE, THERE)),
            (
                "probe_answer",
                frames.ProbeAnswer(1, True, frames.State.READY, 0.1, 2, 3),
            ),
            (
                "notice",
                frames.Notice(frames.NoticeReason.NEWER_REVISION, 1, HERE, 2),
            ),
        ]
    )
    def test_a_frame_is_unchanged_after_encoding_and_decoding(self, _, frame):
        """Guards against a field that the codec drops or reorders."""
        data = frames.encode(frame, KEY, 77, b"payload")
        decoded = frames.decode(data, (OTHER_KEY, KEY))
        self.assertEqual((frame, 77, b"payload"), decoded)

    def test_a_truncated_or_changed_frame_is_refused(self):
        """Guards against accepting a frame that was damaged in transit."""
        data = frames.encode(FORWARD, KEY, 1, b"payload")
        for length in range(len(data)):
            with self.assertRaises(errors.InvalidFrame):
                frames.decode(data[:length], (KEY,))


class TestHeaders(unittest.TestCase):
    def test_a_proxy_header_names_both_addresses(self):
        """Guards against swapped addresses, which misroute answers."""
        data = proxy_header.encode(HERE, THERE)
        self.assertEqual(proxy_header.HEADER_BYTES, len(data))
        self.assertEqual((HERE, THERE), proxy_header.decode(data))

    def test_the_pin_is_found_without_decoding_the_message(self):
        """Guards against a fast path that disagrees with the full decoder."""
        message = coap.message(coap.CON, 1, 5, b"token")
        message.opt.uri_path = ("visits", "today")
        coap.set_option(message, coap.ECHO, b"p" * pin.PIN_BYTES)
        coap.set_uint_option(message, coap.DEADLINE, 4_000)
        data = coap.encode(message)
        for number in (coap.ECHO, coap.DEADLINE, coap.CANCEL):
            expected = coap.option(coap.decode(data), number)
            self.assertEqual(expected, coap.scan_option(data, number))

"""Tests of the sliding window against replayed frames."""

import random
import unittest

import parameterized

from bramleypin.internal.wire import replay


class TestReplay(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("again", [1, 1], [True, False]),
            ("zero", [0], [False]),
            ("reordered", [5, 3, 4, 3], [True, True, True, False]),
            ("oldest_in_window", [1_024, 1], [True, True]),
            ("older_than_window", [1_025, 1], [True, False]),
            ("far_jump", [1, 10**9, 1], [True, True, False]),
            ("after_far_jump", [10**9, 10**9 - 1_023], [True, True]),
        ]
    )
    def test_a_number_is_accepted_once_within_the_window(
        self, _, sequences, expected
    ):
        """Guards against accepting a replayed frame."""
        window = replay.SequenceWindow()
        self.assertEqual(
            expected, [window.accept(number) for number in sequences]
        )

    def test_the_window_agrees_with_a_set_of_all_numbers(self):
        """Guards against stale bits that remain when the window slides."""
        rng = random.Random(11)
        window, accepted_numbers, highest = replay.SequenceWindow(), set(), 0
        for _ in range(50_000):
            number = max(1, highest + rng.randint(-1_200, 70))
            is_new = (
                number not in accepted_numbers and number > highest - 1_024
            )
            self.assertEqual(is_new, window.accept(number))
            if is_new:
                accepted_numbers.add(number)
                highest = max(highest, number)

    def test_the_least_recent_sender_is_evicted_at_the_limit(self):
        """Guards against memory use that grows with old or forged senders."""
        filter_ = replay.ReplayFilter(max_senders=2)
        for nonce in (1, 2, 1, 3):
            filter_.accept(nonce, 10 + len(filter_) + nonce)
        self.assertEqual(2, len(filter_))
        # The filter still has sender 1, so its first number is a replay.
        self.assertFalse(filter_.accept(1, 11))

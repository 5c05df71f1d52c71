"""Tests of the health of endpoints by the outcomes of their requests."""

import random
import types
import unittest

import parameterized

from bramleypin.internal.stream import endpoint_health
from bramleypin.internal.stream import failing_hosts

ANSWERED = endpoint_health.Outcome.ANSWERED
RESET = endpoint_health.Outcome.RESET
INTERVAL_S = 0.1
# Patience is 1.2 s with this service time.
SERVICE_TIME_S = 0.1


def failing_after(outcomes: str, health=None, start_s=0.0) -> list[bool]:
    """Return the state after each outcome: "a" answered, "r" reset."""
    health = health or endpoint_health.EndpointHealth()
    states = []
    for number, letter in enumerate(outcomes):
        outcome = ANSWERED if letter == "a" else RESET
        health.record(outcome, start_s + number * INTERVAL_S)
        states.append(health.failing)
    return states


def run_requests(requests, until_s=4.0, stalled=(0.0, 0.0)):
    """Return whether the endpoint is failing at the end, and whether it was.

    Requests are checked every 0.1 s.

    A request is a tuple: arrival, whether it found a free slot, end (``None``
    if it does not end) and outcome. No check happens in ``stalled``.
    """
    health = endpoint_health.EndpointHealth()
    counts = []
    health.count = counts.append
    events = [(step / 10, 2, None) for step in range(1, round(until_s * 10))]
    numbered = list(enumerate(requests))
    events += [(item[1][0], 0, item) for item in numbered]
    events += [(item[1][2], 1, item) for item in numbered if item[1][2]]
    watched = {}
    for now_s, kind, item in sorted(events, key=lambda event: event[:2]):
        if kind == 0:
            number, request = item
            watched[number] = health.record_data(None, request[1], now_s)
        elif kind == 1:
            number, request = item
            health.end(watched[number], request[3], now_s)
        elif not stalled[0] <= now_s < stalled[1]:
            health.check(SERVICE_TIME_S, now_s)
    return health.failing, endpoint_health.ENDPOINT_FAILED in counts


def hang(count=8, in_free_slot=True):
    """Return requests without an end."""
    return [(0.1 * n, in_free_slot, None, None) for n in range(count)]


def answer(first_s, count, duration_s=0.1, step_s=0.1):
    """Return requests that are answered after ``duration_s``."""
    return [
        (
            first_s + step_s * n,
            False,
            first_s + step_s * n + duration_s,
            ANSWERED,
        )
        for n in range(count)
    ]


class HysteresisTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("too few outcomes", "rrrrrrr", False),
            ("all of eight", "rrrrrrrr", True),
            ("two of eight", "aaaaaarr", False),
            ("three of eight", "aaaaarrr", True),
            ("four of sixteen", "a" * 12 + "rrrr", False),
            ("five of sixteen", "a" * 11 + "rrrrr", True),
            ("two of sixteen after failing", "rrrr" + "a" * 14, True),
            ("one of sixteen after failing", "rrrr" + "a" * 15, False),
        ]
    )
    def test_an_endpoint_fails_after(self, _, outcomes, expected):
        """Guards against healthy endpoints left out and failing ones used."""
        self.assertIs(expected, failing_after(outcomes)[-1])

    def test_a_quiet_endpoint_is_tried_again(self):
        """Guards against an endpoint that stays out for want of requests."""
        health = endpoint_health.EndpointHealth()
        failing_after("rrrrrrrr", health)
        states = []
        for now_s in (3.0, 3.8):
            health.check(SERVICE_TIME_S, now_s)
            states.append(health.failing)
        states += failing_after("r", health, 4.0)
        self.assertEqual([True, False, True], states)


class WatchTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("hang in free slots", hang(), (True, True)),
            ("hang while nothing is answered", hang(16, False), (True, True)),
            (
                "hang while later requests are answered",
                hang(8, False) + answer(0.8, 10),
                (True, True),
            ),
            (
                # Requests arrive at twice the rate at which they are answered.
                "wait in the queue of an overloaded endpoint",
                [
                    (0.05 * n, False, 0.1 + 0.1 * n, ANSWERED)
                    for n in range(60)
                ],
                (False, False),
            ),
            (
                # They run longer than the one behind them.
                "wait for long and begin shortly before a later one",
                [(0.0, True, 1.0, ANSWERED), (0.05, False, 2.05, ANSWERED)]
                + [(0.01, False, 2.5, ANSWERED)] * 8,
                (False, False),
            ),
            (
                "are left by their callers",
                [(0.1 * n, True, 0.1 * n + 0.4, None) for n in range(16)],
                (False, False),
            ),
            (
                "are answered late",
                [(0.1 * n, True, 3.0, ANSWERED) for n in range(16)],
                (False, True),
            ),
        ]
    )
    def test_an_endpoint_whose_requests(self, _, requests, expected):
        """Guards against overload or callers taken for a failing endpoint."""
        self.assertEqual(expected, run_requests(requests))

    def test_a_stalled_agent_blames_no_endpoint(self):
        """Guards against answers that wait unread and count as missing."""
        states = run_requests(hang(), stalled=(0.9, 2.0))
        self.assertEqual((False, False), states)

    def test_a_watch_list_has_a_bound(self):
        """Guards against memory that grows with requests that hang."""
        health = endpoint_health.EndpointHealth()
        for _ in range(2 * endpoint_health.MAX_WATCHED_REQUESTS):
            health.record_data(None, True, 0.0)
        counts = []
        health.count = counts.append
        health.check(SERVICE_TIME_S, 0.3)
        for step in range(4, 20):
            health.check(SERVICE_TIME_S, step / 10)
        unanswered = counts.count(endpoint_health.REQUESTS_UNANSWERED)
        self.assertEqual(endpoint_health.MAX_WATCHED_REQUESTS, unanswered)


class FailingHostsTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [("idempotent", True, 5, 11), ("run once", False, 0, 0)]
    )
    def test_a_failing_host_gets_trials(self, _, may_try, least, most):
        """Guards against hosts that are never tried, or tried too often.

        1,000 openings arrive within 10 s, so at most one trial a second fits.
        """
        counts = []
        chooser = failing_hosts.FailingHosts(random.Random(1), counts.append)
        load_by_host = {
            f"10.0.1.{number}": types.SimpleNamespace(
                state="ready" if number else "failing", reported_s=0.0
            )
            for number in range(10)
        }
        tried = 0
        for number in range(1_000):
            now_s = number / 100
            load_by_host["10.0.1.0"].reported_s = now_s
            choice = chooser.choose(load_by_host, may_try, now_s)
            tried += choice.trial_host == "10.0.1.0"
        self.assertTrue(least <= tried <= most, tried)
        self.assertEqual(tried, counts.count(failing_hosts.TRIAL_OPENINGS))

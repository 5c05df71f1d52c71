"""Tests of bookings under random copies, cancellations and failures."""

import collections
import random
import unittest

import anyio
import parameterized

from bramleypin.internal.wire import coap
from bramleypin import settings as settings_module
from tests import agent_fixture

BOOKINGS = 40
PIN_LIFETIME_S = 300.0


class _RandomWorkload:
    """Sends bookings, copies and cancellations, and injects faults."""

    def __init__(self, fixture, seed):
        self.fixture = fixture
        self.random = random.Random(seed)
        self.sent_bookings = []

    async def run(self):
        """Run the workload, then send one more copy of every booking."""
        for number in range(BOOKINGS):
            await self._send_booking(number)
            if self.random.random() < 0.15:
                await self._inject_fault()
            if self.random.random() < 0.1:
                await anyio.sleep(self.random.uniform(0.0, PIN_LIFETIME_S))
        await anyio.sleep(60.0)
        for token, options in self.sent_bookings:
            self.fixture.send("POST", token, **options)
            await anyio.sleep(0.05)
        await anyio.sleep(60.0)

    async def _send_booking(self, number):
        key = b"booking %d" % number
        try:
            pin = await self.fixture.pin(within_s=1.0)
        except TimeoutError:
            return
        token = self.fixture.token()
        options = {
            "payload": key,
            "pin": pin or b"",
            "deadline_ms": self.random.choice((300, 2_000, 20_000)),
        }
        self.sent_bookings.append((token, options))
        for _ in range(self.random.randint(1, 3)):
            self.fixture.send("POST", token, **options)
            await anyio.sleep(self.random.expovariate(5.0))
            if self.random.random() < 0.2:
                pin = options["pin"]
                self.fixture.send("POST", token, pin=pin, cancel=True, mid=2)
            if len(self.sent_bookings) > 1 and self.random.random() < 0.5:
                earlier_token, earlier_options = self.random.choice(
                    self.sent_bookings
                )
                self.fixture.send("POST", earlier_token, **earlier_options)

    async def _inject_fault(self):
        rig = self.fixture.rig
        kind = self.random.choice(("agent", "endpoint", "quick", "pause"))
        if kind == "agent":
            rig.kill_agent()
            await rig.start_agent(self.fixture.tasks)
        elif kind == "pause":
            rig.process.pause()
            await anyio.sleep(self.random.uniform(0.1, 5.0))
            rig.process.wake()
        else:
            rig.endpoint.profile.restart_s = 0.001 if kind == "quick" else 2.0
            rig.endpoint.crash()


class TestRandomFaults(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(seed, limit) for seed in range(8) for limit in (5, 16_384)]
    )
    def test_nothing_runs_twice_and_not_run_is_true(self, seed, limit):
        """Guards against double bookings and false "not run" answers."""

        async def scenario(fixture):
            workload = _RandomWorkload(fixture, seed)
            await workload.run()
            self._check(fixture, workload.sent_bookings)

        limits = settings_module.Limits(request_records=limit)
        agent_fixture.run_scenario(
            scenario,
            seed,
            slots=2,
            queue_limit=2,
            service_time_s=0.4,
            exponential=True,
            rig_limits=limits,
        )

    def _check(self, fixture, sent_bookings):
        outcomes_by_token = collections.defaultdict(set)
        for answer in fixture.sender.answers:
            if answer.code:
                outcome = coap.outcome(answer)
                outcomes_by_token[answer.token].add(outcome)
        total_runs = 0
        for token, options in sent_bookings:
            runs = fixture.runs(options["payload"])
            total_runs += runs
            self.assertLessEqual(runs, 1, options["payload"])
            outcomes = outcomes_by_token[token]
            if coap.Outcome.NOT_RUN in outcomes and runs:
                # The booking ran, so "not run" is allowed only as a later
                # answer to a copy whose pin had become stale.
                self.assertTrue(
                    outcomes & {None, coap.Outcome.UNKNOWN}, options
                )
        self.assertGreater(total_runs, 5)

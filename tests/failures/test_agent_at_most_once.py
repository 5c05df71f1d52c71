"""Random copies, cancellations and failures around bookings."""

import collections
import random
import unittest

import anyio
import parameterized

from bramleypin.internal.wire import coap
from bramleypin import settings as settings_module
from tests import agent_play

BOOKINGS = 40
PIN_LIFETIME_S = 300.0


class _Storm:
    """Sends bookings, copies and cancellations, and breaks things."""

    def __init__(self, stage, seed):
        self.stage = stage
        self.random = random.Random(seed)
        self.sent = []

    async def run(self):
        """Play the storm, then send every copy once more."""
        for number in range(BOOKINGS):
            await self._book(number)
            if self.random.random() < 0.15:
                await self._break()
            if self.random.random() < 0.1:
                await anyio.sleep(self.random.uniform(0.0, PIN_LIFETIME_S))
        await anyio.sleep(60.0)
        for token, options in self.sent:
            self.stage.send("POST", token, **options)
            await anyio.sleep(0.05)
        await anyio.sleep(60.0)

    async def _book(self, number):
        key = b"booking %d" % number
        try:
            pin = await self.stage.pin(within_s=1.0)
        except TimeoutError:
            return
        token = self.stage.token()
        options = {
            "payload": key,
            "pin": pin or b"",
            "deadline_ms": self.random.choice((300, 2_000, 20_000)),
        }
        self.sent.append((token, options))
        for _ in range(self.random.randint(1, 3)):
            self.stage.send("POST", token, **options)
            await anyio.sleep(self.random.expovariate(5.0))
            if self.random.random() < 0.2:
                pin = options["pin"]
                self.stage.send("POST", token, pin=pin, cancel=True, mid=2)
            if len(self.sent) > 1 and self.random.random() < 0.5:
                old, old_options = self.random.choice(self.sent)
                self.stage.send("POST", old, **old_options)

    async def _break(self):
        rig = self.stage.rig
        kind = self.random.choice(("agent", "endpoint", "quick", "pause"))
        if kind == "agent":
            rig.kill_agent()
            await rig.start_agent(self.stage.tasks)
        elif kind == "pause":
            rig.process.pause()
            await anyio.sleep(self.random.uniform(0.1, 5.0))
            rig.process.wake()
        else:
            rig.endpoint.profile.restart_s = 0.001 if kind == "quick" else 2.0
            rig.endpoint.crash()


class TestStorm(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(seed, limit) for seed in range(8) for limit in (5, 16_384)]
    )
    def test_nothing_runs_twice_and_not_run_is_true(self, seed, limit):
        """Guards against double bookings and a false "not run"."""

        async def scenario(stage):
            storm = _Storm(stage, seed)
            await storm.run()
            self._check(stage, storm.sent)

        limits = settings_module.Limits(request_records=limit)
        agent_play.play(
            scenario,
            seed,
            slots=2,
            queue_limit=2,
            service_time_s=0.4,
            exponential=True,
            rig_limits=limits,
        )

    def _check(self, stage, sent):
        outcomes_by_token = collections.defaultdict(set)
        for answer in stage.sender.answers:
            if answer.code:
                outcome = coap.outcome(answer)
                outcomes_by_token[answer.token].add(outcome)
        ran = 0
        for token, options in sent:
            runs = stage.runs(options["payload"])
            ran += runs
            self.assertLessEqual(runs, 1, options["payload"])
            outcomes = outcomes_by_token[token]
            if coap.Outcome.NOT_RUN in outcomes and runs:
                # Only the answer to a stale pin may say so afterwards.
                self.assertTrue(
                    outcomes & {None, coap.Outcome.UNKNOWN}, options
                )
        self.assertGreater(ran, 5)

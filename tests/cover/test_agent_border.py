"""The agent's rules on cancellation, deadlines and what it lets in."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.standins import agent_rig
from tests import agent_play

NOT_RUN = coap.Outcome.NOT_RUN


class TestCancelAndDeadline(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("before_the_request", -0.5, NOT_RUN, 0),
            ("while_it_waits", 0.5, NOT_RUN, 0),
            ("while_it_runs", 2.5, None, 1),
            ("after_it_ran", 6.0, None, 1),
        ]
    )
    def test_a_cancellation(self, _, after_s, outcome, runs):
        """Guards against "not run" for a booking that runs after all."""

        async def scenario(stage):
            pin = await stage.pin()
            stage.send("POST", b"first", payload=b"first", pin=pin)
            await anyio.sleep(0.01)
            token = stage.token()
            options = {"payload": b"book", "pin": pin}
            if after_s < 0:
                stage.send("POST", token, pin=pin, cancel=True)
                await anyio.sleep(-after_s)
                stage.send("POST", token, **options)
            else:
                stage.send("POST", token, **options)
                await anyio.sleep(after_s)
                stage.send("POST", token, pin=pin, cancel=True, mid=2)
            answer = await stage.sender.answer(token, 10.0)
            self.assertEqual(outcome, coap.outcome(answer))
            for _ in range(3):
                await anyio.sleep(3.0)
                stage.send("POST", token, **options)
            await anyio.sleep(5.0)
            self.assertEqual(runs, stage.runs(b"book"))

        agent_play.play(scenario, slots=1, service_time_s=2.0)

    def test_the_endpoints_word_makes_a_cancelled_request_not_run(self):
        """Guards against "not run" that only the agent believes."""

        async def scenario(stage):
            pin = await stage.pin()
            profile = stage.rig.endpoint.profile
            profile.slots = 1
            stage.send("POST", b"first", payload=b"first", pin=pin)
            await anyio.sleep(0.1)
            token = stage.token()
            stage.send("POST", token, payload=b"book", pin=pin)
            await anyio.sleep(0.1)
            stage.send("POST", token, pin=pin, cancel=True, mid=2)
            answer = await stage.sender.answer(token, 1.0)
            self.assertEqual(NOT_RUN, coap.outcome(answer))
            await anyio.sleep(9.0)
            self.assertEqual(0, stage.runs(b"book"))

        agent_play.play(scenario, slots=5, queue_limit=5, service_time_s=2.0)

    @parameterized.parameterized.expand(
        [
            ("expired_on_arrival", 1_000, 1_500, 0, NOT_RUN, 0),
            ("expires_in_the_queue", 1_500, 0, 1, NOT_RUN, 0),
            ("reduced_by_time_on_the_way", 3_000, 2_500, 1, NOT_RUN, 0),
            ("has_time_left", 9_000, 500, 1, None, 1),
        ]
    )
    def test_a_deadline(self, _, deadline_ms, elapsed_ms, ahead, want, runs):
        """Guards against work that nobody waits for any more."""

        async def scenario(stage):
            pin = await stage.pin()
            for number in range(ahead):
                key = b"ahead%d" % number
                stage.send("POST", key, payload=key, pin=pin)
            await anyio.sleep(0.01)
            token = stage.token()
            options = {
                "payload": b"book",
                "pin": pin,
                "deadline_ms": deadline_ms,
                "frame_elapsed_us": elapsed_ms * 1_000,
            }
            stage.send("POST", token, **options)
            left_s = max(0.0, (deadline_ms - elapsed_ms) / 1_000)
            # 0.1 s is more than the latency of the answer.
            answer = await stage.sender.answer(token, left_s + 0.1)
            self.assertEqual(want, coap.outcome(answer))
            await anyio.sleep(3.0)
            stage.send("POST", token, **{**options, "frame_elapsed_us": 0})
            await anyio.sleep(5.0)
            self.assertEqual(runs, stage.runs(b"book"))

        agent_play.play(scenario, slots=1, service_time_s=2.0)

    def test_frames_that_waited_during_a_pause_are_dropped(self):
        """Guards against work whose deadline passed in a buffer."""

        async def scenario(stage):
            pin = await stage.pin()
            stage.rig.process.pause()
            stage.send(
                "POST", b"tk", payload=b"book", pin=pin, deadline_ms=3_000
            )
            await anyio.sleep(10.0)
            stage.rig.process.wake()
            await anyio.sleep(1.0)
            self.assertEqual(0, stage.runs(b"book"))
            self.assertEqual(1, stage.count("agent.dropped.paused"))
            answer = await stage.ask("POST", pin=pin, payload=b"next")
            self.assertEqual(coap.CHANGED, answer.code)

        agent_play.play(scenario)


class TestBorder(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("another_service", {"service": "planstore"}, "wrong_service"),
            (
                "another_services_address",
                {"service_address": address.Address("10.9.0.2", 5683)},
                "wrong_service",
            ),
        ]
    )
    def test_a_datagram_for(self, _, fields, reason):
        """Guards against delivery to the wrong service."""

        async def scenario(stage):
            data = agent_rig.request("GET", b"tk", path="visits")
            stage.sender.forward(stage.rig, data, **fields)
            await anyio.sleep(1.0)
            self.assertEqual(0, stage.runs(b"visits"))
            self.assertEqual(1, stage.count(f"agent.dropped.{reason}"))

        agent_play.play(scenario)

    def test_an_agent_whose_failure_domain_is_out_refuses(self):
        """Guards against work in a failure domain that was taken out."""

        async def scenario(stage):
            service = agent_rig.service_document((stage.rig.document,))
            agent_rig.apply(stage.rig.kernel, 2, service, out=("austin",))
            data = agent_rig.request("GET", b"tk", path="visits")
            stage.sender.forward(stage.rig, data)
            await anyio.sleep(1.0)
            self.assertEqual(0, stage.runs(b"visits"))
            self.assertEqual(1, stage.count("agent.dropped.domain_out"))
            self.assertEqual(1, len(stage.sender.notices))

        agent_play.play(scenario)

    def test_random_input_ends_no_task(self):
        """Guards against a malformed datagram that stops the agent."""

        async def scenario(stage):
            rng = stage.rig.network.random
            good = agent_rig.request("GET", b"tk", path="visits")
            for length in range(0, 200, 3):
                stage.sender.raw(stage.rig, rng.randbytes(length))
                stage.sender.forward(stage.rig, rng.randbytes(length))
                cut = good[: length % len(good)]
                stage.sender.forward(stage.rig, cut)
            await anyio.sleep(1.0)
            answer = await stage.ask("GET", path="visits")
            self.assertEqual(coap.CONTENT, answer.code)
            self.assertGreater(stage.count("agent.dropped.frame_mac"), 0)
            self.assertGreater(stage.count("agent.dropped.coap_format"), 0)

        agent_play.play(scenario)

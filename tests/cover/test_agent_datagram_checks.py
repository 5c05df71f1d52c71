"""Tests of cancellation, deadlines and the checks of incoming datagrams."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.standins import agent_rig
from tests import agent_fixture

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
        """Guards against answering "not run" for a booking that then runs."""

        async def scenario(fixture):
            pin = await fixture.pin()
            fixture.send("POST", b"first", payload=b"first", pin=pin)
            await anyio.sleep(0.01)
            token = fixture.token()
            options = {"payload": b"book", "pin": pin}
            if after_s < 0:
                fixture.send("POST", token, pin=pin, cancel=True)
                await anyio.sleep(-after_s)
                fixture.send("POST", token, **options)
            else:
                fixture.send("POST", token, **options)
                await anyio.sleep(after_s)
                fixture.send("POST", token, pin=pin, cancel=True, mid=2)
            answer = await fixture.sender.answer(token, 10.0)
            self.assertEqual(outcome, coap.outcome(answer))
            for _ in range(3):
                await anyio.sleep(3.0)
                fixture.send("POST", token, **options)
            await anyio.sleep(5.0)
            self.assertEqual(runs, fixture.runs(b"book"))

        agent_fixture.run_scenario(scenario, slots=1, service_time_s=2.0)

    def test_a_request_cancelled_by_the_endpoint_is_not_run(self):
        """Guards against a false "not run" after a cancellation.

        The request waits in the endpoint's own queue, so only the endpoint
        can tell that it has not run.
        """

        async def scenario(fixture):
            pin = await fixture.pin()
            profile = fixture.rig.endpoint.profile
            profile.slots = 1
            fixture.send("POST", b"first", payload=b"first", pin=pin)
            await anyio.sleep(0.1)
            token = fixture.token()
            fixture.send("POST", token, payload=b"book", pin=pin)
            await anyio.sleep(0.1)
            fixture.send("POST", token, pin=pin, cancel=True, mid=2)
            answer = await fixture.sender.answer(token, 1.0)
            self.assertEqual(NOT_RUN, coap.outcome(answer))
            await anyio.sleep(9.0)
            self.assertEqual(0, fixture.runs(b"book"))

        agent_fixture.run_scenario(
            scenario, slots=5, queue_limit=5, service_time_s=2.0
        )

    @parameterized.parameterized.expand(
        [
            ("expired_on_arrival", 1_000, 1_500, 0, NOT_RUN, 0),
            ("expires_in_the_queue", 1_500, 0, 1, NOT_RUN, 0),
            ("reduced_by_time_on_the_way", 3_000, 2_500, 1, NOT_RUN, 0),
            ("has_time_left", 9_000, 500, 1, None, 1),
        ]
    )
    def test_a_deadline(
        self, _, deadline_ms, elapsed_ms, queued_count, expected, runs
    ):
        """Guards against running requests after their deadline."""

        async def scenario(fixture):
            pin = await fixture.pin()
            for number in range(queued_count):
                key = b"ahead%d" % number
                fixture.send("POST", key, payload=key, pin=pin)
            await anyio.sleep(0.01)
            token = fixture.token()
            options = {
                "payload": b"book",
                "pin": pin,
                "deadline_ms": deadline_ms,
                "frame_elapsed_us": elapsed_ms * 1_000,
            }
            fixture.send("POST", token, **options)
            remaining_s = max(0.0, (deadline_ms - elapsed_ms) / 1_000)
            # 0.1 s allows for the transit time of the answer.
            answer = await fixture.sender.answer(token, remaining_s + 0.1)
            self.assertEqual(expected, coap.outcome(answer))
            await anyio.sleep(3.0)
            fixture.send("POST", token, **{**options, "frame_elapsed_us": 0})
            await anyio.sleep(5.0)
            self.assertEqual(runs, fixture.runs(b"book"))

        agent_fixture.run_scenario(scenario, slots=1, service_time_s=2.0)

    def test_frames_that_waited_during_a_pause_are_dropped(self):
        """Guards against running requests that expired in the port's buffer.

        The process is paused for longer than the deadline of the request.
        """

        async def scenario(fixture):
            pin = await fixture.pin()
            fixture.rig.process.pause()
            fixture.send(
                "POST", b"tk", payload=b"book", pin=pin, deadline_ms=3_000
            )
            await anyio.sleep(10.0)
            fixture.rig.process.wake()
            await anyio.sleep(1.0)
            self.assertEqual(0, fixture.runs(b"book"))
            self.assertEqual(1, fixture.count("agent.dropped.paused"))
            answer = await fixture.send_and_wait(
                "POST", pin=pin, payload=b"next"
            )
            self.assertEqual(coap.CHANGED, answer.code)

        agent_fixture.run_scenario(scenario)


class TestDatagramChecks(unittest.TestCase):
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
        """Guards against delivering datagrams to the wrong service."""

        async def scenario(fixture):
            data = agent_rig.request("GET", b"tk", path="visits")
            fixture.sender.forward(fixture.rig, data, **fields)
            await anyio.sleep(1.0)
            self.assertEqual(0, fixture.runs(b"visits"))
            self.assertEqual(1, fixture.count(f"agent.dropped.{reason}"))

        agent_fixture.run_scenario(scenario)

    def test_an_agent_whose_failure_domain_is_out_refuses(self):
        """Guards against running requests in a failure domain that is out."""

        async def scenario(fixture):
            service = agent_rig.service_document((fixture.rig.document,))
            agent_rig.apply(fixture.rig.kernel, 2, service, out=("austin",))
            data = agent_rig.request("GET", b"tk", path="visits")
            fixture.sender.forward(fixture.rig, data)
            await anyio.sleep(1.0)
            self.assertEqual(0, fixture.runs(b"visits"))
            self.assertEqual(1, fixture.count("agent.dropped.domain_out"))
            self.assertEqual(1, len(fixture.sender.notices))

        agent_fixture.run_scenario(scenario)

    def test_random_input_ends_no_task(self):
        """Guards against a malformed datagram that stops the agent."""

        async def scenario(fixture):
            rng = fixture.rig.network.random
            valid_request = agent_rig.request("GET", b"tk", path="visits")
            for length in range(0, 200, 3):
                fixture.sender.send_raw(fixture.rig, rng.randbytes(length))
                fixture.sender.forward(fixture.rig, rng.randbytes(length))
                prefix = valid_request[: length % len(valid_request)]
                fixture.sender.forward(fixture.rig, prefix)
            await anyio.sleep(1.0)
            answer = await fixture.send_and_wait("GET", path="visits")
            self.assertEqual(coap.CONTENT, answer.code)
            self.assertGreater(fixture.count("agent.dropped.frame_mac"), 0)
            self.assertGreater(fixture.count("agent.dropped.coap_format"), 0)

        agent_fixture.run_scenario(scenario)

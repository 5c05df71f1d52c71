"""Tests of request handling: duplicates, restarts, endpoint failures."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin import settings as settings_module
from bramleypin.standins import agent_rig
from tests import agent_fixture

NOT_RUN = coap.Outcome.NOT_RUN
UNKNOWN = coap.Outcome.UNKNOWN
INVALID = coap.Outcome.INVALID
OTHER_CALLER = address.Address("10.8.0.9", 41_000)


async def run_booking(fixture, key=b"book"):
    """Run a booking with a new pin.

    Returns its token, the options to send copies of it, and its answer.
    """
    pin = await fixture.pin()
    token = fixture.token()
    options = {"payload": key, "pin": pin}
    fixture.send("POST", token, **options)
    answer = await fixture.sender.answer(token, 5.0)
    return token, options, answer


class TestCopies(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("copies_while_it_waits_or_runs", 0.0, coap.CHANGED),
            ("a_copy_after_the_answer", 1.0, coap.CHANGED),
            ("a_copy_while_the_pin_is_nearly_stale", 298.0, coap.CHANGED),
            ("a_copy_after_the_record_has_gone", 305.0, coap.UNAUTHORIZED),
            ("a_copy_long_after", 4_000.0, coap.UNAUTHORIZED),
        ]
    )
    def test_a_booking_runs_once_with(self, _, after_s, code):
        """Guards against a second booking caused by a late copy."""

        async def scenario(fixture):
            pin = await fixture.pin()
            token = fixture.token()
            options = {"payload": b"book", "pin": pin}
            for _ in range(3):
                fixture.send("POST", token, **options)
            await fixture.sender.answer(token, 5.0)
            await anyio.sleep(after_s)
            # A new request makes the table remove expired records.
            await fixture.send_and_wait(
                "POST", pin=await fixture.pin(), payload=b"other"
            )
            fixture.send("POST", token, **options)
            answer = await fixture.sender.answer(token, 5.0)
            self.assertEqual(code, answer.code)
            self.assertEqual(1, fixture.runs(b"book"))

        agent_fixture.run_scenario(scenario)

    def test_the_stored_answer_goes_to_the_newest_copys_sender(self):
        """Guards against losing an answer together with a failed balancer."""

        async def scenario(fixture):
            token, options, first_answer = await run_booking(fixture)
            other_sender = agent_rig.Sender(
                fixture.rig.network, "other", "10.1.0.2"
            )
            await other_sender.start(fixture.tasks)
            fixture.send(
                "POST",
                token,
                mid=9,
                frame_return_address=other_sender.address,
                frame_caller=OTHER_CALLER,
                **options,
            )
            second_answer = await other_sender.answer(token, 1.0)
            self.assertEqual(first_answer.payload, second_answer.payload)
            self.assertEqual(9, second_answer.mid)
            self.assertEqual(
                OTHER_CALLER, other_sender.answer_frames[0].caller
            )
            self.assertEqual(1, fixture.runs(b"book"))

        agent_fixture.run_scenario(scenario)

    def test_a_token_with_other_content_is_invalid(self):
        """Guards against answering one request with another's answer."""

        async def scenario(fixture):
            token, options, _ = await run_booking(fixture)
            fixture.send("POST", token, **{**options, "payload": b"changed"})
            answer = await fixture.sender.answer(token, 1.0)
            self.assertEqual(coap.BAD_OPTION, answer.code)
            self.assertEqual(INVALID, coap.outcome(answer))
            self.assertEqual(0, fixture.runs(b"changed"))

        agent_fixture.run_scenario(scenario)

    def test_a_request_without_pin_is_never_run_when_it_must_run_once(self):
        """Guards against copies of a request that run on different agents."""

        async def scenario(fixture):
            token = fixture.token()
            fixture.send("POST", token, payload=b"book")
            answer = await fixture.sender.answer(token, 1.0)
            self.assertEqual(coap.UNAUTHORIZED, answer.code)
            self.assertEqual(NOT_RUN, coap.outcome(answer))
            self.assertEqual(0, fixture.runs(b"book"))

        agent_fixture.run_scenario(scenario)

    def test_a_replayed_frame_reaches_no_endpoint(self):
        """Guards against the replay of an old datagram."""

        async def scenario(fixture):
            data = agent_rig.request("GET", b"tk", path="visits")
            for _ in range(2):
                fixture.sender.forward(fixture.rig, data, sequence=77)
                await anyio.sleep(1.0)
            self.assertEqual(1, fixture.runs(b"visits"))
            self.assertEqual(1, fixture.count("agent.dropped.replayed"))

        agent_fixture.run_scenario(scenario)

    def test_copies_of_a_request_shed_by_a_full_table_are_not_run(self):
        """Guards against running a request after answering "not run"."""

        async def scenario(fixture):
            pin = await fixture.pin()
            for number in range(4):
                await fixture.send_and_wait(
                    "POST", pin=pin, payload=b"%d" % number
                )
            token = fixture.token()
            options = {"payload": b"book", "pin": pin}
            fixture.send("POST", token, **options)
            shed_answer = await fixture.sender.answer(token, 1.0)
            self.assertEqual(coap.SERVICE_UNAVAILABLE, shed_answer.code)
            self.assertEqual(NOT_RUN, coap.outcome(shed_answer))
            fixture.rig.kernel.get("flows").records._limit = 100
            fixture.send("POST", token, **options)
            second_answer = await fixture.sender.answer(token, 1.0)
            self.assertEqual(NOT_RUN, coap.outcome(second_answer))
            self.assertEqual(0, fixture.runs(b"book"))
            await anyio.sleep(1.5)
            pin = await fixture.pin()
            third_answer = await fixture.send_and_wait(
                "POST", pin=pin, payload=b"book"
            )
            self.assertEqual(coap.CHANGED, third_answer.code)

        limits = settings_module.Limits(request_records=4)
        agent_fixture.run_scenario(scenario, rig_limits=limits)


class TestRestart(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("a_booking", "POST", UNKNOWN, 1),
            ("a_list", "GET", None, 2),
        ]
    )
    def test_after_a_restart_of_the_agent(self, _, method, outcome, runs):
        """Guards against wrong request handling after an agent restart.

        A booking must not run again, while a list request must run at the
        new incarnation.
        """

        async def scenario(fixture):
            pin = await fixture.pin()
            await fixture.send_and_wait(method, pin=pin, payload=b"book")
            fixture.rig.kill_agent()
            await fixture.rig.start_agent(fixture.tasks)
            answer = await fixture.send_and_wait(
                method, pin=pin, payload=b"book"
            )
            self.assertEqual(outcome, coap.outcome(answer))
            new_pin = coap.option(answer, coap.ECHO)
            self.assertNotIn(new_pin, (None, pin))
            self.assertEqual(runs, fixture.runs(b"book"))
            next_answer = await fixture.send_and_wait(
                "POST", pin=new_pin, payload=b"next"
            )
            self.assertEqual(coap.CHANGED, next_answer.code)

        agent_fixture.run_scenario(scenario)

    def test_a_frame_for_an_older_incarnation_is_not_used(self):
        """Guards against replays of frames across a restart."""

        async def scenario(fixture):
            data = agent_rig.request("GET", b"tk", path="visits")
            for incarnation in (0, 5):
                fixture.sender.forward(
                    fixture.rig, data, incarnation=incarnation
                )
                await anyio.sleep(0.2)
            self.assertEqual(0, fixture.runs(b"visits"))
            self.assertEqual(2, len(fixture.sender.notices))

        agent_fixture.run_scenario(scenario)

    def test_a_later_block_without_its_flow_is_incomplete(self):
        """Guards against a download that mixes blocks of two endpoints."""

        async def scenario(fixture):
            message = coap.message(coap.CON, 1, 1, b"tk")
            message.opt.uri_path = ("plan",)
            message.opt.block2 = (3, False, 6)
            fixture.sender.forward(fixture.rig, coap.encode(message))
            answer = await fixture.sender.answer(b"tk", 1.0)
            self.assertEqual(coap.REQUEST_ENTITY_INCOMPLETE, answer.code)
            self.assertEqual(INVALID, coap.outcome(answer))
            self.assertEqual(0, fixture.runs(b"plan"))

        agent_fixture.run_scenario(scenario)


class TestEndpointFailures(unittest.TestCase):
    def test_a_booking_at_a_crashed_endpoint_is_unknown_and_not_repeated(self):
        """Guards against a second run after a crash that lost the answer."""

        async def scenario(fixture):
            pin = await fixture.pin()
            token = fixture.token()
            options = {"payload": b"book", "pin": pin, "deadline_ms": 9_000}
            fixture.send("POST", token, **options)
            await anyio.sleep(0.5)
            fixture.rig.endpoint.crash()
            answer = await fixture.sender.answer(token, 20.0)
            self.assertEqual(UNKNOWN, coap.outcome(answer))
            for _ in range(3):
                await anyio.sleep(5.0)
                fixture.send("POST", token, **options)
            await anyio.sleep(5.0)
            self.assertEqual(1, fixture.runs(b"book"))

        agent_fixture.run_scenario(
            scenario, service_time_s=3.0, restart_s=0.01
        )

    def test_a_refused_booking_was_not_run(self):
        """Guards against answering "unknown" when a retry is safe."""

        async def scenario(fixture):
            pin = await fixture.pin()
            fixture.rig.endpoint.crash()
            answer = await fixture.send_and_wait(
                "POST", pin=pin, payload=b"book"
            )
            self.assertEqual(NOT_RUN, coap.outcome(answer))
            fixture.rig.endpoint.restart()
            await anyio.sleep(3.0)
            self.assertEqual(0, fixture.runs(b"book"))

        agent_fixture.run_scenario(scenario, restart_s=None)

    def test_a_lost_booking_is_transmitted_once(self):
        """Guards against a retransmission that a restarted endpoint runs."""

        async def scenario(fixture):
            pin = await fixture.pin()
            sent_datagrams = []
            fixture.rig.network.on_send.append(
                lambda packet: (
                    sent_datagrams.append(packet.data)
                    if packet.destination.port == agent_rig.ENDPOINT_PORT
                    and b"book" in packet.data
                    else None
                )
            )
            fixture.rig.endpoint_process.pause()
            answer = await fixture.send_and_wait(
                "POST", pin=pin, payload=b"book", deadline_ms=20_000
            )
            self.assertEqual(UNKNOWN, coap.outcome(answer))
            fixture.rig.endpoint_process.wake()
            transmissions = [
                data for data in sent_datagrams if data.endswith(b"book")
            ]
            self.assertEqual(1, len(transmissions))

        agent_fixture.run_scenario(scenario)

    def test_a_late_answer_is_not_delivered(self):
        """Guards against a second answer after the deadline."""

        async def scenario(fixture):
            pin = await fixture.pin()
            token = fixture.token()
            fixture.send(
                "POST", token, payload=b"book", pin=pin, deadline_ms=2_000
            )
            answer = await fixture.sender.answer(token, 2.5)
            self.assertEqual(UNKNOWN, coap.outcome(answer))
            fixture.sender.answers.clear()
            await anyio.sleep(10.0)
            codes = {item.code for item in fixture.sender.answers}
            self.assertNotIn(coap.CHANGED, codes)
            self.assertEqual(1, fixture.count("agent.endpoint.late"))

        agent_fixture.run_scenario(scenario, service_time_s=4.0)

    def test_an_answer_after_a_second_is_a_separate_response(self):
        """Guards against losing a slow answer when one datagram is lost."""

        async def scenario(fixture):
            token = fixture.token()
            fixture.send("GET", token, mid=5)
            await anyio.sleep(1.1)
            self.assertEqual(0, fixture.sender.answers[-1].code)
            answer = await fixture.sender.answer(token, 5.0)
            self.assertEqual(coap.CON, answer.mtype)
            # The answer is retransmitted until it is acknowledged.
            retransmission = await fixture.sender.answer(token, 4.0)
            self.assertEqual(answer.mid, retransmission.mid)
            ack = coap.encode(coap.message(coap.ACK, 0, answer.mid))
            fixture.sender.forward(
                fixture.rig, ack, caller=OTHER_CALLER, sequence=500
            )
            await fixture.sender.answer(token, 10.0)
            fixture.sender.forward(fixture.rig, ack, sequence=501)
            with self.assertRaises(TimeoutError):
                await fixture.sender.answer(token, 60.0)

        agent_fixture.run_scenario(scenario, service_time_s=2.0)

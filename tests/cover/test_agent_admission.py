"""Tests of admission: cold start, limits, fairness, drain and placement."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.agent import flow_placement
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.standins import agent_rig
from bramleypin.standins import virtual_network
from tests import agent_fixture

NOT_RUN = coap.Outcome.NOT_RUN
RAMP_S = 20.0
COLD = {"slots": 5, "cold_slots": 1, "ramp_s": RAMP_S}
COLD_DOCUMENT = agent_rig.endpoint_document(1, **COLD)


def caller_address(number: int) -> address.Address:
    """Return a distinct caller address for each number."""
    return address.Address("10.8.1.1", 20_000 + number)


def skip_ramp(fixture) -> None:
    """Move endpoint and ramp start back by 10 ramps, so the ramp has ended."""
    fixture.rig.endpoint._started_s -= 10 * RAMP_S
    fixture.rig.kernel.get("admission").ramp.cold_since_s -= 10 * RAMP_S


async def send_requests(
    fixture, count: int, spacing_s: float, prefix: bytes
) -> None:
    """Send idempotent requests from different callers.

    Does not wait for the answers.
    """
    for number in range(count):
        fixture.send(
            "GET", prefix + b"%d" % number, frame_caller=caller_address(number)
        )
        await anyio.sleep(spacing_s)


class TestColdStart(unittest.TestCase):
    def test_a_flood_stays_within_the_limit_of_a_cold_endpoint(self):
        """Guards against overloading and crashing a cold endpoint."""

        async def scenario(fixture):
            await send_requests(fixture, 600, 0.05, b"c")
            self.assertEqual(0, fixture.rig.endpoint.overload_crashes)
            self.assertGreater(len(fixture.rig.endpoint.log), 100)

        agent_fixture.run_scenario(
            scenario, document=COLD_DOCUMENT, service_time_s=0.2, **COLD
        )

    @parameterized.parameterized.expand(
        [
            ("it_crashes_for_a_second", "crash"),
            ("its_instance_id_changes", "quick_crash"),
            ("it_sheds", "shed"),
            ("it_reports_being_cold", "report"),
            ("its_service_time_jumps", "slow"),
        ]
    )
    def test_the_ramp_restarts_when(self, _, event):
        """Guards against full load on an endpoint that became cold."""

        async def scenario(fixture):
            endpoint = fixture.rig.endpoint
            admission = fixture.rig.kernel.get("admission")
            skip_ramp(fixture)
            await send_requests(fixture, 60, 0.05, b"w")
            await anyio.sleep(1.0)
            self.assertEqual(5, admission.limit())
            if event == "crash":
                endpoint.crash()
            elif event == "quick_crash":
                endpoint.profile.restart_s = 0.001
                endpoint.crash()
            elif event == "shed":
                endpoint.profile.slots = 0
                await fixture.send_and_wait(
                    "GET", frame_caller=caller_address(900)
                )
                endpoint.profile.slots = 5
            elif event == "report":
                endpoint.turn_cold()
            else:
                endpoint.profile.service_time_s *= 20
                await send_requests(fixture, 10, 0.0, b"s")
                await anyio.sleep(8.0)
            await anyio.sleep(1.5)
            self.assertLess(admission.limit(), 3)
            overload_crashes = endpoint.overload_crashes
            await send_requests(fixture, 200, 0.05, b"l")
            if event != "slow":
                self.assertEqual(overload_crashes, endpoint.overload_crashes)

        agent_fixture.run_scenario(
            scenario,
            document=COLD_DOCUMENT,
            service_time_s=0.1,
            restart_s=1.0,
            **COLD,
        )

    def test_without_recent_evidence_only_the_cold_limit_holds(self):
        """Guards against a burst on an endpoint that restarted unnoticed."""

        async def scenario(fixture):
            skip_ramp(fixture)
            await anyio.sleep(2.0)
            admission = fixture.rig.kernel.get("admission")
            self.assertEqual(5, admission.limit())
            fixture.rig.endpoint_process.pause()
            await anyio.sleep(4.0)
            self.assertEqual(1, admission.limit())
            fixture.rig.endpoint_process.wake()

        agent_fixture.run_scenario(scenario, document=COLD_DOCUMENT, **COLD)

    @parameterized.parameterized.expand(
        [
            ("always_ready", lambda report: {**report, "state": "ready"}),
            ("always_draining", lambda r: {**r, "state": "draining"}),
            ("always_cold", lambda report: {**report, "state": "cold"}),
            ("invalid", lambda report: {"state": 7}),
        ]
    )
    def test_a_report_that_is(self, _, alter_report):
        """Guards against overload or starvation by a wrong health report."""

        async def scenario(fixture):
            await send_requests(fixture, 600, 0.05, b"c")
            self.assertEqual(0, fixture.rig.endpoint.overload_crashes)
            self.assertGreater(len(fixture.rig.endpoint.log), 100)

        agent_fixture.run_scenario(
            scenario,
            document=COLD_DOCUMENT,
            service_time_s=0.2,
            falsify_report=alter_report,
            **COLD,
        )


class TestQueue(unittest.TestCase):
    def test_a_flood_of_one_caller_leaves_room_for_others(self):
        """Guards against one caller that fills the whole queue.

        The queue has four places. With three other callers, the flooding
        caller keeps only one of them, its fair share.
        """

        async def scenario(fixture):
            for number in range(60):
                token = b"flood%d" % number
                fixture.send("GET", token, frame_caller=caller_address(1))
            await anyio.sleep(0.01)
            answers = []
            for number in range(3):
                token = b"other%d" % number
                fixture.send(
                    "GET", token, frame_caller=caller_address(2 + number)
                )
            for number in range(3):
                token = b"other%d" % number
                answers.append(await fixture.sender.answer(token, 2.0))
            codes = {int(item.code) for item in answers}
            self.assertEqual({coap.CONTENT}, codes)
            shed_answers = fixture.sender.answers_by_token[b"flood59"]
            self.assertEqual(NOT_RUN, coap.outcome(shed_answers[0]))

        agent_fixture.run_scenario(scenario, slots=2, service_time_s=0.2)

    def test_an_agent_with_a_full_queue_reports_full(self):
        """Guards against placing new flows on an agent with a full queue."""

        async def scenario(fixture):
            await send_requests(fixture, 40, 0.0, b"c")
            await anyio.sleep(0.01)
            fixture.sender.probe(fixture.rig, caller_address(99))
            await anyio.sleep(0.01)
            answer = fixture.sender.probe_answers[-1]
            self.assertEqual(frames.State.FULL, answer.state)
            self.assertGreater(answer.load, 1.0)

        agent_fixture.run_scenario(scenario, slots=2, service_time_s=1.0)

    def test_flows_stay_within_the_connection_limit(self):
        """Guards against more flows than the endpoint has connections."""
        document = agent_rig.endpoint_document(1, connections=10)

        async def scenario(fixture):
            await send_requests(fixture, 50, 0.05, b"c")
            flows = fixture.rig.kernel.get("flows")
            self.assertLessEqual(len(flows._flow_by_id), 10)
            self.assertEqual(50, len(fixture.rig.endpoint.log))

        agent_fixture.run_scenario(scenario, document=document)


class TestDrain(unittest.TestCase):
    def test_a_drain_ends_after_the_last_answer(self):
        """Guards against a shutdown that aborts requests in flight."""

        async def scenario(fixture):
            pin = await fixture.pin()
            tokens = [b"b%d" % number for number in range(4)]
            for token in tokens:
                fixture.send("POST", token, payload=token, pin=pin)
            await anyio.sleep(0.1)
            fixture.tasks.start_soon(self._send_late_requests, fixture, pin)
            await fixture.rig.drain()
            await anyio.sleep(0.01)
            for token in tokens:
                answer = fixture.sender.answers_by_token[token][0]
                self.assertEqual(coap.CHANGED, answer.code)
            fixture.sender.probe(fixture.rig, caller_address(7))
            await anyio.sleep(0.01)
            self.assertFalse(fixture.sender.probe_answers[-1].holds)
            late_answer = fixture.sender.answers_by_token[b"late"][0]
            self.assertEqual(NOT_RUN, coap.outcome(late_answer))
            self.assertEqual(0, fixture.runs(b"late"))

        agent_fixture.run_scenario(scenario, slots=2, service_time_s=0.4)

    async def _send_late_requests(self, fixture, pin):
        await anyio.sleep(0.1)
        fixture.send("POST", b"late", payload=b"late", pin=pin)
        fixture.send("GET", b"new", frame_caller=caller_address(7))

    @parameterized.parameterized.expand(
        [("by_configuration", False), ("by_the_vm_list", True)]
    )
    def test_a_leaving_endpoint_keeps_flows_and_takes_no_new_one(
        self, _, by_vm_list
    ):
        """Guards against new flows on an endpoint that is leaving."""

        async def scenario(fixture):
            pin = await fixture.pin()
            if by_vm_list:
                fixture.rig.membership.leaving.add(fixture.rig.data)
            else:
                leaving_document = agent_rig.endpoint_document(
                    1, state="leaving"
                )
                service = agent_rig.service_document((leaving_document,))
                agent_rig.apply(fixture.rig.kernel, 2, service)
            booking_answer = await fixture.send_and_wait(
                "POST", pin=pin, payload=b"book"
            )
            self.assertEqual(coap.CHANGED, booking_answer.code)
            for is_open in (True, False):
                refusal = await fixture.send_and_wait(
                    "GET", frame_caller=caller_address(5), frame_open=is_open
                )
                self.assertEqual(NOT_RUN, coap.outcome(refusal))
            fixture.sender.probe(fixture.rig)
            await anyio.sleep(0.01)
            state = fixture.sender.probe_answers[-1].state
            self.assertEqual(frames.State.DRAINING, state)

        agent_fixture.run_scenario(scenario)


class TestRefusals(unittest.TestCase):
    def test_an_endpoint_that_stays_down_is_reported_once(self):
        """Guards against a trace buffer filled by a single cold start."""

        async def scenario(fixture):
            admission = fixture.rig.kernel.get("admission")
            counts = fixture.rig.kernel.get("metrics").count_by_name
            initial_count = counts.get("agent.cold_starts", 0)
            for _ in range(20):
                admission.on_endpoint_down()
            self.assertEqual(initial_count + 1, counts["agent.cold_starts"])
            admission.on_endpoint_up()
            admission.on_endpoint_down()
            self.assertEqual(initial_count + 2, counts["agent.cold_starts"])

        agent_fixture.run_scenario(scenario)


def candidate(number, state=frames.State.READY, load=0.0):
    """Return a candidate with ``number`` as its incarnation."""
    agent_address = address.Address(f"10.0.0.{number}", 7000)
    return frames.Candidate(agent_address, state, load, number)


class TestHome(unittest.TestCase):
    KEY = (agent_rig.SERVICE_ADDRESS, agent_rig.CALLER)

    @parameterized.parameterized.expand(
        [
            ("the_least_loaded", (0.6, 0.2, 0.4), "READY", 2),
            ("none_when_all_are_full", (0.6, 0.2, 0.4), "FULL", None),
            ("none_when_all_are_draining", (0.6, 0.2, 0.4), "DRAINING", None),
            ("a_cold_one_with_a_free_slot", (1.0, 2.0, 0.5), "COLD", 3),
            ("no_busy_cold_one", (1.0, 2.0, 1.0), "COLD", None),
        ]
    )
    def test_the_home_chooses(self, _, loads, state, expected_incarnation):
        """Guards against placing a flow on an endpoint that accepts none."""

        async def main():
            placements = flow_placement.Placements(
                virtual_network.random.Random(1)
            )
            offered_candidates = tuple(
                candidate(number + 1, frames.State[state], load)
                for number, load in enumerate(loads)
            )
            choice = placements.place(self.KEY, offered_candidates)
            incarnation = None if choice is None else choice.incarnation
            self.assertEqual(expected_incarnation, incarnation)

        virtual_network.run(main)

    @parameterized.parameterized.expand(
        [
            ("a_second_balancer_asks_at_once", 0.1, (9.0, 0.0), "READY", 1),
            ("a_second_balancer_asks_later", 20.0, (9.0, 0.0), "READY", 1),
            ("the_decision_is_old", 31.0, (9.0, 0.0), "READY", None),
            ("the_chosen_agent_is_silent", 0.1, (None, 0.0), "READY", None),
            ("the_chosen_agent_is_full", 5.0, (9.0, 0.0), "FULL", None),
        ]
    )
    def test_a_decision_when(
        self, _, after_s, loads, state, expected_incarnation
    ):
        """Guards against a flow with two owners or with a dead owner."""

        async def main():
            placements = flow_placement.Placements(
                virtual_network.random.Random(1)
            )
            placements.place(self.KEY, (candidate(1), candidate(2, load=1.0)))
            await anyio.sleep(after_s)
            offered_candidates = tuple(
                candidate(number + 1, frames.State[state], load)
                for number, load in enumerate(loads)
                if load is not None
            )
            choice = placements.get(self.KEY, offered_candidates)
            incarnation = None if choice is None else choice.incarnation
            self.assertEqual(expected_incarnation, incarnation)

        virtual_network.run(main)

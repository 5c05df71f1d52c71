"""Admission: cold start, the limit, fairness, drain and the home's choice."""

import unittest

import anyio
import parameterized

from bramleypin.internal import address
from bramleypin.internal.agent import opening
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.standins import agent_rig
from bramleypin.standins import virtual_network
from tests import agent_play

NOT_RUN = coap.Outcome.NOT_RUN
RAMP_S = 20.0
COLD = {"slots": 5, "cold_slots": 1, "ramp_s": RAMP_S}
COLD_DOCUMENT = agent_rig.endpoint_document(1, **COLD)


def caller(number: int) -> address.Address:
    """Return the address of a caller."""
    return address.Address("10.8.1.1", 20_000 + number)


def warm(stage) -> None:
    """Make the endpoint and the agent's ramp look old."""
    stage.rig.endpoint._started_s -= 10 * RAMP_S
    stage.rig.kernel.get("admission").ramp.cold_since_s -= 10 * RAMP_S


async def offer(stage, count: int, spacing_s: float, prefix: bytes) -> None:
    """Send idempotent requests of different callers, open loop."""
    for number in range(count):
        stage.send("GET", prefix + b"%d" % number, frame_caller=caller(number))
        await anyio.sleep(spacing_s)


class TestColdStart(unittest.TestCase):
    def test_a_flood_never_exceeds_what_a_cold_endpoint_bears(self):
        """Guards against a cold endpoint that is brought down by load."""

        async def scenario(stage):
            await offer(stage, 600, 0.05, b"c")
            self.assertEqual(0, stage.rig.endpoint.falls)
            self.assertGreater(len(stage.rig.endpoint.log), 100)

        agent_play.play(
            scenario, document=COLD_DOCUMENT, service_time_s=0.2, **COLD
        )

    @parameterized.parameterized.expand(
        [
            ("it_crashes_and_stays_away_a_second", "crash"),
            ("its_instance_id_changes", "quick_crash"),
            ("it_sheds", "shed"),
            ("it_reports_being_cold", "report"),
            ("its_service_time_jumps", "slow"),
        ]
    )
    def test_the_ramp_restarts_when(self, _, event):
        """Guards against full load on an endpoint that turned cold."""

        async def scenario(stage):
            endpoint = stage.rig.endpoint
            admission = stage.rig.kernel.get("admission")
            warm(stage)
            await offer(stage, 60, 0.05, b"w")
            await anyio.sleep(1.0)
            self.assertEqual(5, admission.limit())
            if event == "crash":
                endpoint.crash()
            elif event == "quick_crash":
                endpoint.profile.restart_s = 0.001
                endpoint.crash()
            elif event == "shed":
                endpoint.profile.slots = 0
                await stage.ask("GET", frame_caller=caller(900))
                endpoint.profile.slots = 5
            elif event == "report":
                endpoint.turn_cold()
            else:
                endpoint.profile.service_time_s *= 20
                await offer(stage, 10, 0.0, b"s")
                await anyio.sleep(8.0)
            await anyio.sleep(1.5)
            self.assertLess(admission.limit(), 3)
            falls = endpoint.falls
            await offer(stage, 200, 0.05, b"l")
            if event != "slow":
                self.assertEqual(falls, endpoint.falls)

        agent_play.play(
            scenario,
            document=COLD_DOCUMENT,
            service_time_s=0.1,
            restart_s=1.0,
            **COLD,
        )

    def test_without_recent_evidence_only_the_cold_limit_holds(self):
        """Guards against a burst on an endpoint that restarted unseen."""

        async def scenario(stage):
            warm(stage)
            await anyio.sleep(2.0)
            admission = stage.rig.kernel.get("admission")
            self.assertEqual(5, admission.limit())
            stage.rig.endpoint_process.pause()
            await anyio.sleep(4.0)
            self.assertEqual(1, admission.limit())
            stage.rig.endpoint_process.wake()

        agent_play.play(scenario, document=COLD_DOCUMENT, **COLD)

    @parameterized.parameterized.expand(
        [
            ("always_ready", lambda report: {**report, "state": "ready"}),
            ("always_draining", lambda r: {**r, "state": "draining"}),
            ("always_cold", lambda report: {**report, "state": "cold"}),
            ("nonsense", lambda report: {"state": 7}),
        ]
    )
    def test_a_report_that_is(self, _, lie):
        """Guards against a lie that overloads or starves an endpoint."""

        async def scenario(stage):
            await offer(stage, 600, 0.05, b"c")
            self.assertEqual(0, stage.rig.endpoint.falls)
            self.assertGreater(len(stage.rig.endpoint.log), 100)

        agent_play.play(
            scenario,
            document=COLD_DOCUMENT,
            service_time_s=0.2,
            lie=lie,
            **COLD,
        )


class TestQueue(unittest.TestCase):
    def test_a_flood_of_one_caller_leaves_room_for_others(self):
        """Guards against one caller that takes the whole queue.

        Of the four places the flood keeps its fair share, one.
        """

        async def scenario(stage):
            for number in range(60):
                token = b"flood%d" % number
                stage.send("GET", token, frame_caller=caller(1))
            await anyio.sleep(0.01)
            answers = []
            for number in range(3):
                token = b"other%d" % number
                stage.send("GET", token, frame_caller=caller(2 + number))
            for number in range(3):
                token = b"other%d" % number
                answers.append(await stage.sender.answer(token, 2.0))
            codes = {int(item.code) for item in answers}
            self.assertEqual({coap.CONTENT}, codes)
            shed = stage.sender.answers_by_token[b"flood59"]
            self.assertEqual(NOT_RUN, coap.outcome(shed[0]))

        agent_play.play(scenario, slots=2, service_time_s=0.2)

    def test_a_full_agent_says_so(self):
        """Guards against new flows for an agent with a full queue."""

        async def scenario(stage):
            await offer(stage, 40, 0.0, b"c")
            await anyio.sleep(0.01)
            stage.sender.probe(stage.rig, caller(99))
            await anyio.sleep(0.01)
            answer = stage.sender.probe_answers[-1]
            self.assertEqual(frames.State.FULL, answer.state)
            self.assertGreater(answer.load, 1.0)

        agent_play.play(scenario, slots=2, service_time_s=1.0)

    def test_flows_stay_within_the_connections(self):
        """Guards against more flows than the endpoint has connections."""
        document = agent_rig.endpoint_document(1, connections=10)

        async def scenario(stage):
            await offer(stage, 50, 0.05, b"c")
            flows = stage.rig.kernel.get("flows")
            self.assertLessEqual(len(flows._flow_by_id), 10)
            self.assertEqual(50, len(stage.rig.endpoint.log))

        agent_play.play(scenario, document=document)


class TestDrain(unittest.TestCase):
    def test_a_drain_ends_after_the_last_answer(self):
        """Guards against a shutdown that cuts requests in flight."""

        async def scenario(stage):
            pin = await stage.pin()
            tokens = [b"b%d" % number for number in range(4)]
            for token in tokens:
                stage.send("POST", token, payload=token, pin=pin)
            await anyio.sleep(0.1)
            stage.tasks.start_soon(self._late, stage, pin)
            await stage.rig.drain()
            await anyio.sleep(0.01)
            for token in tokens:
                answer = stage.sender.answers_by_token[token][0]
                self.assertEqual(coap.CHANGED, answer.code)
            stage.sender.probe(stage.rig, caller(7))
            await anyio.sleep(0.01)
            self.assertFalse(stage.sender.probe_answers[-1].holds)
            late = stage.sender.answers_by_token[b"late"][0]
            self.assertEqual(NOT_RUN, coap.outcome(late))
            self.assertEqual(0, stage.runs(b"late"))

        agent_play.play(scenario, slots=2, service_time_s=0.4)

    async def _late(self, stage, pin):
        await anyio.sleep(0.1)
        stage.send("POST", b"late", payload=b"late", pin=pin)
        stage.send("GET", b"new", frame_caller=caller(7))

    @parameterized.parameterized.expand(
        [("by_configuration", False), ("by_the_vm_list", True)]
    )
    def test_a_leaving_endpoint_keeps_flows_and_takes_no_new_one(
        self, _, by_vm_list
    ):
        """Guards against new work for a leaving endpoint."""

        async def scenario(stage):
            pin = await stage.pin()
            if by_vm_list:
                stage.rig.membership.leaving.add(stage.rig.data)
            else:
                leaving = agent_rig.endpoint_document(1, state="leaving")
                service = agent_rig.service_document((leaving,))
                agent_rig.apply(stage.rig.kernel, 2, service)
            done = await stage.ask("POST", pin=pin, payload=b"book")
            self.assertEqual(coap.CHANGED, done.code)
            for is_open in (True, False):
                refused = await stage.ask(
                    "GET", frame_caller=caller(5), frame_open=is_open
                )
                self.assertEqual(NOT_RUN, coap.outcome(refused))
            stage.sender.probe(stage.rig)
            await anyio.sleep(0.01)
            state = stage.sender.probe_answers[-1].state
            self.assertEqual(frames.State.DRAINING, state)

        agent_play.play(scenario)


class TestRefusals(unittest.TestCase):
    def test_an_endpoint_that_stays_down_is_reported_once(self):
        """Guards against a trace ring that is full of one cold start."""

        async def scenario(stage):
            admission = stage.rig.kernel.get("admission")
            counts = stage.rig.kernel.get("metrics").count_by_name
            before = counts.get("agent.cold_starts", 0)
            for _ in range(20):
                admission.went_down()
            self.assertEqual(before + 1, counts["agent.cold_starts"])
            admission.came_up()
            admission.went_down()
            self.assertEqual(before + 2, counts["agent.cold_starts"])

        agent_play.play(scenario)


def candidate(number, state=frames.State.READY, load=0.0):
    """Return a candidate."""
    at = address.Address(f"10.0.0.{number}", 7000)
    return frames.Candidate(at, state, load, number)


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
    def test_the_home_chooses(self, _, loads, state, chosen):
        """Guards against a flow for an endpoint that takes none."""

        async def main():
            decisions = opening.Decisions(virtual_network.random.Random(1))
            offered = tuple(
                candidate(number + 1, frames.State[state], load)
                for number, load in enumerate(loads)
            )
            found = decisions.decide(self.KEY, offered)
            number = None if found is None else found.incarnation
            self.assertEqual(chosen, number)

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
    def test_a_decision_when(self, _, after_s, loads, state, kept):
        """Guards against two owners of a flow, and against a dead one."""

        async def main():
            decisions = opening.Decisions(virtual_network.random.Random(1))
            decisions.decide(self.KEY, (candidate(1), candidate(2, load=1.0)))
            await anyio.sleep(after_s)
            offered = tuple(
                candidate(number + 1, frames.State[state], load)
                for number, load in enumerate(loads)
                if load is not None
            )
            found = decisions.get(self.KEY, offered)
            number = None if found is None else found.incarnation
            self.assertEqual(kept, number)

        virtual_network.run(main)

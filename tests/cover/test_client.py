"""Tests of the CoAP client and its retry budget."""

import random
import unittest

import anyio
import parameterized

from bramleypin import client as client_module
from bramleypin.internal import address
from bramleypin.internal import retry_budget
from bramleypin.internal.wire import coap
from bramleypin.standins import endpoint as endpoint_module
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_process

SERVER = address.Address("10.9.0.1", 5683)
CALLER = address.Address("10.8.0.1", 40_000)


class ScriptedServer:
    """A server whose answers come from a script.

    The script is called with the request's number, counted from 1, and the
    request itself. It returns an answer or ``None``.
    """

    def __init__(self, port, script):
        self._port = port
        self._script = script
        self.requests = []

    async def run(self):
        """Answer requests until cancelled."""
        while True:
            data, sender = await self._port.receive()
            message = coap.decode(data)
            if not coap.is_request(int(message.code)):
                continue
            self.requests.append((anyio.current_time(), message))
            answer = self._script(len(self.requests), message)
            if answer is not None:
                self._port.send(coap.encode(answer), sender)


def typed_answer_factory(code, outcome, echo=b"", max_age_s=None):
    """Return a function that builds the load balancer's own answer."""

    def build_answer(message):
        return coap.outcome_answer(
            message, code, outcome, "reason", echo, max_age_s
        )

    return build_answer


def endpoint_answer(message):
    """Return an answer of the endpoint."""
    return coap.message(
        coap.ACK, coap.CHANGED, message.mid, message.token, b"done"
    )


# Functions that build the answer to a message; ``None`` sends no answer.
CHALLENGE = typed_answer_factory(
    coap.UNAUTHORIZED, coap.Outcome.NOT_RUN, b"p" * 34
)
UNAVAILABLE = typed_answer_factory(
    coap.SERVICE_UNAVAILABLE, coap.Outcome.NOT_RUN, max_age_s=1
)
UNKNOWN = typed_answer_factory(coap.GATEWAY_TIMEOUT, coap.Outcome.UNKNOWN)
INVALID = typed_answer_factory(coap.BAD_REQUEST, coap.Outcome.INVALID)
NO_ANSWER = None


def run_scenario(scenario, script=None, endpoint=None):
    """Run ``scenario(client, server, network)`` on a virtual network.

    The server follows ``script``, or is an endpoint stand-in with the profile
    ``endpoint``.
    """

    async def main():
        network = virtual_network.VirtualNetwork(3)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run)
            process = network.process("server", SERVER.host)
            if endpoint is None:
                port = await process.open_datagram_port(SERVER)
                server = ScriptedServer(port, script)
                tasks.start_soon(server.run)
            else:
                server = endpoint_module.EndpointStandin(
                    process.environment(None), SERVER, endpoint
                )
                virtual_process.spawn(tasks, process, server.run)
            caller = network.process("caller", CALLER.host)
            client = await client_module.open_client(
                caller.environment(None), CALLER, SERVER
            )
            tasks.start_soon(client.run)
            await anyio.sleep(0.01)
            await scenario(client, server, network)
            tasks.cancel_scope.cancel()

    virtual_network.run(main)


def answers_in_order(*answers):
    """Return a script that gives these answers in order.

    The last answer is repeated.
    """

    def script(request_number, message):
        build_answer = answers[min(request_number, len(answers)) - 1]
        return None if build_answer is None else build_answer(message)

    return script


class TestResults(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("answered", "POST", (endpoint_answer,), "Answered", 1),
            (
                "answered_with_a_pin",
                "POST",
                (CHALLENGE, endpoint_answer),
                "Answered",
                2,
            ),
            (
                "not_run_then_answered",
                "POST",
                (UNAVAILABLE, endpoint_answer),
                "Answered",
                2,
            ),
            (
                "unknown_booking_is_not_retried",
                "POST",
                (UNKNOWN, endpoint_answer),
                "Unknown",
                1,
            ),
            (
                "unknown_list_is_retried",
                "GET",
                (UNKNOWN, endpoint_answer),
                "Answered",
                2,
            ),
            (
                "invalid_is_not_retried",
                "GET",
                (INVALID, endpoint_answer),
                "Invalid",
                1,
            ),
            (
                "retried_until_the_budget_is_used_up",
                "GET",
                (UNAVAILABLE,),
                "NotRun",
                2,
            ),
            ("challenged_without_end", "POST", (CHALLENGE,), "NotRun", 8),
        ]
    )
    def test_result_and_retries(
        self, _, method, answers, result_name, request_count
    ):
        """Guards against retries of a request that may have run.

        It also guards against a missing retry where one is safe.
        """

        async def scenario(client, server, network):
            result = await client.request(method, "bookings", b"b")
            self.assertEqual(result_name, type(result).__name__)
            self.assertEqual(request_count, len(server.requests))

        run_scenario(scenario, answers_in_order(*answers))

    @parameterized.parameterized.expand(
        [
            ("under_a_pin", "POST", True, "Unknown"),
            ("without_a_pin", "POST", False, "NotRun"),
            ("idempotent", "GET", True, "Unknown"),
        ]
    )
    def test_the_result_of_an_unanswered_request(
        self, _, method, has_pin, result_name
    ):
        """Guards against "not run" for a booking that may have run.

        An agent may run a non-idempotent request with a pin even if its
        answer is lost.
        """

        async def scenario(client, server, network):
            client.pin = b"p" * 34 if has_pin else b""
            start_s = anyio.current_time()
            result = await client.request(method, "x", b"b", deadline_s=12.0)
            self.assertEqual(result_name, type(result).__name__)
            self.assertLessEqual(anyio.current_time() - start_s, 12.001)
            if method == "POST" and has_pin:
                tokens = {item.token for _, item in server.requests}
                self.assertEqual(1, len(tokens))

        run_scenario(scenario, answers_in_order(NO_ANSWER))

    def test_retransmissions_back_off_and_carry_the_remaining_time(self):
        """Guards against retransmission floods and growing deadlines."""

        async def scenario(client, server, network):
            client.pin = b"p" * 34
            await client.request("POST", "x", deadline_s=100.0)
            times = [time_s for time_s, _ in server.requests]
            self.assertEqual(5, len(times))
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            self.assertTrue(2.0 <= gaps[0] <= 3.0, gaps)
            for gap, next_gap in zip(gaps, gaps[1:], strict=False):
                self.assertAlmostEqual(2.0, next_gap / gap, places=3)
            remaining_ms = [
                coap.uint_option(item, coap.DEADLINE)
                for _, item in server.requests
            ]
            self.assertEqual(sorted(remaining_ms, reverse=True), remaining_ms)

        run_scenario(scenario, answers_in_order(NO_ANSWER))

    def test_an_answer_to_an_earlier_request_is_ignored(self):
        """Guards against an answer that is matched to another request."""

        def script(request_number, message):
            answer = endpoint_answer(message)
            if request_number == 1:
                answer.token = b"earlier!"
            return answer

        async def scenario(client, server, network):
            result = await client.request("GET", "x")
            self.assertIsInstance(result, client_module.Answered)
            self.assertEqual(2, len(server.requests))

        run_scenario(scenario, script)

    def test_a_cancelled_request_is_cancelled_under_its_token(self):
        """Guards against a cancellation that the agent cannot match.

        The agent finds the request by its token and pin.
        """

        def script(request_number, message):
            is_cancellation = coap.option(message, coap.CANCEL) is not None
            return UNAVAILABLE(message) if is_cancellation else None

        async def scenario(client, server, network):
            client.pin = b"p" * 34
            cancel = anyio.Event()
            async with anyio.create_task_group() as tasks:

                async def stop():
                    await anyio.sleep(0.5)
                    cancel.set()

                tasks.start_soon(stop)
                result = await client.request("POST", "x", cancel=cancel)
            self.assertIsInstance(result, client_module.NotRun)
            (_, request), (_, cancellation) = server.requests
            self.assertEqual(request.token, cancellation.token)
            self.assertEqual(
                coap.option(request, coap.ECHO),
                coap.option(cancellation, coap.ECHO),
            )

        run_scenario(scenario, script)


class TestTransfers(unittest.TestCase):
    CONTENT = random.Random(1).randbytes(9_000)

    @parameterized.parameterized.expand(
        [("without_loss", 0.0), ("with_loss", 0.2)]
    )
    def test_a_long_plan_arrives_whole(self, _, loss):
        """Guards against missing or duplicated blocks."""

        async def scenario(client, server, network):
            server.content_by_path["plan"] = self.CONTENT
            network.add_rule(
                virtual_network.Rule(lambda packet: True, loss, loss)
            )
            result = await client.request("GET", "plan", deadline_s=120.0)
            self.assertEqual(self.CONTENT, result.payload)

        run_scenario(scenario, endpoint=endpoint_module.Profile())

    def test_a_plan_that_changes_is_fetched_again(self):
        """Guards against a body assembled from blocks of two versions."""

        async def scenario(client, server, network):
            server.content_by_path["plan"] = bytes(9_000)
            network.on_delivery.append(self._replace_content(server))
            result = await client.request("GET", "plan", deadline_s=60.0)
            self.assertEqual(self.CONTENT, result.payload)

        run_scenario(scenario, endpoint=endpoint_module.Profile())

    def _replace_content(self, server):
        """Return a hook that replaces the content after four requests."""

        def hook(packet):
            if len(server.log) == 4:
                server.content_by_path["plan"] = self.CONTENT

        return hook

    def test_a_long_body_runs_once(self):
        """Guards against a truncated body and a request run once per block."""

        async def scenario(client, server, network):
            result = await client.request("POST", "tally", self.CONTENT)
            self.assertIsInstance(result, client_module.Answered)
            self.assertEqual([self.CONTENT], [run.key for run in server.log])

        run_scenario(scenario, endpoint=endpoint_module.Profile())

    def test_a_separate_response_is_acknowledged(self):
        """Guards against needless retransmissions of an answer."""

        async def scenario(client, server, network):
            result = await client.request("POST", "x", b"b")
            self.assertIsInstance(result, client_module.Answered)
            await anyio.sleep(0.1)
            self.assertEqual({}, server._confirmed_by_mid)

        run_scenario(
            scenario, endpoint=endpoint_module.Profile(service_time_s=1.5)
        )


class TestBudget(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("a_lone_request", 1, 0.0, 1),
            ("a_hundred_requests", 100, 0.0, 10),
            ("requests_long_ago", 100, 11.0, 1),
        ]
    )
    def test_the_budget_after(self, _, requests, after_s, expected_retries):
        """Guards against a retry storm, retries of over 10% of requests."""

        async def main():
            budget = retry_budget.RetryBudget()
            for _ in range(requests):
                budget.record_request()
            await anyio.sleep(after_s)
            retries_allowed = sum(
                budget.take_token() for _ in range(requests + 10)
            )
            self.assertEqual(expected_retries, retries_allowed)

        virtual_network.run(main)

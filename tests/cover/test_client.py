"""The CoAP caller: retransmission, pins, blocks, retries and results."""

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


class Scripted:
    """A server that answers by a function of the request's number."""

    def __init__(self, port, script):
        self._port = port
        self._script = script
        self.requests = []

    async def run(self):
        """Answer until cancelled."""
        while True:
            data, sender = await self._port.receive()
            message = coap.decode(data)
            if not coap.is_request(int(message.code)):
                continue
            self.requests.append((anyio.current_time(), message))
            answer = self._script(len(self.requests), message)
            if answer is not None:
                self._port.send(coap.encode(answer), sender)


def typed(code, outcome, echo=b"", max_age_s=None):
    """Return a function that makes one of the system's answers."""

    def make(message):
        return coap.typed_answer(
            message, code, outcome, "reason", echo, max_age_s
        )

    return make


def done(message):
    """Return the endpoint's answer."""
    return coap.message(
        coap.ACK, coap.CHANGED, message.mid, message.token, b"done"
    )


CHALLENGE = typed(coap.UNAUTHORIZED, coap.Outcome.NOT_RUN, b"p" * 34)
BUSY = typed(coap.SERVICE_UNAVAILABLE, coap.Outcome.NOT_RUN, max_age_s=1)
UNKNOWN = typed(coap.GATEWAY_TIMEOUT, coap.Outcome.UNKNOWN)
INVALID = typed(coap.BAD_REQUEST, coap.Outcome.INVALID)
SILENT = None


def play(scenario, script=None, endpoint=None):
    """Run ``scenario(client, server, network)`` against a server."""

    async def main():
        network = virtual_network.VirtualNetwork(3)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(network.run)
            process = network.process("server", SERVER.host)
            if endpoint is None:
                port = await process.open_datagram_port(SERVER)
                server = Scripted(port, script)
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


def steps(*answers):
    """Return a script that gives one answer after the other."""

    def script(number, message):
        make = answers[min(number, len(answers)) - 1]
        return None if make is None else make(message)

    return script


class TestResults(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("answered", "POST", (done,), "Answered", 1),
            ("answered_with_a_pin", "POST", (CHALLENGE, done), "Answered", 2),
            ("not_run_then_answered", "POST", (BUSY, done), "Answered", 2),
            ("unknown_booking_is_left", "POST", (UNKNOWN, done), "Unknown", 1),
            (
                "unknown_list_is_repeated",
                "GET",
                (UNKNOWN, done),
                "Answered",
                2,
            ),
            ("invalid_is_left", "GET", (INVALID, done), "Invalid", 1),
            ("the_budget_ends_retries", "GET", (BUSY,), "NotRun", 2),
            ("no_end_of_challenges", "POST", (CHALLENGE,), "NotRun", 8),
        ]
    )
    def test_a_request_that_is(self, _, method, answers, result, sent):
        """Guards against a retry of what may have run, and a lost one."""

        async def scenario(client, server, network):
            found = await client.request(method, "bookings", b"b")
            self.assertEqual(result, type(found).__name__)
            self.assertEqual(sent, len(server.requests))

        play(scenario, steps(*answers))

    @parameterized.parameterized.expand(
        [
            ("under_a_pin", "POST", True, "Unknown"),
            ("without_a_pin", "POST", False, "NotRun"),
            ("idempotent", "GET", True, "Unknown"),
        ]
    )
    def test_silence(self, _, method, pinned, result):
        """Guards against "not run" for a booking that may have run."""

        async def scenario(client, server, network):
            client.pin = b"p" * 34 if pinned else b""
            began_s = anyio.current_time()
            found = await client.request(method, "x", b"b", deadline_s=12.0)
            self.assertEqual(result, type(found).__name__)
            self.assertLessEqual(anyio.current_time() - began_s, 12.001)
            if method == "POST" and pinned:
                tokens = {item.token for _, item in server.requests}
                self.assertEqual(1, len(tokens))

        play(scenario, steps(SILENT))

    def test_retransmissions_back_off_and_tell_the_time_left(self):
        """Guards against floods of copies, and deadlines that grow."""

        async def scenario(client, server, network):
            client.pin = b"p" * 34
            await client.request("POST", "x", deadline_s=100.0)
            times = [time_s for time_s, _ in server.requests]
            self.assertEqual(5, len(times))
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            self.assertTrue(2.0 <= gaps[0] <= 3.0, gaps)
            for first, second in zip(gaps, gaps[1:], strict=False):
                self.assertAlmostEqual(2.0, second / first, places=3)
            left = [
                coap.uint_option(item, coap.DEADLINE)
                for _, item in server.requests
            ]
            self.assertEqual(sorted(left, reverse=True), left)

        play(scenario, steps(SILENT))

    def test_an_answer_to_an_earlier_request_is_not_taken(self):
        """Guards against crossed answers."""

        def script(number, message):
            answer = done(message)
            if number == 1:
                answer.token = b"earlier!"
            return answer

        async def scenario(client, server, network):
            found = await client.request("GET", "x")
            self.assertIsInstance(found, client_module.Answered)
            self.assertEqual(2, len(server.requests))

        play(scenario, script)

    def test_a_cancelled_request_is_cancelled_under_its_token(self):
        """Guards against a cancellation that the agent cannot match."""

        def script(number, message):
            cancelled = coap.option(message, coap.CANCEL) is not None
            return BUSY(message) if cancelled else None

        async def scenario(client, server, network):
            client.pin = b"p" * 34
            cancel = anyio.Event()
            async with anyio.create_task_group() as tasks:

                async def stop():
                    await anyio.sleep(0.5)
                    cancel.set()

                tasks.start_soon(stop)
                found = await client.request("POST", "x", cancel=cancel)
            self.assertIsInstance(found, client_module.NotRun)
            (_, first), (_, second) = server.requests
            self.assertEqual(first.token, second.token)
            self.assertEqual(
                coap.option(first, coap.ECHO), coap.option(second, coap.ECHO)
            )

        play(scenario, script)


class TestTransfers(unittest.TestCase):
    CONTENT = random.Random(1).randbytes(9_000)

    @parameterized.parameterized.expand(
        [("without_loss", 0.0), ("with_loss", 0.2)]
    )
    def test_a_long_plan_arrives_whole(self, _, loss):
        """Guards against a plan with missing or doubled blocks."""

        async def scenario(client, server, network):
            server.content_by_path["plan"] = self.CONTENT
            network.add_rule(
                virtual_network.Rule(lambda packet: True, loss, loss)
            )
            found = await client.request("GET", "plan", deadline_s=120.0)
            self.assertEqual(self.CONTENT, found.payload)

        play(scenario, endpoint=endpoint_module.Profile())

    def test_a_plan_that_changes_is_fetched_again(self):
        """Guards against a plan put together from two versions."""

        async def scenario(client, server, network):
            server.content_by_path["plan"] = bytes(9_000)
            network.on_delivery.append(self._change(server))
            found = await client.request("GET", "plan", deadline_s=60.0)
            self.assertEqual(self.CONTENT, found.payload)

        play(scenario, endpoint=endpoint_module.Profile())

    def _change(self, server):
        def hook(packet):
            if len(server.log) == 4:
                server.content_by_path["plan"] = self.CONTENT

        return hook

    def test_a_long_body_runs_once(self):
        """Guards against a body that is cut or run for each block."""

        async def scenario(client, server, network):
            found = await client.request("POST", "tally", self.CONTENT)
            self.assertIsInstance(found, client_module.Answered)
            self.assertEqual([self.CONTENT], [run.key for run in server.log])

        play(scenario, endpoint=endpoint_module.Profile())

    def test_a_separate_response_is_confirmed(self):
        """Guards against an answer that is repeated for no reason."""

        async def scenario(client, server, network):
            found = await client.request("POST", "x", b"b")
            self.assertIsInstance(found, client_module.Answered)
            await anyio.sleep(0.1)
            self.assertEqual({}, server._confirmed_by_mid)

        play(scenario, endpoint=endpoint_module.Profile(service_time_s=1.5))


class TestBudget(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("a_lone_request", 1, 0.0, 1),
            ("a_hundred_requests", 100, 0.0, 10),
            ("requests_long_ago", 100, 11.0, 1),
        ]
    )
    def test_the_budget_after(self, _, requests, after_s, retries):
        """Guards against a retry storm."""

        async def main():
            budget = retry_budget.RetryBudget()
            for _ in range(requests):
                budget.note_request()
            await anyio.sleep(after_s)
            taken = sum(budget.take() for _ in range(requests + 10))
            self.assertEqual(retries, taken)

        virtual_network.run(main)

"""Tests of the explanation where a new flow would go."""

import copy
import dataclasses
import json
import random
import types
import unittest

import anyio
import anyio.from_thread
import parameterized
import typer.testing

from bramleypin import cli
from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import http_server
from bramleypin.internal.observe import metrics
from bramleypin.internal.observe import metrics_http
from bramleypin.internal.stream import candidates
from bramleypin.internal.stream import failing_hosts
from bramleypin.internal.stream import loads
from bramleypin.internal.stream import openings
from bramleypin.internal.stream import placement_report
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network
from tests.cover import test_stream_loads as loads_fixture
from tests.failures import test_stream_flows

LOCAL, REMOTE, OTHER = (
    loads_fixture.LOCAL_HOST,
    loads_fixture.REMOTE_HOST,
    loads_fixture.OTHER_REMOTE_HOST,
)
SERVICE = (stream_fleet.SERVICE_HOST, 443)
report = loads_fixture.report


async def listen():
    """Open a listener on a free port of loopback."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    attribute = anyio.abc.SocketAttribute.local_port
    return listener, listener.listeners[0].extra(attribute)


class _MiddleRandom(random.Random):
    def random(self):
        return 0.5


class _ViewManager:
    def __init__(self, known_view, settled=True):
        self.view = known_view
        self._settled = settled

    def registrations_settled(self, service):
        return self._settled


class _Peers:
    def __init__(self):
        self.sent = []

    def set_handler(self, message, handler):
        """Accept a handler; no frame arrives here."""

    def send(self, host, message, packet=b""):
        """Record a frame."""
        self.sent.append((host, message))


class _Kernel:
    """The real services that place a flow, with stand-ins around them."""

    def __init__(self, known_view, random_source, settled=True):
        self.settings = types.SimpleNamespace(
            id="b0",
            host="10.0.0.1",
            failure_domain="a",
            metrics_address=address.Address("127.0.0.1", 0),
        )
        self.environment = types.SimpleNamespace(
            random=random_source, open_listener=self._open_listener
        )
        self.peers = _Peers()
        self.refused = []
        self.service_by_name = {
            "view": _ViewManager(known_view, settled),
            "peer_port": self.peers,
            "metrics": metrics.Metrics(self),
            "readiness": types.SimpleNamespace(leaving=False),
            "balancer": types.SimpleNamespace(owner_by_flow={}),
            "owners": types.SimpleNamespace(search_by_flow={}),
            "trials": types.SimpleNamespace(trial_by_flow={}),
        }
        for name, factory in (
            ("candidates", candidates.Candidates),
            ("loads", loads.AgentLoads),
            ("openings", openings.Openings),
            ("metrics_http", metrics_http.MetricsHttp),
            ("placement_report", placement_report.PlacementReport),
        ):
            self.service_by_name[name] = factory(self)
        self.get("openings").on_refused = self.refused.append

    def get(self, name):
        return self.service_by_name[name]

    async def _open_listener(self, _):
        listener, self.port = await listen()
        return listener

    def explain(self, port=1_025):
        """Return where the flow of a caller's port would go."""
        return self.get("placement_report").explain(
            segment.Flow(0x64400001, port, *SERVICE)
        )

    def open_flow(self, port=1_025) -> tuple[str, str]:
        """Open a flow; return its outcome and the host of its first offer."""
        raw = stream_codec.encode(
            (0x64400001, port), SERVICE, stream_codec.SYN
        )
        packet = stream_codec.TestCodec().decode(raw)
        configuration = self.get("view").view.configuration
        route = configuration.route_by_address[SERVICE]
        service = self.get("openings")
        service.open_flow(packet, route, anyio.current_time())
        if self.refused:
            return "reset", ""
        opening = service.opening_by_flow[packet.flow_from_caller()]
        return ("offered" if opening.host else "postponed"), opening.host


def two_services(known_view: view.View) -> view.View:
    """Return a view whose route has a second service with an endpoint."""
    route = dataclasses.replace(
        stream_fleet.route(), weight_by_service=(("empty", 9.0), ("desk", 0.1))
    )
    return dataclasses.replace(
        known_view, configuration=stream_fleet.configuration(1, route)
    )


def view_with_route(**fields) -> view.View:
    """Return a view of three endpoints with a changed route."""
    return dataclasses.replace(
        loads_fixture.view_of_three(),
        configuration=stream_fleet.configuration(
            1, stream_fleet.route(**fields)
        ),
    )


VIEW = loads_fixture.view_of_three()
FULL = {"queue_full": True}
ALL_HOSTS = (LOCAL, REMOTE, OTHER)
# Name, reports, changes of the situation, outcome, host that comes first, and
# the reason given for the local one.
SITUATIONS = [
    ("all idle", [], {}, "offered", LOCAL, ""),
    (
        "draining",
        [],
        {"view_": loads_fixture.view_of_three(draining=(LOCAL,))},
        "offered",
        REMOTE,
        "draining",
    ),
    (
        "domain out",
        [],
        {"view_": loads_fixture.view_of_three(out=("a",))},
        "offered",
        REMOTE,
        "failure domain out of service",
    ),
    (
        "leaving",
        [report(LOCAL, state="leaving")],
        {},
        "offered",
        REMOTE,
        "leaving",
    ),
    (
        "silent",
        [report(LOCAL, state="silent")],
        {},
        "offered",
        REMOTE,
        "silent",
    ),
    (
        "failing",
        [report(LOCAL, state="failing")],
        {},
        "offered",
        REMOTE,
        "failing",
    ),
    (
        "most fail",
        [report(host, state="failing") for host in (LOCAL, REMOTE)],
        {},
        "offered",
        LOCAL,
        "",
    ),
    (
        "unresponsive",
        [],
        {"unresponsive": [LOCAL]},
        "offered",
        REMOTE,
        "unresponsive",
    ),
    (
        "all unresponsive",
        [],
        {"unresponsive": ALL_HOSTS},
        "offered",
        LOCAL,
        "unresponsive",
    ),
    ("queue full", [report(LOCAL, 9, **FULL)], {}, "offered", REMOTE, "no ro"),
    (
        "cold limit",
        [report(LOCAL, cold_allowance=0)],
        {},
        "offered",
        REMOTE,
        "cold limit",
    ),
    ("slots taken", [report(LOCAL, 5)], {}, "offered", REMOTE, "no free slot"),
    ("slower", [report(LOCAL, 0, 0.9)], {}, "offered", REMOTE, "later expect"),
    (
        "unknown and expected to be faster",
        [report(REMOTE, 0, 0.08)],
        {"view_": loads_fixture.view_of_three(out=("a",))},
        "offered",
        OTHER,
        "failure domain out of service",
    ),
    (
        "own offers lost and report old",
        [report(LOCAL, 9, **FULL)],
        {"offers": [LOCAL] * 6, "wait_s": 1.5},
        "offered",
        LOCAL,
        "",
    ),
    (
        "all full",
        [report(host, 9, **FULL) for host in ALL_HOSTS],
        {},
        "postponed",
        "",
        "no room",
    ),
    (
        "objective cannot be met",
        [report(LOCAL, 4, 0.9), report(REMOTE, 0, 0.9)],
        {"view_": view_with_route(latency_objective_s=0.01)},
        "offered",
        OTHER,
        "later expected",
    ),
    (
        "none in service",
        [],
        {"view_": loads_fixture.view_of_three(out=("a", "b", "c"))},
        "reset",
        "",
        "failure domain out",
    ),
    (
        "registrations missing",
        [],
        {
            "view_": loads_fixture.view_of_three(out=("a", "b", "c")),
            "settled": False,
        },
        "postponed",
        "",
        "failure domain out",
    ),
    (
        "service without endpoint",
        [],
        {"view_": two_services(VIEW)},
        "offered",
        LOCAL,
        "",
    ),
]


async def situation(
    reports,
    view_=VIEW,
    offers=(),
    unresponsive=(),
    wait_s=0.0,
    settled=True,
    random_source=None,
) -> _Kernel:
    """Return the services after some reports and events."""
    kernel = _Kernel(view_, random_source or _MiddleRandom(), settled)
    service = kernel.get("loads")
    for item in reports:
        service.record_report(item, item.host)
    for number, host in enumerate(offers):
        service.record_offer(host, number)
    for host in unresponsive:
        service.mark_unresponsive(host)
    await anyio.sleep(wait_s)
    return kernel


class PlacementReportTest(unittest.TestCase):
    @parameterized.parameterized.expand(SITUATIONS)
    def test_the_next_opening_takes_the_explained_way(
        self, _, reports, options, outcome, host, reason
    ):
        """Guards against an explanation that differs from the decision."""

        async def main():
            kernel = await situation(reports, **options)
            return kernel.explain(), kernel.open_flow()

        answer, decision = virtual_network.run(main)
        first_host = answer.hosts[0] if answer.hosts else ""
        self.assertEqual((outcome, host), (answer.outcome, first_host))
        self.assertEqual(decision, (answer.outcome, first_host))
        reason_by_host = {item.host: item.reason for item in answer.candidates}
        self.assertRegex(reason_by_host[LOCAL], f"^{reason}")
        if not reason:
            self.assertEqual("", reason_by_host[LOCAL])

    def test_an_answer_has_what_is_known_of_a_candidate(self):
        """Guards against figures other than those of the decision."""

        async def main():
            kernel = await situation(
                [report(LOCAL, 2, 0.1), report(REMOTE)],
                offers=[LOCAL],
                wait_s=0.05,
            )
            return kernel.explain()

        local, remote, other = virtual_network.run(main).candidates
        self.assertEqual(
            (LOCAL, "a", 5), (local.host, local.failure_domain, local.slots)
        )
        self.assertAlmostEqual(2 * 2.718282**-0.5 + 1, local.running_requests)
        self.assertAlmostEqual(0.05, local.report_age_s)
        self.assertEqual((0.1, "ready"), (local.service_time_s, local.state))
        self.assertEqual((None, "unknown"), (other.report_age_s, other.state))
        self.assertEqual([1, 2, 3], [local.rank, remote.rank, other.rank])

    @parameterized.parameterized.expand(
        [("none_fails", 0), ("one_fails", 1), ("most_fail", 2)]
    )
    def test_1000_questions_leave_later_decisions_as_they_were(
        self, _, failing_count
    ):
        """Guards against questions that draw, count, expire or try.

        The questions come at a time at which a ranking forgets lost offers
        and ignores old reports.
        """
        reports = [
            report(
                host, 7, state="failing" if number < failing_count else "ready"
            )
            for number, host in enumerate(ALL_HOSTS)
        ]

        def play(questions):
            async def main():
                kernel = await situation(
                    reports,
                    offers=ALL_HOSTS * 2,
                    wait_s=1.5,
                    random_source=random.Random(5),
                )
                before = copy.deepcopy(kernel.get("loads").load_by_host)
                for number in range(questions):
                    kernel.explain(2_000 + number)
                self.assertEqual(before, kernel.get("loads").load_by_host)
                self.assertEqual({}, kernel.get("metrics").gauge_by_name)
                for number in range(300):
                    kernel.open_flow(4_000 + number)
                    await anyio.sleep(0.01)
                return kernel

            return virtual_network.run(main)

        asked, unasked = play(1_000), play(0)
        self.assertEqual(unasked.peers.sent, asked.peers.sent)
        self.assertEqual(300, len(asked.peers.sent))
        self.assertEqual(
            unasked.get("metrics").snapshot(), asked.get("metrics").snapshot()
        )
        if failing_count == 1:
            counts = asked.get("metrics").count_by_name
            self.assertIn(failing_hosts.TRIAL_OPENINGS, counts)

    def test_an_open_flow_is_shown_with_its_endpoint(self):
        """Guards against an explanation that misses the flow's owner."""

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, balancers=1, keep_open=True
            )
            await caller.request(SERVICE, 1.5)
            kernel = fleet.balancer_by_name["b0"].kernel
            owner_by_flow = kernel.get("balancer").owner_by_flow
            ((flow, owner),) = owner_by_flow.items()
            reporter = kernel.get("placement_report")
            other_flow = flow._replace(caller_port=flow.caller_port + 1)
            return owner, [
                reporter.explain(item).flow_state
                for item in (flow, other_flow)
            ]

        owner, (held, unknown) = test_stream_flows.run_scenario(scenario)
        self.assertEqual(("held", owner.host), (held.state, held.host))
        self.assertEqual(f"e{owner.host[-1]}", held.endpoint)
        self.assertEqual("unknown", unknown.state)

    def test_an_opening_that_waits_is_shown(self):
        """Guards against an explanation that misses a postponed opening."""

        async def main():
            reports = [report(host, 9, **FULL) for host in ALL_HOSTS]
            kernel = await situation(reports)
            kernel.open_flow()
            await anyio.sleep(0.01)
            return kernel.explain().flow_state

        state = virtual_network.run(main)
        self.assertEqual(("opening", ""), (state.state, state.host))
        self.assertAlmostEqual(0.01, state.age_s)


def run_tool(port: int, *arguments: str, service: str = "198.18.0.1:443"):
    """Run the command against a port of loopback."""
    command = ["placement", service, "100.64.0.1:1025", "--metrics"]
    return typer.testing.CliRunner().invoke(
        cli.application, [*command, f"127.0.0.1:{port}", *arguments]
    )


class PlacementCommandTest(unittest.TestCase):
    def serve(self, page) -> int:
        """Serve a page over loopback until the end of the test."""
        portal = self.enterContext(anyio.from_thread.start_blocking_portal())
        listener, port = portal.call(listen)
        server = http_server.HttpServer(page, "test")
        task = portal.start_task_soon(listener.serve, server.serve)
        self.addCleanup(portal.call, listener.aclose)
        self.addCleanup(task.cancel)
        return port

    def serve_balancer(self) -> int:
        """Serve the metrics address of a balancer with three endpoints."""
        portal = self.enterContext(anyio.from_thread.start_blocking_portal())
        kernel = _Kernel(VIEW, _MiddleRandom())
        service = kernel.get("metrics_http")
        portal.call(service.start)
        task = portal.start_task_soon(service.run)
        self.addCleanup(portal.call, service.stop)
        self.addCleanup(task.cancel)
        return kernel.port

    def test_a_balancer_is_asked_at_its_metrics_address(self):
        """Guards against a command and a balancer that do not fit."""
        port = self.serve_balancer()
        text = " ".join(run_tool(port).output.split())
        for words in (
            "route desk-443: its weights choose desk (desk 1)",
            f"offered to {LOCAL} (free slot, earliest expected answer)",
            "later expected answer",
            "without the random part",
        ):
            self.assertIn(words, text)
        answer = json.loads(run_tool(port, "--json").output)
        self.assertEqual((1, "offered"), (answer["format"], answer["outcome"]))
        result = run_tool(port, service="198.18.0.1:444")
        self.assertEqual(9, result.exit_code)
        self.assertIn("no route has the address 198.18.0.1:444", result.output)

    @parameterized.parameterized.expand(
        [
            ("other_format", 200, b'{"format": 2, "outcome": 7}', "format 2"),
            ("not_json", 200, b"# HELP", "another version"),
            ("no_format", 200, b"{}", "another version"),
            ("missing_fields", 200, b'{"format": 1}', "another version"),
            ("no_such_page", 404, b"", "HTTP status 404"),
            ("too_long", 200, b" " * 70_000, "another version"),
        ]
    )
    def test_an_answer_of_another_version_is_refused(
        self, _, status, body, words
    ):
        """Guards against tracebacks while versions are mixed."""
        port = self.serve(lambda path: http_server.Answer(status, body))
        result = run_tool(port)
        self.assertEqual(10, result.exit_code, result.output)
        self.assertIn(words, " ".join(result.output.split()))

    def test_a_balancer_that_does_not_answer_is_named(self):
        """Guards against a traceback for a wrong metrics address."""

        async def unused_port():
            listener, port = await listen()
            await listener.aclose()
            return port

        port = anyio.run(unused_port)
        result = run_tool(port)
        self.assertEqual(6, result.exit_code)
        self.assertIn(f"127.0.0.1:{port}: ", result.output)

    @parameterized.parameterized.expand(
        [
            ("nothing", b""),
            ("no_caller", b"service=198.18.0.1:443"),
            ("no_port", b"service=198.18.0.1&caller=100.64.0.1:1025"),
            ("port", b"service=198.18.0.1:443&caller=100.64.0.1:70000"),
            ("not_ascii", b"service=\xff"),
        ]
    )
    def test_a_bad_question_is_refused_with_a_reason(self, _, query):
        """Guards against connections that close without an answer."""
        with self.assertRaises((ValueError, errors.InvalidFrame)):
            placement_report.flow_from_query(query)

"""Tests of the ranking of endpoints to which a balancer offers a flow."""

import random
import unittest

import anyio
import parameterized

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import loads
from bramleypin.internal.stream import view
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

LOCAL_HOST, REMOTE_HOST, OTHER_REMOTE_HOST = "10.0.1.1", "10.0.1.2", "10.0.1.3"
# Openings of such a route are never sent to a failing endpoint as a trial.
ONCE = stream_fleet.route(idempotent=False)


class _Kernel:
    class settings:
        failure_domain = "a"

    class environment:
        random = random.Random(1)

    def __init__(self, known_view):
        self.view = known_view
        self.counted_names = []

    def get(self, name):
        return self

    def set_handler(self, message, handler):
        """Accept a handler; no frame arrives here."""

    def count(self, name):
        """Record a metric."""
        self.counted_names.append(name)

    def gauge(self, name, value):
        """Ignore a metric."""

    def observe(self, name, seconds):
        """Ignore a metric."""


def view_of_three(out=(), draining=()) -> view.View:
    """Return a view with one endpoint in each of the domains a, b, c."""
    endpoint_by_id = {
        host: view.Endpoint(
            host, "desk", host, domain, 5, host in draining, 1, 1, 1, 0.0, 0.0
        )
        for host, domain in (
            (LOCAL_HOST, "a"),
            (REMOTE_HOST, "b"),
            (OTHER_REMOTE_HOST, "c"),
        )
    }
    configuration = stream_fleet.configuration(1, stream_fleet.route())
    return view.View(1, configuration, endpoint_by_id, frozenset(out))


def eligible_endpoints(known_view) -> list[view.Endpoint]:
    """Return the endpoints of the service that may receive a new flow."""
    ineligible = known_view.ineligible_hosts("desk")
    return [
        endpoint
        for host, endpoint in known_view.endpoint_by_host("desk").items()
        if host not in ineligible
    ]


def report(
    host,
    running_requests=0,
    service_time_s=0.05,
    state="ready",
    **report_fields,
):
    """Return an agent's load report."""
    values = {"queue_full": False, "cold_allowance": -1, **report_fields}
    return frames.Report(
        host=host,
        service="desk",
        running_requests=running_requests,
        slots=5,
        service_time_s=service_time_s,
        state=state,
        revision=1,
        **values,
    )


def rank_hosts(
    reports,
    view_=None,
    offers=(),
    unresponsive=(),
    tried=(),
    wait_s=0.0,
    route=None,
):
    """Return the ranking after some reports and events (virtual clock)."""

    async def main():
        service = loads.AgentLoads(_Kernel(view_ or view_of_three()))
        for item in reports:
            service.record_report(item, item.host)
        for number, host in enumerate(offers):
            service.record_offer(host, number)
        for host in unresponsive:
            service.mark_unresponsive(host)
        await anyio.sleep(wait_s)
        candidates = eligible_endpoints(view_ or view_of_three())
        return service.ranked_hosts(
            candidates, route or stream_fleet.route(), list(tried)
        )

    return virtual_network.run(main)


class RankTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("the local one when all are idle", [], {}, LOCAL_HOST),
            (
                "a remote one when the local one is overloaded",
                [
                    report(LOCAL_HOST, 20),
                    report(REMOTE_HOST),
                    report(OTHER_REMOTE_HOST, 20),
                ],
                {},
                REMOTE_HOST,
            ),
            (
                "the faster one of two remote ones",
                [
                    report(REMOTE_HOST, 0, 0.2),
                    report(OTHER_REMOTE_HOST, 0, 0.02),
                ],
                {"view_": view_of_three(out=("a",))},
                OTHER_REMOTE_HOST,
            ),
            (
                "another one after many offers to the local one",
                [
                    report(LOCAL_HOST),
                    report(REMOTE_HOST),
                    report(OTHER_REMOTE_HOST, 20),
                ],
                {"offers": [LOCAL_HOST] * 20},
                REMOTE_HOST,
            ),
            (
                "another one after an unanswered offer",
                [],
                {"unresponsive": [LOCAL_HOST]},
                None,
            ),
            (
                "the local one 1.5 s after an unanswered offer",
                [],
                {"unresponsive": [LOCAL_HOST], "wait_s": 1.5},
                LOCAL_HOST,
            ),
            (
                "the local one when its load report is outdated",
                [report(LOCAL_HOST, 40)],
                {"wait_s": 1.5},
                LOCAL_HOST,
            ),
            (
                "another one when the local one is full",
                [report(LOCAL_HOST, 1, queue_full=True)],
                {},
                None,
            ),
            (
                "another one when the local one is cold and at its limit",
                [report(LOCAL_HOST, cold_allowance=0)],
                {},
                None,
            ),
            (
                "another one when the local one is leaving",
                [report(LOCAL_HOST, state="leaving")],
                {},
                None,
            ),
            (
                "another one when the local one fails requests",
                [report(LOCAL_HOST, state="failing")],
                {"route": ONCE},
                None,
            ),
            (
                "another one that is full when the local one fails requests",
                [
                    report(LOCAL_HOST, state="failing"),
                    report(REMOTE_HOST, 5, queue_full=True),
                    report(OTHER_REMOTE_HOST, 5, queue_full=True),
                ],
                {"route": ONCE},
                None,
            ),
            (
                "the failing local one when the others do not answer",
                [report(LOCAL_HOST, state="failing")],
                {
                    "route": ONCE,
                    "unresponsive": [REMOTE_HOST, OTHER_REMOTE_HOST],
                },
                LOCAL_HOST,
            ),
            (
                "the local one when more than a third fail",
                [
                    report(LOCAL_HOST, state="failing"),
                    report(REMOTE_HOST, state="failing"),
                ],
                {"route": ONCE},
                LOCAL_HOST,
            ),
            (
                "the local one 6 s after it reported to fail requests",
                [report(LOCAL_HOST, state="failing")],
                {"route": ONCE, "wait_s": 6.1},
                LOCAL_HOST,
            ),
        ]
    )
    def test_a_flow_is_offered_first_to(self, _, reports, options, expected):
        """Guards against flows that wait while another endpoint is free.

        ``None`` means that any host but the local one may come first.
        """
        first_host = rank_hosts(reports, **options)[0]
        if expected is None:
            self.assertNotEqual(LOCAL_HOST, first_host)
        else:
            self.assertEqual(expected, first_host)

    @parameterized.parameterized.expand(
        [
            ("draining", view_of_three(draining=(LOCAL_HOST,)), ()),
            ("out of service", view_of_three(out=("a",)), ()),
            ("tried before", view_of_three(), (LOCAL_HOST,)),
        ]
    )
    def test_no_flow_is_offered_to_an_endpoint_that_is(
        self, _, view_, tried_hosts
    ):
        """Guards against offers to endpoints that will refuse them."""
        ranked_hosts = rank_hosts([], view_=view_, tried=tried_hosts)
        self.assertEqual({REMOTE_HOST, OTHER_REMOTE_HOST}, set(ranked_hosts))

    def test_a_report_counts_for_the_senders_host_only(self):
        """Guards against a daemon that reports another daemon's load."""

        async def main():
            service = loads.AgentLoads(_Kernel(view_of_three()))
            service.record_report(report(LOCAL_HOST, 40), REMOTE_HOST)
            return dict(service.load_by_host)

        self.assertEqual({}, virtual_network.run(main))

    @parameterized.parameterized.expand(
        [
            ("a report sent before they arrived", 0, 0.0, True),
            ("the answer to one of them", 1, 0.0, False),
            ("the answers to all of them", 5, 0.0, False),
            ("the time-out of all of them", 0, 0.07, False),
        ]
    )
    def test_own_offers_fill_an_endpoint_after(
        self, _, answers, wait_s, is_full
    ):
        """Guards against offers that a report can neither show nor end.

        Five offers fill the five slots of the endpoint, whose reports show
        none of them.
        """

        async def main():
            service = loads.AgentLoads(_Kernel(view_of_three()))
            service.record_report(report(LOCAL_HOST), LOCAL_HOST)
            for number in range(5):
                service.record_offer(LOCAL_HOST, number)
            service.record_report(report(LOCAL_HOST), LOCAL_HOST)
            for number in range(answers):
                answer = frames.OfferAnswer(
                    number, "taken", "", report(LOCAL_HOST)
                )
                service.record_answer(answer, LOCAL_HOST)
            await anyio.sleep(wait_s)
            return service.reports_no_capacity(LOCAL_HOST, is_late=True)

        self.assertEqual(is_full, virtual_network.run(main))

    @parameterized.parameterized.expand(
        [
            ("passed on by a full agent", "passed", 5, 1),
            ("refused by a full agent", "refused", 7, 1),
            ("passed on for another reason", "passed", 4, 0),
            ("taken by the agent's last slot", "taken", 5, 0),
        ]
    )
    def test_wrong_choices_include_an_offer(
        self, _, outcome, running_requests, count
    ):
        """Guards against operators who cannot see that reports mislead."""

        async def main():
            kernel = _Kernel(view_of_three())
            answer = frames.OfferAnswer(
                1, outcome, "", report(LOCAL_HOST, running_requests)
            )
            loads.AgentLoads(kernel).record_answer(answer, LOCAL_HOST)
            return kernel.counted_names.count(loads.OFFERS_TO_FULL)

        self.assertEqual(count, virtual_network.run(main))

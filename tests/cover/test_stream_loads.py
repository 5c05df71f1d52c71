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


class _Kernel:
    class settings:
        failure_domain = "a"

    class environment:
        random = random.Random(1)

    def __init__(self, known_view):
        self.view = known_view

    def get(self, name):
        return self

    def set_handler(self, message, handler):
        """Accept a handler; no frame arrives here."""


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
    reports, view_=None, offers=(), unresponsive=(), tried=(), wait_s=0.0
):
    """Return the ranking after some reports and events (virtual clock)."""

    async def main():
        service = loads.AgentLoads(_Kernel(view_ or view_of_three()))
        for item in reports:
            service.record_report(item, item.host)
        for host in offers:
            service.count_offer(host)
        for host in unresponsive:
            service.mark_unresponsive(host)
        await anyio.sleep(wait_s)
        candidates = eligible_endpoints(view_ or view_of_three())
        return service.ranked_hosts(
            candidates, stream_fleet.route(), list(tried)
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

    def test_a_silent_agent_is_tried_with_one_offer_at_a_time(self):
        """Guards against offers of a whole backlog to a silent agent."""

        async def main():
            service = loads.AgentLoads(_Kernel(view_of_three()))
            service.record_report(report(LOCAL_HOST), LOCAL_HOST)
            service.mark_unresponsive(LOCAL_HOST)
            await anyio.sleep(loads.UNRESPONSIVE_S + 0.1)
            may_offer = []
            for _ in range(2):
                may_offer.append(
                    not service.reports_no_capacity(LOCAL_HOST, is_late=False)
                )
                service.count_offer(LOCAL_HOST)
            service.record_report(report(LOCAL_HOST), LOCAL_HOST)
            may_offer.append(
                not service.reports_no_capacity(LOCAL_HOST, is_late=False)
            )
            return may_offer

        self.assertEqual([True, False, True], virtual_network.run(main))

    def test_a_report_counts_for_the_senders_host_only(self):
        """Guards against a daemon that reports another daemon's load."""

        async def main():
            service = loads.AgentLoads(_Kernel(view_of_three()))
            service.record_report(report(LOCAL_HOST, 40), REMOTE_HOST)
            return dict(service.load_by_host)

        self.assertEqual({}, virtual_network.run(main))

"""Which endpoint a balancer offers a new flow to."""

import random
import unittest

import anyio
import parameterized

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import loads
from bramleypin.internal.stream import view
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

NEAR, FAR, OTHER = "10.0.1.1", "10.0.1.2", "10.0.1.3"


class _Kernel:
    class settings:
        failure_domain = "a"

    class environment:
        random = random.Random(1)

    def __init__(self, known):
        self.view = known

    def get(self, name):
        return self

    def on(self, message, handler):
        """Accept a handler; no frame arrives here."""


def known(out=(), draining=()) -> view.View:
    """Return a view with an endpoint in each of the domains a, b, c."""
    by_id = {
        host: view.Endpoint(
            host, "desk", host, domain, 5, host in draining, 1, 1, 1, 0.0, 0.0
        )
        for host, domain in ((NEAR, "a"), (FAR, "b"), (OTHER, "c"))
    }
    configuration = stream_fleet.configuration(1, stream_fleet.route())
    return view.View(1, configuration, by_id, frozenset(out))


def report(
    host, running_requests=0, service_time_s=0.05, state="ready", **more
):
    """Return an agent's report."""
    values = {"queue_full": False, "cold_allowance": -1, **more}
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


def rank(reports, view_=None, offers=(), suspects=(), tried=(), wait_s=0.0):
    """Return the ranking after these reports, under the virtual clock."""

    async def main():
        service = loads.AgentLoads(_Kernel(view_ or known()))
        for item in reports:
            service.record_report(item, item.host)
        for host in offers:
            service.count_offer(host)
        for host in suspects:
            service.mark_unresponsive(host)
        await anyio.sleep(wait_s)
        return service.ranked_hosts("desk", stream_fleet.route(), list(tried))

    return virtual_network.run(main)


class RankTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("the near one when all are idle", [], {}, NEAR),
            (
                "a far one when the near one is far behind",
                [report(NEAR, 20), report(FAR), report(OTHER, 20)],
                {},
                FAR,
            ),
            (
                "a fast one among equally far ones",
                [report(FAR, 0, 0.2), report(OTHER, 0, 0.02)],
                {"view_": known(out=("a",))},
                OTHER,
            ),
            (
                "another one after many were sent to the near one",
                [report(NEAR), report(FAR), report(OTHER, 20)],
                {"offers": [NEAR] * 20},
                FAR,
            ),
            ("another one after a silence", [], {"suspects": [NEAR]}, None),
            (
                "the near one when the silence is long ago",
                [],
                {"suspects": [NEAR], "wait_s": 1.5},
                NEAR,
            ),
            (
                "the near one when the report of its load is old",
                [report(NEAR, 40)],
                {"wait_s": 1.5},
                NEAR,
            ),
            (
                "another one when the near one is full",
                [report(NEAR, 1, queue_full=True)],
                {},
                None,
            ),
            (
                "another one when the near one is cold and has no room",
                [report(NEAR, cold_allowance=0)],
                {},
                None,
            ),
            (
                "another one when the near one is leaving",
                [report(NEAR, state="leaving")],
                {},
                None,
            ),
        ]
    )
    def test_a_flow_is_offered_first_to(self, _, reports, options, expected):
        """Guards against flows that wait where others would serve them."""
        first = rank(reports, **options)[0]
        if expected is None:
            self.assertNotEqual(NEAR, first)
        else:
            self.assertEqual(expected, first)

    @parameterized.parameterized.expand(
        [
            ("draining", known(draining=(NEAR,)), ()),
            ("out of service", known(out=("a",)), ()),
            ("tried before", known(), (NEAR,)),
        ]
    )
    def test_no_flow_is_offered_to_an_endpoint_that_is(self, _, view_, tried):
        """Guards against offers that must not or cannot be taken."""
        found = rank([], view_=view_, tried=tried)
        self.assertEqual({FAR, OTHER}, set(found))

    def test_a_report_speaks_for_its_own_host_only(self):
        """Guards against a daemon that misreports another one's endpoint."""

        async def main():
            service = loads.AgentLoads(_Kernel(known()))
            service.record_report(report(NEAR, 40), FAR)
            return dict(service.load_by_host)

        self.assertEqual({}, virtual_network.run(main))

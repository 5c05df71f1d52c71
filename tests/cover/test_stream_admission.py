"""Tests of the admission of stream flows and an endpoint's flow table."""

import unittest

import anyio
import parameterized

from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import endpoint_health
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.internal.stream import stream_admission
from bramleypin.internal.stream import view
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

HOST = "10.0.1.1"


class _ViewManager:
    def __init__(self, current_view):
        self.view = current_view


class _Settings:
    host = HOST
    service = "desk"
    failure_domain = "a"
    caller_port = 7001
    bounds = stream_settings.Bounds()


class _Kernel:
    # No instance is needed: all attributes are class attributes.
    settings = _Settings

    class environment:
        unix_time = staticmethod(lambda: 0.0)

    def __init__(self, current_view):
        self._view_manager = _ViewManager(current_view)

    def get(self, name):
        return self._view_manager


def make_view(
    out=(),
    registered=True,
    version=1,
    cold_per_s=0.0,
    era=0,
    draining_kept=(),
    domains_kept=(),
    **endpoint_fields,
) -> view.View:
    """Return a view with one endpoint and routes of two priorities."""
    values = {
        "service": "desk",
        "failure_domain": "a",
        "slots": 5,
        "draining": False,
        "started_ms": 1,
        "revision": 3,
        "created": 1,
        "cold_s": 0.0,
        "seen_s": 0.0,
    }
    endpoint = view.Endpoint(
        id="e", host=HOST, **{**values, **endpoint_fields}
    )
    configuration = stream_fleet.configuration(
        version,
        stream_fleet.route(443, priority=1),
        stream_fleet.route(8443, priority=2),
        cold_per_s=cold_per_s,
    )
    if version < 0:
        configuration = view.NO_CONFIGURATION
    endpoint_by_id = {"e": endpoint} if registered else {}
    return view.View(
        9,
        configuration,
        endpoint_by_id,
        frozenset(out),
        era,
        frozenset(draining_kept),
        frozenset(domains_kept),
    )


def request(
    running_requests=0,
    open_flow_count=0,
    is_last=True,
    has_highest_priority=True,
    service="desk",
    revision=9,
    version=1,
    port=443,
    era=0,
) -> stream_admission.AdmissionRequest:
    """Return an opening as input of the admission checks."""
    offer = frames.Offer(
        1, "10.0.0.1", service, version, revision, [], [], era=era
    )
    return stream_admission.AdmissionRequest(
        offer,
        (stream_fleet.SERVICE_HOST, port),
        running_requests,
        open_flow_count,
        is_last,
        has_highest_priority,
    )


def check_admission(
    current_view, admission_request, leaving=False, endpoint_silent=False
) -> str:
    """Return the refusal reason 10 s after the start of a virtual clock.

    An empty reason means that the opening is accepted.
    """

    async def main():
        admission = stream_admission.StreamAdmission(_Kernel(current_view))
        admission.leaving = leaving
        admission.endpoint_silent = endpoint_silent
        await anyio.sleep(10.0)
        return admission.check_admission(admission_request)

    return virtual_network.run(main)


class AdmissionTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("", make_view(), request()),
            ("route moved", make_view(), request(port=444)),
            ("", make_view(), request(port=444, version=2)),
            ("no view", make_view(version=-1), request()),
            ("other service", make_view(), request(service="archive")),
            ("draining", make_view(draining=True), request()),
            ("failure domain out", make_view(out=("a",)), request()),
            ("", make_view(out=("b",)), request()),
            ("not registered", make_view(registered=False), request()),
            ("", make_view(registered=False), request(revision=12)),
            (
                "not registered",
                make_view(registered=False, era=1),
                request(revision=12),
            ),
            (
                "",
                make_view(registered=False),
                request(revision=3, era=1),
            ),
            ("draining", make_view(draining_kept=("e",)), request()),
            ("failure domain out", make_view(domains_kept=("a",)), request()),
            (
                "no slot free",
                make_view(),
                request(running_requests=5, is_last=False),
            ),
            ("", make_view(), request(running_requests=5)),
            ("", make_view(), request(running_requests=9)),
            ("queue full", make_view(), request(running_requests=10)),
            (
                "",
                make_view(),
                request(running_requests=7, has_highest_priority=False),
            ),
            (
                "queue full",
                make_view(),
                request(running_requests=8, has_highest_priority=False),
            ),
            ("too many flows", make_view(), request(open_flow_count=2_000)),
        ]
    )
    def test_an_opening_is_declined_for(
        self, reason, current_view, admission_request
    ):
        """Guards against openings accepted in spite of a refusal reason.

        An empty reason means that the opening is accepted.
        """
        self.assertEqual(
            reason, check_admission(current_view, admission_request)
        )

    def test_a_leaving_agent_takes_nothing(self):
        """Guards against new flows at an agent that is draining."""
        self.assertEqual(
            "leaving", check_admission(make_view(), request(), leaving=True)
        )

    @parameterized.parameterized.expand([(True, ""), (False, "silent")])
    def test_a_silent_endpoint_is_tried_only(self, is_last, reason):
        """Guards against openings that wait for an unresponsive endpoint.

        Such an endpoint is offered an opening only if no other host is left.
        """
        admission_request = request(is_last=is_last)
        self.assertEqual(
            reason,
            check_admission(
                make_view(), admission_request, endpoint_silent=True
            ),
        )

    @parameterized.parameterized.expand(
        [
            ("announced rate", 8.0, 10),
            ("no announced rate", 0.0, 100),
        ]
    )
    def test_a_cold_endpoint_takes_in_a_second(self, _, rate, expected):
        """Guards against a cold endpoint that receives its full load.

        It accepts the announced rate plus half of the tolerated burst of 5.
        """
        current_view = make_view(cold_s=60.0, cold_per_s=rate)

        async def main():
            admission = stream_admission.StreamAdmission(_Kernel(current_view))
            await anyio.sleep(2.0)
            return sum(
                admission.check_admission(request()) == "" for _ in range(100)
            )

        self.assertEqual(expected, virtual_network.run(main))

    def test_a_new_process_assumes_a_full_window(self):
        """Guards against a restart that doubles a cold endpoint's load.

        A new process does not know the requests of the last second.
        """
        current_view = make_view(cold_s=60.0, cold_per_s=8.0)

        async def main():
            admission = stream_admission.StreamAdmission(_Kernel(current_view))
            return admission.check_admission(request())

        self.assertEqual("cold", virtual_network.run(main))

    @parameterized.parameterized.expand([(443, True), (8443, False)])
    def test_the_highest_priority_of_the_service_is_urgent(
        self, port, has_highest_priority
    ):
        """Guards against requests of high priority that yield to others."""

        async def main():
            admission = stream_admission.StreamAdmission(_Kernel(make_view()))
            return admission.has_highest_priority(
                (stream_fleet.SERVICE_HOST, port)
            )

        self.assertIs(has_highest_priority, virtual_network.run(main))


class EndpointFlowsTest(unittest.TestCase):
    @parameterized.parameterized.expand([(1.0, 1), (1.6, 0)])
    def test_a_request_counts_as_running_within_its_budget(
        self, wait_s, running_requests
    ):
        """Guards against slots that stay busy when the caller has given up."""

        async def main():
            flows = endpoint_flows.EndpointFlows(_Settings)
            entry = flows.add(segment.Flow(1, 2, 3, 4))
            entry.established = True
            entry.budget_s = 1.5
            flows.begin_request(entry, 5)
            await anyio.sleep(wait_s)
            flows.purge(15.0)
            return flows.running_requests

        self.assertEqual(running_requests, virtual_network.run(main))

    @parameterized.parameterized.expand([(True, 8), (False, 0)])
    def test_requests_of_flows_that_the_endpoint_holds_count_as_failed(
        self, verified, expected
    ):
        """Guards against endpoints blamed for flows that they do not hold."""

        async def main():
            counts = []
            flows = endpoint_flows.EndpointFlows(_Settings)
            flows.health.count = counts.append
            for port in range(8):
                entry = flows.add(segment.Flow(1, port, 3, 4))
                entry.established, entry.verified = True, verified
                entry.budget_s = 1.5
                flows.begin_request(entry, 5)
            for _ in range(16):
                await anyio.sleep(0.1)
                flows.check_health()
            flows.purge(15.0)
            return counts.count(endpoint_health.REQUESTS_UNANSWERED)

        self.assertEqual(expected, virtual_network.run(main))

    def test_a_flow_lingers_for_late_packets_and_is_then_forgotten(self):
        """Guards against late packets that an agent returns as unknown.

        The last acknowledgement arrives after the flow has ended, so the
        agent keeps the flow for another 10 s.
        """

        async def main():
            flows = endpoint_flows.EndpointFlows(_Settings)
            entry = flows.add(segment.Flow(1, 2, 3, 4))
            flows.end(entry)
            counts = []
            for wait_s in (9.0, 2.0):
                await anyio.sleep(wait_s)
                flows.purge(15.0)
                counts.append(len(flows.flow_by_key))
            return counts, flows.open_flow_count

        self.assertEqual(([1, 0], 0), virtual_network.run(main))

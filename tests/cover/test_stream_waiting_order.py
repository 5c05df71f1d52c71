"""Tests of the order of waiting openings, of slots and of refusals."""

import dataclasses
import unittest

import parameterized

from bramleypin.internal.stream import opening as opening_module
from bramleypin.internal.stream import refusal
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import slot_queue
from bramleypin.internal.stream import waiting_order
from bramleypin.standins import stream_fleet

NOW_S = 100.0
SERVICE = "desk"


def opening(
    port, age_s=0.0, rank=None, objective_s=0.3, caller=1, route_port=443, **kw
):
    """Return an opening that started ``age_s`` before ``NOW_S``."""
    route = stream_fleet.route(route_port, latency_objective_s=objective_s)
    flow = segment.Flow(caller, port, route.host, route.port)
    return opening_module.Opening(
        flow, None, SERVICE, route, NOW_S - age_s, rank=rank, **kw
    )


def order_of(*waiting):
    """Return a waiting order with these openings."""
    order = waiting_order.WaitingOrder()
    for item in waiting:
        order.add(item, NOW_S)
    return order


def popped_ports(order, count=999):
    """Take openings from an order; return their callers' ports."""
    ports = []
    while len(ports) < count and (item := order.pop_next(SERVICE, NOW_S)):
        ports.append(item.flow.caller_port)
    return ports


class WaitingOrderTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            (
                "one_priority_by_age_whatever_the_objective",
                [
                    opening(1, 0.1, objective_s=0.2),
                    opening(2, 0.2, objective_s=0.9),
                    opening(3, 0.0, objective_s=0.0),
                ],
                [2, 1, 3],
            ),
            (
                "late_ones_last_by_age",
                [
                    opening(1, 0.5, is_late=True),
                    opening(2, 0.9, is_late=True),
                    opening(3, 0.0),
                ],
                [3, 2, 1],
            ),
            (
                "a_higher_priority_first",
                [opening(1, 0.05, rank=1), opening(2, 0.0, rank=0)],
                [2, 1],
            ),
            (
                "a_lower_priority_is_delayed_by_one_step_only",
                [opening(1, 0.15, rank=1), opening(2, 0.0, rank=0)],
                [1, 2],
            ),
            (
                "by_deadline_among_one_rank",
                [
                    opening(1, 0.1, rank=0, objective_s=0.9),
                    opening(2, 0.0, rank=0, objective_s=0.3),
                ],
                [2, 1],
            ),
            (
                "no_or_a_huge_objective_waits_no_longer_than_the_reset",
                [
                    opening(1, 0.0, rank=0, objective_s=0.0),
                    opening(2, 0.0, rank=0, objective_s=86_400.0),
                    opening(3, 0.0, rank=0, objective_s=1.1),
                ],
                [3, 1, 2],
            ),
            (
                "a_repeated_one_behind_first_tries",
                [opening(1, 0.01, is_repeated=True), opening(2, 0.0)],
                [2, 1],
            ),
        ]
    )
    def test_the_first_opening(self, _, waiting, expected_ports):
        """Guards against slots for openings that others should precede."""
        order = order_of(*waiting)
        self.assertEqual(expected_ports, popped_ports(order))
        self.assertEqual(0, len(order))

    def test_an_opening_that_was_moved_or_removed_has_one_place(self):
        """Guards against an opening that is offered twice at a time."""
        first, second = opening(1, 0.3), opening(2, 0.1)
        order = order_of(first, second, opening(3, 0.2))
        first.is_late = True
        order.add(first, NOW_S)
        order.discard(second.flow)
        self.assertEqual(2, len(order))
        self.assertEqual([3, 1], popped_ports(order))

    @parameterized.parameterized.expand(
        [
            ("a_caller", {"caller": 7}, waiting_order.MAX_CALLER_SHARE),
            ("a_route", {"route_port": 8443}, waiting_order.MAX_ROUTE_SHARE),
        ]
    )
    def test_no_share_is_exceeded_while_others_wait(self, _, key, share):
        """Guards against one caller or route that takes all slots.

        Its openings are older than those of 100 others.
        """
        order = order_of(
            *(
                opening(port, 0.2, **{"caller": port, **key})
                for port in range(200)
            ),
            *(opening(port, 0.1, caller=port) for port in range(200, 300)),
        )
        for port in range(10):
            order.record_slot(opening(port, caller=900 + port), NOW_S - 0.1)
        got = 0
        for total in range(11, 161):
            item = order.pop_next(SERVICE, NOW_S)
            got += item.flow.caller_port < 200
            order.record_slot(item, NOW_S)
            self.assertLessEqual(got, share * total)
        self.assertGreater(got, 0.5 * 150)
        # What was set aside gets the slots that nobody else waits for.
        self.assertEqual(150, len(popped_ports(order)))

    def test_ranks_need_several_priorities_of_a_service(self):
        """Guards against ranks from routes of another service."""
        configuration = stream_fleet.configuration(
            1,
            stream_fleet.route(1, priority=1),
            stream_fleet.route(2, priority=5),
            stream_fleet.route(3, priority=7),
            stream_fleet.route(4, priority=1_000),
            stream_fleet.route(5, service="other", priority=3),
        )
        ranks = waiting_order.PriorityRanks()
        self.assertEqual(
            [0, 1, 2, 2, None, None],
            [
                ranks.rank(configuration, service, priority)
                for service, priority in (
                    (SERVICE, 1),
                    (SERVICE, 5),
                    (SERVICE, 7),
                    (SERVICE, 1_000),
                    (SERVICE, 3),
                    ("other", 3),
                )
            ],
        )

    def test_openings_ahead_are_those_with_an_earlier_deadline(self):
        """Guards against a refusal because of openings that come later."""
        order = order_of(
            *(opening(port, 0.6) for port in range(5)),
            *(opening(port, 0.0) for port in range(5, 9)),
            *(opening(port, 1.0, is_late=True) for port in range(9, 12)),
        )
        middle, late = opening(20, 0.3), opening(21, 0.7, is_late=True)
        self.assertEqual(5, order.count_ahead(middle))
        self.assertEqual(12, order.count_ahead(late))


class SlotQueueTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("by_deadline", [("a", 0, 300), ("b", 0, 200)], ["b", "a"]),
            ("rank_adds_a_step", [("a", 1, 200), ("b", 0, 250)], ["b", "a"]),
            ("late_ones_last", [("a", 100, 50), ("b", 2, 900)], ["b", "a"]),
            (
                "an_older_version_after_all_by_arrival",
                [("a", 255, 0), ("b", 255, 0), ("c", 100, 900), ("a", 255, 0)],
                ["c", "a", "b"],
            ),
            (
                "an_invalid_request_as_an_older_version",
                [("a", -1, 1), ("b", 0, -(2**80)), ("c", 100, 900)],
                ["c", "a", "b"],
            ),
            ("the_latest_request_counts", [("a", 0, 9), ("a", 0, 90)], ["a"]),
        ]
    )
    def test_the_most_urgent_balancer_is_told_first(self, _, requests, hosts):
        """Guards against a slot for whoever asked first."""
        queue = slot_queue.SlotQueue()
        for number, (host, rank, deadline_ms) in enumerate(requests):
            queue.record(host, rank, deadline_ms, NOW_S + number / 1000)
        told = [queue.pop(9, 0, NOW_S + 0.01) for _ in range(len(hosts) + 1)]
        self.assertEqual([*hosts, None], told)

    def test_a_slot_is_promised_to_one_balancer_at_a_time(self):
        """Guards against several balancers that offer for one slot."""
        queue = slot_queue.SlotQueue()
        for host in "abc":
            queue.record(host, 0, 100, NOW_S)
        told = [queue.pop(1, 0, NOW_S), queue.pop(1, 0, NOW_S)]
        self.assertEqual(["a", None], told)
        self.assertEqual(1, queue.promised(NOW_S))
        self.assertEqual(0, queue.promised(NOW_S, "a"))
        queue.record_offer("a")
        self.assertEqual("b", queue.pop(1, 0, NOW_S))
        unused_s = NOW_S + slot_queue.PROMISE_S + 0.001
        self.assertEqual("c", queue.pop(1, 0, unused_s))

    def test_late_openings_get_free_slots_only(self):
        """Guards against late requests in an endpoint's queue."""
        queue = slot_queue.SlotQueue()
        queue.record("a", slot_queue.LATE_RANK, 100, NOW_S)
        self.assertIsNone(queue.pop(0, 2, NOW_S))
        queue.record("b", 0, 100, NOW_S)
        self.assertEqual("b", queue.pop(0, 2, NOW_S))

    def test_a_request_ends_and_takes_no_memory(self):
        """Guards against slots and state for balancers that are gone."""
        queue = slot_queue.SlotQueue()
        for number in range(1_000):
            queue.record("a", 0, -number, NOW_S)
        self.assertEqual(1, len(queue))
        self.assertIsNone(
            queue.pop(1, 0, NOW_S + slot_queue.REQUEST_AGE_S + 1)
        )
        self.assertEqual(0, len(queue))


@dataclasses.dataclass
class _Taken:
    """Openings taken a second, before and after the latest half second."""

    earlier_per_s: float
    later_per_s: float


class RefusalTest(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("a_steady_rate", _Taken(80, 80), {}, 1.0),
            ("a_falling_rate", _Taken(90, 70), {}, 1.0),
            ("a_steeply_falling_rate", _Taken(120, 40), {}, None),
            ("a_rising_rate", _Taken(40, 120), {}, None),
            ("too_few", _Taken(18, 18), {}, None),
            ("a_recent_start", _Taken(80, 80), {"started_s": -0.5}, None),
            ("a_recent_backlog", _Taken(80, 80), {"backlog_s": -0.5}, None),
            ("no_backlog", _Taken(80, 80), {"backlog_s": None}, None),
            ("no_endpoint_lately", _Taken(80, 80), {"outage_s": -0.5}, None),
        ]
    )
    def test_the_expected_wait_with(self, _, taken, times, expected_s):
        """Guards against an estimate from a rate that is not the capacity.

        The rate is low when demand was low, when endpoints return together,
        and when they warm up.
        """
        rate = refusal.ServiceRate(NOW_S + times.get("started_s", -9.0))
        backlog_s = times.get("backlog_s", -5.0)
        for seconds in (-6.0, backlog_s):
            waiting_count = int(seconds is not None and seconds > -6.0)
            rate.record_waiting(SERVICE, waiting_count, NOW_S + (seconds or 0))
        # The rate counts from its first opening on, 3 s ago.
        rate.record_taken(SERVICE, NOW_S - 3.0)
        if "outage_s" in times:
            rate.record_no_endpoint(SERVICE, NOW_S + times["outage_s"])
        for tick in range(200):
            at_s = tick / 100 - 2.0
            per_s = taken.later_per_s if at_s >= -0.5 else taken.earlier_per_s
            for _ in range(
                int((tick + 1) * per_s / 100) - int(tick * per_s / 100)
            ):
                rate.record_taken(SERVICE, NOW_S + at_s + 0.001)
        wait_s = rate.expected_wait_s(SERVICE, 80, NOW_S)
        if expected_s is None:
            self.assertIsNone(wait_s)
            self.assertFalse(rate.cannot_serve(SERVICE, 9_999, 0.1, NOW_S))
            return
        self.assertAlmostEqual(expected_s, wait_s, delta=0.05)
        self.assertFalse(rate.cannot_serve(SERVICE, 80, 0.75, NOW_S))
        self.assertTrue(rate.cannot_serve(SERVICE, 80, 0.6, NOW_S))

    def test_resets_of_one_tick_are_spread(self):
        """Guards against callers that all return at the same time."""
        spread = refusal.ResetSpread()
        delays_s = sorted(spread.delay_s(NOW_S) for _ in range(100))
        self.assertEqual(0.0, delays_s[0])
        self.assertLess(delays_s[-1], refusal.RESET_SPREAD_S)
        self.assertGreater(delays_s[-1], 0.9 * refusal.RESET_SPREAD_S)
        gaps = [b - a for a, b in zip(delays_s, delays_s[1:])]
        self.assertLess(max(gaps), 0.003)
        self.assertEqual(0.0, spread.delay_s(NOW_S + 0.01))

    def test_refusals_are_remembered_within_bounds(self):
        """Guards against memory that grows, and forgotten refusals."""
        refusals = refusal.RecentRefusals()
        flows = [segment.Flow(caller, 9, 1, 443) for caller in range(5_000)]
        for flow in flows:
            refusals.record(flow, 77, NOW_S)
        self.assertEqual(2 * refusal.MAX_REFUSED, len(refusals))
        for flow, age_s, included in (
            (flows[0], 0.1, False),
            (flows[-1], 1.3, True),
            (flows[-1], 1.5, False),
        ):
            now_s = NOW_S + age_s
            caller = flow.caller_host
            self.assertEqual(
                (included, included),
                (
                    refusals.includes_caller(caller, now_s),
                    refusals.includes_opening(flow, 77, now_s),
                ),
            )
        self.assertFalse(refusals.includes_opening(flows[-1], 78, NOW_S))

"""Tests of the estimate of an endpoint's service time."""

import random
import unittest

import anyio
import parameterized

from bramleypin.internal.stream import endpoint_flows
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import service_time
from bramleypin.internal.stream import settings as stream_settings
from bramleypin.standins import virtual_network

# Speeds of fast and slow endpoints of one service, as the users state them.
SPEED_FACTOR = 2.4
# An estimate that is off by less is nearer to the right one of the two.
MAX_ERROR = SPEED_FACTOR**0.5
LIGHT, HEAVY = ("198.18.0.1", 443), ("198.18.0.1", 444)
LIGHT_S, HEAVY_S = 0.005, 0.044


def add_samples(
    estimate, count, factor=1.0, heavy_share=0.5, seed=1, now_s=0.0
):
    """Add requests with a long tail, ten a second."""
    rng = random.Random(seed)
    for number in range(count):
        is_heavy = rng.random() < heavy_share
        duration_s = factor * (HEAVY_S if is_heavy else LIGHT_S)
        duration_s *= rng.uniform(0.5, 1.5)
        if rng.random() < 0.03:
            duration_s *= 7
        route = HEAVY if is_heavy else LIGHT
        estimate.add(duration_s, route, now_s + number / 10)


class ServiceTimeTest(unittest.TestCase):
    def test_a_long_tail_and_a_mix_of_routes_hardly_move_the_estimate(self):
        """Guards against balancers that avoid an endpoint by chance.

        No slow endpoint of 20 may seem as fast as one of 20 fast ones.
        """
        for count in (50, 500):
            seconds = []
            for seed in range(20):
                estimate = service_time.ServiceTimeEstimate()
                add_samples(estimate, count, seed=seed)
                seconds.append(estimate.seconds)
            self.assertLess(max(seconds) / min(seconds), SPEED_FACTOR)

    @parameterized.parameterized.expand(
        [
            ("forty samples of a slowdown", 40, 4.0, 0.5, 0.0),
            ("ten samples of it after a pause", 10, 4.0, 0.5, 60.0),
            ("forty samples of a speed-up", 40, 0.25, 0.5, 0.0),
            ("forty light requests", 40, 1.0, 0.0, 0.0),
            ("forty heavy requests", 40, 1.0, 1.0, 0.0),
        ]
    )
    def test_the_estimate_is_near_the_speed_after(
        self, _, count, factor, heavy_share, pause_s
    ):
        """Guards against estimates that follow the mix, not the speed."""
        estimate = service_time.ServiceTimeEstimate()
        add_samples(estimate, 300)
        before_s = estimate.seconds
        add_samples(
            estimate, count, factor, heavy_share, seed=2, now_s=30.0 + pause_s
        )
        error = estimate.seconds / before_s / factor
        self.assertGreater(error, 1 / MAX_ERROR)
        self.assertLess(error, MAX_ERROR)

    def test_a_slow_endpoint_is_known_by_its_first_answer(self):
        """Guards against openings sent to an endpoint that just restarted.

        Until then the time is 0, which means unknown.
        """
        estimate = service_time.ServiceTimeEstimate()
        self.assertEqual(0.0, estimate.seconds)
        estimate.add(0.9, LIGHT, 0.0)
        self.assertEqual(0.9, estimate.seconds)

    def test_a_slow_first_answer_is_outweighed_by_the_next_ones(self):
        """Guards against an outlier at the start that keeps callers away."""
        estimate = service_time.ServiceTimeEstimate()
        for duration_s in (0.035, 0.005, 0.005, 0.005):
            estimate.add(duration_s, LIGHT, 0.0)
        self.assertAlmostEqual(0.005, estimate.seconds)

    def test_requests_of_no_duration_are_accepted(self):
        """Guards against a division by zero that ends the handler."""
        estimate = service_time.ServiceTimeEstimate()
        for _ in range(10):
            estimate.add(0.0, LIGHT, 0.0)
        self.assertLess(estimate.seconds, 0.001)


class _Settings:
    caller_port = 7001
    bounds = stream_settings.Bounds()


def caller_data(position) -> segment.Segment:
    """Return a caller's packet of 100 bytes."""
    return segment.Segment(
        (1, 2),
        (3, 4),
        syn=False,
        ack=True,
        fin=False,
        rst=False,
        bounced=False,
        sequence=position,
        acknowledged=1_000,
        data_bytes=100,
        raw=b"",
    )


class MeasurementTest(unittest.TestCase):
    def test_the_time_starts_with_the_last_data_of_the_request(self):
        """Guards against distant or slow callers that count as slow work.

        The request arrives in two packets, after the opening's acknowledgement
        has travelled to the caller and back.
        """

        async def main():
            flows = endpoint_flows.EndpointFlows(_Settings)
            entry = flows.add(segment.Flow(1, 2, 3, 4))
            flows.begin_request(entry, 5)
            await anyio.sleep(0.3)
            entry.record_caller_data(caller_data(1_000))
            await anyio.sleep(0.2)
            entry.record_caller_data(caller_data(1_100))
            await anyio.sleep(0.02)
            # A copy of the first packet.
            entry.record_caller_data(caller_data(1_000))
            flows.end_request(entry, answered=True)
            return flows.service_time_s

        self.assertAlmostEqual(0.02, virtual_network.run(main))

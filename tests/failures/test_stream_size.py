"""Tests that what a process does does not grow with the deployment."""

import collections
import unittest
from unittest import mock

import anyio

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import peer_port
from tests.failures import test_stream_flows

# What a daemon may spend for control (the users' first letter).
MAX_CONTROL_BYTES_PER_S = 14_000
IP_AND_UDP_HEADER_BYTES = 28
LOAD_S = 6.0

# Requests a second and the pause in them; together they never repeat exactly.
UNEVEN_LOAD = ((61, 0.0), (37, 0.03), (23, 0.07))


async def send_uneven_load(caller) -> None:
    """Send several streams of requests, so that their number varies."""
    async with anyio.create_task_group() as tasks:
        for rate_per_s, pause_s in UNEVEN_LOAD:
            tasks.start_soon(
                test_stream_flows.send_requests,
                caller,
                rate_per_s,
                LOAD_S,
                1.5,
                pause_s,
            )


class ReportsTest(unittest.TestCase):
    def test_reports_stay_within_the_bandwidth_for_control(self):
        """Guards against reports to all balancers for each request.

        Many balancers offer openings to one endpoint with many slots, so its
        load changes all the time and every balancer uses it.
        """
        sent_bytes = collections.Counter()

        def record(port, message, count):
            if isinstance(message, frames.LoadReport):
                size = IP_AND_UDP_HEADER_BYTES + len(frames.encode(message))
                sent_bytes[port.kernel.settings.host] += size * count

        original_send = peer_port.PeerPort.send

        def send(port, host, message, packet=b""):
            record(port, message, 1)
            original_send(port, host, message, packet)

        original_send_to_all = peer_port.PeerPort.send_to_all

        def send_to_all(port, hosts, message):
            record(port, message, len(hosts))
            original_send_to_all(port, hosts, message)

        async def scenario(fleet):
            caller = await test_stream_flows.start_fleet(
                fleet, endpoints=1, balancers=60, slots=20, work_s=0.1
            )
            with (
                mock.patch.object(peer_port.PeerPort, "send", send),
                mock.patch.object(
                    peer_port.PeerPort, "send_to_all", send_to_all
                ),
            ):
                await send_uneven_load(caller)

        test_stream_flows.run_scenario(scenario)
        self.assertEqual(1, len(sent_bytes))
        self.assertLess(
            max(sent_bytes.values()) / LOAD_S, MAX_CONTROL_BYTES_PER_S
        )


if __name__ == "__main__":
    unittest.main()

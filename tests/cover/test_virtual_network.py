"""Tests of the virtual network: delivery, faults and process states."""

import unittest

import anyio
import parameterized

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.standins import virtual_network
from bramleypin.standins import virtual_platform
from bramleypin.standins import virtual_process

LEFT = address.Address("10.0.0.1", 1)
RIGHT = address.Address("10.0.0.2", 1)
CONTROL = address.Address("10.0.0.2", 9)


class Pair:
    """Two processes in two failure domains; the right one records events."""

    def __init__(self):
        self.network = virtual_network.VirtualNetwork(seed=1)
        self.left = self.network.process("left", LEFT.host, "waco")
        self.right = self.network.process("right", RIGHT.host, "austin")
        self.received = []
        self.ticks = []

    async def serve(self):
        """Record datagrams and ticks, and echo control messages."""
        port = await self.right.open_datagram_port(RIGHT)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.right.control.serve, CONTROL, self.echo)
            tasks.start_soon(self.tick)
            while True:
                data, _ = await port.receive()
                self.received.append((round(anyio.current_time(), 3), data))

    async def echo(self, link):
        """Send each control message back."""
        while True:
            await link.send(await link.receive())

    async def tick(self):
        """Record the time of each one-second timer of the right process."""
        while True:
            await anyio.sleep(1)
            self.ticks.append(round(anyio.current_time(), 3))


def run_pair(scenario):
    """Run ``scenario(pair, port)`` and return the pair.

    ``port`` is a port of the left process, bound to ``LEFT``.
    """

    async def main():
        pair = Pair()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(pair.network.run)
            virtual_process.spawn(tasks, pair.right, pair.serve)
            await anyio.sleep(0)
            port = await pair.left.open_datagram_port(LEFT)
            await scenario(pair, port)
            tasks.cancel_scope.cancel()
        return pair

    return virtual_network.run(main)


async def send_two(pair, port):
    """Send two datagrams and wait until all copies have arrived."""
    port.send(b"1", RIGHT)
    port.send(b"2", RIGHT)
    await anyio.sleep(40)


class RulesTest(unittest.TestCase):
    """Effects of rules on datagrams."""

    @parameterized.parameterized.expand(
        [
            ("nothing", {}, [(0.001, b"1"), (0.001, b"2")]),
            ("loss", {"loss": 1.0, "remaining": 1}, [(0.001, b"2")]),
            (
                "duplicate",
                {"duplicate": 1.0, "remaining": 1},
                [(0.001, b"1"), (0.001, b"1"), (0.001, b"2")],
            ),
            (
                "delay",
                {"delay_s": 30.0, "remaining": 1},
                [(0.001, b"2"), (30.001, b"1")],
            ),
        ]
    )
    def test_a_rule_applies_to_the_datagrams_it_selects(
        self, _, options, expected
    ):
        """Guards against fault tests that pass because no fault occurs."""

        async def scenario(pair, port):
            rule = virtual_network.Rule(lambda packet: True, **options)
            pair.network.add_rule(rule)
            await send_two(pair, port)

        self.assertEqual(run_pair(scenario).received, expected)


class ProcessTest(unittest.TestCase):
    """Killed and paused processes, and partitions."""

    def test_a_paused_process_takes_no_step_until_it_is_woken(self):
        """Guards against timers that fire while their process is paused."""

        async def scenario(pair, port):
            await anyio.sleep(1.5)
            pair.right.pause()
            port.send(b"1", RIGHT)
            await anyio.sleep(5)
            self.assertEqual(pair.ticks, [1.0])
            pair.right.wake()
            await anyio.sleep(1)

        pair = run_pair(scenario)
        self.assertEqual(pair.received, [(6.5, b"1")])
        self.assertEqual(pair.ticks[:2], [1.0, 6.5])

    def test_a_killed_process_breaks_links_and_refuses_datagrams(self):
        """Guards against peers that are not notified of a killed process."""

        async def scenario(pair, port):
            link = await pair.left.control.connect(CONTROL)
            endpoint = await pair.left.open_endpoint_port(RIGHT)
            pair.right.kill()
            with self.assertRaises(errors.LinkClosed):
                await link.receive()
            endpoint.send(b"1")
            with self.assertRaises(errors.EndpointRefused):
                await endpoint.receive()
            with self.assertRaises(errors.PeerUnreachable):
                await pair.left.control.connect(CONTROL)

        self.assertEqual(run_pair(scenario).received, [])

    @parameterized.parameterized.expand(
        [
            ("both_ways", ("waco", "austin", True), [], 5.002),
            ("there", ("waco", "austin", False), [], 5.002),
            ("back", ("austin", "waco", False), [(0.002, b"1")], 5.001),
        ]
    )
    def test_a_partition_loses_datagrams_and_stalls_links(
        self, _, partition, received, expected_elapsed_s
    ):
        """Guards against partitions that pass datagrams or close links."""

        async def scenario(pair, port):
            link = await pair.left.control.connect(CONTROL)
            start_s = anyio.current_time()
            source, destination, both_ways = partition
            pair.network.partition([source], [destination], both_ways)
            port.send(b"1", RIGHT)
            await link.send(b"m")
            await anyio.sleep(5)
            pair.network.heal()
            self.assertEqual(await link.receive(), b"m")
            elapsed_s = anyio.current_time() - start_s
            self.assertAlmostEqual(elapsed_s, expected_elapsed_s, 6)

        pair = run_pair(scenario)
        self.assertEqual(
            [data for _, data in pair.received], [data for _, data in received]
        )


class PlatformTest(unittest.TestCase):
    """Failure modes of the simulated configuration service."""

    @parameterized.parameterized.expand(
        [("up", b"3"), ("stale", b"2"), ("older", b"1"), ("down", None)]
    )
    def test_a_mode_decides_what_a_reader_sees(self, mode, expected):
        """Guards against a simulated service that never serves old values."""

        async def main():
            platform = virtual_platform.VirtualPlatform()
            platform.publish({"k": b"1"})
            platform.publish({"k": b"2"})
            platform.set_mode(virtual_platform.Mode(mode))
            platform.publish({"k": b"3"})
            try:
                return (await platform.source("r").read("k")).value
            except errors.PlatformUnavailable:
                return None

        self.assertEqual(virtual_network.run(main), expected)


if __name__ == "__main__":
    unittest.main()

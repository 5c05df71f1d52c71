"""Tests of the network implementations over loopback."""

import random
import subprocess
import sys
import unittest

import anyio
import parameterized

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.membership import secure_link
from bramleypin.internal.net import control as network_module
from bramleypin.internal.net import datagram
from bramleypin.internal.net import platform as platform_client
from bramleypin.internal.wire import control
from bramleypin import settings as settings_module
from bramleypin.standins import platform as platform_module

KEY = b"k" * 32
HOST = "127.0.0.1"
# Expires only if the test fails, as the refusal arrives immediately.
RECEIVE_TIMEOUT_S = 10.0


async def free_port():
    """Return a loopback TCP port that was free when it was checked."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return port


class TestLazyImport(unittest.TestCase):
    def test_the_library_is_imported_when_the_first_link_opens(self):
        """Guards against 0.1 s of processor time in each start of a daemon."""
        program = f"""
import sys
import anyio
from bramleypin.internal import address
from bramleypin.internal.net import lazy_control
from bramleypin.internal.stream import program

async def echo(link):
    await link.send(await link.receive())

async def main():
    network = lazy_control.LazyControlNetwork()
    server_address = address.Address("{HOST}", {anyio.run(free_port)})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(network.serve, server_address, echo)
        await anyio.wait_all_tasks_blocked()
        print("websockets" in sys.modules)
        link = await network.connect(server_address)
        await link.send(b"view")
        print((await link.receive()).decode(), "websockets" in sys.modules)
        tasks.cancel_scope.cancel()

anyio.run(main)
"""
        result = subprocess.run(
            [sys.executable, "-c", program],
            capture_output=True,
            text=True,
            timeout=60.0,
        )
        self.assertEqual("False\nview True\n", result.stdout, result.stderr)


class TestWebsockets(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("small", 10, True),
            ("shard", 1_000_000, True),
            ("over_the_limit", control.MAX_MESSAGE_BYTES + 100, False),
        ]
    )
    def test_messages_up_to_the_limit_pass(self, _, size, is_accepted):
        """Guards against unbounded messages and against rejected shards."""

        async def main():
            network = network_module.WebsocketNetwork()
            server_address = address.Address(HOST, await free_port())
            closed_links = []

            async def echo(link):
                try:
                    while True:
                        await link.send(await link.receive())
                except errors.LinkClosed:
                    closed_links.append(link)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(network.serve, server_address, echo)
                await anyio.wait_all_tasks_blocked()
                link = await network.connect(server_address)
                await link.send(b"x" * size)
                if is_accepted:
                    self.assertEqual(size, len(await link.receive()))
                else:
                    with self.assertRaises(errors.LinkClosed):
                        await link.receive()
                await link.aclose()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_handshake_authenticates_both_sides(self):
        """Guards against a handshake that works on virtual links only."""

        async def main():
            network = network_module.WebsocketNetwork()
            server_address = address.Address(HOST, await free_port())

            def hello(name):
                return secure_link.new_hello(
                    random.SystemRandom(), name, "agent", "a"
                )

            async def answer(raw):
                link = await secure_link.handshake(
                    raw, hello("server"), (KEY,), is_initiator=False
                )
                request = await link.receive()
                await link.send(control.LeaseAnswer(request.id, 5))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(network.serve, server_address, answer)
                await anyio.wait_all_tasks_blocked()
                lease_answer = await secure_link.ask(
                    network, server_address, (KEY,), control.LeaseRequest(3)
                )
                self.assertEqual(control.LeaseAnswer(3, 5), lease_answer)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_closed_port_is_unreachable(self):
        """Guards against a library's error instead of ``PeerUnreachable``."""

        async def main():
            server_address = address.Address(HOST, await free_port())
            with self.assertRaises(errors.PeerUnreachable):
                await network_module.WebsocketNetwork().connect(server_address)

        anyio.run(main)


class TestHttpPlatform(unittest.TestCase):
    def test_values_are_read_and_watched(self):
        """Guards against a client that deviates from the documented format."""

        async def main():
            memory = platform_module.MemoryPlatform()
            server = platform_module.HttpServer(memory)
            memory.put("manifest", b"one")
            async with anyio.create_task_group() as tasks:
                server_address = await tasks.start(server.serve)
                settings = settings_module.Platform(f"http://{server_address}")
                source = platform_client.connect(settings)
                first = await source.read("bramleypin/manifest")
                self.assertEqual(b"one", first.value)
                self.assertIsNone(
                    await source.watch(first.key, first.index, 0.01)
                )
                with self.assertRaises(errors.PlatformKeyMissing):
                    await source.read("bramleypin/other")
                memory.put("manifest", b"two" * 100_000)
                second = await source.watch(first.key, first.index, 5.0)
                self.assertEqual(b"two" * 100_000, second.value)
                self.assertGreater(second.index, first.index)
                memory.set_down(True)
                with self.assertRaises(errors.PlatformUnavailable):
                    await source.read("bramleypin/manifest")
                tasks.cancel_scope.cancel()
            with self.assertRaises(errors.PlatformUnavailable):
                await source.read("bramleypin/manifest")

        anyio.run(main)

    def test_the_error_for_an_unknown_scheme_lists_the_valid_ones(self):
        """Guards against an error message without the valid schemes."""
        with self.assertRaisesRegex(errors.UnknownName, "http"):
            platform_client.connect(settings_module.Platform("gopher://x"))


class TestServe(unittest.TestCase):
    def test_handlers_get_every_datagram_until_the_port_is_closed(self):
        """Guards against lost datagrams, and a port that starves others."""

        async def main():
            port = await datagram.open_port(address.Address(HOST, 0))
            received, times = [], []

            def handle(data, sender):
                received.append((data, sender))
                times.append(anyio.current_time())
                if data == b"0":
                    # A flood that never ends: each datagram sends the next.
                    port.send(b"0", sender)

            ended = []

            async def serve():
                try:
                    await datagram.serve(port, handle)
                except errors.PortClosed as error:
                    ended.append(error)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve)
                await anyio.wait_all_tasks_blocked()
                for number in range(1, 200):
                    port.send(str(number).encode(), port.address)
                await anyio.sleep(0.2)
                numbers = [int(data) for data, _ in received]
                port.send(b"0", port.address)
                await anyio.sleep(0.2)
                await port.aclose()
            with self.assertRaises(errors.PortClosed):
                await datagram.serve(port, handle)
            return numbers, {sender for _, sender in received}, port, ended

        numbers, senders, port, ended = anyio.run(main)
        self.assertEqual(list(range(1, 200)), numbers)
        self.assertEqual({tuple(port.address)}, senders)
        self.assertEqual(1, len(ended))


class TestEndpointPort(unittest.TestCase):
    def test_a_port_where_nothing_listens_is_seen_as_refused(self):
        """Guards against the outcome "unknown" for a request not run."""

        async def main():
            unused_port = await datagram.open_port(address.Address(HOST, 0))
            server_address = unused_port.address
            await unused_port.aclose()
            port = await datagram.open_endpoint_port(server_address)
            port.send(b"request")
            with self.assertRaises(errors.EndpointRefused):
                with anyio.fail_after(RECEIVE_TIMEOUT_S):
                    await port.receive()
            await port.aclose()

        anyio.run(main)

"""The real links and the real platform client, over loopback."""

import random
import unittest

import anyio
import parameterized

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.membership import secure_link
from bramleypin.internal.net import control as network_module
from bramleypin.internal.net import datagram
from bramleypin.internal.net import platform as client_module
from bramleypin.internal.wire import control
from bramleypin import settings as settings_module
from bramleypin.standins import platform as platform_module

KEY = b"k" * 32
HOST = "127.0.0.1"
# A bound on a failing run only; the refusal comes at once.
WAIT_S = 10.0


async def free_port():
    """Return a loopback port that was free a moment ago."""
    listener = await anyio.create_tcp_listener(local_host=HOST)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await listener.aclose()
    return port


class TestWebsockets(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("small", 10, True),
            ("shard", 1_000_000, True),
            ("over_the_limit", control.MAX_MESSAGE_BYTES + 100, False),
        ]
    )
    def test_messages_up_to_the_limit_pass(self, _, size, passes):
        """Guards against unbounded messages and against refused shards."""

        async def main():
            network = network_module.WebsocketNetwork()
            at = address.Address(HOST, await free_port())
            ends = []

            async def echo(link):
                try:
                    while True:
                        await link.send(await link.receive())
                except errors.LinkClosed:
                    ends.append(link)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(network.serve, at, echo)
                await anyio.wait_all_tasks_blocked()
                link = await network.connect(at)
                await link.send(b"x" * size)
                if passes:
                    self.assertEqual(size, len(await link.receive()))
                else:
                    with self.assertRaises(errors.LinkClosed):
                        await link.receive()
                await link.aclose()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_handshake_authenticates_both_sides(self):
        """Guards against real links that differ from the fake ones."""

        async def main():
            network = network_module.WebsocketNetwork()
            at = address.Address(HOST, await free_port())

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
                tasks.start_soon(network.serve, at, answer)
                await anyio.wait_all_tasks_blocked()
                answered = await secure_link.ask(
                    network, at, (KEY,), control.LeaseRequest(3)
                )
                self.assertEqual(control.LeaseAnswer(3, 5), answered)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_closed_port_is_unreachable(self):
        """Guards against an untyped error of the library."""

        async def main():
            at = address.Address(HOST, await free_port())
            with self.assertRaises(errors.PeerUnreachable):
                await network_module.WebsocketNetwork().connect(at)

        anyio.run(main)


class TestHttpPlatform(unittest.TestCase):
    def test_values_are_read_and_watched(self):
        """Guards against a client that differs from the published format."""

        async def main():
            memory = platform_module.MemoryPlatform()
            server = platform_module.HttpServer(memory)
            memory.put("manifest", b"one")
            async with anyio.create_task_group() as tasks:
                at = await tasks.start(server.serve)
                settings = settings_module.Platform(f"http://{at}")
                source = client_module.connect(settings)
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

    def test_an_unknown_scheme_is_refused(self):
        """Guards against a message that does not name the known schemes."""
        with self.assertRaisesRegex(errors.UnknownName, "http"):
            client_module.connect(settings_module.Platform("gopher://x"))


class TestEndpointPort(unittest.TestCase):
    def test_a_port_where_nothing_listens_is_seen_as_refused(self):
        """Guards against "unknown" for a request that did not run."""

        async def main():
            nobody = await datagram.open_port(address.Address(HOST, 0))
            at = nobody.address
            await nobody.aclose()
            port = await datagram.open_endpoint_port(at)
            port.send(b"request")
            with self.assertRaises(errors.EndpointRefused):
                with anyio.fail_after(WAIT_S):
                    await port.receive()
            await port.aclose()

        anyio.run(main)

"""Tests that an entry of another writer in the store harms nothing else.

Such an entry names no endpoint to use; all others hold.
"""

import base64
import json
import unittest

import anyio
import parameterized

from bramleypin.platform import decoding
from tests.failures import test_kept_flows
from tests.failures import test_relay
from tests.failures import test_stream_flows

ENTRY = {
    "service": "desk",
    "address": "10.0.2.1:8165",
    "zone": "a",
    "version": "1",
    "slots": 3,
    "state": "resting",
    "cold_remaining_ms": 0,
    "born": 1,
}


def entry(**fields) -> bytes:
    """Return an entry whose state no daemon knows, with other fields."""
    return json.dumps({**ENTRY, **fields}).encode()


def with_number(field: str, number: str) -> bytes:
    """Return an entry with a number that Python cannot write as JSON."""
    return entry(**{field: "NUMBER"}).replace(
        b'"NUMBER"', number.encode("ascii")
    )


NESTED = b"[" * 2_000 + b"]" * 2_000
# The entries of the record of issue 26, and others that may stop a decoder,
# an encoder or a task.
ENTRIES = (
    ("is nested deeply", entry(version="X").replace(b'"X"', NESTED)),
    ("is nothing but nested", NESTED),
    ("has a number out of range", with_number("cold_remaining_ms", "1e999")),
    ("has a long integer", with_number("born", "1" + "0" * 5_000)),
    ("has a long integer for slots", with_number("slots", "1" + "0" * 4_000)),
    ("has a negative cold time", entry(cold_remaining_ms=-1e300)),
    ("has an IPv6 address", entry(address="::1:8169", state="ready")),
    ("has a port that is a word", entry(address="10.128.0.28:http")),
    ("has a port out of range", entry(address="10.128.0.29:80800")),
    ("has a long service", entry(service="s" * 70_000, state="ready")),
    ("has a long failure domain", entry(zone="z" * 70_000, state="ready")),
    ("has names that fill a frame", entry(service="s" * 3_900, state="ready")),
    ("is not UTF-8", b'{"service":"\xff"}'),
    ("is empty", b""),
)


def decoder(id_: str, value: bytes):
    """Return a decoder of an entry for the simulated store."""

    def decode(revision: int):
        item = decoding.Item(
            key=f"{decoding.ENDPOINT_PREFIX}{id_}",
            revision=revision,
            created=revision,
            value=base64.b64encode(value).decode("ascii"),
        )
        now_s = anyio.current_time()
        return decoding.decode([item], revision, now_s, False)

    return decode


async def write_entries(fleet, value: bytes) -> None:
    """Write an entry under several ids and change one of them."""
    for number in range(4):
        fleet.store.put_foreign(f"odd-{number}", decoder("odd", value))
        fleet.store.put_foreign("odd", decoder("odd", value))
        await anyio.sleep(0.5)


class ForeignEntriesTest(unittest.TestCase):
    @parameterized.parameterized.expand(ENTRIES)
    def test_a_change_is_in_force_everywhere_though_an_entry(self, _, value):
        """Guards against one entry that keeps all daemons from any change.

        The entry is written shortly before the change, and again before.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet)
            await write_entries(fleet, value)
            test_relay.publish_change(fleet, "configuration")
            await anyio.sleep(test_relay.CHANGE_S)
            return [
                daemon.kernel.get("view").view.configuration.version
                for daemon in test_relay.daemons(fleet)
            ]

        versions = test_stream_flows.run_scenario(scenario)
        self.assertEqual([5] * 9, versions)

    @parameterized.parameterized.expand(ENTRIES)
    def test_a_daemon_gets_the_view_of_its_peers_though_an_entry(
        self, _, value
    ):
        """Guards against one entry that makes views unreadable for peers.

        The daemon starts while the store turns it away.
        """

        async def scenario(fleet):
            await test_relay.start_fleet(fleet)
            await write_entries(fleet, value)
            starting = fleet.balancer_by_name["b1"]
            fleet.store.refused_hosts.add(starting.settings.host)
            await test_kept_flows.restart(starting)
            await anyio.sleep(3.0)
            view = starting.kernel.get("view").view
            return starting.process.alive, view.configuration.version

        self.assertEqual((True, 1), test_stream_flows.run_scenario(scenario))


if __name__ == "__main__":
    unittest.main()

"""Tests that an entry of another writer in the store harms nothing else.

Such an entry names no endpoint to use; all others hold.
"""

import base64
import unittest

import anyio
import parameterized

from bramleypin.platform import decoding
from tests.failures import test_kept_flows
from tests.failures import test_relay
from tests.failures import test_stream_flows
from tests import store_entries


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
    @parameterized.parameterized.expand(store_entries.ENTRIES)
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

    @parameterized.parameterized.expand(store_entries.ENTRIES)
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

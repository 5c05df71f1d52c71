"""Openings at a balancer, before an agent has taken them."""

import random
import unittest

from bramleypin.internal.stream import openings
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

CALLER = (segment.ipv4_to_int("100.64.0.1"), 1_025)


class _Keeper:
    view = view.View(
        1,
        stream_fleet.configuration(1, stream_fleet.route()),
        {},
        frozenset(),
    )


class _Peers:
    def __init__(self):
        self.offers = []

    def on(self, message, handler):
        """Accept a handler; no frame arrives here."""

    def send(self, host, message, packet=b""):
        """Note an offer."""
        self.offers.append(host)


class _Loads:
    """One endpoint after the other, all of which have room."""

    def rank(self, service, route, tried_hosts, late):
        return [f"10.0.1.{len(tried_hosts)}"]

    def is_full(self, host, late):
        return False

    def is_late(self, service, age_s, target_s):
        return False

    def sent(self, host):
        """Ignore what a report would include."""


class _Kernel:
    class settings:
        host = "10.0.0.1"

    class environment:
        random = random.Random(1)

    def __init__(self, peers):
        self._service_by_name = {
            "view": _Keeper(),
            "peer_port": peers,
            "loads": _Loads(),
            "metrics": None,
        }

    def get(self, name):
        return self._service_by_name[name]


class OpeningsTest(unittest.TestCase):
    def test_a_flow_in_progress_is_not_opened_a_second_time(self):
        """Guards against two endpoints that get the same opening.

        A search that a copy began may end without an owner after the first
        copy, which the network delayed, has been offered.
        """
        raw = stream_codec.encode(
            CALLER, (stream_fleet.SERVICE_HOST, 443), stream_codec.SYN
        )
        packet = stream_codec.TestCodec().decode(raw)

        async def main():
            peers = _Peers()
            service = openings.Openings(_Kernel(peers))
            for _ in range(2):
                service.begin(packet, stream_fleet.route(), 0.0)
            return peers.offers

        self.assertEqual(1, len(virtual_network.run(main)))

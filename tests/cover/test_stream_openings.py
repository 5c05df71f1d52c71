"""Tests of openings in progress at a balancer."""

import random
import unittest

from bramleypin.internal.stream import openings
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view
from bramleypin.standins import stream_codec
from bramleypin.standins import stream_fleet
from bramleypin.standins import virtual_network

CALLER = (segment.ipv4_to_int("100.64.0.1"), 1_025)


class _ViewManager:
    view = view.View(
        1,
        stream_fleet.configuration(1, stream_fleet.route()),
        {},
        frozenset(),
    )


class _Peers:
    def __init__(self):
        self.offers = []

    def set_handler(self, message, handler):
        """Accept a handler; no frame arrives here."""

    def send(self, host, message, packet=b""):
        """Record an offer."""
        self.offers.append(host)


class _Loads:
    """Ranks one endpoint after another, all with free capacity."""

    def ranked_hosts(self, candidates, route, tried_hosts, is_late):
        return [f"10.0.1.{len(tried_hosts)}"]

    def reports_no_capacity(self, host, is_late):
        return False

    def will_miss_objective(self, candidates, age_s, latency_objective_s):
        return False

    def will_queue_too_long(self, host, age_s, latency_objective_s):
        return False

    def count_offer(self, host):
        """Ignore an offer."""


class _Candidates:
    """Knows no endpoints; ``_Loads`` ranks made-up hosts."""

    def to_open(self, service, flow):
        return []

    def endpoint(self, service, host):
        return None


class _Kernel:
    class settings:
        host = "10.0.0.1"

    class environment:
        random = random.Random(1)

    def __init__(self, peers):
        self._service_by_name = {
            "view": _ViewManager(),
            "peer_port": peers,
            "candidates": _Candidates(),
            "loads": _Loads(),
            "metrics": None,
        }

    def get(self, name):
        return self._service_by_name[name]


class OpeningsTest(unittest.TestCase):
    def test_a_flow_in_progress_is_not_opened_a_second_time(self):
        """Guards against two endpoints that receive the same opening.

        A retransmitted opening packet starts a search for the flow's owner.
        If the network has delayed the first packet, it arrives and is offered
        during the search. A search that finds no owner then opens the flow a
        second time.
        """
        raw = stream_codec.encode(
            CALLER, (stream_fleet.SERVICE_HOST, 443), stream_codec.SYN
        )
        packet = stream_codec.TestCodec().decode(raw)

        async def main():
            peers = _Peers()
            service = openings.Openings(_Kernel(peers))
            for _ in range(2):
                service.open_flow(packet, stream_fleet.route(), 0.0)
            return peers.offers

        self.assertEqual(1, len(virtual_network.run(main)))

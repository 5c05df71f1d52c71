"""Decodes random entries of other writers."""

import json
import unittest

import cbor2
import hypothesis
from hypothesis import strategies
import msgspec

from bramleypin.internal.stream import exchange
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_delta
from bramleypin.platform import decoding
from bramleypin.standins import stream_fleet
from tests.cover import test_platform_adapter
from tests import store_entries

VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(0, 4).map(lambda digits: 10 ** (1_000 * digits))
    | strategies.floats()
    | strategies.text()
    | strategies.text(alphabet="s\u00e5\U0001f34e", max_size=400),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(), inner, max_size=3),
    max_leaves=5,
)
FIELDS = strategies.dictionaries(
    strategies.sampled_from(sorted(store_entries.ENTRY)), VALUES, max_size=4
)
READY = {**store_entries.ENTRY, "state": "ready", "service": "desk"}


class StoreItemsTest(unittest.TestCase):
    @hypothesis.given(FIELDS, strategies.binary(max_size=40))
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_no_entry_stops_decoding_or_cannot_be_passed_on(self, fields, raw):
        """Guards against an entry that a decoder or an encoder refuses.

        What is decoded fits a delta, or the delta is left out, and a peer can
        read the view that holds it.
        """
        items = [
            test_platform_adapter.item(
                "servers/a", json.dumps({**READY, **fields}).encode()
            ),
            test_platform_adapter.item("servers/b", raw),
            test_platform_adapter.item("servers/c", READY),
        ]
        decoded = decoding.decode(items, 9, 0.0, True)
        endpoint_by_id = {item.id: item for item in decoded.endpoints}
        self.assertIn("c", endpoint_by_id)
        configuration = stream_fleet.configuration(1, stream_fleet.route())
        old_view = view.View(8, configuration, {}, frozenset())
        new_view = view.View(9, configuration, endpoint_by_id, frozenset())
        deltas = view_delta.deltas_between(old_view, new_view, 0.0)
        for delta in deltas:
            sent, _ = frames.decode(frames.encode(delta))
            self.assertEqual(delta, sent)
        request = exchange.ViewRequest(8, 1)
        answer = exchange.build_answer(request, new_view, 0.0)
        data = cbor2.dumps(msgspec.to_builtins(answer))
        received = frames.decode_body(data, exchange.ViewAnswer)
        self.assertEqual(answer, received)


if __name__ == "__main__":
    unittest.main()

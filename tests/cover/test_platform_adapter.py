"""Tests of the platform adapter: settings, packets and the store."""

import base64
import json
import unittest
from unittest import mock

import anyio
import msgspec
import parameterized

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import http_client
from bramleypin.internal.stream import frames
from bramleypin.internal.stream import segment
from bramleypin.internal.stream import view
from bramleypin.internal.stream import view_delta
from bramleypin.platform import boot
from bramleypin.platform import decoding
from bramleypin.platform import packet
from bramleypin.platform import store
from bramleypin.standins import stream_fleet

FLOW = segment.Flow(
    segment.ipv4_to_int("100.64.0.9"),
    40_002,
    segment.ipv4_to_int("198.18.0.3"),
    8_443,
)


def boot_file(**changes) -> bytes:
    """Return a settings file of an agent with changed keys.

    A key whose value is ``None`` is removed.
    """
    values = {
        "node": "side-1",
        "zone": "a",
        "serves": ["side"],
        "listen": {
            "datagram_addr": "10.0.1.1:8172",
            "outbound": "10.0.1.1:8162",
            "ready_addr": "10.0.1.1:8167",
        },
        "internal_ports": [7720, 7735],
        "seeds": ["10.0.0.1:8166", "10.0.1.1:8166"],
        "service": "desk",
        "app": "10.0.1.1:8165",
        "bounds": {"grace_s": 4, "cold_over": 2},
        "platform": {"address": "10.9.0.1:8169"},
        "unknown_key": [1],
    }
    values.update(changes)
    present_values = {
        key: value for key, value in values.items() if value is not None
    }
    return json.dumps(present_values).encode()


class BootTest(unittest.TestCase):
    def test_a_boot_file_is_decoded_into_settings(self):
        """Guards against fields that are mapped to the wrong setting."""
        settings, store_address = boot.parse(boot_file(), "boot.json")
        self.assertEqual("stream_agent", settings.role)
        self.assertEqual(address.Address("10.0.1.1", 7720), settings.peers)
        self.assertEqual(8172, settings.caller_port)
        self.assertEqual((address.Address("10.0.0.1", 7720),), settings.seeds)
        self.assertEqual(4.0, settings.bounds.shutdown_grace_s)
        self.assertEqual(2.0, settings.bounds.cold_factor)
        self.assertEqual(address.Address("10.9.0.1", 8169), store_address)

    @parameterized.parameterized.expand(
        [
            ("no node", {"node": None}, "node"),
            ("no role", {"serves": ["control"]}, "serves"),
            ("two roles", {"serves": ["front", "side"]}, "serves"),
            ("no port", {"internal_ports": []}, "internal_ports"),
            ("wrong type", {"zone": 5}, "zone"),
            ("no address", {"platform": {"address": "x"}}, "listen"),
        ]
    )
    def test_an_invalid_file_is_refused_with_its_invalid_key(
        self, _, changes, key
    ):
        """Guards against a daemon that starts with incomplete settings."""
        with self.assertRaises(errors.InvalidSettings) as caught:
            boot.parse(boot_file(**changes), "boot.json")
        self.assertIn(key, str(caught.exception))


class PacketTest(unittest.TestCase):
    def test_a_reset_goes_from_the_service_to_the_caller(self):
        """Guards against resets that a caller cannot match to its flow."""
        codec = packet.PacketCodec()
        decoded = codec.decode(codec.reset(FLOW, 77))
        self.assertEqual(FLOW, decoded.flow_from_endpoint())
        self.assertTrue(decoded.rst)
        self.assertEqual((77, 0), (decoded.sequence, decoded.data_bytes))
        self.assertEqual(b"\0\0\0\0", decoded.raw[:4])

    def test_the_layout_is_little_endian_at_the_stated_offsets(self):
        """Guards against fields at wrong offsets."""
        raw = bytearray(packet.HEADER_BYTES + 2)
        raw[4:6] = (2).to_bytes(2, "little")
        raw[6:10] = FLOW.service_host.to_bytes(4, "little")
        raw[10:14] = FLOW.caller_host.to_bytes(4, "little")
        raw[14:16] = FLOW.caller_port.to_bytes(2, "little")
        raw[16:18] = FLOW.service_port.to_bytes(2, "little")
        raw[18] = packet.SYN | packet.BOUNCED
        raw[22:26] = (5).to_bytes(4, "little")
        raw[26:30] = (2).to_bytes(4, "little")
        decoded = packet.PacketCodec().decode(bytes(raw))
        self.assertEqual(FLOW, decoded.flow_from_caller())
        self.assertEqual((5, 2), (decoded.sequence, decoded.acknowledged))
        self.assertTrue(decoded.opening and decoded.bounced)

    def test_a_bounced_packet_is_restored_without_the_bounced_flag(self):
        """Guards against a packet that another endpoint cannot use.

        The bounced flag must not remain in a packet that is sent on.
        """
        codec = packet.PacketCodec()
        raw = bytearray(codec.reset(FLOW, 9))
        raw[packet.FLAGS_OFFSET] |= packet.BOUNCED
        original_packet = codec.original_packet(codec.decode(bytes(raw)))
        self.assertEqual(codec.reset(FLOW, 9), original_packet)

    @parameterized.parameterized.expand(
        [
            ("short", b"\0" * 33),
            ("longer than its data length", b"\0" * 35),
            ("oversized", b"\0" * 4 + b"\xff\xff" + b"\0" * 1_500),
        ]
    )
    def test_malformed_packets_are_rejected(self, _, data):
        """Guards against malformed datagrams that reach an endpoint."""
        self.assertIsNone(packet.PacketCodec().decode(data))


def item(key: str, body: object, **fields) -> decoding.Item:
    """Return a store item with ``body``, encoded as JSON unless bytes."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    value = base64.b64encode(data).decode()
    return decoding.Item(key=key, revision=7, value=value, **fields)


ENDPOINT_ENTRY = {
    "service": "desk",
    "address": "10.0.1.1:8165",
    "zone": "a",
    "version": "v1",
    "state": "ready",
    "slots": 3,
    "cold_remaining_ms": 1500,
    "seq": 4,
    "born": 12,
    "new_field": 1,
}


def without(entry: dict, field: str) -> dict:
    """Return a copy of an entry that lacks a field."""
    return {key: value for key, value in entry.items() if key != field}


class DecodingTest(unittest.TestCase):
    def test_an_entry_is_decoded_into_an_endpoint(self):
        """Guards against fields that are mapped to the wrong attribute."""
        decoded = decoding.decode(
            [item("servers/i-1", ENDPOINT_ENTRY)], 9, 4.0, True
        )
        (endpoint,) = decoded.endpoints
        self.assertEqual(("i-1", "10.0.1.1"), (endpoint.id, endpoint.host))
        self.assertEqual((1.5, 4.0), (endpoint.cold_s, endpoint.seen_s))
        self.assertEqual(12, endpoint.started_ms)

    @parameterized.parameterized.expand(
        [
            ("state", {**ENDPOINT_ENTRY, "state": "resting"}),
            ("missing", {"service": "desk"}),
            *(
                (f"no_{field}", without(ENDPOINT_ENTRY, field))
                for field in ENDPOINT_ENTRY
                if field not in ("born", "new_field")
            ),
            ("sequence", {**ENDPOINT_ENTRY, "seq": "4"}),
            ("version", {**ENDPOINT_ENTRY, "version": 1}),
            ("type", {**ENDPOINT_ENTRY, "slots": "many"}),
            ("address", {**ENDPOINT_ENTRY, "address": "host:1"}),
            ("port", {**ENDPOINT_ENTRY, "address": "10.0.1.1:+80"}),
            ("port 0", {**ENDPOINT_ENTRY, "address": "10.0.1.1:0"}),
            ("no host", {**ENDPOINT_ENTRY, "address": "0.0.0.0:80"}),
            ("all hosts", {**ENDPOINT_ENTRY, "address": "224.0.0.1:80"}),
            ("slots", {**ENDPOINT_ENTRY, "slots": 10**30}),
            ("born", {**ENDPOINT_ENTRY, "born": 10**30}),
            ("name", {**ENDPOINT_ENTRY, "service": "s" * 4_097}),
            ("list", [1, 2]),
            ("no json", b"\xff\xfe"),
        ]
    )
    def test_an_invalid_entry_is_skipped_and_valid_ones_are_decoded(
        self, _, body
    ):
        """Guards against an invalid entry that stops the store reader."""
        items = [
            item("servers/bad", body),
            item("servers/good", ENDPOINT_ENTRY),
        ]
        decoded = decoding.decode(items, 9, 0.0, False)
        self.assertEqual(["good"], [e.id for e in decoded.endpoints])
        self.assertEqual(("bad",), decoded.removed_ids)

    @parameterized.parameterized.expand(
        [
            ("slots", {"slots": 2_000_000}),
            ("many_slots", {"slots": 2**63 - 1}),
            ("start", {"born": 2**63 - 1}),
            ("names", {"service": "\U0001f34e" * 4_096, "zone": "z" * 4_096}),
            ("cold_time", {"cold_remaining_ms": 1e300}),
        ]
    )
    def test_an_entry_is_used_and_passed_on_with_large(self, _, fields):
        """Guards against an endpoint that is left out for a valid value.

        The users' pages set no bound to these values.
        """
        entry = item("servers/i-1", {**ENDPOINT_ENTRY, **fields})
        (endpoint,) = decoding.decode([entry], 9, 0.0, False).endpoints
        configuration = stream_fleet.configuration(1, stream_fleet.route())
        old = view.View(8, configuration, {}, frozenset())
        new = view.View(9, configuration, {"i-1": endpoint}, frozenset())
        (delta,) = view_delta.deltas_between(old, new, 0.0)
        sent, _ = frames.decode(frames.encode(delta))
        changes = view_delta.changes_from_delta(old, sent, 0.0)
        self.assertEqual((endpoint,), changes.endpoints)

    def test_a_copy_of_an_entry_does_not_hide_that_the_endpoint_drains(self):
        """Guards against another writer's entry at an endpoint's address.

        It is newer than the endpoint's own, and lacks a field.
        """
        copy = without(ENDPOINT_ENTRY, "seq")
        draining = {**ENDPOINT_ENTRY, "state": "draining", "seq": 5}
        items = [
            item("servers/i-1", draining, created=1),
            item("servers/copy-of-i-1", copy, created=2),
        ]
        decoded = decoding.decode(items, 9, 0.0, True)
        endpoint_by_id = {item.id: item for item in decoded.endpoints}
        configuration = stream_fleet.configuration(1, stream_fleet.route())
        known_view = view.View(9, configuration, endpoint_by_id, frozenset())
        self.assertEqual({"10.0.1.1"}, known_view.ineligible_hosts("desk"))

    def test_a_route_or_service_that_cannot_be_decoded_keeps_no_other_out(
        self,
    ):
        """Guards against one odd value that holds a configuration back."""
        route = {"name": "r", "hostname": "198.18.0.1", "service": "desk"}
        configuration = {
            "version": 3,
            "routes": [
                {**route, "prefix": "/http/"},
                {**route, "prefix": "/443/"},
                {**route, "prefix": "/444/", "priority": []},
            ],
            "services": [{"name": "odd", "cold_per_s": []}, {"name": "desk"}],
        }
        decoded = decoding.decode(
            [item("op/config", configuration)], 9, 0.0, False
        )
        self.assertEqual(["desk"], list(decoded.configuration.service_by_name))
        self.assertEqual(3, decoded.configuration.version)
        self.assertEqual(
            [443],
            [port for _, port in decoded.configuration.route_by_address],
        )

    def test_the_last_change_of_a_key_takes_effect(self):
        """Guards against a removal that an earlier event reverts."""
        items = [
            item("servers/e", ENDPOINT_ENTRY),
            decoding.Item(key="servers/e", revision=8, tombstone=True),
            item("op/evacuate/a", {}),
            decoding.Item(key="op/evacuate/b", revision=9, tombstone=1),
        ]
        decoded = decoding.decode(items, 9, 0.0, False)
        self.assertEqual(
            ((), ("e",)), (decoded.endpoints, decoded.removed_ids)
        )
        self.assertEqual(("a",), decoded.domains_out)
        self.assertEqual(("b",), decoded.domains_returned)

    def test_a_configuration_is_decoded_with_its_backend_weights(self):
        """Guards against new flows that are sent to the wrong service."""
        body = {
            "version": 4,
            "routes": [
                {
                    "name": "r",
                    "hostname": "198.18.0.3",
                    "prefix": "/8443/",
                    "type": "unsafe",
                    "timeout_ms": 2000,
                    "target_latency_ms": 300,
                    "priority": 1,
                    "backends": [
                        {"service": "desk", "weight": 90},
                        {"service": "archive", "weight": 10},
                    ],
                }
            ],
            "services": [{"name": "desk", "cold_per_s": 8}],
            "limits": {"idle_timeout_ms": 9000},
        }
        decoded = decoding.decode([item("op/config", body)], 9, 0.0, False)
        configuration = decoded.configuration
        route = configuration.route_by_address[
            (FLOW.service_host, FLOW.service_port)
        ]
        self.assertEqual(
            (4, 9.0), (configuration.version, configuration.idle_s)
        )
        self.assertFalse(route.idempotent)
        selected_services = [
            route.service_for(FLOW._replace(caller_port=port))
            for port in range(2_000)
        ]
        self.assertTrue(150 < selected_services.count("archive") < 250)


class StoreClientTest(unittest.TestCase):
    def run_watches(self, responses):
        """Call ``watch`` once per response; return the changes and errors.

        The server sends the raw responses in order. For a response of
        ``None``, it closes the connection instead.
        """

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(
                anyio.abc.SocketAttribute.local_port
            )
            remaining_responses = list(responses)

            async def serve(stream):
                async with stream:
                    while remaining_responses:
                        try:
                            await stream.receive(65_536)
                        except anyio.EndOfStream:
                            return
                        body = remaining_responses.pop(0)
                        if body is None:
                            return
                        await stream.send(body)

            results = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                client = store.StoreClient(address.Address("127.0.0.1", port))
                for _ in responses:
                    try:
                        results.append(await client.watch(1, 0.01))
                    except errors.BramleypinError as error:
                        results.append(error)
                await client.aclose()
                tasks.cancel_scope.cancel()
            return results

        return anyio.run(main)

    @staticmethod
    def response(status: int, body: object, era: str = "") -> bytes:
        """Return a raw HTTP response."""
        data = json.dumps(body).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
        if era:
            head += f"Store-Era: {era}\r\n"
        return f"{head}\r\n".encode() + data

    def test_changes_have_the_era_of_their_answer(self):
        """Guards against changes of one era that are used in another.

        A 410 shows the era, too, and an answer of an earlier era is discarded.
        """
        body = {
            "as_of": 5,
            "events": [msgspec.to_builtins(item("servers/e", ENDPOINT_ENTRY))],
        }
        results = self.run_watches(
            [
                self.response(200, body),
                self.response(200, body, "3"),
                self.response(200, body, "four"),
                self.response(410, {}, "4"),
                self.response(200, body, "3"),
                self.response(200, body),
                self.response(200, body, "4"),
            ]
        )
        for result in results[4:6]:
            self.assertIsInstance(result, errors.PlatformEraOutdated)
        self.assertIsInstance(results[3], errors.PlatformHistoryLost)
        eras = [
            (item.era, item.endpoints[0].era, item.invalid_era_count)
            for item in (*results[:3], results[6])
        ]
        self.assertEqual([(0, 0, 0), (3, 3, 0), (3, 3, 1), (4, 4, 0)], eras)

    @parameterized.parameterized.expand(
        [
            ("pages", ("1", "2"), False),
            ("pages and watch", ("1", "1", "2"), True),
        ]
    )
    def test_a_listing_is_discarded_if_it_is_of_two_eras(
        self, _, eras, allow_stale
    ):
        """Guards against a view of which a part was lost in a restoration."""
        remaining_eras = list(eras)

        async def get(connection, target, timeout_s):
            body = {
                "as_of": 3,
                "items": [
                    msgspec.to_builtins(item("servers/e", ENDPOINT_ENTRY))
                ],
                "has_more": len(remaining_eras) == len(eras),
            }
            headers = {store.ERA_HEADER: remaining_eras.pop(0).encode()}
            return 200, headers, json.dumps(body).encode()

        async def main():
            client = store.StoreClient(address.Address("127.0.0.1", 1))
            with self.assertRaises(errors.PlatformRestored):
                await client.read(allow_stale)

        with mock.patch.object(http_client.HttpConnection, "get", get):
            anyio.run(main)
        self.assertEqual([], remaining_eras)

    def test_responses_are_decoded_into_changes_or_typed_errors(self):
        """Guards against a reader that stops or ignores a loss of history."""
        valid_response = {
            "as_of": 5,
            "events": [{"key": "servers/e", "tombstone": 1}],
        }
        results = self.run_watches(
            [
                self.response(200, valid_response),
                self.response(410, {}),
                self.response(503, {}),
                self.response(200, {"no": "revision"}),
                b"garbage\r\n\r\n",
                None,
                self.response(200, {"as_of": 6}),
            ]
        )
        self.assertEqual(
            (5, ("e",)), (results[0].revision, results[0].removed_ids)
        )
        self.assertIsInstance(results[1], errors.PlatformHistoryLost)
        for result in results[2:6]:
            self.assertIsInstance(result, errors.PlatformUnavailable)
        self.assertEqual(6, results[6].revision)

    def test_changes_that_are_too_long_for_an_answer_are_listed_instead(self):
        """Guards against a watch that gets the same long answer for ever.

        Another writer may change several entries of 1 MB at once.
        """
        events = [{"key": "servers/e", "value": "A" * store.MAX_BODY_BYTES}]
        too_long, valid = self.run_watches(
            [
                self.response(200, {"as_of": 5, "events": events}),
                self.response(200, {"as_of": 6}),
            ]
        )
        self.assertIsInstance(too_long, errors.PlatformHistoryLost)
        self.assertEqual(6, valid.revision)

    def test_an_item_that_cannot_be_read_keeps_no_other_out(self):
        """Guards against a page that is refused for one of its items."""
        good = b'{"key":"servers/e","tombstone":1}'
        bad = (b'{"key":"servers/\xff"}', b'{"revision":null}', b"[]")
        body = b'{"as_of":5,"events":[%s]}' % b",".join((*bad, good))
        head = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body)
        (changes,) = self.run_watches([head + body])
        self.assertEqual((5, ("e",)), (changes.revision, changes.removed_ids))

    @parameterized.parameterized.expand(
        [
            ("empty_page", []),
            ("no_last_page", [{"key": "op/other", "value": ""}]),
        ]
    )
    def test_a_listing_without_an_end_is_not_taken_for_a_whole_one(
        self, _, items
    ):
        """Guards against endpoints that a short listing removes."""
        page = {"as_of": 3, "items": items, "has_more": True}

        async def get(connection, path, query, timeout_s):
            return msgspec.json.decode(json.dumps(page), type=store._Page)

        async def main():
            client = store.StoreClient(address.Address("127.0.0.1", 1))
            with self.assertRaises(errors.PlatformUnavailable):
                await client.read()

        with mock.patch.object(store._Connection, "get_page", get):
            anyio.run(main)

    def test_a_listing_may_have_any_number_of_pages(self):
        """Guards against endpoints that are left out of a long listing."""
        page_count = 2_000

        async def get(connection, path, query, timeout_s):
            number = int(query.get("after", "servers/0").split("/")[1])
            entry = item(f"servers/{number + 1:06}", ENDPOINT_ENTRY)
            page = {
                "as_of": 3,
                "items": [msgspec.to_builtins(entry)],
                "has_more": number + 1 < page_count,
            }
            return msgspec.json.decode(json.dumps(page), type=store._Page)

        async def main():
            client = store.StoreClient(address.Address("127.0.0.1", 1))
            (listing,) = await client.read()
            return len(listing.endpoints)

        with mock.patch.object(store._Connection, "get_page", get):
            self.assertEqual(page_count, anyio.run(main))

    def test_a_slow_response_is_read_to_its_end(self):
        """Guards against timeouts of long listings on a slow link.

        Each part arrives within the read timeout of the previous one, while
        the whole response takes longer.
        """
        response_data = self.response(200, {"as_of": 3, "items": []})
        parts = [
            response_data[offset : offset + 8]
            for offset in range(0, len(response_data), 8)
        ]

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.listeners[0].extra(
                anyio.abc.SocketAttribute.local_port
            )
            client = store.StoreClient(address.Address("127.0.0.1", port))
            receiving_states = []

            async def serve(stream):
                async with stream:
                    await stream.receive(65_536)
                    for part in parts:
                        await stream.send(part)
                        await anyio.sleep(0.1)
                        receiving_states.append(client.receiving)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                (decoded,) = await client.read()
                tasks.cancel_scope.cancel()
            return decoded, receiving_states, client.receiving

        with mock.patch.object(http_client, "READ_TIMEOUT_S", 0.5):
            decoded, receiving_states, receiving_after_read = anyio.run(main)
        self.assertGreater(len(parts) * 0.1, 0.5)
        self.assertEqual(3, decoded.revision)
        self.assertIn(True, receiving_states)
        self.assertFalse(receiving_after_read)

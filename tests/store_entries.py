"""Entries of other writers among those of the endpoints in the store."""

import json

# No daemon is at this address, and it is on loopback for real processes.
ENTRY = {
    "service": "desk",
    "address": "127.9.9.9:8165",
    "zone": "a",
    "version": "1",
    "slots": 3,
    "state": "resting",
    "cold_remaining_ms": 0,
    "seq": 1,
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
    ("is of an unknown service", entry(service="unknown", state="ready")),
    ("is not UTF-8", b'{"service":"\xff"}'),
    ("is empty", b""),
)

"""Pins: signed tokens, opaque to callers, that name the owner of a flow.

Callers send the pin in CoAP's Echo option (RFC 9175, at most 40 bytes), so
that any balancer can find the owner without a lookup table.
"""

import dataclasses
import hashlib
import socket
import struct

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.wire import mac

VERSION = 1
PIN_BYTES = 34

# version, unused, IPv4, port, failure domain code, incarnation (6 bytes),
# flow id (6 bytes), issued
_FIELDS = struct.Struct("!BB4sHH6s6sI")


@dataclasses.dataclass(frozen=True, slots=True)
class Pin:
    """The fields of a pin.

    ``incarnation`` and ``flow_id`` are 48-bit integers. ``issued_s`` is the
    time in seconds from the agent's start to the issue of the pin, on the
    agent's monotonic clock.
    """

    owner: address.Address
    failure_domain_code: int
    incarnation: int
    flow_id: int
    issued_s: int


def failure_domain_code(name: str) -> int:
    """Return the 16-bit hash of a failure domain's name."""
    digest = hashlib.blake2s(name.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big")


def encode(pin: Pin, service: str, key: bytes) -> bytes:
    """Encode and sign a pin for a service."""
    fields = _FIELDS.pack(
        VERSION,
        0,
        socket.inet_aton(pin.owner.host),
        pin.owner.port,
        pin.failure_domain_code,
        pin.incarnation.to_bytes(6, "big"),
        pin.flow_id.to_bytes(6, "big"),
        pin.issued_s,
    )
    return fields + mac.sign(key, fields + service.encode())


def decode(data: bytes, service: str, keys: tuple[bytes, ...]) -> Pin:
    """Verify and decode a pin of a service.

    :raises errors.InvalidPin: when the pin is malformed, belongs to another
        service, or is not signed with any of ``keys``.
    """
    if len(data) != PIN_BYTES or data[0] != VERSION:
        raise errors.InvalidPin("pin_format")
    fields = data[: _FIELDS.size]
    received_mac = data[_FIELDS.size :]
    if not mac.verify(keys, received_mac, fields + service.encode()):
        raise errors.InvalidPin("pin_mac")
    _, _, host, port, code, incarnation, flow_id, issued_s = _FIELDS.unpack(
        fields
    )
    return Pin(
        owner=address.Address(socket.inet_ntoa(host), port),
        failure_domain_code=code,
        incarnation=int.from_bytes(incarnation, "big"),
        flow_id=int.from_bytes(flow_id, "big"),
        issued_s=issued_s,
    )

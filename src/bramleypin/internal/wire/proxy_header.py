"""PROXY protocol version 2 headers for UDP over IPv4 (28 bytes).

The fabric, the network in front of the balancers, adds a header to each
datagram. The header's source is the caller and its destination the service's
address; in answers the two are swapped.
"""

import socket
import struct

from bramleypin import errors
from bramleypin.internal import address

SIGNATURE = b"\r\n\r\n\x00\r\nQUIT\n"
VERSION_AND_COMMAND = 0x21
UDP_OVER_IPV4 = 0x12
ADDRESS_BYTES = 12
HEADER_BYTES = 28

_PREFIX = SIGNATURE + struct.pack(
    "!BBH", VERSION_AND_COMMAND, UDP_OVER_IPV4, ADDRESS_BYTES
)
_ADDRESSES = struct.Struct("!4s4sHH")


def encode(source: address.Address, destination: address.Address) -> bytes:
    """Return the header for a datagram from source to destination."""
    return _PREFIX + _ADDRESSES.pack(
        socket.inet_aton(source.host),
        socket.inet_aton(destination.host),
        source.port,
        destination.port,
    )


def decode(data: bytes) -> tuple[address.Address, address.Address]:
    """Return source and destination; the payload starts at offset 28.

    :raises errors.InvalidFrame: when the header is missing or is not a
        version 2 PROXY header for UDP over IPv4.
    """
    if len(data) < HEADER_BYTES or not data.startswith(_PREFIX):
        raise errors.InvalidFrame("proxy_header")
    source, destination, source_port, destination_port = (
        _ADDRESSES.unpack_from(data, len(_PREFIX))
    )
    return (
        address.Address(socket.inet_ntoa(source), source_port),
        address.Address(socket.inet_ntoa(destination), destination_port),
    )

"""Flow keys: caller and service address in 12 bytes.

The layout is the address block of a PROXY protocol v2 header, so that the
proxied ingress finds a flow without decoding the addresses.
"""

import socket
import struct

from bramleypin.internal import address

KEY_BYTES = 12

_FIELDS = struct.Struct("!4s4sHH")


def encode(caller: address.Address, service_address: address.Address) -> bytes:
    """Return the key of the flow from a caller to a service address."""
    return _FIELDS.pack(
        socket.inet_aton(caller[0]),
        socket.inet_aton(service_address[0]),
        caller[1],
        service_address[1],
    )


def decode(key: bytes) -> tuple[address.Address, address.Address]:
    """Return the caller and the service address of a flow."""
    caller, service, caller_port, service_port = _FIELDS.unpack(key)
    return (
        address.Address(socket.inet_ntoa(caller), caller_port),
        address.Address(socket.inet_ntoa(service), service_port),
    )


def text(key: bytes) -> str:
    """Return a flow's name in traces and logs."""
    caller, service_address = decode(key)
    return f"{caller}>{service_address}"

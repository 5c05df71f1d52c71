"""Flow keys: caller and service address as a PROXY protocol v2 header.

The proxied ingress finds a flow by the first bytes of a datagram, without
decoding the addresses, and a datagram without a valid header finds none.
"""

from bramleypin.internal.wire import proxy_header

KEY_BYTES = proxy_header.HEADER_BYTES

encode = proxy_header.encode
decode = proxy_header.decode


def to_text(key: bytes) -> str:
    """Return a flow's name in traces and logs."""
    caller, service_address = decode(key)
    return f"{caller}>{service_address}"

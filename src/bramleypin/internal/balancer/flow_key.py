"""Flow keys: caller and service address as a PROXY protocol v2 header.

A proxied datagram's flow can thus be looked up by the datagram's first 28
bytes, without decoding the addresses. A datagram without a valid header
matches no flow.
"""

from bramleypin.internal.wire import proxy_header

KEY_BYTES = proxy_header.HEADER_BYTES

encode = proxy_header.encode
decode = proxy_header.decode


def to_text(key: bytes) -> str:
    """Return a flow key as text for traces and logs.

    :raises errors.InvalidFrame: when the key is no valid header.
    """
    caller, service_address = decode(key)
    return f"{caller}>{service_address}"

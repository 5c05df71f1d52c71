"""Addresses of UDP and TCP ports."""

import ipaddress
import typing

from bramleypin import errors


class Address(typing.NamedTuple):
    """An IPv4 address and a port; a plain socket address for ``sendto``."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse ``"127.0.0.1:5683"``.

    :raises errors.InvalidFrame: when the text is no IPv4 address and port.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        number = int(port)
    except ValueError as error:
        raise errors.InvalidFrame("bad_address", text) from error
    if not 0 <= number <= 65535:
        raise errors.InvalidFrame("bad_address", text)
    return Address(host, number)

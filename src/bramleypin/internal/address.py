"""IPv4 socket addresses."""

import ipaddress
import typing

from bramleypin import errors


class Address(typing.NamedTuple):
    """An IPv4 address and a port, as a tuple that ``sendto`` accepts."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse an address such as ``"127.0.0.1:5683"``.

    :raises errors.InvalidFrame: if the text is not an IPv4 address with a
        port from 0 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        port_number = int(port)
    except ValueError as error:
        raise errors.InvalidFrame("bad_address", text) from error
    if not 0 <= port_number <= 65535:
        raise errors.InvalidFrame("bad_address", text)
    return Address(host, port_number)

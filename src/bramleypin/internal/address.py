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
        # ``int`` alone also accepts signs, blanks and other scripts' digits.
        port_number = int(port) if port.isascii() and port.isdecimal() else -1
    except ValueError as error:
        raise errors.InvalidFrame("bad_address", text) from error
    if not 0 <= port_number <= 65535:
        raise errors.InvalidFrame("bad_address", text)
    return Address(host, port_number)


def parse_remote(text: str) -> Address:
    """Parse the address at which one other host receives datagrams.

    :raises errors.InvalidFrame: as ``parse`` does, and if the port is 0 or the
        host is a multicast, broadcast or unspecified address.
    """
    parsed = parse(text)
    host = ipaddress.IPv4Address(parsed.host)
    if not parsed.port or host.is_multicast or host.is_unspecified:
        raise errors.InvalidFrame("bad_address", text)
    if host == ipaddress.IPv4Address("255.255.255.255"):
        raise errors.InvalidFrame("bad_address", text)
    return parsed

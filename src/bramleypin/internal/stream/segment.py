"""The header of a stream flow's packet, decoded into the project's types."""

import dataclasses
import socket
import typing


class Flow(typing.NamedTuple):
    """Identity of a stream flow, seen from the caller.

    Hosts are IPv4 addresses as unsigned integers.
    """

    caller_host: int
    caller_port: int
    service_host: int
    service_port: int

    def __str__(self) -> str:
        return (
            f"{ipv4_to_text(self.caller_host)}:{self.caller_port}>"
            f"{ipv4_to_text(self.service_host)}:{self.service_port}"
        )


def ipv4_to_text(host: int) -> str:
    """Return an IPv4 address in dotted notation."""
    return socket.inet_ntoa(host.to_bytes(4, "big"))


def ipv4_to_int(text: str) -> int:
    """Return an IPv4 address as an unsigned integer.

    :raises OSError: when the text is no IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(text), "big")


@dataclasses.dataclass(slots=True)
class Segment:
    """One packet: its decoded header and its bytes as they arrived.

    ``source`` and ``destination`` are (host, port). ``sequence`` and
    ``acknowledged`` are stream positions, but in a copy of an opening
    ``acknowledged`` counts the earlier copies. ``bounced`` marks a packet
    that an endpoint returned because it does not hold its flow.
    """

    source: tuple[int, int]
    destination: tuple[int, int]
    syn: bool
    ack: bool
    fin: bool
    rst: bool
    bounced: bool
    sequence: int
    acknowledged: int
    data_bytes: int
    raw: bytes

    @property
    def opening(self) -> bool:
        """Whether a caller asks to open a flow with this packet."""
        return self.syn and not self.ack

    def flow_from_caller(self) -> Flow:
        """Return the flow of a packet that a caller sent."""
        return Flow(*self.source, *self.destination)

    def flow_from_endpoint(self) -> Flow:
        """Return the flow of a packet that an endpoint sent."""
        return Flow(*self.destination, *self.source)


class SegmentCodec(typing.Protocol):
    """Reads and builds packets in the layout of a deployment."""

    def decode(self, data: bytes) -> Segment | None:
        """Return the packet, or ``None`` if the bytes are not one."""

    def reset(self, flow: Flow, sequence: int) -> bytes:
        """Return a packet that resets a flow at its caller.

        ``sequence`` is the caller's last acknowledged position.
        """

    def original_packet(self, segment: Segment) -> bytes:
        """Return a bounced packet as its caller sent it."""

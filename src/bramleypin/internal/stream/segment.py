"""Types for the decoded header of a stream flow's packets."""

import dataclasses
import socket
import typing

# Stream positions wrap around at 32 bits.
SEQUENCE_MASK = 0xFFFFFFFF
# Packets of a flow lie within this distance of the latest data, as an end has
# at most 16 packets of 1,200 bytes in flight and resets may lie four times as
# far away.
MAX_POSITION_DISTANCE_BYTES = 76_800


def bytes_ahead(position: int, reference: int) -> int:
    """Return how far a stream position lies ahead of another (or behind)."""
    ahead = (position - reference) & SEQUENCE_MASK
    return ahead if ahead <= SEQUENCE_MASK // 2 else ahead - SEQUENCE_MASK - 1


def are_near(position: int, other: int) -> bool:
    """Return whether two positions may be of packets of the same stream.

    Flows that use the same addresses and ports one after the other start at
    random positions, which are rarely this close.
    """
    return abs(bytes_ahead(position, other)) <= MAX_POSITION_DISTANCE_BYTES


class Flow(typing.NamedTuple):
    """The key of a stream flow: caller and service address.

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

    :raises OSError: when the text is not an IPv4 address.
    """
    return int.from_bytes(socket.inet_aton(text), "big")


@dataclasses.dataclass(slots=True)
class Segment:
    """One packet: its decoded header and its original bytes.

    ``source`` and ``destination`` are pairs of host and port. ``sequence``
    and ``acknowledged`` are stream positions, except that in an opening
    packet ``acknowledged`` is the number of earlier copies. ``data_bytes`` is
    the length of the payload. ``bounced`` marks a packet that an endpoint
    returned because it does not hold the flow.
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
        """Whether the packet is a caller's request to open a flow."""
        return self.syn and not self.ack

    @property
    def opening_sequence(self) -> int:
        """The sequence number of an opening; -1 for any other packet.

        It is the same in all copies of an opening, and differs between flows
        that use the same addresses and ports one after the other.
        """
        return self.sequence if self.opening else -1

    def flow_from_caller(self) -> Flow:
        """Return the flow of a packet sent by a caller."""
        return Flow(*self.source, *self.destination)

    def flow_from_endpoint(self) -> Flow:
        """Return the flow of a packet sent by an endpoint."""
        return Flow(*self.destination, *self.source)


class SegmentCodec(typing.Protocol):
    """Decodes and builds packets in the format of a deployment."""

    def decode(self, data: bytes) -> Segment | None:
        """Return the packet, or ``None`` if the bytes are malformed."""

    def reset(self, flow: Flow, sequence: int) -> bytes:
        """Return a packet that resets a flow at its caller.

        ``sequence`` is the position that the caller acknowledged last.
        """

    def original_packet(self, segment: Segment) -> bytes:
        """Return the bytes of a bounced packet as its caller sent them."""

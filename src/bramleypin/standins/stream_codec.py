"""A test-only packet format for stream flows."""

import struct

from bramleypin.internal.stream import segment

_HEADER = struct.Struct(">IHIHBIIH")
_SYN, _ACK, _FIN, _RST, _BOUNCED = 1, 2, 4, 8, 16
# Byte offset of the flags in a packet.
FLAGS_OFFSET = 12


def encode(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    sequence: int = 0,
    acknowledged: int = 0,
    data: bytes = b"",
) -> bytes:
    """Return an encoded packet.

    ``source`` and ``destination`` are pairs of a host and a port.
    """
    header = _HEADER.pack(
        *source, *destination, flags, sequence, acknowledged, len(data)
    )
    return header + data


SYN, ACK, FIN, RST, BOUNCED = _SYN, _ACK, _FIN, _RST, _BOUNCED


class TestCodec:
    """Implements ``segment.SegmentCodec``."""

    def decode(self, data: bytes) -> segment.Segment | None:
        """Return the packet, or ``None`` if its length is wrong."""
        if len(data) < _HEADER.size:
            return None
        fields = _HEADER.unpack_from(data)
        (
            source_host,
            source_port,
            destination_host,
            destination_port,
            flags,
            sequence,
            acknowledged,
            data_bytes,
        ) = fields
        if len(data) != _HEADER.size + data_bytes:
            return None
        return segment.Segment(
            source=(source_host, source_port),
            destination=(destination_host, destination_port),
            syn=bool(flags & _SYN),
            ack=bool(flags & _ACK),
            fin=bool(flags & _FIN),
            rst=bool(flags & _RST),
            bounced=bool(flags & _BOUNCED),
            sequence=sequence,
            acknowledged=acknowledged,
            data_bytes=data_bytes,
            raw=data,
        )

    def reset(self, flow: segment.Flow, sequence: int) -> bytes:
        """Return an encoded packet that resets a flow at its caller."""
        return encode(
            (flow.service_host, flow.service_port),
            (flow.caller_host, flow.caller_port),
            _RST,
            sequence,
        )

    def original_packet(self, packet: segment.Segment) -> bytes:
        """Return a packet as its caller sent it, without the bounced flag."""
        raw = bytearray(packet.raw)
        raw[FLAGS_OFFSET] &= ~_BOUNCED & 0xFF
        return bytes(raw)

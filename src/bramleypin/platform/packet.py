"""The platform's packet layout: a header of 34 bytes, little-endian.

Offsets: checksum 0 (4 bytes), data length 4 (2), destination 6 (4), source
10 (4), source port 14 (2), destination port 16 (2), flags 18 (1), two fields
that callers and endpoints leave at 0, 19 (3) and 30 (4), sequence 22 (4),
acknowledgement 26 (4).
"""

import struct

from bramleypin.internal.stream import segment

_HEADER = struct.Struct("<IHIIHHB3xIII")
HEADER_BYTES = _HEADER.size
MAX_DATA_BYTES = 1_200
FLAGS_OFFSET = 18

SYN = 64
ACK = 128
FIN = 8
RST = 1
BOUNCED = 2


class PacketCodec:
    """Implements ``segment.SegmentCodec`` for this layout."""

    def decode(self, data: bytes) -> segment.Segment | None:
        """Return the packet, or ``None`` if the bytes are not one."""
        if len(data) < HEADER_BYTES:
            return None
        fields = _HEADER.unpack_from(data)
        _, length, to, source, source_port, port, flags, seq, ack, _ = fields
        if length > MAX_DATA_BYTES or len(data) != HEADER_BYTES + length:
            return None
        return segment.Segment(
            source=(source, source_port),
            destination=(to, port),
            syn=bool(flags & SYN),
            ack=bool(flags & ACK),
            fin=bool(flags & FIN),
            rst=bool(flags & RST),
            bounced=bool(flags & BOUNCED),
            sequence=seq,
            acknowledged=ack,
            data_bytes=length,
            raw=data,
        )

    def reset(self, flow: segment.Flow, sequence: int) -> bytes:
        """Return a packet that resets a flow at its caller.

        A reset of the system's own has checksum 0 and no data.
        """
        return _HEADER.pack(
            0,
            0,
            flow.caller_host,
            flow.service_host,
            flow.service_port,
            flow.caller_port,
            RST,
            sequence & 0xFFFFFFFF,
            0,
            0,
        )

    def original_packet(self, packet: segment.Segment) -> bytes:
        """Return a bounced packet as its caller sent it."""
        raw = bytearray(packet.raw)
        raw[FLAGS_OFFSET] &= ~BOUNCED & 0xFF
        return bytes(raw)

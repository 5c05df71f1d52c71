"""The packets of PROTOCOL.md as both ends of a flow write and check them."""

import hashlib
import ipaddress
import struct

HEAD = struct.Struct("<IHIIHHB3sIII")
SYN, ACK, FIN, RST, BOUNCED = 64, 128, 8, 1, 2
MASK = 0xFFFFFFFF
# Distance from the last acknowledgement within which a reset is taken.
RESET_WINDOW = 76_800
_KEY = b"issue 43"


def ip(text):
    """Return an IPv4 address as a number."""
    return int(ipaddress.IPv4Address(text))


def text_ip(number):
    """Return a number as an IPv4 address."""
    return str(ipaddress.IPv4Address(number))


class Packet:
    """One decoded packet. ``raw`` holds its bytes."""

    __slots__ = ("sum", "len", "dst", "src", "sport", "dport", "flags",
                 "seq", "ack", "data", "raw")

    def __init__(self, raw):
        (self.sum, self.len, self.dst, self.src, self.sport, self.dport,
         self.flags, _, self.seq, self.ack, _) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size:]
        self.raw = raw

    @property
    def key(self):
        """Source and destination, as the sender of the packet sees them."""
        return self.src, self.sport, self.dst, self.dport

    @property
    def genuine(self):
        """Whether the sum is that of the sender."""
        return self.len == len(self.data) and self.sum == _sum(
            self.key, self.flags & ~BOUNCED, self.seq, self.ack, self.data)

    @property
    def system_reset(self):
        """Whether it has the form of a reset of the system's own."""
        return bool(self.flags & RST) and not self.sum and not self.data


def _sum(key, flags, seq, ack, data):
    body = struct.pack("<IHIHBII", *key, flags, seq, ack) + data
    digest = hashlib.blake2s(body, key=_KEY, digest_size=4).digest()
    return int.from_bytes(digest, "little") | 1


def encode(key, flags, seq, ack=0, data=b""):
    """Return a packet; ``key`` is source, its port, destination, its port."""
    seq &= MASK
    ack &= MASK
    src, sport, dst, dport = key
    return HEAD.pack(_sum(key, flags, seq, ack, data), len(data), dst, src,
                     sport, dport, flags, bytes(3), seq, ack, 0) + data


def decode(raw):
    """Return a packet, or ``None`` for bytes that are none."""
    return Packet(raw) if len(raw) >= HEAD.size else None


def ahead(position, reference):
    """Return how far a position lies ahead of another one."""
    distance = (position - reference) & MASK
    return distance if distance <= MASK // 2 else distance - MASK - 1

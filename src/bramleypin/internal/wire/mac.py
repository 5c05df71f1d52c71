"""Message authentication codes of datagrams and pins (BLAKE2s, RFC 7693)."""

import hashlib
import hmac
import typing

MAC_BYTES = 8


def sign(key: bytes, data: bytes) -> bytes:
    """Return the MAC (8 bytes) of ``data`` under a 32-byte key."""
    return hashlib.blake2s(data, digest_size=MAC_BYTES, key=key).digest()


def verify(keys: tuple[bytes, ...], mac: bytes, data: bytes) -> bool:
    """Return whether a MAC is valid under any of the keys."""
    return any(hmac.compare_digest(sign(key, data), mac) for key in keys)


def keyed_hash(key: bytes) -> typing.Any:
    """Return a hash object that has already processed the key.

    The digest of a copy that is updated with data equals ``sign(key, data)``.
    Copying saves hashing the key for each datagram.
    """
    return hashlib.blake2s(digest_size=MAC_BYTES, key=key)

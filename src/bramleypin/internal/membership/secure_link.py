"""Control links on which both sides have proved that they know a key.

Each side sends a nonce and then HMAC-SHA256 over both nonces. Afterwards
every frame is ``sequence(8) mac(8) message``; the MAC key is derived for the
link and direction, so that frames of other links and earlier ones are
refused.
"""

import hashlib
import hmac
import random
import struct
import typing

import anyio

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.net import environment
from bramleypin.internal.wire import control
from bramleypin.internal.wire import mac

NONCE_BYTES = 16
HANDSHAKE_TIMEOUT_S = 2.0
# A peer that accepts nothing for this long is treated as gone, so that what
# waits for it stays bounded.
SEND_TIMEOUT_S = 5.0
_SEQUENCE = struct.Struct("!Q")
_HEADER_BYTES = _SEQUENCE.size + mac.MAC_BYTES


def _hmac(key: bytes, *parts: bytes) -> bytes:
    return hmac.new(key, b"".join(parts), hashlib.sha256).digest()


class SecureLink:
    """Sends and receives messages with a sequence number and a MAC.

    :raises errors.LinkClosed: when the link has ended.
    :raises errors.InvalidFrame: when a frame is forged, replayed or
        malformed; the link cannot be used any longer.
    """

    def __init__(
        self,
        link: environment.ControlLink,
        hello: control.Hello,
        send_key: bytes,
        receive_key: bytes,
    ):
        self.peer = hello
        self.sent_bytes = 0
        self.received_bytes = 0
        self._link = link
        self._send_key = send_key
        self._receive_key = receive_key
        self._sent = 0
        self._received = 0
        self._lock = anyio.Lock()

    async def send(self, message: typing.Any) -> None:
        """Send a message; closes the link when the peer takes none."""
        data = control.encode(message)
        if len(data) > control.MAX_MESSAGE_BYTES:
            raise errors.InvalidFrame("control_oversized")
        async with self._lock:
            body = _SEQUENCE.pack(self._sent) + data
            self._sent += 1
            tag = mac.sign(self._send_key, body)
            frame = body[: _SEQUENCE.size] + tag + data
            self.sent_bytes += len(frame)
            with anyio.move_on_after(SEND_TIMEOUT_S) as scope:
                await self._link.send(frame)
            if scope.cancelled_caught:
                await self.aclose()
                raise errors.LinkClosed(
                    f"{self.peer.id} accepted no frame for {SEND_TIMEOUT_S} s"
                )

    async def receive(self) -> typing.Any:
        """Wait for a message and check it."""
        frame = await self._link.receive()
        self.received_bytes += len(frame)
        if len(frame) < _HEADER_BYTES:
            raise errors.InvalidFrame("control_truncated")
        data = frame[_HEADER_BYTES:]
        body = frame[: _SEQUENCE.size] + data
        tag = frame[_SEQUENCE.size : _HEADER_BYTES]
        if not mac.verify((self._receive_key,), tag, body):
            raise errors.InvalidFrame("control_mac")
        (sequence,) = _SEQUENCE.unpack_from(frame)
        if sequence != self._received:
            raise errors.InvalidFrame("control_replayed")
        self._received += 1
        return control.decode(data)

    async def aclose(self) -> None:
        """Close the link."""
        await self._link.aclose()


async def open_link(
    network: environment.ControlNetwork,
    to: address.Address,
    own: control.Hello,
    keys: tuple[bytes, ...],
) -> SecureLink:
    """Connect to a process and shake hands.

    :raises errors.PeerUnreachable: when nobody accepts in time.
    :raises errors.LinkClosed: when the peer ends the link.
    :raises errors.InvalidFrame: when the peer's messages are malformed.
    :raises errors.AuthenticationFailed: when the peer knows no valid key.
    """
    link = None
    with anyio.move_on_after(HANDSHAKE_TIMEOUT_S):
        link = await network.connect(to)
    if link is None:
        raise errors.PeerUnreachable(f"{to} did not accept a control link")
    return await handshake(link, own, keys, is_initiator=True)


async def handshake(
    link: environment.ControlLink,
    own: control.Hello,
    keys: tuple[bytes, ...],
    is_initiator: bool,
) -> SecureLink:
    """Authenticate both sides of a new link; closes it on failure.

    :raises errors.LinkClosed: when the peer ends the link or is too slow.
    :raises errors.InvalidFrame: when the peer's messages are malformed.
    :raises errors.AuthenticationFailed: when the peer knows no valid key.
    """
    done = False
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            secure = await _shake_hands(link, own, keys, is_initiator)
        done = True
        return secure
    except TimeoutError:
        raise errors.LinkClosed("the handshake took too long") from None
    finally:
        if not done:
            with anyio.CancelScope(shield=True):
                await link.aclose()


async def _shake_hands(
    link: environment.ControlLink,
    own: control.Hello,
    keys: tuple[bytes, ...],
    is_initiator: bool,
) -> SecureLink:
    await link.send(control.encode(own))
    peer = await _receive(link, control.Hello)
    if len(peer.nonce) != NONCE_BYTES or peer.nonce == own.nonce:
        raise errors.AuthenticationFailed(f"{peer.id} sent a bad nonce")
    ours, theirs = (
        (b"dial", b"accept") if is_initiator else (b"accept", b"dial")
    )
    nonces = own.nonce + peer.nonce if is_initiator else peer.nonce + own.nonce
    signing = keys[0]
    await link.send(
        control.encode(control.Proof(_proof(signing, ours, nonces, own)))
    )
    proof = await _receive(link, control.Proof)
    for key in keys:
        expected = _proof(key, theirs, nonces, peer)
        if hmac.compare_digest(expected, proof.mac):
            return SecureLink(
                link,
                peer,
                _hmac(signing, b"frames", ours, nonces),
                _hmac(key, b"frames", theirs, nonces),
            )
    raise errors.AuthenticationFailed(f"{peer.id} proved no valid key")


def _proof(
    key: bytes, direction: bytes, nonces: bytes, hello: control.Hello
) -> bytes:
    return _hmac(key, b"proof", direction, nonces, control.encode(hello))


async def _receive(link: environment.ControlLink, kind: type) -> typing.Any:
    data = await link.receive()
    if len(data) > control.MAX_HANDSHAKE_BYTES:
        raise errors.InvalidFrame("control_oversized")
    message = control.decode(data)
    if not isinstance(message, kind):
        raise errors.InvalidFrame("control_unexpected")
    return message


def new_hello(
    source: random.Random, own_id: str, role: str, failure_domain: str
) -> control.Hello:
    """Return a Hello with a new nonce."""
    return control.Hello(
        source.randbytes(NONCE_BYTES), own_id, role, failure_domain
    )


async def ask(
    network: environment.ControlNetwork,
    to: address.Address,
    keys: tuple[bytes, ...],
    message: typing.Any,
    timeout_s: float = 5.0,
) -> typing.Any:
    """Send one request to a daemon and return its answer; for the tool.

    :raises errors.PeerUnreachable: when the daemon does not answer in time.
    """
    hello = new_hello(random.SystemRandom(), "tool", "tool", "")
    answer = None
    with anyio.move_on_after(timeout_s):
        link = await open_link(network, to, hello, keys)
        try:
            await link.send(message)
            answer = await link.receive()
        finally:
            with anyio.CancelScope(shield=True):
                await link.aclose()
    if answer is None:
        raise errors.PeerUnreachable(f"{to} gave no answer")
    if isinstance(answer, control.RequestFailed):
        raise errors.PeerUnreachable(f"{to}: {answer.reason}")
    return answer

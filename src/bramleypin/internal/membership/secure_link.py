"""Mutually authenticated control links with a shared key.

Each side sends a ``Hello`` with a nonce, and then an HMAC-SHA256 over its
direction, both nonces and its ``Hello``. Afterwards every frame is
``sequence(8) mac(8) message``. The sequence number increases by one per frame,
so that frames replayed on the same link are rejected. The MAC key is derived
per link and direction, so that frames of another link are rejected.
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
# The link is closed when the peer accepts no frame for this long; the tasks
# that wait to send would otherwise accumulate.
SEND_TIMEOUT_S = 5.0
_SEQUENCE = struct.Struct("!Q")
_HEADER_BYTES = _SEQUENCE.size + mac.MAC_BYTES


def _hmac(key: bytes, *parts: bytes) -> bytes:
    return hmac.new(key, b"".join(parts), hashlib.sha256).digest()


class AuthenticatedLink:
    """Sends and receives messages with a sequence number and a MAC.

    :raises errors.LinkClosed: when the link is closed.
    :raises errors.InvalidFrame: when a frame is forged, replayed, malformed
        or too long. The link cannot be used after such a frame was received.
    """

    def __init__(
        self,
        link: environment.ControlLink,
        peer_hello: control.Hello,
        send_key: bytes,
        receive_key: bytes,
    ):
        self.peer = peer_hello
        self.sent_bytes = 0
        self.received_bytes = 0
        self._link = link
        self._send_key = send_key
        self._receive_key = receive_key
        self._send_sequence = 0
        self._receive_sequence = 0
        self._send_lock = anyio.Lock()

    async def send(self, message: typing.Any) -> None:
        """Send a message; close the link when the peer accepts no frame."""
        data = control.encode(message)
        if len(data) > control.MAX_MESSAGE_BYTES:
            raise errors.InvalidFrame("control_oversized")
        async with self._send_lock:
            body = _SEQUENCE.pack(self._send_sequence) + data
            self._send_sequence += 1
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
        """Wait for a frame, verify it and return its message."""
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
        if sequence != self._receive_sequence:
            raise errors.InvalidFrame("control_replayed")
        self._receive_sequence += 1
        return control.decode(data)

    async def aclose(self) -> None:
        """Close the link."""
        await self._link.aclose()


async def open_link(
    network: environment.ControlNetwork,
    destination: address.Address,
    own_hello: control.Hello,
    keys: tuple[bytes, ...],
) -> AuthenticatedLink:
    """Connect to a process and authenticate both sides.

    :raises errors.PeerUnreachable: when the connection is not accepted within
        ``HANDSHAKE_TIMEOUT_S``.
    :raises errors.LinkClosed: when the peer closes the link or times out.
    :raises errors.InvalidFrame: when the peer's messages are malformed.
    :raises errors.AuthenticationFailed: when the peer does not prove knowledge
        of a valid key.
    """
    link = None
    with anyio.move_on_after(HANDSHAKE_TIMEOUT_S):
        link = await network.connect(destination)
    if link is None:
        raise errors.PeerUnreachable(
            f"{destination} did not accept a control link in time"
        )
    return await handshake(link, own_hello, keys, is_initiator=True)


async def handshake(
    link: environment.ControlLink,
    own_hello: control.Hello,
    keys: tuple[bytes, ...],
    is_initiator: bool,
) -> AuthenticatedLink:
    """Authenticate both sides of a new link; close it on failure.

    :raises errors.LinkClosed: when the peer closes the link or times out.
    :raises errors.InvalidFrame: when the peer's messages are malformed.
    :raises errors.AuthenticationFailed: when the peer does not prove knowledge
        of a valid key.
    """
    succeeded = False
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            auth_link = await _exchange_proofs(
                link, own_hello, keys, is_initiator
            )
        succeeded = True
        return auth_link
    except TimeoutError:
        raise errors.LinkClosed("the handshake timed out") from None
    finally:
        if not succeeded:
            with anyio.CancelScope(shield=True):
                await link.aclose()


async def _exchange_proofs(
    link: environment.ControlLink,
    own_hello: control.Hello,
    keys: tuple[bytes, ...],
    is_initiator: bool,
) -> AuthenticatedLink:
    await link.send(control.encode(own_hello))
    peer = await _receive(link, control.Hello)
    if len(peer.nonce) != NONCE_BYTES or peer.nonce == own_hello.nonce:
        raise errors.AuthenticationFailed(
            f"{peer.id} sent a nonce of the wrong length, or our own nonce"
        )
    own_direction, peer_direction = (
        (b"dial", b"accept") if is_initiator else (b"accept", b"dial")
    )
    nonces = (
        own_hello.nonce + peer.nonce
        if is_initiator
        else peer.nonce + own_hello.nonce
    )
    signing_key = keys[0]
    await link.send(
        control.encode(
            control.Proof(
                _compute_proof(signing_key, own_direction, nonces, own_hello)
            )
        )
    )
    proof = await _receive(link, control.Proof)
    for key in keys:
        expected_mac = _compute_proof(key, peer_direction, nonces, peer)
        if hmac.compare_digest(expected_mac, proof.mac):
            return AuthenticatedLink(
                link,
                peer,
                _hmac(signing_key, b"frames", own_direction, nonces),
                _hmac(key, b"frames", peer_direction, nonces),
            )
    raise errors.AuthenticationFailed(
        f"{peer.id} did not prove that it holds a valid key"
    )


def _compute_proof(
    key: bytes, direction: bytes, nonces: bytes, hello: control.Hello
) -> bytes:
    return _hmac(key, b"proof", direction, nonces, control.encode(hello))


async def _receive(
    link: environment.ControlLink, message_class: type
) -> typing.Any:
    data = await link.receive()
    if len(data) > control.MAX_HANDSHAKE_BYTES:
        raise errors.InvalidFrame("control_oversized")
    message = control.decode(data)
    if not isinstance(message, message_class):
        raise errors.InvalidFrame("control_unexpected")
    return message


def new_hello(
    rng: random.Random, own_id: str, role: str, failure_domain: str
) -> control.Hello:
    """Return a ``Hello`` message with a new random nonce."""
    return control.Hello(
        rng.randbytes(NONCE_BYTES), own_id, role, failure_domain
    )


async def ask(
    network: environment.ControlNetwork,
    destination: address.Address,
    keys: tuple[bytes, ...],
    message: typing.Any,
    timeout_s: float = 5.0,
) -> typing.Any:
    """Send one request to a daemon and return its answer.

    For the command-line tool. ``timeout_s`` covers the whole exchange.

    :raises errors.PeerUnreachable: when the daemon does not answer in time,
        or answers that the request failed.
    """
    hello = new_hello(random.SystemRandom(), "tool", "tool", "")
    answer = None
    with anyio.move_on_after(timeout_s):
        link = await open_link(network, destination, hello, keys)
        try:
            await link.send(message)
            answer = await link.receive()
        finally:
            with anyio.CancelScope(shield=True):
                await link.aclose()
    if answer is None:
        raise errors.PeerUnreachable(f"{destination} did not answer in time")
    if isinstance(answer, control.RequestFailed):
        raise errors.PeerUnreachable(f"{destination}: {answer.reason}")
    return answer

"""Classifies the datagrams of a cell by sender, receiver and content."""

import typing

from bramleypin import errors
from bramleypin.internal import address
from bramleypin.internal.wire import coap
from bramleypin.internal.wire import frames
from bramleypin.internal.wire import proxy_header
from bramleypin.matrix import journal as journal_module
from bramleypin.standins import virtual_network


def role_of(process: typing.Any) -> str:
    """Derive the role of a process of a cell from its name."""
    if process is None:
        return "nobody"
    if process.name.startswith("balancer"):
        return "balancer"
    if process.name.endswith(" endpoint"):
        return "endpoint"
    if process.name == "fabric":
        return "fabric"
    return "agent" if "-" in process.name else "caller"


def hop(packet: virtual_network.Packet) -> tuple[str, str]:
    """Return the roles of sender and receiver."""
    return role_of(packet.sender), role_of(packet.receiver)


class Observer:
    """Records packets that daemons send to each other and to endpoints."""

    def __init__(self, journal: journal_module.Journal, keys: tuple):
        self.journal = journal
        self.keys = keys

    def record_packet(self, packet: virtual_network.Packet) -> None:
        """Record a packet, unless a caller, the fabric or an endpoint sent it.

        Packets to callers and to the fabric are not recorded either.
        """
        sender, receiver = hop(packet)
        daemons = ("balancer", "agent")
        if sender not in daemons or receiver not in (*daemons, "endpoint"):
            return
        kind, revision = "", None
        if receiver == "endpoint":
            kind = "request" if _is_caller_request(packet.data) else "poll"
        else:
            frame = self.decode_frame(packet)
            if frame is not None:
                kind = type(frame).__name__
                revision = frame.revision
                self.journal.record_announcement(revision, packet.sent_s)
        self.journal.packets.append(
            journal_module.DataPacket(
                sent_s=packet.sent_s,
                sender=packet.sender.name,
                sender_start=packet.sender.restart_count,
                sender_role=sender,
                receiver=packet.receiver.name,
                receiver_role=receiver,
                receiver_domain=packet.receiver.failure_domain,
                kind=kind,
                revision=revision,
            )
        )

    def decode_frame(
        self, packet: virtual_network.Packet
    ) -> frames.Frame | None:
        """Decode the frame in a packet; ``None`` if it holds no valid one."""
        try:
            return frames.decode(packet.data, self.keys)[0]
        except errors.InvalidFrame:
            return None


def _is_caller_request(data: bytes) -> bool:
    """Return whether a datagram to an endpoint carries a caller's request.

    Requests for the well-known path are the agent's polls.
    """
    return coap.is_request(data[1]) and b"well-known" not in data


def carries_pin(packet: virtual_network.Packet) -> bool:
    """Return whether a datagram to or from a caller carries a pin."""
    data = packet.data
    if data.startswith(proxy_header.SIGNATURE):
        data = data[proxy_header.HEADER_BYTES :]
    try:
        return coap.scan_option(data, coap.ECHO) is not None
    except errors.InvalidFrame:
        return False


def caller_and_service_address(
    packet: virtual_network.Packet, keys: tuple
) -> tuple[address.Address, address.Address] | None:
    """Return the caller and the service address that a datagram names.

    The result is ``None`` for a datagram that names neither.
    """
    sender, receiver = hop(packet)
    if sender == "caller":
        return packet.source, packet.destination
    if receiver == "caller":
        return packet.destination, packet.source
    try:
        if (sender, receiver) == ("fabric", "balancer"):
            return proxy_header.decode(packet.data)
        if (sender, receiver) == ("balancer", "fabric"):
            service_address, caller = proxy_header.decode(packet.data)
            return caller, service_address
        frame = frames.decode(packet.data, keys)[0]
    except errors.InvalidFrame:
        return None
    if isinstance(frame, frames.Forward | frames.Answer | frames.Probe):
        return frame.caller, frame.service_address
    return None

"""The exceptions of bramleypin, in one tree."""


class BramleypinError(Exception):
    """Base class of every error that bramleypin raises itself."""

    exit_code = 1


class InvalidSettings(BramleypinError):
    """Raised when a settings or answers file cannot be used.

    The message names the file, the key, the value and what to write instead.
    """

    exit_code = 2

    def __init__(self, file: str, key: str, value: object, advice: str):
        self.file = file
        self.key = key
        self.value = value
        self.advice = advice
        super().__init__(f"{file}: {key} = {value!r}: {advice}")


class InvalidAnswers(BramleypinError):
    """Raised when answers to the questionnaire cannot be used.

    ``faults`` holds one InvalidSettings for each wrong answer.
    """

    exit_code = 2

    def __init__(self, faults: list[InvalidSettings]):
        self.faults = faults
        super().__init__("\n".join(str(fault) for fault in faults))


class PromiseBroken(BramleypinError):
    """Raised when a configuration would break a promise to callers.

    ``findings`` holds one sentence for each, with what to do instead.
    """

    exit_code = 5

    def __init__(self, findings: list[str]):
        self.findings = findings
        super().__init__("\n".join(findings))


class FleetSilent(BramleypinError):
    """Raised when no daemon that the tool asked has answered."""

    exit_code = 6

    def __init__(self, reason_by_peer: dict[str, str]):
        self.reason_by_peer = reason_by_peer
        lines = [f"{peer}: {text}" for peer, text in reason_by_peer.items()]
        lines.append(
            "no daemon answered; check the addresses given with --peer, the "
            "key in the settings file, and that the daemons run"
        )
        super().__init__("\n".join(lines))


class ServiceFailed(BramleypinError):
    """Raised by the kernel when one of its services ends with an error."""

    exit_code = 3

    def __init__(self, service: str, cause: BaseException):
        self.service = service
        self.cause = cause
        super().__init__(
            f"service {service!r} failed: {type(cause).__name__}: {cause}"
        )


class UnknownName(BramleypinError):
    """Raised when a registry or the kernel has nothing under a name."""

    def __init__(self, kind: str, name: str, known: list[str]):
        self.kind = kind
        self.name = name
        super().__init__(
            f"unknown {kind} {name!r}; use one of: {', '.join(known)}"
        )


class InvalidConfiguration(BramleypinError):
    """Raised when a configuration document is refused as a whole."""

    exit_code = 4

    def __init__(self, document: str, path: str, reason: str):
        self.document = document
        self.path = path
        self.reason = reason
        super().__init__(f"{document}: {path}: {reason}")


class StaleRevision(BramleypinError):
    """Raised when a configuration is not newer than the accepted one."""

    def __init__(self, offered: int, accepted: int):
        self.offered = offered
        self.accepted = accepted
        super().__init__(
            f"revision {offered} is not newer than revision {accepted}, "
            "which is in force"
        )


class ConflictingRevision(BramleypinError):
    """Raised when one revision number appears with two contents.

    Someone published two different configurations under one number; publish
    a higher revision to end the conflict.
    """

    def __init__(self, revision: int):
        self.revision = revision
        super().__init__(
            f"revision {revision} was published twice with different "
            "contents; publish a higher revision"
        )


class PlatformUnavailable(BramleypinError):
    """Raised when the configuration service does not answer a read."""


class PlatformHistoryLost(BramleypinError):
    """Raised when the store has discarded the changes that were asked for."""


class PlatformKeyMissing(BramleypinError):
    """Raised when the configuration service has no value under a key."""


class PeerUnreachable(BramleypinError):
    """Raised when a control connection to a peer cannot be opened."""


class LinkClosed(BramleypinError):
    """Raised on a control link that the peer or the network has closed."""


class AuthenticationFailed(BramleypinError):
    """Raised when a peer or a frame does not prove knowledge of a key."""


class InvalidFrame(BramleypinError):
    """Raised when a frame or datagram cannot be decoded.

    ``reason`` is a short fixed name under which the frame is counted.
    """

    def __init__(self, reason: str, detail: str = ""):
        self.reason = reason
        super().__init__(f"{reason}: {detail}" if detail else reason)


class InvalidPin(InvalidFrame):
    """Raised when a pin is malformed or its MAC matches no valid key."""


class PortClosed(BramleypinError):
    """Raised by a datagram port that has been closed."""


class EndpointRefused(BramleypinError):
    """Raised when the endpoint's host refuses the first transmission.

    Nothing listened on the port, so the request was certainly not run.
    """


class EndpointSilent(BramleypinError):
    """Raised when the endpoint has not answered within the deadline."""

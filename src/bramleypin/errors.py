"""Exceptions raised by bramleypin, all derived from ``BramleypinError``."""


class BramleypinError(Exception):
    """Base class of all exceptions defined by bramleypin.

    ``exit_code`` is the exit status of a program that ends with the error.
    """

    exit_code = 1


class InvalidSettings(BramleypinError):
    """Raised when a settings or answers file is unreadable or invalid.

    The message contains the file, the key, its value and advice on what to
    write instead.
    """

    exit_code = 2

    def __init__(self, file: str, key: str, value: object, advice: str):
        self.file = file
        self.key = key
        self.value = value
        self.advice = advice
        super().__init__(f"{file}: {key} = {value!r}: {advice}")


class InvalidAnswers(BramleypinError):
    """Raised when answers to the questionnaire are invalid.

    ``invalid_answers`` holds one ``InvalidSettings`` per invalid answer.
    """

    exit_code = 2

    def __init__(self, invalid_answers: list[InvalidSettings]):
        self.invalid_answers = invalid_answers
        super().__init__("\n".join(str(answer) for answer in invalid_answers))


class GuaranteeViolated(BramleypinError):
    """Raised when a configuration would violate a guarantee to callers.

    ``findings`` holds one sentence per violation, with advice on what to do
    instead.
    """

    exit_code = 5

    def __init__(self, findings: list[str]):
        self.findings = findings
        super().__init__("\n".join(findings))


class NoDaemonAnswered(BramleypinError):
    """Raised when none of the daemons queried by the tool has answered."""

    exit_code = 6

    def __init__(self, reason_by_peer: dict[str, str]):
        self.reason_by_peer = reason_by_peer
        lines = [f"{peer}: {text}" for peer, text in reason_by_peer.items()]
        lines.append(
            "no daemon answered; check the addresses given with --peer, the "
            "key in the settings file, and that the daemons run"
        )
        super().__init__("\n".join(lines))


class BalancerSilent(BramleypinError):
    """Raised when a balancer does not answer the tool over HTTP."""

    exit_code = 6

    def __init__(self, peer: str, reason: str):
        self.peer = peer
        super().__init__(
            f"{peer}: {reason}; check that the balancer runs, and that "
            "--metrics is the address at which it serves its metrics"
        )


class NoRoute(BramleypinError):
    """Raised when a balancer has no route with a service address."""

    exit_code = 9

    def __init__(self, service: str, balancer: str, version: int):
        self.service = service
        super().__init__(
            f"no route has the address {service} in version {version} of the "
            f"configuration at {balancer}, which resets such flows; check the "
            "address, and whether a later version has the route"
        )


class OtherAnswerVersion(BramleypinError):
    """Raised when a daemon answers in a format that the tool cannot read."""

    exit_code = 10

    def __init__(self, peer: str, reason: str):
        self.peer = peer
        super().__init__(
            f"{peer}: the answer is of another version ({reason}); use the "
            "tool of the balancer's version, and ask a stream balancer"
        )


class ServiceFailed(BramleypinError):
    """Raised by the kernel when a service fails; ``cause`` is its error."""

    exit_code = 3

    def __init__(self, service: str, cause: BaseException):
        self.service = service
        self.cause = cause
        super().__init__(
            f"service {service!r} failed: {type(cause).__name__}: {cause}"
        )


class UnknownName(BramleypinError):
    """Raised when a registry or the kernel has no entry of the given name."""

    def __init__(self, kind: str, name: str, known_names: list[str]):
        self.kind = kind
        self.name = name
        super().__init__(
            f"unknown {kind} {name!r}; use one of: {', '.join(known_names)}"
        )


class InvalidConfiguration(BramleypinError):
    """Raised when a configuration document is rejected as a whole."""

    exit_code = 4

    def __init__(self, document: str, path: str, reason: str):
        self.document = document
        self.path = path
        self.reason = reason
        super().__init__(f"{document}: {path}: {reason}")


class StaleRevision(BramleypinError):
    """Raised when a configuration is not newer than the accepted one."""

    def __init__(self, offered_revision: int, accepted_revision: int):
        self.offered_revision = offered_revision
        self.accepted_revision = accepted_revision
        super().__init__(
            f"revision {offered_revision} is not newer than revision "
            f"{accepted_revision}, which is in force"
        )


class ConflictingRevision(BramleypinError):
    """Raised when two different configurations have the same revision.

    Publishing a configuration with a higher revision resolves the conflict.
    """

    def __init__(self, revision: int):
        self.revision = revision
        super().__init__(
            f"revision {revision} was published twice with different "
            "contents; publish a higher revision"
        )


class PlatformUnavailable(BramleypinError):
    """Raised when a read from the users' platform fails.

    Daemons read the platform's configuration service or metadata store.
    """


class PlatformAnswerUnusable(PlatformUnavailable):
    """Raised when the platform has answered with data that cannot be used."""


class PlatformAnswerTooLong(PlatformAnswerUnusable):
    """Raised when an answer of the platform has more bytes than are read."""


class PlatformHistoryLost(BramleypinError):
    """Raised when the metadata store has discarded the requested changes."""


class PlatformRestored(PlatformHistoryLost):
    """Raised when answers show that the store is restored from a copy.

    What was read before, and revisions of an earlier era, do not hold.
    """


class PlatformEraOutdated(PlatformUnavailable):
    """Raised when an answer of the store is of an era before a known one."""


class PlatformKeyMissing(BramleypinError):
    """Raised when the configuration service has no value for a key."""


class PeerUnreachable(BramleypinError):
    """Raised when a control connection to a peer cannot be opened."""


class LinkClosed(BramleypinError):
    """Raised when the peer or the network has closed a control link."""


class AuthenticationFailed(BramleypinError):
    """Raised when a peer sends a bad nonce or fails to prove a valid key."""


class InvalidFrame(BramleypinError):
    """Raised when a frame or datagram cannot be decoded.

    ``reason`` is a fixed identifier, which appears in names of counters.
    """

    def __init__(self, reason: str, detail: str = ""):
        self.reason = reason
        super().__init__(f"{reason}: {detail}" if detail else reason)


class FrameTooLong(BramleypinError):
    """Raised when a message takes more bytes than a frame may have."""

    def __init__(self, kind: str, size_bytes: int, limit_bytes: int):
        self.size_bytes = size_bytes
        super().__init__(
            f"{kind} takes {size_bytes} bytes; a frame has {limit_bytes}"
        )


class InvalidPin(InvalidFrame):
    """Raised when a pin is malformed or its MAC matches no valid key."""


class PortClosed(BramleypinError):
    """Raised when a datagram port is closed, fails or cannot be bound."""


class EndpointRefused(BramleypinError):
    """Raised when the endpoint's host rejects the first transmission.

    No process listened on the port, so the request was certainly not run.
    """


class EndpointSilent(BramleypinError):
    """Raised when the endpoint does not answer before the deadline."""

"""Execution state and stored record of each request."""

import collections
import dataclasses
import enum
import hashlib
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import identity
from bramleypin.internal.wire import coap

# Must be at least PIN_LIFETIME_S, so that any copy of a request whose record
# has been removed has a stale pin and cannot run.
RECORD_LIFETIME_S = 300.0
assert RECORD_LIFETIME_S >= identity.PIN_LIFETIME_S

# Digest of the record of a request whose cancellation arrived first. It
# matches any content.
ANY_DIGEST = b""

# Options that may differ between copies of the same request.
_VOLATILE_OPTIONS = frozenset((coap.ECHO, coap.DEADLINE, coap.CANCEL))


class ExecutionState(enum.Enum):
    """Execution state of a request.

    ``UNKNOWN`` means that the request may have run, ``CLOSED`` that it has
    not run and never will.
    """

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CLOSED = "closed"


_ALLOWED_TRANSITIONS = frozenset(
    (
        (ExecutionState.WAITING, ExecutionState.RUNNING),
        (ExecutionState.WAITING, ExecutionState.CLOSED),
        (ExecutionState.RUNNING, ExecutionState.ANSWERED),
        (ExecutionState.RUNNING, ExecutionState.UNKNOWN),
        # The endpoint refused, cancelled or shed the request without
        # running it.
        (ExecutionState.RUNNING, ExecutionState.CLOSED),
    )
)


class Execution:
    """State machine of one request.

    Start, cancellation and expiry all change the state here, and duplicates
    are handled according to it. A transition that is not allowed fails, so
    only the first of several competing ones takes effect.
    """

    def __init__(self) -> None:
        self.state = ExecutionState.WAITING

    def transition_to(self, new_state: ExecutionState) -> bool:
        """Change the state; ``False`` if the transition is not allowed."""
        if (self.state, new_state) not in _ALLOWED_TRANSITIONS:
            return False
        self.state = new_state
        return True

    def start(self) -> bool:
        """Mark the request as running; ``False`` if it may not run."""
        return self.transition_to(ExecutionState.RUNNING)

    def close(self) -> bool:
        """Close a waiting request, so that it never runs.

        Returns ``False`` if it has already been started or closed.
        """
        if self.state is not ExecutionState.WAITING:
            return False
        return self.transition_to(ExecutionState.CLOSED)

    @property
    def is_done(self) -> bool:
        """Whether the outcome is final."""
        return self.state not in (
            ExecutionState.WAITING,
            ExecutionState.RUNNING,
        )


@dataclasses.dataclass(slots=True)
class ReplyRoute:
    """Destination and message id of the answer to one copy of a request.

    ``return_address`` is the balancer that forwarded the copy.
    """

    return_address: address.Address
    caller: address.Address
    service_address: address.Address
    mid: int
    confirmable: bool


class Cancellable(typing.Protocol):
    """A request in progress at the endpoint that can be cancelled."""

    def cancel(self) -> None:
        """Ask the endpoint to cancel the request."""


RecordKey = tuple[int, bytes]


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """State of one request, identified by flow id and token.

    ``reply_route`` belongs to the latest copy, ``exchange`` is set while the
    request runs at the endpoint, and ``answer`` is the stored final answer.
    ``renew_pin`` is true if the caller needs a new pin with the answer.
    ``flow_released`` is true if the flow was closed; the frame with the answer
    carries no pin in that case, which tells the balancer that it was closed.
    """

    key: RecordKey
    digest: bytes
    method: str
    idempotent: bool
    first_seen_s: float
    deadline_s: float
    reply_route: ReplyRoute
    renew_pin: bool = True
    last_block: bool = True
    execution: Execution = dataclasses.field(default_factory=Execution)
    answer: coap.Message | None = None
    empty_ack_sent: bool = False
    exchange: Cancellable | None = None
    cancel_requested: bool = False
    flow_released: bool = False


def content_digest(message: coap.Message) -> bytes:
    """Return a digest that is equal for all copies of a request.

    It covers the code, the payload and all but the volatile options.
    """
    digest = hashlib.blake2b(digest_size=16)
    digest.update(bytes((int(message.code),)))
    for entry in message.opt.option_list():
        number = int(entry.number)
        if number not in _VOLATILE_OPTIONS:
            value = entry.encode()
            digest.update(number.to_bytes(4, "big"))
            digest.update(len(value).to_bytes(4, "big"))
            digest.update(value)
    digest.update(message.payload)
    return digest.digest()


class RecordTable:
    """Table of at most ``limit`` records.

    When it is full, only closed records of idempotent requests are evicted;
    other records are needed to recognise duplicates.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._record_by_key: dict[RecordKey, Record] = {}
        self._records_by_age: collections.deque[Record] = collections.deque()
        self._evictable: collections.deque[Record] = collections.deque()

    def __len__(self) -> int:
        return len(self._record_by_key)

    def get(self, key: RecordKey) -> Record | None:
        """Return the record of a request, or ``None``."""
        return self._record_by_key.get(key)

    def add(self, record: Record) -> bool:
        """Store a new record; ``False`` if the table is full."""
        self._remove_expired()
        if len(self._record_by_key) >= self._limit:
            self._evict_one()
        if len(self._record_by_key) >= self._limit:
            return False
        self._record_by_key[record.key] = record
        self._records_by_age.append(record)
        return True

    def remove(self, record: Record) -> None:
        """Remove the record of an idempotent request.

        A later copy may then run again, which is safe.
        """
        if self._record_by_key.get(record.key) is record:
            del self._record_by_key[record.key]
        if len(self._records_by_age) > 2 * self._limit:
            self._compact_records_by_age()

    def mark_evictable(self, record: Record) -> None:
        """Allow the record of a closed idempotent request to be evicted.

        Until it is evicted, it prevents late copies of the request from
        running after the caller was told "not run".
        """
        self._evictable.append(record)
        if len(self._evictable) > self._limit:
            self._evictable.popleft()

    def _compact_records_by_age(self) -> None:
        self._records_by_age = collections.deque(
            item for item in self._records_by_age if self._is_stored(item)
        )

    def _is_stored(self, record: Record) -> bool:
        return self._record_by_key.get(record.key) is record

    def _remove_expired(self) -> None:
        expired_before_s = anyio.current_time() - RECORD_LIFETIME_S
        while (
            self._records_by_age
            and self._records_by_age[0].first_seen_s < expired_before_s
        ):
            record = self._records_by_age.popleft()
            if not self._is_stored(record):
                continue
            if record.execution.is_done:
                del self._record_by_key[record.key]
            else:
                self._records_by_age.append(record)
                break

    def _evict_one(self) -> None:
        while self._evictable:
            record = self._evictable.popleft()
            if self._is_stored(record):
                self.remove(record)
                return

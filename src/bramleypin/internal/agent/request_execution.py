"""Tickets and records: what is remembered of each request."""

import collections
import dataclasses
import enum
import hashlib
import typing

import anyio

from bramleypin.internal import address
from bramleypin.internal.agent import identity
from bramleypin.internal.wire import coap

# At least PIN_LIFETIME_S, so that a copy of a request whose record has been
# removed carries a stale pin and cannot run.
RECORD_LIFETIME_S = 300.0
assert RECORD_LIFETIME_S >= identity.PIN_LIFETIME_S

# Digest of a record made by a cancellation that came before its request.
ANY_CONTENT = b""

# Options that may differ between copies of one request.
_VOLATILE_OPTIONS = frozenset((coap.ECHO, coap.DEADLINE, coap.CANCEL))


class TicketState(enum.Enum):
    """Where a request stands."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    CLOSED = "closed"


_ALLOWED = frozenset(
    (
        (TicketState.WAITING, TicketState.RUNNING),
        (TicketState.WAITING, TicketState.CLOSED),
        (TicketState.RUNNING, TicketState.ANSWERED),
        (TicketState.RUNNING, TicketState.UNKNOWN),
        # The endpoint proved that it did not run the request.
        (TicketState.RUNNING, TicketState.CLOSED),
    )
)


class Ticket:
    """The one object for which run, cancel, expiry and duplicates contend."""

    def __init__(self) -> None:
        self.state = TicketState.WAITING

    def move(self, to: TicketState) -> bool:
        """Change the state; ``False`` when somebody else was first."""
        if (self.state, to) not in _ALLOWED:
            return False
        self.state = to
        return True

    def start(self) -> bool:
        """Claim the right to hand the request to the endpoint."""
        return self.move(TicketState.RUNNING)

    def close(self) -> bool:
        """Make sure that a request that waits never runs."""
        if self.state is not TicketState.WAITING:
            return False
        return self.move(TicketState.CLOSED)

    @property
    def is_done(self) -> bool:
        """Tell whether the outcome is final."""
        return self.state not in (TicketState.WAITING, TicketState.RUNNING)


@dataclasses.dataclass(slots=True)
class Copy:
    """One arrival of a request: where its answer goes.

    ``return_address`` is the balancer that forwarded it.
    """

    return_address: address.Address
    caller: address.Address
    service_address: address.Address
    mid: int
    confirmable: bool


class Cancellable(typing.Protocol):
    """A request at the endpoint that can be asked to stop."""

    def cancel(self) -> None:
        """Ask the endpoint not to run the request."""


Key = tuple[int, bytes]


@dataclasses.dataclass(slots=True, eq=False)
class Record:
    """What the agent knows of one request, by flow id and token."""

    key: Key
    digest: bytes
    method: str
    idempotent: bool
    first_seen_s: float
    deadline_s: float
    newest: Copy
    renew_pin: bool = True
    last_block: bool = True
    ticket: Ticket = dataclasses.field(default_factory=Ticket)
    answer: coap.Message | None = None
    announced: bool = False
    running: Cancellable | None = None
    cancel_asked: bool = False
    released: bool = False


def content_digest(message: coap.Message) -> bytes:
    """Return a digest of what makes two copies the same request."""
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
    """The records, at most ``limit``; none that a copy needs is evicted."""

    def __init__(self, limit: int):
        self._limit = limit
        self._record_by_key: dict[Key, Record] = {}
        self._by_age: collections.deque[Record] = collections.deque()
        self._repeatable: collections.deque[Record] = collections.deque()

    def __len__(self) -> int:
        return len(self._record_by_key)

    def get(self, key: Key) -> Record | None:
        """Return the record of a request, or ``None``."""
        return self._record_by_key.get(key)

    def add(self, record: Record) -> bool:
        """Store a new record; ``False`` when the table is full."""
        self._remove_expired()
        if len(self._record_by_key) >= self._limit:
            self._remove_repeatable()
        if len(self._record_by_key) >= self._limit:
            return False
        self._record_by_key[record.key] = record
        self._by_age.append(record)
        return True

    def remove(self, record: Record) -> None:
        """Forget an idempotent request, which may run again."""
        if self._record_by_key.get(record.key) is record:
            del self._record_by_key[record.key]
        if len(self._by_age) > 2 * self._limit:
            self._rebuild()

    def mark_repeatable(self, record: Record) -> None:
        """Let a closed record of an idempotent request go when space ends.

        Until then it keeps late copies from running after "not run".
        """
        self._repeatable.append(record)
        if len(self._repeatable) > self._limit:
            self._repeatable.popleft()

    def _rebuild(self) -> None:
        self._by_age = collections.deque(
            item for item in self._by_age if self._is_stored(item)
        )

    def _is_stored(self, record: Record) -> bool:
        return self._record_by_key.get(record.key) is record

    def _remove_expired(self) -> None:
        limit_s = anyio.current_time() - RECORD_LIFETIME_S
        while self._by_age and self._by_age[0].first_seen_s < limit_s:
            record = self._by_age.popleft()
            if not self._is_stored(record):
                continue
            if record.ticket.is_done:
                del self._record_by_key[record.key]
            else:
                self._by_age.append(record)
                break

    def _remove_repeatable(self) -> None:
        while self._repeatable:
            record = self._repeatable.popleft()
            if self._is_stored(record):
                self.remove(record)
                return

"""Changes of a view, as one daemon tells them to another."""

import collections.abc

import msgspec

from bramleypin.internal.stream import frames
from bramleypin.internal.stream import view as view_module

# An encoded endpoint takes about 100 bytes; a frame holds 4,096.
ENDPOINTS_PER_FRAME = 24


class EndpointRecord(msgspec.Struct, array_like=True):
    """An endpoint's registration; it stays cold for ``cold_s`` from now on."""

    id: str
    service: str
    host: str
    failure_domain: str
    slots: int
    draining: bool
    started_ms: int
    revision: int
    created: int
    cold_s: float


@frames.message(10)
class Delta(frames.Message):
    """What leads from one revision of a view to a later one.

    It holds for a view of exactly the revision ``base`` with configuration
    ``version``. ``domains_out`` are all that are out of service.
    """

    base: int
    revision: int
    version: int
    endpoints: list[EndpointRecord]
    removed_ids: list[str]
    domains_out: list[str]

    def view_revision(self) -> int:
        """Return the revision of the sender's view."""
        return self.revision


def _record(endpoint: view_module.Endpoint, now_s: float) -> EndpointRecord:
    return EndpointRecord(
        endpoint.id,
        endpoint.service,
        endpoint.host,
        endpoint.failure_domain,
        endpoint.slots,
        endpoint.draining,
        endpoint.started_ms,
        endpoint.revision,
        endpoint.created,
        round(endpoint.cold_left_s(now_s), 3),
    )


def _endpoint(record: EndpointRecord, now_s: float) -> view_module.Endpoint:
    return view_module.Endpoint(
        id=record.id,
        service=record.service,
        host=record.host,
        failure_domain=record.failure_domain,
        slots=record.slots,
        draining=record.draining,
        started_ms=record.started_ms,
        revision=record.revision,
        created=record.created,
        cold_s=record.cold_s,
        seen_s=now_s,
    )


def between(
    old: view_module.View, new: view_module.View, now_s: float
) -> collections.abc.Iterator[Delta]:
    """Yield the deltas that lead from one view to a later one, in order.

    Several are needed when many endpoints have changed. Removals come first:
    a daemon that misses the rest continues from a revision of which it knows
    every change. The configuration must be the same in both views.
    """
    changed = sorted(
        (
            endpoint
            for id_, endpoint in new.endpoint_by_id.items()
            if old.endpoint_by_id.get(id_) is not endpoint
        ),
        key=lambda endpoint: endpoint.revision,
    )
    removed = [
        id_ for id_ in old.endpoint_by_id if id_ not in new.endpoint_by_id
    ]
    base = old.revision
    first = 0
    while True:
        part = changed[first : first + ENDPOINTS_PER_FRAME]
        first += ENDPOINTS_PER_FRAME
        done = first >= len(changed)
        revision = new.revision if done else part[-1].revision
        # A registration may have been known to a peer at an older revision
        # than the base, so the revision of a part never falls.
        revision = max(base, revision)
        yield Delta(
            base,
            revision,
            new.configuration.version,
            [_record(endpoint, now_s) for endpoint in part],
            removed,
            sorted(new.domains_out),
        )
        if done:
            return
        base, removed = revision, []


def changes_for(
    view: view_module.View, delta: Delta, now_s: float
) -> view_module.Changes | None:
    """Return what a delta changes; ``None`` when it does not hold here."""
    known = view.configuration.version
    if delta.base != view.revision or delta.version != known:
        return None
    return view_module.Changes(
        revision=delta.revision,
        configuration=None,
        endpoints=tuple(_endpoint(item, now_s) for item in delta.endpoints),
        removed_ids=tuple(delta.removed_ids),
        domains_out=tuple(set(delta.domains_out) - view.domains_out),
        domains_returned=tuple(view.domains_out - set(delta.domains_out)),
    )

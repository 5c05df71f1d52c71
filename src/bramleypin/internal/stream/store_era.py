"""Eras of the metadata store, which is sometimes restored from a copy.

Failure handled: after an outage the store comes back from a copy that is some
seconds old. Everything written since the copy is lost, revisions are assigned
again, and endpoints and the operator write again within about two seconds.
Each restoration raises the store's era by one. What the earlier view knew of
draining endpoints and failure domains out of service is kept meanwhile.
"""

import dataclasses
import typing

from bramleypin import errors
from bramleypin.internal.observe import logs
from bramleypin.internal.stream import view as view_module

MAX_ERA = 2**63 - 1
MAX_ERA_DIGITS = 19
MAX_LOGGED_CHARACTERS = 40

_log = logs.get("store")


class AnswerEras:
    """Checks the eras of one source's answers."""

    def __init__(self) -> None:
        self._newest = 0
        self._invalid_count = 0

    def of_answer(self, value: bytes | None) -> int:
        """Return the era of an answer that carries ``value``.

        An answer without a value is of era 0. One whose value cannot be read
        counts as one of the newest era: its revisions are checked as usual,
        and a store that sends no valid era can still be read.

        :raises errors.PlatformEraOutdated: when a newer era is known.
        """
        era = _decode(value)
        if era is None:
            era = self._newest
            self._invalid_count += 1
            _log.warn_throttled(
                "era",
                "the era of an answer of the store cannot be read",
                reason="no whole number from 0 to 2**63-1",
                value=repr(value)[:MAX_LOGGED_CHARACTERS],
                era=era,
            )
        raise_if_older(era, self._newest)
        self._newest = era
        return era

    def stamp(
        self, changes: view_module.Changes, era: int
    ) -> view_module.Changes:
        """Return a copy of decoded changes that belongs to an era."""
        invalid_count, self._invalid_count = self._invalid_count, 0
        if not era and not invalid_count:
            return changes
        return dataclasses.replace(
            changes,
            era=era,
            endpoints=tuple(
                dataclasses.replace(endpoint, era=era)
                for endpoint in changes.endpoints
            ),
            invalid_era_count=invalid_count,
        )


def _decode(value: bytes | None) -> int | None:
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    era = int(value)
    return era if era <= MAX_ERA else None


def raise_if_older(era: int, known_era: int) -> None:
    """Discard an answer of an era before a known one.

    :raises errors.PlatformEraOutdated: when the era is lower.
    """
    if era < known_era:
        _log.warn_throttled(
            "outdated",
            "discarded an answer of an earlier era of the store",
            reason="lower than the era that is known",
            era=era,
            known=known_era,
        )
        raise errors.PlatformEraOutdated(
            f"answer of era {era}, era {known_era} is known"
        )


def raise_if_restored(eras: typing.Iterable[int]) -> None:
    """Discard answers that belong together but are of several eras.

    :raises errors.PlatformRestored: when they are.
    """
    distinct = sorted(set(eras))
    if len(distinct) > 1:
        raise errors.PlatformRestored(
            f"the store was restored: era {distinct[0]}, then {distinct[-1]}"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class KeptStates:
    """States before a restoration that the copy lacks.

    ``stamp_by_draining_id`` has the stamps of the copy's registrations of
    endpoints that were draining. A later registration ends the state.
    """

    stamp_by_draining_id: dict[str, tuple[int, int]]
    domains: frozenset[str]

    def __bool__(self) -> bool:
        return bool(self.stamp_by_draining_id or self.domains)

    def without_domains(self, domains: typing.Iterable[str]) -> "KeptStates":
        """Return the states without domains that returned to service."""
        return dataclasses.replace(
            self, domains=self.domains.difference(domains)
        )


NOTHING_KEPT = KeptStates({}, frozenset())


def states_to_keep(
    earlier: view_module.View, restored: view_module.View
) -> KeptStates:
    """Return the states of the earlier view that the restored one lacks.

    An endpoint that has been started anew since is not draining.
    """
    stamp_by_draining_id: dict[str, tuple[int, int]] = {}
    for id_, endpoint in restored.endpoint_by_id.items():
        before = earlier.endpoint_by_id.get(id_)
        if (
            before is not None
            and earlier.is_draining(before)
            and not endpoint.draining
            and endpoint.started_ms <= before.started_ms
        ):
            stamp_by_draining_id[id_] = endpoint.stamp
    domains = earlier.domains_out | earlier.domains_kept
    kept = KeptStates(stamp_by_draining_id, domains - restored.domains_out)
    if kept:
        _log.info(
            "states from before the restoration are kept",
            draining=",".join(sorted(kept.stamp_by_draining_id)),
            domains=",".join(sorted(kept.domains)),
            era=restored.era,
        )
    return kept


def with_kept_states(
    view: view_module.View, kept: KeptStates
) -> view_module.View:
    """Return a view with the kept states that the store has not replaced."""
    if not (kept or view.draining_kept or view.domains_kept):
        return view
    endpoint_by_id = view.endpoint_by_id
    return dataclasses.replace(
        view,
        draining_kept=frozenset(
            id_
            for id_, stamp in kept.stamp_by_draining_id.items()
            if id_ in endpoint_by_id and endpoint_by_id[id_].stamp == stamp
        ),
        domains_kept=kept.domains - view.domains_out,
    )

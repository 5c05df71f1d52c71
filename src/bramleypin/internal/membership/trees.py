"""The dissemination trees, computed by every process for itself.

The members of a failure domain are ordered by a hash of their id, under two
salts. Each order is a tree: the first ``READERS_PER_DOMAIN`` members read the
platform, and the parent of the member at rank r is at (r - 3) // 16. Two
orders give two parents, so that one failed parent disconnects nobody.
"""

import dataclasses
import typing

import xxhash

from bramleypin.internal.model import vms

READERS_PER_DOMAIN = 3
FANOUT = 16
TREE_COUNT = 2


def rank_members(members: typing.Iterable[vms.Vm], salt: int) -> list[vms.Vm]:
    """Return the members in the order that a salt gives."""
    return sorted(
        members,
        key=lambda vm: (
            xxhash.xxh64_intdigest(vm.id.encode(), seed=salt),
            vm.id,
        ),
    )


def parent_rank(rank: int) -> int | None:
    """Return the rank of a member's parent; ``None`` for a reader."""
    if rank < READERS_PER_DOMAIN:
        return None
    return (rank - READERS_PER_DOMAIN) // FANOUT


@dataclasses.dataclass(frozen=True)
class Position:
    """A process's place in both trees of its failure domain.

    ``upstream`` holds the processes it opens links to, by id.
    """

    is_reader: bool
    upstream: dict[str, vms.Vm]


def position(
    own: vms.Vm,
    members: typing.Iterable[vms.Vm],
    contacts_by_domain: dict[str, list[vms.Vm]],
) -> Position:
    """Compute the place of ``own`` among the members of its domain.

    ``contacts_by_domain`` holds the readers of the other failure domains.
    """
    everyone = {vm.id: vm for vm in members}
    everyone[own.id] = own
    is_reader = False
    upstream: dict[str, vms.Vm] = {}
    for salt in range(TREE_COUNT):
        ranked = rank_members(everyone.values(), salt)
        rank = ranked.index(own)
        parent = parent_rank(rank)
        if parent is None:
            is_reader = True
            # Readers of one order form a ring, so that a reader on a stale
            # replica of the platform hears of newer revisions from another.
            readers = ranked[:READERS_PER_DOMAIN]
            parent = (rank + 1) % len(readers)
        upstream[ranked[parent].id] = ranked[parent]
    if is_reader:
        contact = _next_domain_contact(own, contacts_by_domain)
        if contact is not None:
            upstream[contact.id] = contact
    upstream.pop(own.id, None)
    return Position(is_reader, upstream)


def _next_domain_contact(
    own: vms.Vm, contacts_by_domain: dict[str, list[vms.Vm]]
) -> vms.Vm | None:
    names = sorted(name for name in contacts_by_domain if name)
    if not names:
        return None
    later = [name for name in names if name > own.failure_domain]
    contacts = contacts_by_domain[later[0] if later else names[0]]
    return contacts[0] if contacts else None


def contacts(
    members: typing.Iterable[vms.Vm], own_domain: str
) -> dict[str, list[vms.Vm]]:
    """Return the first readers of every other failure domain."""
    by_domain: dict[str, list[vms.Vm]] = {}
    for vm in members:
        if vm.failure_domain != own_domain:
            by_domain.setdefault(vm.failure_domain, []).append(vm)
    return {
        name: rank_members(group, 0)[:READERS_PER_DOMAIN]
        for name, group in by_domain.items()
    }

"""The dissemination trees, which every process computes locally.

The members of a failure domain are ranked by a hash of their id, once for
each of two salts. Each ranking defines a tree: the first
``READERS_PER_DOMAIN`` members read the platform, and the parent of the member
at rank r has rank (r - 3) // 16. With two trees most processes have two
different parents, and the failure of one parent disconnects none of these.
"""

import dataclasses
import typing

import xxhash

from bramleypin.internal.model import vms

READERS_PER_DOMAIN = 3
FANOUT = 16
TREE_COUNT = 2


def rank_members(members: typing.Iterable[vms.Vm], salt: int) -> list[vms.Vm]:
    """Return the members ranked by the hash of their id with a salt."""
    return sorted(
        members,
        key=lambda vm: (
            xxhash.xxh64_intdigest(vm.id.encode(), seed=salt),
            vm.id,
        ),
    )


def parent_rank(rank: int) -> int | None:
    """Return the rank of the parent in a tree; ``None`` for a reader."""
    if rank < READERS_PER_DOMAIN:
        return None
    return (rank - READERS_PER_DOMAIN) // FANOUT


@dataclasses.dataclass(frozen=True)
class Position:
    """The position of a process in both trees of its failure domain.

    ``upstream`` maps ids to the processes that this one opens links to.
    """

    is_reader: bool
    upstream: dict[str, vms.Vm]


def compute_position(
    own_vm: vms.Vm,
    members: typing.Iterable[vms.Vm],
    contacts_by_domain: dict[str, list[vms.Vm]],
) -> Position:
    """Compute the position of ``own_vm`` among the members of its domain.

    ``contacts_by_domain`` holds the readers of the other failure domains.
    """
    vm_by_id = {vm.id: vm for vm in members}
    vm_by_id[own_vm.id] = own_vm
    is_reader = False
    upstream: dict[str, vms.Vm] = {}
    for salt in range(TREE_COUNT):
        ranking = rank_members(vm_by_id.values(), salt)
        rank = ranking.index(own_vm)
        parent = parent_rank(rank)
        if parent is None:
            is_reader = True
            # The readers of a tree form a ring, so that a reader connected
            # to a stale platform replica receives newer revisions from
            # another reader.
            readers = ranking[:READERS_PER_DOMAIN]
            parent = (rank + 1) % len(readers)
        upstream[ranking[parent].id] = ranking[parent]
    if is_reader:
        contact = _next_domain_contact(own_vm, contacts_by_domain)
        if contact is not None:
            upstream[contact.id] = contact
    upstream.pop(own_vm.id, None)
    return Position(is_reader, upstream)


def _next_domain_contact(
    own_vm: vms.Vm, contacts_by_domain: dict[str, list[vms.Vm]]
) -> vms.Vm | None:
    """Return the first contact of the next failure domain.

    The next domain is the one that follows by name; the first follows the
    last, so that the links between the domains form a ring.
    """
    names = sorted(name for name in contacts_by_domain if name)
    if not names:
        return None
    later_names = [name for name in names if name > own_vm.failure_domain]
    contacts = contacts_by_domain[later_names[0] if later_names else names[0]]
    return contacts[0] if contacts else None


def select_contacts(
    members: typing.Iterable[vms.Vm], own_domain: str
) -> dict[str, list[vms.Vm]]:
    """Return the first tree's readers of every other failure domain."""
    by_domain: dict[str, list[vms.Vm]] = {}
    for vm in members:
        if vm.failure_domain != own_domain:
            by_domain.setdefault(vm.failure_domain, []).append(vm)
    return {
        name: rank_members(domain_members, 0)[:READERS_PER_DOMAIN]
        for name, domain_members in by_domain.items()
    }

"""The member list: the other processes, from the platform's VM list."""

import collections
import dataclasses
import typing

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import trees
from bramleypin.internal.model import vms
from bramleypin.internal.wire import control

# A peer whose version precedes the log receives the whole list, not a delta.
CHANGE_LOG_SIZE = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """Ids of the VMs that changed from version ``base`` to ``version``."""

    base: int
    version: int
    ids: tuple[str, ...]


@kernel_module.service("members", roles=("balancer", "agent"))
class Members(kernel_module.Service):
    """Holds the VMs of the process's domain and contacts in other domains.

    The contacts of a failure domain are the readers of its first tree. The
    version increases monotonically; an older list is ignored.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.own_vm = vms.of_daemon(kernel.settings)
        self.version = 0
        self.vm_by_id: dict[str, vms.Vm] = {}
        self.contacts_by_domain: dict[str, list[vms.Vm]] = {}
        self._contacts_version = 0
        self.listeners: list[typing.Callable[[], None]] = []
        self._leaving_addresses: frozenset[address.Address] = frozenset()
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=CHANGE_LOG_SIZE
        )
        self.position = trees.compute_position(self.own_vm, (), {})

    def is_leaving(self, data_address: address.Address) -> bool:
        """Return whether the VM with this data address is leaving."""
        return data_address in self._leaving_addresses

    def peers(self) -> list[vms.Vm]:
        """Return all known VMs except this process's own."""
        peers = [
            vm for vm in self.vm_by_id.values() if vm.id != self.own_vm.id
        ]
        for contacts in self.contacts_by_domain.values():
            peers.extend(contacts)
        return peers

    def apply_list(
        self, version: int, members: typing.Iterable[vms.Vm]
    ) -> bool:
        """Apply the platform's VM list.

        Returns ``False`` when the list is not newer.
        """
        if version <= self.version:
            return False
        all_vms = list(members)
        domain = self.own_vm.failure_domain
        vm_by_id = {vm.id: vm for vm in all_vms if vm.failure_domain == domain}
        leaving = {
            address.parse(vm.data) for vm in all_vms if vm.state == "leaving"
        }
        contacts = trees.select_contacts(all_vms, domain)
        self._replace(version, vm_by_id, contacts, leaving)
        return True

    def update_for(self, since: int) -> control.MemberUpdate:
        """Return the update for a peer whose list has version ``since``.

        The update holds only the changes if the change log reaches back to
        that version, and the whole list otherwise.
        """
        ids: typing.Iterable[str] = self.vm_by_id
        newer_changes = [
            change for change in self._changes if change.version > since
        ]
        base = 0
        if since and newer_changes and newer_changes[0].base <= since:
            base = since
            ids = dict.fromkeys(
                vm_id for change in newer_changes for vm_id in change.ids
            )
        all_vms = self.vm_by_id
        return control.MemberUpdate(
            self.version,
            base,
            [_to_fields(all_vms[vm_id]) for vm_id in ids if vm_id in all_vms],
            [vm_id for vm_id in ids if vm_id not in all_vms],
            self._contacts_since(base),
            [
                str(data_address)
                for data_address in sorted(self._leaving_addresses)
            ],
        )

    def _contacts_since(self, base: int) -> list[list[str]] | None:
        # The contacts of eight failure domains would make up most of a small
        # update, so they are sent only after a change.
        if base and self._contacts_version <= base:
            return None
        return [
            _to_fields(vm)
            for contacts in self.contacts_by_domain.values()
            for vm in contacts
        ]

    def apply_update(self, update: control.MemberUpdate) -> bool:
        """Apply a peer's update.

        Returns ``False`` when the update is not newer, or is a delta on a
        version that this process does not have yet.

        :raises errors.InvalidFrame: when the update is malformed.
        """
        if update.version <= self.version:
            return False
        if update.base > self.version:
            return False
        vm_by_id = dict(self.vm_by_id) if update.base else {}
        for vm_id in update.removed:
            vm_by_id.pop(vm_id, None)
        for vm in vms.convert(update.members):
            vm_by_id[vm.id] = vm
        contacts: dict[str, list[vms.Vm]] = {}
        if update.contacts is None:
            contacts = self.contacts_by_domain
        for vm in vms.convert(update.contacts or ()):
            contacts.setdefault(vm.failure_domain, []).append(vm)
        leaving = {address.parse(text) for text in update.leaving}
        self._replace(update.version, vm_by_id, contacts, leaving)
        return True

    def _replace(
        self,
        version: int,
        vm_by_id: dict[str, vms.Vm],
        contacts: dict[str, list[vms.Vm]],
        leaving: set[address.Address],
    ) -> None:
        previous_vms = self.vm_by_id
        ids = tuple(
            vm_id
            for vm_id in previous_vms.keys() | vm_by_id.keys()
            if previous_vms.get(vm_id) != vm_by_id.get(vm_id)
        )
        # Keep the existing object of an unchanged VM, so that everything that
        # refers to the VM shares one object in memory.
        for vm_id, vm in previous_vms.items():
            if vm_by_id.get(vm_id) == vm:
                vm_by_id[vm_id] = vm
        if self.version:
            self._changes.append(_Change(self.version, version, ids))
        if contacts != self.contacts_by_domain:
            self._contacts_version = version
        self.version = version
        self.vm_by_id = vm_by_id
        self.contacts_by_domain = contacts
        self._leaving_addresses = frozenset(leaving)
        self.position = trees.compute_position(
            self.own_vm, vm_by_id.values(), contacts
        )
        for listener in self.listeners:
            listener()


def _to_fields(vm: vms.Vm) -> list[str]:
    return [
        vm.id,
        vm.role,
        vm.failure_domain,
        vm.data,
        vm.control,
        vm.state,
    ]

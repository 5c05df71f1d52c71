"""The other processes of the system, as the platform's VM list has them."""

import collections
import dataclasses
import typing

from bramleypin.internal import address
from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import trees
from bramleypin.internal.model import vms
from bramleypin.internal.wire import control

CHANGES_KEPT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    base: int
    version: int
    ids: tuple[str, ...]


@kernel_module.service("members", roles=("balancer", "agent"))
class Members(kernel_module.Service):
    """Holds the VMs of the own failure domain and contacts in the others.

    The version only grows, so a lagging list takes nothing back.
    """

    def __init__(self, kernel: kernel_module.Kernel):
        super().__init__(kernel)
        self.own = vms.of_daemon(kernel.settings)
        self.version = 0
        self.vm_by_id: dict[str, vms.Vm] = {}
        self.contacts_by_domain: dict[str, list[vms.Vm]] = {}
        self._contacts_version = 0
        self.listeners: list[typing.Callable[[], None]] = []
        self._leaving: frozenset[address.Address] = frozenset()
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=CHANGES_KEPT
        )
        self.position = trees.position(self.own, (), {})

    def is_leaving(self, data: address.Address) -> bool:
        """Tell whether the VM with a data address is leaving."""
        return data in self._leaving

    def peers(self) -> list[vms.Vm]:
        """Return the other processes that this one knows."""
        known = [vm for vm in self.vm_by_id.values() if vm.id != self.own.id]
        for contacts in self.contacts_by_domain.values():
            known.extend(contacts)
        return known

    def apply_list(
        self, version: int, members: typing.Iterable[vms.Vm]
    ) -> bool:
        """Take over the platform's list; ``False`` when it is not newer."""
        if version <= self.version:
            return False
        everyone = list(members)
        domain = self.own.failure_domain
        vm_by_id = {
            vm.id: vm for vm in everyone if vm.failure_domain == domain
        }
        leaving = {
            address.parse(vm.data) for vm in everyone if vm.state == "leaving"
        }
        contacts = trees.contacts(everyone, domain)
        self._replace(version, vm_by_id, contacts, leaving)
        return True

    def update_for(self, since: int) -> control.MemberUpdate:
        """Return the message that brings a peer up to this version."""
        ids: typing.Iterable[str] = self.vm_by_id
        later = [item for item in self._changes if item.version > since]
        base = 0
        if since and later and later[0].base <= since:
            base = since
            ids = dict.fromkeys(vm_id for item in later for vm_id in item.ids)
        everyone = self.vm_by_id
        return control.MemberUpdate(
            self.version,
            base,
            [_values(everyone[i]) for i in ids if i in everyone],
            [i for i in ids if i not in everyone],
            self._contacts_since(base),
            [str(item) for item in sorted(self._leaving)],
        )

    def _contacts_since(self, base: int) -> list[list[str]] | None:
        # A list for eight failure domains is most of a small update.
        if base and self._contacts_version <= base:
            return None
        return [
            _values(vm)
            for contacts in self.contacts_by_domain.values()
            for vm in contacts
        ]

    def apply_update(self, update: control.MemberUpdate) -> bool:
        """Take over a peer's update; ``False`` when it brings nothing new.

        :raises errors.InvalidFrame: when it is malformed.
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
        before = self.vm_by_id
        ids = tuple(
            vm_id
            for vm_id in before.keys() | vm_by_id.keys()
            if before.get(vm_id) != vm_by_id.get(vm_id)
        )
        # Equal entries stay the same objects, so that memory is shared.
        for vm_id, vm in before.items():
            if vm_by_id.get(vm_id) == vm:
                vm_by_id[vm_id] = vm
        if self.version:
            self._changes.append(_Change(self.version, version, ids))
        if contacts != self.contacts_by_domain:
            self._contacts_version = version
        self.version = version
        self.vm_by_id = vm_by_id
        self.contacts_by_domain = contacts
        self._leaving = frozenset(leaving)
        self.position = trees.position(self.own, vm_by_id.values(), contacts)
        for listener in self.listeners:
            listener()


def _values(vm: vms.Vm) -> list[str]:
    return [
        vm.id,
        vm.role,
        vm.failure_domain,
        vm.data,
        vm.control,
        vm.state,
    ]

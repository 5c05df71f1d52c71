"""Tests of member lists from the platform and updates from peers."""

import unittest

import cbor2
import parameterized

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import members
from bramleypin.internal.model import vms
from bramleypin.standins import fleet

DOMAINS = ("a", "b", "c")
VMS = fleet.make_vms(60, DOMAINS)


def new_members(own_vm):
    """Return a ``Members`` service of ``own_vm``, without a daemon."""
    kernel = kernel_module.Kernel(fleet.make_settings(own_vm), None)
    return members.Members(kernel)


def as_leaving(vm):
    """Return a copy of the VM in state ``leaving``."""
    return vms.Vm(
        vm.id, vm.role, vm.failure_domain, vm.data, vm.control, "leaving"
    )


def list_versions():
    """Return successive VM lists in which VMs leave and are removed."""
    versions = [list(VMS)]
    versions.append([as_leaving(VMS[6]), *VMS[:6], *VMS[7:]])
    versions.append([*VMS[:6], *VMS[7:]])
    versions.append([*VMS[:6], *VMS[8:]])
    versions.append([as_leaving(vm) for vm in versions[-1]])
    return versions


class TestVmList(unittest.TestCase):
    @parameterized.parameterized.expand(
        [
            ("nested", [[]] * 50),
            ("port", ["x", "agent", "a", "10.0.0.1:70000", "10.0.0.1:1"]),
            ("number", ["x", "agent", "a", 1 << 80, "10.0.0.1:1"]),
            ("text", "x"),
        ]
    )
    def test_an_invalid_vm_keeps_no_other_out_of_the_list(self, _, vm):
        """Guards against one odd entry that stops all from following it."""
        document = vms.VmList(vms.FORMAT, 3, tuple(VMS[:2]))
        fields = cbor2.loads(vms.encode(document))
        fields["vms"] = [fields["vms"][0], vm, fields["vms"][1]]
        self.assertEqual(document, vms.decode(cbor2.dumps(fields)))


class TestMembers(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(f"{a}_to_{b}", a, b) for a in range(5) for b in range(a + 1, 6)]
    )
    def test_an_update_has_the_same_result_as_the_list(
        self, _, known_version, last_version
    ):
        """Guards against updates that omit a VM, a contact or a leaving VM."""
        sender, receiver = new_members(VMS[0]), new_members(VMS[3])
        for version, all_vms in enumerate(list_versions()[:last_version], 1):
            sender.apply_list(version, all_vms)
            if version <= known_version:
                receiver.apply_list(version, all_vms)
        self.assertTrue(
            receiver.apply_update(sender.update_for(known_version))
        )
        self.assertEqual(sender.vm_by_id, receiver.vm_by_id)
        self.assertEqual(
            sender.contacts_by_domain, receiver.contacts_by_domain
        )
        for vm in VMS:
            data_address = vm.control_address._replace(port=fleet.DATA_PORT)
            self.assertEqual(
                sender.is_leaving(data_address),
                receiver.is_leaving(data_address),
            )

    def test_an_older_list_is_ignored(self):
        """Guards against removed VMs that reappear with an older list."""
        service = new_members(VMS[0])
        service.apply_list(4, list_versions()[3])
        vm_by_id = service.vm_by_id
        self.assertFalse(service.apply_list(3, VMS))
        outdated = new_members(VMS[3])
        outdated.apply_list(2, VMS)
        self.assertFalse(service.apply_update(outdated.update_for(0)))
        self.assertIs(vm_by_id, service.vm_by_id)

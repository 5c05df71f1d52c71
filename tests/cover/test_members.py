"""The member list, from the platform and from peers."""

import unittest

import parameterized

from bramleypin.internal import kernel as kernel_module
from bramleypin.internal.membership import members
from bramleypin.internal.model import vms
from bramleypin.standins import fleet

DOMAINS = ("a", "b", "c")
VMS = fleet.make_vms(60, DOMAINS)


def new_members(own):
    """Return the service outside of any daemon."""
    kernel = kernel_module.Kernel(fleet.settings_of(own), None)
    return members.Members(kernel)


def leave(vm):
    """Return the VM as leaving."""
    return vms.Vm(
        vm.id, vm.role, vm.failure_domain, vm.data, vm.control, "leaving"
    )


def lists():
    """Return successive VM lists: leaving, gone, and a new VM."""
    step = [list(VMS)]
    step.append([leave(VMS[6]), *VMS[:6], *VMS[7:]])
    step.append([*VMS[:6], *VMS[7:]])
    step.append([*VMS[:6], *VMS[8:]])
    step.append([leave(vm) for vm in step[-1]])
    return step


class TestMembers(unittest.TestCase):
    @parameterized.parameterized.expand(
        [(f"{a}_to_{b}", a, b) for a in range(5) for b in range(a + 1, 6)]
    )
    def test_an_update_gives_what_the_list_gives(self, _, known, last):
        """Guards against deltas that lose a VM, a contact or a departure."""
        sender, receiver = new_members(VMS[0]), new_members(VMS[3])
        for version, everyone in enumerate(lists()[:last], 1):
            sender.apply_list(version, everyone)
            if version <= known:
                receiver.apply_list(version, everyone)
        self.assertTrue(receiver.apply_update(sender.update_for(known)))
        self.assertEqual(sender.vm_by_id, receiver.vm_by_id)
        self.assertEqual(
            sender.contacts_by_domain, receiver.contacts_by_domain
        )
        for vm in VMS:
            data = vm.control_address._replace(port=fleet.DATA_PORT)
            self.assertEqual(
                sender.is_leaving(data), receiver.is_leaving(data)
            )

    def test_a_lagging_list_takes_nothing_back(self):
        """Guards against VMs that come back with an older list."""
        service = new_members(VMS[0])
        service.apply_list(4, lists()[3])
        before = service.vm_by_id
        self.assertFalse(service.apply_list(3, VMS))
        late = new_members(VMS[3])
        late.apply_list(2, VMS)
        self.assertFalse(service.apply_update(late.update_for(0)))
        self.assertIs(before, service.vm_by_id)

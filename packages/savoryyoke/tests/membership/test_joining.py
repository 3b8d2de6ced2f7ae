"""Test a process that starts without a VM list."""

import unittest

from savoryyoke.membership import events
from tests.membership import network

SEED = 11
JOINING_ID = 'entry-0'


class JoiningTests(unittest.TestCase):
    """Test that a process learns the members from those that probe it."""

    def test_process_without_a_list_learns_the_members(self):
        net = network.Network(seed=SEED)
        fleet = network.Fleet(network=net, entries=3, targets=5)
        for vm in fleet.vms:
            fleet.start(vm.vm_id)
        list_read = events.VmListRead(entries=fleet.vms, sequence=1)
        for vm_id in set(fleet.vms_by_id) - {JOINING_ID}:
            fleet.feed(vm_id, list_read)
        net.run(10.0)
        joining = fleet.members_by_id[JOINING_ID]
        known_ids = {member.vm_id for member in joining.members()}
        self.assertEqual(set(fleet.vms_by_id) - {JOINING_ID}, known_ids)
        self.assertFalse(joining.is_suspect)

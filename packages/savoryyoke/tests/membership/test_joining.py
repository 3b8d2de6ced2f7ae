"""Test a process that starts without a list of VMs."""

import unittest

from savoryyoke.membership import events
from tests.membership import network

SEED = 11
JOINED = 'entry-0'


class JoiningTests(unittest.TestCase):
    """Test that a process learns the fleet from whoever probes it."""

    def test_process_without_a_list_learns_the_members(self):
        net = network.Network(seed=SEED)
        fleet = network.Fleet(network=net, entries=3, targets=5)
        for vm in fleet.vms:
            fleet.start(vm.vm_id)
        listed = events.VmListRead(entries=fleet.vms, sequence=1)
        for vm_id in set(fleet.vms_by_id) - {JOINED}:
            fleet.feed(vm_id, listed)
        net.run(10.0)
        joined = fleet.members_by_id[JOINED]
        known = {member.vm_id for member in joined.members()}
        self.assertEqual(set(fleet.vms_by_id) - {JOINED}, known)
        self.assertFalse(joined.is_suspect)

"""Test that the directory lists only entries that serve calls."""

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tests import support


class DirectoryTests(support.FleetTestCase):
    """Test which entries the directory lists, and in which order."""

    def read_directory(self, query='', address=None):
        """Request the directory from an entry; return its answer."""
        address = address or self.fleet.entry_addresses[0]
        return clients.call('GET', address, f'/v1/directory{query}')

    def find_peers(self):
        """Return the processes of all targets and other entries."""
        return [
            self.fleet.processes_by_name[place.vm_id]
            for place in (*fleets.ENTRIES[1:], *fleets.TARGETS)
        ]

    def test_entries_of_the_callers_data_centre_come_first(self):
        for letter in 'abc':
            answer = self.read_directory(f'?data_centre=dc-{letter}').document
            self.assertEqual(
                f'dc-{letter}', answer['entries'][0]['data_centre']
            )

    def test_killed_entry_is_no_longer_listed(self):
        killed_vm_id = fleets.ENTRIES[2].vm_id
        address = self.fleet.addresses_by_name[killed_vm_id]
        self.fleet.processes_by_name[killed_vm_id].kill()
        support.wait_until(
            lambda: (
                address
                not in [
                    entry['address']
                    for entry in self.read_directory().document['entries']
                ]
            )
        )
        self.fleet.start_entry(killed_vm_id)
        self.fleet.wait_until_ready()
        support.wait_until(
            lambda: (
                address
                in [
                    entry['address']
                    for entry in self.read_directory().document['entries']
                ]
            )
        )

    def test_isolated_entry_returns_503_and_lists_alternatives(self):
        for process in self.find_peers():
            process.freeze()
        try:
            support.wait_until(lambda: self.read_directory().status == 503)
            answer = self.read_directory().document
        finally:
            for process in self.find_peers():
                process.thaw()
        self.assertTrue(answer['type'].endswith(':cut-off'))
        self.assertTrue(answer['alternatives'])
        self.assertNotIn(self.fleet.entry_addresses[0], answer['alternatives'])
        support.wait_until(lambda: self.read_directory().status == 200)

"""Prove that callers are sent to entries that serve them."""

from savoryyoke_fakes import clients
from savoryyoke_fakes import fleets
from tests import support


class DirectoryTests(support.FleetTestCase):
    """Test which entries the directory names."""

    def ask(self, query='', address=None):
        """Ask an entry and return its answer."""
        address = address or self.fleet.entry_addresses[0]
        return clients.call('GET', address, f'/v1/directory{query}')

    def find_others(self):
        """Return all processes but the first entry and the stand-ins."""
        return [
            self.fleet.processes_by_name[place.vm_id]
            for place in (*fleets.ENTRIES[1:], *fleets.TARGETS)
        ]

    def test_entries_of_the_callers_data_centre_come_first(self):
        for letter in 'abc':
            answer = self.ask(f'?data_centre=dc-{letter}').document
            self.assertEqual(
                f'dc-{letter}', answer['entries'][0]['data_centre']
            )

    def test_killed_entry_is_named_no_more(self):
        victim = fleets.ENTRIES[2].vm_id
        address = self.fleet.addresses_by_name[victim]
        self.fleet.processes_by_name[victim].kill()
        support.wait_until(
            lambda: (
                address
                not in [
                    entry['address']
                    for entry in self.ask().document['entries']
                ]
            )
        )
        self.fleet.start_entry(victim)
        self.fleet.wait_until_ready()
        support.wait_until(
            lambda: (
                address
                in [
                    entry['address']
                    for entry in self.ask().document['entries']
                ]
            )
        )

    def test_entry_that_is_cut_off_says_so_and_names_others(self):
        for process in self.find_others():
            process.freeze()
        try:
            support.wait_until(lambda: self.ask().status == 503)
            answer = self.ask().document
        finally:
            for process in self.find_others():
                process.thaw()
        self.assertTrue(answer['type'].endswith(':cut-off'))
        self.assertTrue(answer['alternatives'])
        self.assertNotIn(self.fleet.entry_addresses[0], answer['alternatives'])
        support.wait_until(lambda: self.ask().status == 200)

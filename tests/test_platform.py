"""Test what the daemons ask of the platform."""

import pathlib
import tempfile
import unittest

import anyio

from savoryyoke_edge import platform
from savoryyoke_fakes import clients
from savoryyoke_fakes import processes

ROW = {
    'vm_id': 'entry-a',
    'role': 'entry',
    'data_centre': 'dc-a',
    'state': 'live',
    'address': '127.0.0.1:1',
}


class VmListTests(unittest.TestCase):
    """Test reads of the list of VMs."""

    def setUp(self):
        """Start the platform stand-in with a list."""
        super().setUp()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        process = processes.Process(
            name='platform',
            arguments=['-m', 'savoryyoke_fakes.platform'],
            log_path=pathlib.Path(directory, 'platform.log'),
        )
        process.start()
        self.addCleanup(process.kill)
        self.address = process.wait_for_event('ready')['address']
        clients.call('POST', self.address, '/control/vms', body={'vms': [ROW]})

    def read(self, **options):
        """Read the list once."""

        async def main():
            reader = platform.PlatformReader(url=f'http://{self.address}')
            return await reader.read_vms(**options)

        return anyio.run(main)

    def test_unchanged_list_is_not_sent_again(self):
        first = self.read()
        self.assertEqual('entry-a', first.vms[0].vm_id)
        self.assertIsNone(self.read(unless_sequence=first.sequence))
        clients.call('POST', self.address, '/control/vms', body={'vms': []})
        changed = self.read(unless_sequence=first.sequence)
        self.assertEqual((), changed.vms)

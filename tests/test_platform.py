"""Test the requests that daemons send to the platform."""

import pathlib
import tempfile
import unittest

import anyio

from savoryyoke_edge import platform
from savoryyoke_fakes import clients
from savoryyoke_fakes import processes

VM_ROW = {
    'vm_id': 'entry-a',
    'role': 'entry',
    'data_centre': 'dc-a',
    'state': 'live',
    'address': '127.0.0.1:1',
}


class VmListTests(unittest.TestCase):
    """Test reading the platform's list of VMs."""

    def setUp(self):
        """Start the fake platform and publish a list of one VM."""
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
        clients.call(
            'POST', self.address, '/control/vms', body={'vms': [VM_ROW]}
        )

    def read(self, **options):
        """Read the list of VMs once."""

        async def main():
            reader = platform.PlatformReader(url=f'http://{self.address}')
            return await reader.read_vms(**options)

        return anyio.run(main)

    def test_unchanged_list_is_not_sent_again(self):
        first_read = self.read()
        self.assertEqual('entry-a', first_read.vms[0].vm_id)
        self.assertIsNone(self.read(unless_sequence=first_read.sequence))
        clients.call('POST', self.address, '/control/vms', body={'vms': []})
        changed_list = self.read(unless_sequence=first_read.sequence)
        self.assertEqual((), changed_list.vms)

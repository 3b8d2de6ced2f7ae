"""Test the requests that daemons send to the platform."""

import pathlib
import tempfile
import unittest

import anyio

from savoryyoke_edge import exceptions
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


class MalformedAnswerTests(unittest.TestCase):
    """Test answers that are no usable JSON."""

    def check(self, body):
        """Check the error for a server that answers with ``body``."""

        async def answer(stream):
            async with stream:
                await stream.receive()
                await stream.send(
                    b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
                    b'Content-Length: %d\r\n\r\n' % len(body)
                )
                await stream.send(body)

        async def main():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, answer)
                reader = platform.PlatformReader(
                    url=f'http://127.0.0.1:{port}'
                )
                with self.assertRaises(exceptions.PlatformUnavailable):
                    await reader.read_vms()
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_deeply_nested_answer_is_an_unavailable_platform(self):
        for body in (b'[' * 60_000, b'{"vms":' * 60_000, b'no JSON'):
            self.check(body)

"""Test the transfer of snapshots with real connections."""

import unittest
from unittest import mock

import anyio
import anyio.abc

from savoryyoke.published import models

from savoryyoke_edge import snapshots

HOST = '127.0.0.1'
SNAPSHOT = models.Snapshot(
    as_of=models.Revision(number=7),
    items=(
        models.Item(
            key='op/config', revision=models.Revision(number=7), value=b'x'
        ),
    ),
)


class SnapshotTransferTests(unittest.TestCase):
    def fetch(self):
        """Return the snapshot that a process on loopback sends."""

        async def main():
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)

            async def handle(stream):
                await snapshots.send_snapshot(stream, SNAPSHOT)

            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, handle)
                fetched = await snapshots.fetch_snapshot(HOST, port)
                tasks.cancel_scope.cancel()
            return fetched

        return anyio.run(main)

    def test_received_snapshot_equals_the_sent_one(self):
        self.assertEqual(SNAPSHOT, self.fetch())

    def test_size_and_time_of_a_copy_are_logged(self):
        with mock.patch.object(snapshots.logs, 'write_event') as write_event:
            self.fetch()
        (call,) = write_event.call_args_list
        self.assertEqual(('copy_received',), call.args)
        self.assertEqual(HOST, call.kwargs['host'])
        self.assertGreater(call.kwargs['bytes'], 0)
        self.assertGreater(call.kwargs['took_s'], 0)

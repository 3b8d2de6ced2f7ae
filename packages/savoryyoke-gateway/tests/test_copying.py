"""Test the limit on the copies of the view that are sent at once."""

import unittest
from unittest import mock

import anyio

from savoryyoke_gateway import copying


class _Stream:
    def __init__(self):
        self.is_closed = False

    async def aclose(self):
        self.is_closed = True


class SendingTests(unittest.TestCase):
    """Guard against readers of the view that hold all descriptors."""

    def test_connections_beyond_the_limit_are_closed(self):
        anyio.run(self._run)

    async def _run(self):
        copies = copying.ViewCopies(
            settings=None,
            published_state=mock.Mock(),
            table=None,
            choose_read_pause_s=None,
            restart_long_poll=None,
            random_fraction=None,
            clock=None,
        )
        may_end = anyio.Event()

        async def send(stream, snapshot):
            await may_end.wait()

        streams = [_Stream() for _ in range(3)]
        with (
            mock.patch.object(copying.snapshots, 'send_snapshot', send),
            mock.patch.object(copying.conf, 'COPIES_SENT_LIMIT', 2),
        ):
            async with anyio.create_task_group() as group:
                for stream in streams:
                    group.start_soon(copies._send_view, stream)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(
                    [False, False, True],
                    [stream.is_closed for stream in streams],
                )
                may_end.set()
            late_stream = _Stream()
            await copies._send_view(late_stream)
        self.assertFalse(late_stream.is_closed)

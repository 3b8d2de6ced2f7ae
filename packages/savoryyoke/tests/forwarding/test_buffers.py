"""Test the limit on the memory of all buffered answers."""

import unittest

from savoryyoke.forwarding import buffers
from savoryyoke.forwarding import exceptions

LIMIT_BYTES = 1000


class BufferAccountTests(unittest.TestCase):
    def setUp(self):
        self.account = buffers.BufferAccount(limit_bytes=LIMIT_BYTES)

    def grow(self, buffer, *, step=100, limit=10 * LIMIT_BYTES):
        """Grow a buffer until it is refused; return its size then."""
        for size in range(step, limit, step):
            try:
                buffer.resize(size)
            except exceptions.BuffersFull:
                return size
        return None

    def test_single_buffer_may_use_the_limit(self):
        self.account.open().resize(LIMIT_BYTES)
        self.assertEqual(LIMIT_BYTES, self.account.total_bytes)

    def test_endless_buffer_is_refused(self):
        self.assertEqual(LIMIT_BYTES + 100, self.grow(self.account.open()))

    def test_endless_buffers_stay_below_twice_the_limit(self):
        # All grow in turn; those that are refused go on holding their bytes.
        endless = [self.account.open() for _ in range(20)]
        refused = set()
        for size in range(10, 10 * LIMIT_BYTES, 10):
            for buffer in endless:
                if buffer in refused:
                    continue
                try:
                    buffer.resize(size)
                except exceptions.BuffersFull:
                    refused.add(buffer)
        self.assertEqual(20, len(refused))
        self.assertLess(self.account.total_bytes, 2 * LIMIT_BYTES)

    def test_small_buffers_grow_beside_endless_ones(self):
        endless = [self.account.open() for _ in range(3)]
        small = [self.account.open() for _ in range(7)]
        for buffer in endless:
            self.grow(buffer)
        for buffer in small:
            buffer.resize(LIMIT_BYTES // 10)

    def test_released_buffers_make_room(self):
        first = self.account.open()
        first.resize(LIMIT_BYTES)
        first.release()
        first.release()
        self.assertEqual(0, self.account.total_bytes)
        self.account.open().resize(LIMIT_BYTES)

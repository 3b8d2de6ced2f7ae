"""Test that logging is rate-limited and never blocks."""

import os
import unittest

from savoryyoke_edge import logs


class BoundedStreamTests(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.now_s = 0.0

    def build(self, lines_per_s):
        return logs.BoundedStream(
            self.writer, lines_per_s=lines_per_s, clock=lambda: self.now_s
        )

    def read(self):
        try:
            return os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return b''

    def test_lines_are_written_whole(self):
        stream = self.build(10)
        stream.write('event=a\n')
        stream.write('event=b')
        self.assertEqual(b'event=a\nevent=b\n', self.read())

    def test_lines_above_the_rate_are_dropped_and_counted(self):
        stream = self.build(2)
        for _ in range(5):
            stream.write('event=a\n')
        self.assertEqual(b'event=a\n' * 2, self.read())
        self.now_s = 1.0
        stream.write('event=b\n')
        self.assertEqual(
            b'event=lines_dropped lines=3\nevent=b\n', self.read()
        )

    def test_full_pipe_drops_instead_of_waiting(self):
        stream = self.build(10**9)
        line = 'x' * 1000 + '\n'
        for _ in range(200):
            stream.write(line)
        self.assertGreater(stream.dropped_lines, 0)
        received = self.read()
        stream.flush()
        received += self.read()
        self.assertEqual({1000}, {len(row) for row in received.splitlines()})
        stream.write('event=after\n')
        self.assertTrue(self.read().endswith(b'event=after\n'))

    def test_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        stream = logs.BoundedStream(writer)
        stream.write('event=a\n')
        stream.write('event=b\n')
        os.close(writer)

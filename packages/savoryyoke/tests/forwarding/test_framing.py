"""Test the splitting of streams into whole events."""

import unittest

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import exceptions
from savoryyoke.forwarding import framing


class EventSplitterTests(unittest.TestCase):
    def test_every_cut_gives_the_same_events(self):
        stream = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n'
        for cut in range(len(stream)):
            splitter = framing.EventSplitter()
            found = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
            self.assertEqual(['1', '2', None], [x.event_id for x in found])
            self.assertEqual(stream, b''.join(x.data for x in found))
            self.assertFalse(splitter.has_rest)

    def test_torn_event_is_held_back(self):
        splitter = framing.EventSplitter()
        found = splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(['1'], [x.event_id for x in found])
        self.assertTrue(splitter.has_rest)

    def test_events_seen_before_are_dropped(self):
        splitter = framing.EventSplitter(after='2')
        found = splitter.feed(b'id: 1\n\nid: 2\n\nid: 3\n\nid: 3\n\nid: 4\n\n')
        self.assertEqual(['3', '4'], [x.event_id for x in found])

    def test_line_ends_with_carriage_return(self):
        splitter = framing.EventSplitter()
        found = splitter.feed(b'id: 7\r\ndata: x\r\n\r\n')
        self.assertEqual(['7'], [x.event_id for x in found])

    def test_id_need_not_come_first(self):
        found = framing.EventSplitter().feed(b'event: t\nid:9\ndata:\n\n')
        self.assertEqual(['9'], [x.event_id for x in found])

    def test_endless_event_is_refused(self):
        splitter = framing.EventSplitter()
        with self.assertRaises(exceptions.MalformedStream):
            splitter.feed(b'x' * (conf.EVENT_LIMIT_BYTES + 1))

    def test_comments_are_dropped(self):
        splitter = framing.EventSplitter()
        found = splitter.feed(b': a\n\n:\r\n\r\n: b\nid: 1\n\n: c\n\n')
        self.assertEqual([b': b\nid: 1\n\n'], [x.data for x in found])

    def test_endless_comments_are_refused(self):
        splitter = framing.EventSplitter()
        with self.assertRaises(exceptions.MalformedStream):
            for _ in range(conf.EVENT_LIMIT_BYTES // 4000 + 2):
                self.assertEqual([], splitter.feed(b': x\n\n' * 1000))

    def test_long_stream_of_events_is_not_limited(self):
        splitter = framing.EventSplitter()
        event = b'data: ' + b'x' * 65536 + b'\n\n'
        for _ in range(2 * conf.EVENT_LIMIT_BYTES // len(event)):
            self.assertEqual(1, len(splitter.feed(event)))

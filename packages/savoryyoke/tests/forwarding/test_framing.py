"""Test the splitting of streams into complete events."""

import unittest

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import exceptions
from savoryyoke.forwarding import framing


class EventSplitterTests(unittest.TestCase):
    def test_events_do_not_depend_on_where_the_bytes_are_split(self):
        stream = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\n'
        for split_at in range(len(stream)):
            splitter = framing.EventSplitter()
            completed = splitter.feed(stream[:split_at]) + splitter.feed(
                stream[split_at:]
            )
            self.assertEqual(
                ['1', '2', None], [event.event_id for event in completed]
            )
            self.assertEqual(
                stream, b''.join(event.data for event in completed)
            )
            self.assertFalse(splitter.has_partial_event)

    def test_incomplete_event_is_not_returned(self):
        splitter = framing.EventSplitter()
        completed = splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda')
        self.assertEqual(['1'], [event.event_id for event in completed])
        self.assertTrue(splitter.has_partial_event)

    def test_events_with_repeated_ids_are_dropped(self):
        splitter = framing.EventSplitter(last_event_id='2')
        completed = splitter.feed(
            b'id: 1\n\nid: 2\n\nid: 3\n\nid: 3\n\nid: 4\n\n'
        )
        self.assertEqual(['3', '4'], [event.event_id for event in completed])

    def test_lines_may_end_with_carriage_return(self):
        splitter = framing.EventSplitter()
        completed = splitter.feed(b'id: 7\r\ndata: x\r\n\r\n')
        self.assertEqual(['7'], [event.event_id for event in completed])

    def test_id_need_not_come_first(self):
        completed = framing.EventSplitter().feed(b'event: t\nid:9\ndata:\n\n')
        self.assertEqual(['9'], [event.event_id for event in completed])

    def test_id_with_many_digits_is_taken_for_text(self):
        # int() refuses more than 4300 digits.
        long_id = '9' * 5000
        splitter = framing.EventSplitter(last_event_id=long_id)
        completed = splitter.feed(f'id: 1\n\nid: {long_id}\n\n'.encode())
        self.assertEqual(
            ['1', long_id], [event.event_id for event in completed]
        )

    def test_endless_event_is_refused(self):
        splitter = framing.EventSplitter()
        with self.assertRaises(exceptions.MalformedStream):
            splitter.feed(b'x' * (conf.EVENT_LIMIT_BYTES + 1))

    def test_comments_are_dropped(self):
        splitter = framing.EventSplitter()
        completed = splitter.feed(b': a\n\n:\r\n\r\n: b\nid: 1\n\n: c\n\n')
        self.assertEqual(
            [b': b\nid: 1\n\n'], [event.data for event in completed]
        )

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

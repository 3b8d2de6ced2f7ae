"""Test which connections are closed when descriptors are short."""

import unittest

from savoryyoke.intake import connections


class ConnectionTableTests(unittest.TestCase):
    def setUp(self):
        self.table = connections.ConnectionTable(limit=3)
        for name in ('first', 'second', 'third'):
            self.table.open(name)

    def test_limit(self):
        self.assertFalse(self.table.is_over_limit)
        self.table.open('fourth')
        self.assertTrue(self.table.is_over_limit)
        self.table.close('second')
        self.assertFalse(self.table.is_over_limit)

    def test_connection_that_waits_the_longest_is_closed(self):
        self.assertEqual(
            'first', self.table.find_oldest_waiting(besides='third')
        )
        self.table.begin_request('first')
        self.assertEqual(
            'second', self.table.find_oldest_waiting(besides='third')
        )
        self.table.wait('first')
        self.table.close('second')
        self.assertEqual(
            'first', self.table.find_oldest_waiting(besides='third')
        )

    def test_requests_are_not_closed(self):
        self.table.begin_request('first')
        self.table.begin_request('second')
        self.assertIsNone(self.table.find_oldest_waiting(besides='third'))

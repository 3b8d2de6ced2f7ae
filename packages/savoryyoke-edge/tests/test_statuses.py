"""Test the rule on statuses with random status lines.

Without it, a client would use an answer whose status is invalid, or would
wait for a final answer that can't arrive.
"""

import re
import unittest

import anyio
import httpcore
import hypothesis
from hypothesis import strategies

from savoryyoke_edge import checked_connections
from savoryyoke_edge import statuses

FIXED = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=400
)

# The rule, written a second time: a final status line and an informational
# head. Nothing in a head says that a body follows.
_FINAL = re.compile(rb'HTTP/[0-9]\.[0-9] [2-5][0-9][0-9][ \r\n]')
_INFORMATIONAL = re.compile(
    rb'HTTP/[0-9]\.[0-9] (?!101)1[0-9][0-9](?: [^\n]*)?\r?\n'
    rb'(?:(?!\r?\n|content-length: [0-9]*[1-9]|transfer-)[^\n]*\n)*\r?\n'
)

_ASCII = [bytes((code,)) for code in range(0x20, 0x7F)]
STATUSES = strategies.one_of(
    strategies.integers(0, 999).map(lambda status: b'%03d' % status),
    strategies.integers(-20, 12000).map(lambda status: b'%d' % status),
    strategies.lists(strategies.sampled_from(_ASCII), max_size=5).map(
        b''.join
    ),
    strategies.text(strategies.characters(categories=('Nd',)), max_size=4).map(
        str.encode
    ),
)
FIELDS = strategies.sampled_from(
    (
        b'',
        b'link: </x>\r\n',
        b'content-length: 0\r\n',
        b'content-length: 10\r\n',
        b'transfer-encoding: chunked\r\n',
    )
)
HEADS = strategies.tuples(
    strategies.one_of(strategies.sampled_from((b'100', b'103')), STATUSES),
    FIELDS,
).map(lambda parts: b'HTTP/1.1 %s Any\r\n%s\r\n' % parts)


def is_valid(data):
    """Return whether ``data`` has a valid final status line, or None.

    None means that it has none yet but one may follow.
    """
    while match := _INFORMATIONAL.match(data):
        data = data[match.end() :]
    if not data:
        return None
    return _FINAL.match(data) is not None


def check(parts):
    """Return what ``is_valid`` returns, determined by a ``StatusCheck``."""
    status_check = statuses.StatusCheck()
    try:
        for part in parts:
            status_check.feed(part)
    except statuses.InvalidStatus:
        return False
    return True if status_check.is_passed else None


class RandomStatusTests(unittest.TestCase):
    @FIXED
    @hypothesis.given(
        heads=strategies.lists(HEADS, min_size=1, max_size=3),
        cuts=strategies.lists(strategies.integers(0, 90), max_size=4),
    )
    def test_rule(self, heads, cuts):
        """Check the rule for answers that arrive in any pieces."""
        data = b''.join(heads)
        bounds = [0, *sorted(cuts), len(data)]
        parts = [data[a:b] for a, b in zip(bounds, bounds[1:])]
        self.assertEqual(is_valid(data), check(parts), data)

    @FIXED
    @hypothesis.given(status=STATUSES)
    def test_client_uses_an_answer_only_with_a_valid_status(self, status):
        data = b'HTTP/1.1 %s Any\r\ncontent-length: 4\r\n\r\nbody' % status

        async def call():
            backend = checked_connections.CheckingBackend(
                backend=httpcore.AsyncMockBackend([data])
            )
            async with httpcore.AsyncConnectionPool(
                network_backend=backend
            ) as pool:
                return await pool.request('GET', 'http://127.0.0.1/')

        if is_valid(data):
            self.assertEqual(int(status[:3]), anyio.run(call).status)
        else:
            with self.assertRaises(httpcore.RemoteProtocolError):
                anyio.run(call)


class EarlyFailureTests(unittest.TestCase):
    def test_invalid_line_fails_before_its_end(self):
        for data in (b'HTTP/1.1 6', b'HTTP/1.1 20 ', b'body', b'\r\n'):
            with self.subTest(data):
                self.assertIs(False, check([data]))

    def test_line_that_may_become_valid_is_awaited(self):
        for data in (b'', b'HTT', b'HTTP/1.1 200', b'HTTP/1.1 100 \r\n'):
            with self.subTest(data):
                self.assertIsNone(check([data]))

    def test_second_answer_on_a_connection_is_checked(self):
        """Check that the first answer doesn't end the check for good."""
        valid = b'HTTP/1.1 204 None\r\n\r\n'

        async def call():
            backend = checked_connections.CheckingBackend(
                backend=httpcore.AsyncMockBackend(
                    [valid, valid.replace(b'204', b'604')]
                )
            )
            async with httpcore.AsyncConnectionPool(
                network_backend=backend
            ) as pool:
                first = await pool.request('GET', 'http://127.0.0.1/')
                self.assertEqual(204, first.status)
                with self.assertRaises(
                    checked_connections.InvalidStatusReceived
                ):
                    await pool.request('GET', 'http://127.0.0.1/')

        anyio.run(call)

"""Test calls on persistent connections against valid and invalid servers."""

import time
import unittest

import anyio

from savoryyoke_edge import exceptions
from savoryyoke_edge import persistent_calls
from savoryyoke_fakes.deployment import http

TIMEOUT_S = 10.0
LIMIT_BYTES = 1000
HEAD = b'HTTP/1.1 200 OK\r\n'


def parse(*parts, ends=False):
    """Return what a parser returns for the last of some received parts."""
    parser = persistent_calls.AnswerParser(limit_bytes=LIMIT_BYTES)
    answer = None
    for part in parts:
        answer = parser.feed(part)
    if ends:
        answer = parser.end()
    return answer, parser.is_reusable


class AnswerParserTests(unittest.TestCase):
    def check(self, expected, data, *, is_reusable=True, ends=False):
        """Check the answer in ``data``, received whole and byte by byte."""
        status, body = expected
        answer = persistent_calls.Answer(status=status, body=body)
        for parts in ([data], [bytes([byte]) for byte in data]):
            with self.subTest(data=data[:80], parts=len(parts)):
                self.assertEqual(
                    (answer, is_reusable), parse(*parts, ends=ends)
                )

    def test_framed_answers(self):
        self.check((200, b'abc'), HEAD + b'Content-Length: 3\r\n\r\nabc')
        self.check((202, b''), b'HTTP/1.1 202 \r\nContent-Length: 0\r\n\r\n')
        self.check(
            (200, b'abcde'),
            HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n',
        )

    def test_answer_that_ends_with_its_connection(self):
        for head in (HEAD, b'HTTP/1.0 200 OK\r\n'):
            self.check(
                (200, b'abc'), head + b'\r\nabc', is_reusable=False, ends=True
            )

    def test_connection_that_the_server_will_close_is_not_used_again(self):
        for head in (
            HEAD + b'Connection: close\r\n',
            b'HTTP/1.0 200 OK\r\n',
        ):
            self.check(
                (200, b'abc'),
                head + b'Content-Length: 3\r\n\r\nabc',
                is_reusable=False,
            )

    def test_informational_answers_precede_the_final_one(self):
        self.check(
            (200, b'abc'),
            b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n'
            b'\r\n' + HEAD + b'Content-Length: 3\r\n\r\nabc',
        )

    def test_answer_without_a_body_ends_with_its_head(self):
        for status in (204, 304):
            head = f'HTTP/1.1 {status} x\r\nContent-Length: 3\r\n\r\n'
            self.check((status, b''), head.encode(), is_reusable=False)

    def test_surplus_is_no_part_of_any_answer(self):
        """A second answer would be taken for that to the next request."""
        answer = HEAD + b'Content-Length: 3\r\n\r\nabc'
        for surplus in (answer, answer[:9], b'x'):
            with self.subTest(surplus=surplus):
                parsed, is_reusable = parse(answer + surplus)
                self.assertEqual(b'abc', parsed.body)
                self.assertFalse(is_reusable)

    def test_malformed_answers(self):
        for data in (
            b'\x16\x03\x01 HTTP/1.1 200 OK\r\n\r\n',
            b'HTTP/1.1 20 OK\r\n\r\n',
            b'HTTP/1.1 0200 OK\r\n\r\n',
            b'HTTP/1.1 +200 OK\r\n\r\n',
            b'HTTP/1.1 2 0 OK\r\n\r\n',
            b'HTTP/1.1  OK\r\n\r\n',
            b'HTTP/1.1 101 Switching\r\n\r\n',
            b'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\n'
            b'Upgrade: x\r\n\r\n',
            b'HTTP/1.1 199 x\r\nContent-Length: 3\r\n\r\nabc',
            HEAD + b'Content-Length: x\r\n\r\n',
            HEAD + b'Content-Length: -3\r\n\r\n',
            HEAD + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
            HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n0\r\n\r\n',
            HEAD + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
            HEAD + b'Transfer-Encoding: gzip\r\n\r\nabc',
            HEAD + b'Transfer-Encoding: chunked\r\n\r\nx\r\n',
            HEAD + b'No colon\r\n\r\n',
        ):
            with self.subTest(data):
                with self.assertRaises(exceptions.RemoteProtocolError):
                    parse(data)

    def test_incomplete_answers(self):
        chunked_head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        for data in (
            b'',
            HEAD,
            b'HTTP/1.1 100 Continue\r\n\r\n',
            HEAD + b'Content-Length: 4\r\n\r\nabc',
            chunked_head + b'3\r\nabc\r\n',
            chunked_head + b'3\r\nabc\r\n0\r\n',
        ):
            with self.subTest(data):
                with self.assertRaises(exceptions.RemoteProtocolError):
                    parse(data, ends=True)

    def test_body_over_the_limit(self):
        for head, body in (
            (b'\r\n', b'7' * (LIMIT_BYTES + 1)),
            (b'Content-Length: 9999\r\n\r\n', b'7' * (LIMIT_BYTES + 1)),
            (
                b'Transfer-Encoding: chunked\r\n\r\n',
                b'1\r\n7\r\n' * (LIMIT_BYTES + 1),
            ),
        ):
            with self.subTest(head):
                with self.assertRaises(exceptions.BodyTooLarge):
                    parse(HEAD + head, body)
        exact = HEAD + f'Content-Length: {LIMIT_BYTES}\r\n\r\n'.encode()
        answer, _ = parse(exact, b'7' * LIMIT_BYTES)
        self.assertEqual(LIMIT_BYTES, len(answer.body))

    def test_endless_framing(self):
        chunked_head = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        for head, repeated in (
            (HEAD, b'Name: value\r\n'),
            (HEAD + b'Name: ', b'v'),
            (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
            (chunked_head + b'1;', b'x'),
            (chunked_head + b'1\r\n7\r\n0\r\n', b'Name: value\r\n'),
            (chunked_head + b'1\r\n7\r\n0\r\nName: ', b'v'),
        ):
            with self.subTest(head=head, repeated=repeated):
                parts = [repeated * 100] * 2000
                with self.assertRaises(exceptions.RemoteProtocolError):
                    parse(head, *parts)


class CallerTests(unittest.TestCase):
    """Test a caller against a simulated server.

    ``answer(request, connection)`` serves its requests. ``connections`` and
    ``requests`` list what the server has received.
    """

    def run_caller(self, answer, call, *, max_connections=2):
        self.connections, self.requests = [], []

        async def record(request, connection):
            self.requests.append(request)
            if connection not in self.connections:
                self.connections.append(connection)
            await answer(request, connection)

        async def main():
            async with anyio.create_task_group() as group:

                async def serve(*, task_status):
                    await http.serve(record, task_status=task_status)

                host, port = await group.start(serve)
                caller = persistent_calls.Caller(
                    host=host,
                    port=port,
                    max_connections=max_connections,
                    limit_bytes=LIMIT_BYTES,
                    buffer=persistent_calls.make_buffer(),
                )
                with anyio.fail_after(TIMEOUT_S):
                    await call(caller)
                group.cancel_scope.cancel()

        anyio.run(main)

    def test_request_and_reuse_of_the_connection(self):
        async def answer(request, connection):
            await connection.answer(200, body=request.body)

        async def call(caller):
            for body in (b'{}', b'', b'[' + b'7' * 900 + b']'):
                got = await caller.call(
                    'POST', '/x?y=1', timeout_s=TIMEOUT_S, body=body
                )
                self.assertEqual((200, body), (got.status, got.body))

        self.run_caller(answer, call)
        self.assertEqual(1, len(self.connections))
        request = self.requests[0]
        self.assertEqual(('POST', '/x?y=1'), (request.method, request.target))
        self.assertEqual('application/json', request.headers['content-type'])

    def test_failed_call_is_not_repeated_and_the_next_one_succeeds(self):
        async def close(request, connection):
            await connection.reset()

        async def cut(request, connection):
            await connection.send(HEAD + b'Content-Length: 9\r\n\r\nabc')
            await connection.reset()

        async def send_junk(request, connection):
            await connection.send(b'junk\r\n\r\n')

        async def send_too_much(request, connection):
            await connection.answer(200, body=b'7' * (LIMIT_BYTES + 1))

        for fail, errors in (
            (close, exceptions.ReadError),
            (cut, exceptions.ReadError),
            (send_junk, exceptions.RemoteProtocolError),
            (send_too_much, exceptions.BodyTooLarge),
        ):

            async def answer(request, connection, fail=fail):
                if request.target == '/fail':
                    await fail(request, connection)
                else:
                    await connection.answer(200)

            async def call(caller, errors=errors):
                await caller.call('GET', '/', timeout_s=TIMEOUT_S)
                with self.assertRaises(errors):
                    await caller.call('POST', '/fail', timeout_s=TIMEOUT_S)
                got = await caller.call('GET', '/', timeout_s=TIMEOUT_S)
                self.assertEqual(200, got.status)

            with self.subTest(fail.__name__):
                self.run_caller(answer, call)
                self.assertEqual(
                    ['/', '/fail', '/'],
                    [request.target for request in self.requests],
                )

    def test_connection_closed_between_calls_fails_no_call(self):
        async def answer(request, connection):
            await connection.answer(200)
            await connection.reset()

        async def call(caller):
            for _ in range(3):
                await caller.call('GET', '/', timeout_s=TIMEOUT_S)
                await anyio.sleep(0.05)

        self.run_caller(answer, call)
        self.assertEqual(3, len(self.connections))

    def test_late_second_answer_is_not_taken_for_the_next(self):
        async def answer(request, connection):
            await connection.answer(200, body=request.target.encode())
            await anyio.sleep(0.01)
            await connection.answer(409, body=b'late')

        async def call(caller):
            for path in ('/a', '/b', '/c'):
                got = await caller.call('GET', path, timeout_s=TIMEOUT_S)
                self.assertEqual(path.encode(), got.body)
                await anyio.sleep(0.05)

        self.run_caller(answer, call)

    def test_second_answer_in_pieces_is_not_taken_for_the_next(self):
        """The second piece arrives while the next call waits."""

        async def answer(request, connection):
            if len(self.requests) == 1:
                await connection.answer(200, body=b'a')
                await anyio.sleep(0.01)
                await connection.send(b'HTTP/1.1 409 x')
            else:
                await connection.send(b'\r\nContent-Length: 0\r\n\r\n')
                await connection.answer(200, body=b'b')

        async def call(caller):
            await caller.call('GET', '/a', timeout_s=TIMEOUT_S)
            await anyio.sleep(0.05)
            with self.assertRaises(exceptions.RemoteProtocolError):
                await caller.call('GET', '/b', timeout_s=TIMEOUT_S)

        self.run_caller(answer, call)
        self.assertEqual(2, len(self.connections))

    def test_failed_call_closes_its_connection_and_the_idle_ones(self):
        closed = []

        async def answer(request, connection):
            if request.target == '/fail':
                await connection.send(HEAD)
                await connection.wait_closed()
                closed.append(connection)
            else:
                await anyio.sleep(0.05)
                await connection.answer(200)

        async def call(caller):
            async with anyio.create_task_group() as group:
                for _ in range(2):
                    group.start_soon(
                        lambda: caller.call('GET', '/', timeout_s=TIMEOUT_S)
                    )
            with self.assertRaises(TimeoutError):
                await caller.call('GET', '/fail', timeout_s=0.05)
            while not closed:
                await anyio.sleep(0.01)
            await caller.call('GET', '/', timeout_s=TIMEOUT_S)

        self.run_caller(answer, call)
        self.assertEqual(3, len(self.connections))

    def test_time_limits_an_answer_that_never_ends(self):
        async def answer(request, connection):
            await connection.send_head(200, [('Content-Length', '500')])
            while True:
                await connection.send(b'7')
                await anyio.sleep(0.01)

        async def call(caller):
            start_s = time.monotonic()
            with self.assertRaises(TimeoutError):
                await caller.call('GET', '/', timeout_s=0.1)
            # The answer would be complete only after 5 s.
            self.assertLess(time.monotonic() - start_s, 4.0)

        self.run_caller(answer, call)

    def test_failed_call_ends_no_other_call(self):
        may_answer = None

        async def answer(request, connection):
            if request.target == '/fail':
                await connection.send(b'junk\r\n\r\n')
                return
            await may_answer.wait()
            await connection.answer(200)

        async def call(caller):
            nonlocal may_answer
            may_answer = anyio.Event()
            answers = []

            async def succeed():
                answers.append(
                    await caller.call('GET', '/', timeout_s=TIMEOUT_S)
                )

            async with anyio.create_task_group() as group:
                group.start_soon(succeed)
                await anyio.wait_all_tasks_blocked()
                with self.assertRaises(exceptions.RemoteProtocolError):
                    await caller.call('GET', '/fail', timeout_s=TIMEOUT_S)
                may_answer.set()
            self.assertEqual(200, answers[0].status)

        self.run_caller(answer, call)

    def test_calls_beyond_the_connections_wait_within_their_time(self):
        async def answer(request, connection):
            if request.target == '/':
                await anyio.sleep_forever()
            await connection.answer(200)

        async def call(caller):
            async with anyio.create_task_group() as group:

                async def fail():
                    with self.assertRaises(TimeoutError):
                        await caller.call('GET', '/', timeout_s=0.2)

                group.start_soon(fail)
                await anyio.wait_all_tasks_blocked()
                with self.assertRaises(TimeoutError):
                    await caller.call('GET', '/x', timeout_s=0.01)
                await caller.call('GET', '/y', timeout_s=TIMEOUT_S)

        self.run_caller(answer, call, max_connections=1)
        targets = [request.target for request in self.requests]
        self.assertEqual(['/', '/y'], targets)

    def test_server_that_does_not_listen(self):
        async def call():
            caller = persistent_calls.Caller(
                host='127.0.0.1',
                port=1,
                max_connections=1,
                limit_bytes=LIMIT_BYTES,
                buffer=persistent_calls.make_buffer(),
            )
            for _ in range(3):
                with self.assertRaises(exceptions.ConnectError):
                    await caller.call('GET', '/', timeout_s=TIMEOUT_S)

        anyio.run(call)

"""Test how input beyond a limit is refused, over real connections."""

import asyncio
import dataclasses
import socket
import unittest
from unittest import mock

import anyio

from savoryyoke.forwarding import buffers
from savoryyoke.intake import budget
from savoryyoke.intake import conf
from savoryyoke.intake import connections

from savoryyoke_edge import bounded_input
from savoryyoke_edge import servers

BUDGET_BYTES = 512 * 1024
LARGE_BYTES = 200 * 1024
CONNECTIONS = 4
TIMEOUT_S = 5.0
GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'


@dataclasses.dataclass(frozen=True)
class _Address:
    host: str = '127.0.0.1'
    port: int = 0


def build_post(length, path=b'/', head=b''):
    """Return the head of a request with a body of ``length`` bytes."""
    return b'POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n' % (
        path,
        head,
        length,
    )


class Application:
    """Answer with the number of headers and the size of the body.

    ``/held`` waits for ``may_answer``, ``/early`` does not read the body.
    ``padding`` is added to the answers.
    """

    def __init__(self):
        self.may_answer = asyncio.Event()
        self.runs = []
        self.padding = b''

    async def __call__(self, scope, receive, send):
        size = 0
        while scope['path'] != '/early':
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            size += len(message['body'])
            if not message['more_body']:
                break
        self.runs.append(scope['path'])
        if scope['path'] == '/held':
            await self.may_answer.wait()
        body = b'%d,%d' % (len(scope['headers']), size) + self.padding
        length = (b'content-length', b'%d' % len(body))
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': [length]}
        )
        await send({'type': 'http.response.body', 'body': body})


class Connection:
    """Hold a client's connection."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    async def send(self, data):
        """Send bytes and give the server a chance to read them."""
        self._writer.write(data)
        await self._writer.drain()
        await asyncio.sleep(0.01)

    async def receive(self):
        """Return the status, the headers and the body of an answer.

        The status is 0 at the end of the connection.
        """
        try:
            head = await self._reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, {}, b''
        status_line, *lines = head.decode().strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        body = await self._reader.readexactly(int(headers['content-length']))
        return int(status_line.split()[1]), headers, body

    async def receive_status(self):
        """Return the status of an answer, 0 at the end."""
        status, _, _ = await self.receive()
        return status

    def close(self):
        """Close the connection."""
        self._writer.close()


class BoundedInputTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.causes = []
        self.application = Application()
        self.intake = bounded_input.Intake(
            budget=budget.ByteBudget(limit_bytes=BUDGET_BYTES),
            connections=connections.ConnectionTable(limit=CONNECTIONS),
            answers=buffers.BufferAccount(limit_bytes=BUDGET_BYTES),
            refusals=bounded_input.RefusalLog(count=self.causes.append),
            idle_s=TIMEOUT_S,
        )
        protocol = type(
            'TestedProtocol',
            (bounded_input.BoundedInputProtocol,),
            {'intake': self.intake},
        )
        listener = servers.bind(_Address())
        self.address = listener.getsockname()
        server = servers.build_server(
            self.application, protocol_class=protocol
        )
        self.server_task = asyncio.create_task(server.serve([listener]))
        self.server = server
        self.opened = []

    async def asyncTearDown(self):
        self.application.may_answer.set()
        for connection in self.opened:
            connection.close()
        self.server.should_exit = True
        await asyncio.wait_for(self.server_task, TIMEOUT_S)

    async def connect(self):
        connection = Connection(*await asyncio.open_connection(*self.address))
        self.opened.append(connection)
        return connection

    async def check(self, data, status, cause=None):
        """Check the answer to a request on a new connection."""
        connection = await self.connect()
        await connection.send(data)
        with anyio.fail_after(TIMEOUT_S):
            self.assertEqual(status, await connection.receive_status())
        if cause is not None:
            self.assertEqual(cause, self.causes[-1])
            self.assertEqual([], self.application.runs)

    async def test_head_over_the_limit(self):
        filler = b'b' * 2 * self.intake.header_bytes
        await self.check(GET[:-2] + b'a: ' + filler, 431, 'head-bytes')
        await self.check(b'GET /' + filler, 431, 'head-bytes')

    async def test_complete_head_over_the_limit(self):
        filler = b'a: ' + b'b' * 2 * self.intake.header_bytes
        await self.check(GET[:-2] + filler + b'\r\n\r\n', 431, 'head-bytes')

    async def test_head_with_too_many_lines(self):
        lines = b'a: b\r\n' * conf.HEAD_LINES_LIMIT
        await self.check(GET[:-2] + lines + b'\r\n', 431, 'head-lines')

    async def test_body_over_the_limit(self):
        length = self.intake.body_bytes + 1
        await self.check(build_post(length), 413, 'body-bytes')
        await self.check(
            build_post(length, head=b'Expect: 100-continue\r\n'),
            413,
            'body-bytes',
        )

    async def test_chunked_body_over_the_limit(self):
        self.intake.body_bytes = 1000
        chunk = b'3e8\r\n' + bytes(1000) + b'\r\n'
        await self.check(CHUNKED + chunk + chunk, 413, 'body-bytes')

    async def test_answer_reaches_a_caller_that_goes_on_sending(self):
        # A connection that is closed with unread bytes is reset, and the
        # answer is lost.
        self.intake.body_bytes = 1000
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setblocking(False)
            await loop.sock_connect(client, self.address)
            await loop.sock_sendall(client, build_post(10**6))
            for _ in range(10):
                await asyncio.sleep(0.02)
                await loop.sock_sendall(client, bytes(10**5))
            answer = await loop.sock_recv(client, 4096)
        self.assertTrue(answer.startswith(b'HTTP/1.1 413'))

    async def test_framing(self):
        filler = b'0' * 2 * conf.FRAMING_BYTES_LIMIT
        for data in (
            b'1;a=' + filler,
            filler,
            b'0\r\na: ' + filler,
            b'0\r\n' + b'a: b\r\n' * conf.FRAMING_BYTES_LIMIT,
        ):
            with self.subTest(data[:8]):
                await self.check(CHUNKED + data, 431, 'framing')

    async def test_many_small_chunks_are_no_framing(self):
        chunks = b'1\r\na\r\n' * 10_000
        await self.check(CHUNKED + chunks + b'0\r\n\r\n', 200)

    async def test_empty_lines(self):
        await self.check(b'\r\n\r\n' + GET, 200)
        self.application.runs.clear()
        await self.check(b'\r\n' * 100 + GET, 400, 'empty-lines')

    async def test_malformed_request(self):
        await self.check(b'\x00\x01\r\n\r\n', 400, 'malformed')

    async def test_trailers_are_not_taken_for_headers(self):
        connection = await self.connect()
        await connection.send(CHUNKED + b'1\r\na\r\n0\r\nb: c\r\n\r\n')
        self.assertEqual(b'1,1', (await connection.receive())[2])

    async def test_pipelined_requests_are_served_in_order(self):
        post = build_post(3) + b'abc'
        chunked = CHUNKED + b'2\r\nab\r\n0\r\nb: c\r\n\r\n'
        data = (GET + post + chunked) * 3
        for piece_bytes in (1, 2, 3, 7, len(data)):
            with self.subTest(piece_bytes):
                connection = await self.connect()
                for start in range(0, len(data), piece_bytes):
                    connection._writer.write(data[start : start + piece_bytes])
                    await asyncio.sleep(0)
                with anyio.fail_after(TIMEOUT_S):
                    bodies = [
                        (await connection.receive())[2] for _ in range(9)
                    ]
                self.assertEqual([b'1,0', b'1,3', b'1,2'] * 3, bodies)
                connection.close()

    async def test_no_more_is_read_while_a_request_is_served(self):
        connection = await self.connect()
        await connection.send(build_post(0, b'/held') + GET * 100_000)
        await asyncio.sleep(0.1)
        self.assertEqual(['/held'], self.application.runs)
        self.assertLess(self.intake.budget.total_bytes, 20 * 1024)

    async def test_requests_after_a_divided_empty_line_are_not_parsed(self):
        # Each parsed request takes some kilobytes.
        for head in (build_post(0, b'/held'), CHUNKED + b'0\r\n\r\n'):
            for divided_at in (1, 2, 3):
                connection = await self.connect()
                await connection.send(head[:-divided_at])
                await connection.send(head[-divided_at:] + GET * 100)
                for protocol in self.server.server_state.connections:
                    self.assertFalse(protocol.pipeline)
                connection.close()
                await asyncio.sleep(0.05)

    async def test_body_that_the_application_does_not_read(self):
        connection = await self.connect()
        await connection.send(build_post(4, b'/early') + b'ab')
        self.assertEqual(200, await connection.receive_status())
        await connection.send(b'cd' + GET)
        self.assertEqual(200, await connection.receive_status())

    async def test_empty_lines_do_not_keep_a_connection_open(self):
        with mock.patch.object(self.server.config, 'timeout_keep_alive', 0.2):
            connection = await self.connect()
            await connection.send(GET)
            self.assertEqual(200, await connection.receive_status())
            await connection.send(b'\r\n')
            with anyio.fail_after(TIMEOUT_S):
                self.assertEqual(0, await connection.receive_status())

    async def test_answer_that_is_not_read(self):
        self.intake.idle_s = 0.1
        self.application.padding = bytes(16 * 1024 * 1024)
        connection = await self.connect()
        await connection.send(GET)
        with anyio.fail_after(TIMEOUT_S):
            while not self.causes:
                await asyncio.sleep(0.01)
        self.assertEqual(['answer-not-read'], self.causes)
        await asyncio.sleep(0.05)
        self.assertEqual(0, self.intake.answers.total_bytes)

    async def test_unread_answer_counts(self):
        self.application.padding = bytes(16 * 1024 * 1024)
        connection = await self.connect()
        await connection.send(GET)
        await asyncio.sleep(0.05)
        self.assertGreater(self.intake.answers.total_bytes, 2 * 1024 * 1024)
        connection.close()
        await asyncio.sleep(0.05)
        self.assertEqual(0, self.intake.answers.total_bytes)

    async def test_oldest_body_is_refused_when_memory_is_short(self):
        old, new, third = [await self.connect() for _ in range(3)]
        for connection in (old, new, third):
            await connection.send(build_post(LARGE_BYTES))
            await connection.send(bytes(LARGE_BYTES - 1))
        with anyio.fail_after(TIMEOUT_S):
            status, headers, _ = await old.receive()
        self.assertEqual(503, status)
        self.assertLess(float(headers['retry-after']), 1.0)
        self.assertEqual(['budget'], self.causes)
        for connection in (new, third):
            await connection.send(b'x')
            self.assertEqual(200, await connection.receive_status())
        self.assertEqual(0, self.intake.budget.total_bytes)

    async def test_request_that_is_served_is_not_cut(self):
        held = [await self.connect() for _ in range(2)]
        for connection in held:
            await connection.send(build_post(LARGE_BYTES, b'/held'))
            await connection.send(bytes(LARGE_BYTES))
        await asyncio.sleep(0.05)
        # Refused itself; an ordinary request still has room.
        third = await self.connect()
        await third.send(build_post(LARGE_BYTES))
        await third.send(bytes(LARGE_BYTES - 1))
        self.assertEqual(503, await third.receive_status())
        await self.check(GET, 200)
        self.application.may_answer.set()
        for connection in held:
            self.assertEqual(200, await connection.receive_status())

    async def test_body_without_progress(self):
        self.intake.idle_s = 0.1
        await self.check(build_post(3) + b'ab', 408, 'body-stalled')

    async def test_oldest_idle_connection_is_closed_first(self):
        idle = [await self.connect() for _ in range(CONNECTIONS)]
        await asyncio.sleep(0.05)
        await self.check(GET, 200)
        with anyio.fail_after(TIMEOUT_S):
            self.assertEqual(0, await idle[0].receive_status())
        self.assertEqual(['idle-closed'], self.causes)
        await idle[1].send(GET)
        self.assertEqual(200, await idle[1].receive_status())

    async def test_incomplete_head_is_refused_for_another_connection(self):
        heads = [await self.connect() for _ in range(CONNECTIONS)]
        for connection in heads:
            await connection.send(GET[:-2])
        await self.check(GET, 200)
        self.assertEqual(408, await heads[0].receive_status())
        self.assertEqual(['descriptors'], self.causes)

    async def test_new_connection_is_refused_while_all_are_served(self):
        for _ in range(CONNECTIONS):
            connection = await self.connect()
            await connection.send(build_post(0, b'/held'))
        connection = await self.connect()
        with anyio.fail_after(TIMEOUT_S):
            status, headers, _ = await connection.receive()
        self.assertEqual(503, status)
        self.assertIn('retry-after', headers)
        self.assertEqual(['connections'], self.causes)

    async def test_closed_connections_make_room(self):
        for _ in range(3 * CONNECTIONS):
            connection = await self.connect()
            await connection.send(GET)
            self.assertEqual(200, await connection.receive_status())
            connection.close()
            await asyncio.sleep(0.01)
        self.assertEqual([], self.causes)
        self.assertEqual(0, self.intake.connections.count)


class RefusalLogTests(unittest.TestCase):
    """Guard against floods of log lines."""

    def test_one_line_per_second_and_cause(self):
        now_s = 0.0
        causes = []
        log = bounded_input.RefusalLog(
            count=causes.append, clock=lambda: now_s
        )
        with mock.patch.object(bounded_input.logs, 'write_event') as write:
            for _ in range(5):
                log.record('budget', status=503)
            log.record('framing', status=431)
            now_s = 1.5
            log.record('budget', status=503)
        self.assertEqual(7, len(causes))
        self.assertEqual(
            [('budget', 0), ('framing', 0), ('budget', 4)],
            [
                (call.kwargs['cause'], call.kwargs['omitted'])
                for call in write.call_args_list
            ],
        )

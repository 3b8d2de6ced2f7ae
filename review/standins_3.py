"""Stand-ins of the platform, replicas and clients for the scripts of a case.

They use the standard library only. One process runs all of them; the entries
are the project's own programs, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = 'api.example'
KEY = 'key-of-fund'
TENANT = 'fund'
HEARTBEAT_S = 1.2
METRICS_PORT = 9464
STREAM_EVENTS = 5
ENTRY_COMMAND = ('python3', '-S', '-m', 'savoryyoke_platform.entry')
BOUNDS = {
    'SeedLagS': 3,
    'AddrReuseS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'CatchupS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LostSlackMs': 200,
    'ConfigMs': 2000,
    'RollbackSlackMs': 250,
    'StretchMaxMs': 5000,
    'StrictRevoke': False,
    'RevokeMs': 5000,
    'RetryRatio': 0.2,
    'BudgetWindowS': 10,
    'RetrySlack': 92,
    'ColdOver': 1.5,
    'ColdSlack': 5,
    'EvacuateMs': 5000,
    'RecoveryS': 12,
    'PassMs': 120,
    'RetryAfterS': 0,
    'stall_ms': 1500,
    'FencingEnforced': False,
    'ttl_max_s': 5,
}


class Record:
    """Write what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = path.open('w')
        self._began_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the script began."""
        return time.monotonic() - self._began_s

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f'{self.now_s():9.3f} {text}\n')

    def close(self):
        self._file.close()


@dataclasses.dataclass(kw_only=True)
class Request:
    """Hold a request that was read completely."""

    method: str
    target: str
    headers: dict
    body: bytes


async def read_request(reader):
    """Return the next ``Request`` of a connection, or None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    request_line, *lines = head.decode('latin-1').split('\r\n')[:-2]
    method, target, _ = request_line.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method=method, target=target, headers=headers, body=body)


async def read_body(reader, headers):
    """Return the whole body of an answer, with a length or in chunks."""
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    return body


def build_answer(status, headers=(), body=b''):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def find_free_host():
    """Return a loopback host on which the fixed metrics port is free."""
    while True:
        host = '127.%d.%d.%d' % (
            random.randint(20, 250),
            random.randint(1, 250),
            random.randint(2, 250),
        )
        with socket.socket() as probe:
            with contextlib.suppress(OSError):
                probe.bind((host, METRICS_PORT))
                return host


def find_port_range(host, count):
    """Return the first of ``count`` consecutive ports that are free."""
    while True:
        first = random.randint(20000, 31000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = stack.enter_context(
                            socket.socket(socket.AF_INET, kind)
                        )
                        probe.bind((host, port))
            except OSError:
                continue
            return first


class Store:
    """Hold the platform's items; replicas' entries have a lease.

    ``is_away`` makes it refuse all connections' calls (no answer, reset).
    ``restore`` replaces its content by an older copy and raises the era. An
    entry of a replica that was not written for three heartbeat intervals is
    removed; after a return, the intervals count from the return. Copies are
    taken every ``COPY_S``. Expiry is checked once in a heartbeat interval, by a
    timer that begins at a random time and runs on while the store is away.
    """

    COPY_S = 0.5

    def __init__(self, record):
        self._record = record
        self._items = {}
        self._written_s = {}
        self._rev = 1000
        self._events = []
        self._history_from = 1000
        self._changed = asyncio.Event()
        self._copies = []
        self._writers = set()
        self.era = 3
        self.is_away = False
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()
        return server

    def write(self, key, value, *, is_leased=None):
        """Write an item; replicas' entries have a lease unless told so."""
        if self.is_away:
            return False
        if is_leased is None:
            is_leased = key.startswith('servers/')
        self._rev += 1
        item = {
            'Key': key,
            'Value': base64.b64encode(json.dumps(value).encode()).decode(),
            'Rev': self._rev,
            'Created': self._rev,
            'Lease': int(is_leased),
        }
        self._items[key] = item
        self._written_s[key] = time.monotonic()
        self._events.append(item)
        self._notify()
        return True

    def remove(self, key):
        if self.is_away or self._items.pop(key, None) is None:
            return False
        self._rev += 1
        self._events.append({'Key': key, 'Rev': self._rev, 'Deleted': True})
        self._notify()
        return True

    def has(self, key):
        return key in self._items

    def go_away(self):
        """Refuse all calls and cut the watches that wait."""
        self.is_away = True
        self._notify()
        for writer in self._writers:
            writer.transport.abort()
        self._record.write('store goes away')

    def come_back(self, *, copy_age_s=None):
        """Serve again, from a copy of this age if one is given."""
        now_s = time.monotonic()
        if copy_age_s is not None:
            _, items, rev = min(
                self._copies,
                key=lambda copy: abs(now_s - copy_age_s - copy[0]),
            )
            self._items, self._rev = dict(items), rev
            self._events, self._history_from = [], rev
            self.era += 1
        for key in self._items:
            self._written_s[key] = now_s
        self.is_away = False
        self._notify()
        self._record.write(
            f'store is back, era {self.era}, keys {sorted(self._items)}'
        )

    async def run(self):
        """Take copies and remove entries whose lease has expired."""
        due_s = time.monotonic() + random.random() * HEARTBEAT_S
        while True:
            await asyncio.sleep(self.COPY_S / 10)
            now_s = time.monotonic()
            is_due = now_s >= due_s
            if is_due:
                due_s += HEARTBEAT_S
            if self.is_away:
                continue
            if not self._copies or now_s - self._copies[-1][0] > self.COPY_S:
                self._copies.append((now_s, dict(self._items), self._rev))
            if is_due:
                self._remove_expired(now_s)

    def _remove_expired(self, now_s):
        for key in [k for k, item in self._items.items() if item['Lease']]:
            if now_s - self._written_s[key] >= 3 * HEARTBEAT_S:
                self.remove(key)
                self._record.write(f'store: lease of {key} expired')

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if self.is_away:
                    break
                answer = await self._answer(request)
                if self.is_away:
                    break
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path.endswith('/kv-range'):
            keys = sorted(
                key for key in self._items if key > query.get('After', '')
            )
            document = {
                'Items': [self._items[key] for key in keys],
                'AsOf': self._rev,
                'HasMore': False,
            }
            return self._build(200, document)
        if url.path.endswith('/kv-watch'):
            return await self._watch(
                int(query['After']), int(query['WaitMs']) / 1000
            )
        return self._build(404, {})

    async def _watch(self, after, wait_s):
        era, end_s = self.era, time.monotonic() + wait_s
        while (
            self._rev == after
            and self.era == era
            and not self.is_away
            and time.monotonic() < end_s
        ):
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), max(end_s - time.monotonic(), 0)
                )
        if not self._history_from <= after <= self._rev:
            return self._build(410, {})
        events = [event for event in self._events if event['Rev'] > after]
        return self._build(200, {'events': events, 'AsOf': self._rev})

    def _build(self, status, document):
        headers = [
            ('Content-Type', 'application/json'),
            ('Store-Era', self.era),
        ]
        return build_answer(status, headers, json.dumps(document).encode())


class Replica:
    """Run requests of one service and write its entry every heartbeat.

    ``is_listed`` is false once its entry was removed: it writes no more, and
    continues to serve.
    """

    def __init__(self, *, replica_id, store, record, service='plain',
                 zone='zone-a', work_s=0.02, slots=4, entry_fields=None):
        self.replica_id = replica_id
        # Fields that the entry has besides those of every replica.
        self.entry_fields = entry_fields or {}
        self._store = store
        self._record = record
        self._service = service
        self._zone = zone
        self._work_s = work_s
        self._slots = slots
        self._seq = 0
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.is_listed = True
        self.running = 0
        # (time of arrival, request id) of all requests that were run.
        self.runs = []
        self.headers = []
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = '%s:%d' % server.sockets[0].getsockname()
        return server

    async def run(self):
        while True:
            if self.is_listed:
                self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self):
        self._seq += 1
        self._store.write(
            f'servers/{self.replica_id}',
            {
                'Service': self._service,
                'Addr': self.address,
                'Zone': self._zone,
                'Version': 'v1',
                'Slots': self._slots,
                'State': self.state,
                'ColdLeftMs': 0,
                'Seq': self._seq,
                'born': self.born,
                **self.entry_fields,
            },
        )

    def leave_unreported(self):
        """Have the entry removed and continue to serve."""
        self.is_listed = False
        is_removed = self._store.remove(f'servers/{self.replica_id}')
        self._record.write(
            f'{self.replica_id} leaves; its entry is removed: {is_removed}'
        )

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await self._run(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, request, writer):
        request_id = request.headers.get('x-request-id', '')
        expected = request.headers.get('x-expect-instance')
        if expected not in (None, self.replica_id):
            writer.write(build_answer(421, [('X-Instance', self.replica_id)]))
            await writer.drain()
            return
        self.runs.append((self._record.now_s(), request_id))
        self._record.write(f'{self.replica_id} runs {request_id}')
        self.running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self.running -= 1
        headers = [
            ('X-Request-Id', request_id),
            ('X-Server-Seal', f'seal-{self.replica_id}'),
            ('X-Load', f'{self.running},0,{self._slots}'),
            *self.headers,
        ]
        if request.headers.get('accept') == 'text/event-stream':
            await self._stream(writer, headers, request)
            return
        writer.write(build_answer(200, headers, self.replica_id.encode()))
        await writer.drain()


    async def _stream(self, writer, headers, request):
        """Send ``STREAM_EVENTS`` events, after the one that is named."""
        lines = ['HTTP/1.1 200 OK', *(f'{n}: {v}' for n, v in headers)]
        lines += ['Content-Type: text/event-stream']
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        first = int(request.headers.get('last-event-id', 0)) + 1
        for number in range(first, STREAM_EVENTS + 1):
            event = f'id: {number}\ndata: token-{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._work_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Entry:
    """Run an entry as a process, with the command of the deploy file."""

    def __init__(self, *, number, store, folder, zone='zone-a'):
        self.name = f'edge-{zone}-{number}'
        self.host = find_free_host()
        self.zone = zone
        self._store = store
        self._path = pathlib.Path(folder, f'{self.name}.json')
        self._log_path = pathlib.Path(folder, f'{self.name}.log')
        self._first_port = find_port_range(self.host, 20)
        self.address = (self.host, self._first_port)
        self.process = None

    def write_settings(self, *, seeds, peer_port):
        port = self._first_port
        listen = {
            'Front': f'{self.host}:{port}',
            'Ready': f'{self.host}:{port + 1}',
            'Control': f'{self.host}:{port + 2}',
            'Directory': f'{self.host}:{port + 3}',
        }
        document = {
            'Node': self.name,
            'Role': 'entry',
            'Class': 'edge',
            'Serves': ['edge', 'control', 'directory'],
            'Ip': self.host,
            'Zone': self.zone,
            'Region': 'region',
            'Zones': {'zone-a': 'region', 'zone-b': 'region'},
            'Listen': listen,
            'PortRange': [peer_port, peer_port + 15],
            'Seeds': [f'{seed}:{port + 2}' for seed in seeds],
            'Bootstrap': True,
            'InTolerance': False,
            'Limits': {
                'CpuShare': 1.0,
                'Cores': 1,
                'MemoryMb': 300,
                'MaxFds': 4100,
                'LinkMbps': 1000.0,
                'DiskMb': 0,
            },
            'DataDir': None,
            'Discovery': 'platform',
            'Entry': 'directory',
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'Contracts': [],
            'Tolerate': {'Machines': 1, 'Zones': 1, 'Regions': 0},
            'Bounds': BOUNDS,
            'Provider': {
                'Addr': self._store.address,
                'form': 'read',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1048576,
                'TtlMinMs': 1000,
            },
        }
        self._path.write_text(json.dumps(document))

    def start(self):
        with self._log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ENTRY_COMMAND,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'LANG': os.environ.get('LANG', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'SAVORYYOKE_SETTINGS': str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """End the process, whatever it does."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    def read_log(self):
        return self._log_path.read_text(errors='replace')

    async def is_ready(self):
        """Return whether the readiness address answers with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._first_port + 1
            )
        except OSError:
            return False
        try:
            writer.write(b'GET /savoryyoke/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            head = await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in head


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Hold the end of a request: a status, or 0 for a closed connection."""

    request_id: str
    entry: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict
    body: bytes


class Client:
    """Send requests, each on a connection of its own, and record the ends."""

    def __init__(self, record):
        self._record = record
        self.outcomes = []

    async def call(self, entry, path, *, method='GET', body=b'',
                   deadline_s=3.0, key=KEY, host=HOST_NAME, headers_sent=()):
        request_id = '%016x' % random.getrandbits(64)
        sent_s = self._record.now_s()
        self._record.write(f'{request_id} {method} {path} to {entry.name}')
        head = [
            f'{method} {path} HTTP/1.1',
            f'Host: {host}',
            f'X-Request-Id: {request_id}',
            f'X-Deadline-Ms: {int(deadline_s * 1000)}',
            f'Authorization: Bearer {key}',
            f'Content-Length: {len(body)}',
            *headers_sent,
        ]
        status, headers, answer = 0, {}, b''
        writer = None
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(*entry.address)
                writer.write('\r\n'.join([*head, '', '']).encode() + body)
                status_line = await reader.readline()
                if status_line:
                    code = int(status_line.split()[1])
                    while (line := await reader.readline()).strip():
                        name, _, value = line.decode('latin-1').partition(':')
                        headers[name.strip().lower()] = value.strip()
                    answer = await read_body(reader, headers)
                    status = code
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        outcome = Outcome(
            request_id=request_id,
            entry=entry.name,
            sent_s=sent_s,
            ended_s=self._record.now_s(),
            status=status,
            headers=headers,
            body=answer,
        )
        self.outcomes.append(outcome)
        self._record.write(f'{request_id} ends with {status} {answer[:20]!r}')
        return outcome


def build_route(prefix, kind, **changes):
    route = {
        'Name': prefix.strip('/'),
        'Host': HOST_NAME,
        'Prefix': prefix,
        'Kind': kind,
        'TimeoutMs': 3000,
        'SloMs': 400,
        'Priority': 1,
        'Service': 'plain',
        'Attempts': 2,
        'Public': False,
    }
    return route | changes


def build_configuration(version, routes, **changes):
    configuration = {
        'Version': version,
        'Routes': routes,
        'Services': [{'Name': 'plain', 'MaxConns': 100, 'ColdPerS': 0.0}],
        'Limits': {
            'HeaderBytes': 16384,
            'MaxBodyBytes': 65536,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': TENANT, 'ApiKeys': [KEY]}],
    }
    return configuration | changes


def ignore_cancelled_connections():
    """Write no traces of connections that the end of a play cancels."""
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)


async def wait_until(condition, timeout_s=15.0):
    """Return whether an asynchronous condition came true in time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


def main(play, folder, *, trouble):
    """Run ``play(record, temporary folder, trouble)``; exit as it returns.

    It returns whether the rule held, or None if the case could not run.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    held = None
    try:
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(
                asyncio.wait_for(play(record, temporary, trouble), 110)
            )
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        print(f'the case could not run: {error!r}', file=sys.stderr)
    finally:
        record.close()
    sys.exit({True: 0, False: 1}.get(held, 2))

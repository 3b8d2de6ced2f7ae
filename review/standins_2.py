"""Stand-ins for the store, replicas and clients of the cases 6 to 10.

They follow the users' PROTOCOL.md and need only the standard library.
``build-2.sh`` copies this module to ``target/review-2``.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import socket
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path.cwd()
HOST_NAME = 'api.example'
KEY = 'key-of-fund'
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Exit statuses of a case.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

# Bounds of the users' small sites.
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
    """Write timed lines about what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start_s = time.monotonic()

    def write(self, *words):
        """Write one line."""
        elapsed_s = time.monotonic() - self._start_s
        line = ' '.join(str(word) for word in words)
        print(f'{elapsed_s:8.3f} {line}', file=self._file, flush=True)


def choose_network():
    """Return the first three numbers of a loopback network."""
    return f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'


def find_ports(host, count):
    """Return ports of a host that are free for TCP and UDP now."""
    opened, ports = [], []
    try:
        while len(ports) < count:
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            opened += [tcp, udp]
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for item in opened:
            item.close()
    return ports


async def read_head(reader):
    """Return the first line of a message and its headers by name."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers.setdefault(name.lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with these headers."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        size = int(headers.get('content-length', 0))
        return await reader.readexactly(size)
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


async def read_answer(reader):
    """Return the status, the headers and the whole body of an answer."""
    while True:
        line, headers = await read_head(reader)
        status = int(line.split(' ')[1])
        if status >= 200:
            return status, headers, await read_body(reader, headers)


def build_request(
    method, path, request_id, *, body=b'', deadline_ms=8000, headers=()
):
    """Return the bytes of a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        *headers,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def build_answer(status, body=b'', headers=()):
    """Return the bytes of an answer with a length."""
    lines = [
        f'HTTP/1.1 {status} Status',
        *headers,
        f'Content-Length: {len(body)}',
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def serve_connection(reader, writer, answer):
    """Pass each request of a connection to ``answer`` until it ends.

    ``answer(line, headers, body, writer)`` is a coroutine function.
    """
    try:
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            await answer(line, headers, body, writer)
            await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
        pass
    finally:
        writer.close()


class Store:
    """Serve the reading calls of the platform's store."""

    def __init__(self):
        self._items_by_key = {}
        self._events = []
        self._revision = 1
        self._changed = asyncio.Event()
        self.address = None

    async def start(self):
        """Listen on a free port."""

        async def serve(reader, writer):
            await serve_connection(reader, writer, self._answer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.address = server.sockets[0].getsockname()

    def write(self, key, value):
        """Write a JSON value."""
        self._revision += 1
        item = {
            'Key': key,
            'Value': base64.b64encode(json.dumps(value).encode()).decode(),
            'Rev': self._revision,
            'Created': self._revision,
            'Lease': 0,
        }
        self._items_by_key[key] = item
        self._add_event(item)

    def remove(self, key):
        """Remove a key."""
        self._revision += 1
        del self._items_by_key[key]
        self._add_event({'Key': key, 'Rev': self._revision, 'Deleted': True})

    def _add_event(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, line, headers, body, writer):
        url = urllib.parse.urlsplit(line.split(' ')[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/savoryyoke/kv-range':
            document = self._read_range(query)
        else:
            document = await self._watch(query)
        writer.write(
            build_answer(
                200,
                json.dumps(document).encode(),
                ['Content-Type: application/json'],
            )
        )

    def _read_range(self, query):
        keys = sorted(
            key
            for key in self._items_by_key
            if key.startswith(query.get('Prefix', ''))
            and key > query.get('After', '')
        )
        return {
            'Items': [self._items_by_key[key] for key in keys[:500]],
            'HasMore': len(keys) > 500,
            'AsOf': self._revision,
        }

    async def _watch(self, query):
        end_s = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event['Rev'] > int(query['After'])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'AsOf': self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Replica:
    """Run requests for plain services and record them.

    ``runs`` holds the id, the first line and the body of each.
    """

    def __init__(self, *, name, record, answer_bytes=800):
        self.name = name
        self.runs = []
        self.address = None
        self._record = record
        self._answer_bytes = answer_bytes

    async def start(self):
        """Listen on a free port."""

        async def serve(reader, writer):
            await serve_connection(reader, writer, self._answer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.address = server.sockets[0].getsockname()

    async def _answer(self, line, headers, body, writer):
        request_id = headers.get('x-request-id', '')
        common_headers = [
            f'X-Request-Id: {request_id}',
            f'X-Instance: {self.name}',
        ]
        if headers.get('x-expect-instance', self.name) != self.name:
            writer.write(build_answer(421, headers=common_headers))
            return
        self.runs.append((request_id, line, body))
        self._record.write(
            'run', self.name, request_id, line.rpartition(' ')[0], body[:200]
        )
        seal = f'X-Server-Seal: {self.name}.{len(self.runs)}'
        writer.write(
            build_answer(
                200, b'x' * self._answer_bytes, [*common_headers, seal]
            )
        )


def build_route(prefix, kind, **changes):
    """Return a route of the configuration."""
    return {
        'Name': prefix.strip('/'),
        'Host': HOST_NAME,
        'Prefix': prefix,
        'Kind': kind,
        'TimeoutMs': 8000,
        'SloMs': 400,
        'Priority': 1,
        'Service': 'plain',
        'Attempts': 2,
        'Public': False,
    } | changes


def build_configuration(*, routes, services):
    """Return the operator's configuration."""
    return {
        'Version': 1,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'HeaderBytes': 16384,
            'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [{'Name': 'fund', 'ApiKeys': [KEY]}],
    }


PLAIN_SERVICE = {'Name': 'plain', 'MaxConns': 110, 'ColdPerS': 0.0}


def build_entry_of(address, **changes):
    """Return what a replica writes into the store about itself."""
    return {
        'Service': 'plain',
        'Addr': f'{address[0]}:{address[1]}',
        'Zone': 'zone-a',
        'Version': 'v1',
        'Slots': 6,
        'State': 'ready',
        'ColdLeftMs': 0,
        'Seq': 1,
        'born': 1700000000000,
    } | changes


class Program:
    """Run a program of the deploy file as a process."""

    def __init__(self, *, module, name, settings, folder):
        self._module = module
        self._settings = settings
        self._settings_path = pathlib.Path(folder, f'{name}.json')
        self._write_settings()
        self.log_path = pathlib.Path(folder, f'{name}.log')
        self.process = None

    def change_settings(self):
        """Add a seed to the settings file."""
        self._settings['Seeds'].append(self._settings['Seeds'][0])
        self._write_settings()

    def _write_settings(self):
        self._settings_path.write_text(json.dumps(self._settings))

    def start(self):
        """Start the process with the command of the deploy file."""
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', self._module],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'SAVORYYOKE_SETTINGS': str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Entry(Program):
    """Run an entry on a loopback host."""

    def __init__(self, *, host, store_address, folder):
        front, ready, control, directory, first_port = find_ports(host, 5)
        self.front = (host, front)
        self.ready = (host, ready)
        self.control = f'{host}:{control}'
        self.port_range = [first_port, first_port + 15]
        super().__init__(
            module='savoryyoke_platform.entry',
            name=f'entry-{host}',
            folder=folder,
            settings={
                'Node': 'edge-1',
                'Role': 'entry',
                'Class': 'edge',
                'Serves': ['edge', 'control', 'directory'],
                'Ip': host,
                'Zone': 'zone-a',
                'Region': 'region',
                'Zones': {'zone-a': 'region', 'zone-b': 'region'},
                'Listen': {
                    'Front': f'{host}:{front}',
                    'Ready': f'{host}:{ready}',
                    'Control': f'{host}:{control}',
                    'Directory': f'{host}:{directory}',
                },
                'PortRange': self.port_range,
                'Seeds': [f'{host}:{control}'],
                'Bootstrap': True,
                'Limits': {
                    'CpuShare': 0.537,
                    'Cores': 2,
                    'MemoryMb': 300,
                    'MaxFds': 4100,
                    'LinkMbps': 1000.0,
                    'DiskMb': 0,
                },
                'HeartbeatMs': 1200,
                'Bounds': BOUNDS,
                'Provider': {
                    'Addr': f'{store_address[0]}:{store_address[1]}',
                    'form': 'read',
                    'ReadsPerS': 2000,
                    'HistoryS': 20,
                    'ValueBytes': 1048576,
                },
            },
        )

    async def wait_until_ready(self, *, timeout_s=20.0):
        """Return once the entry is ready; raise ``TimeoutError`` if late."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self._is_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError('the entry is not ready')

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b'GET /savoryyoke/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line, _ = await read_head(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return line.split(' ')[1] == '200'

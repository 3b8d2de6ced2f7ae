"""Run the entries, targets, proxies and store of one run of the soak."""

import contextlib
import json
import pathlib
import random
import signal
import socket
import time

import anyio

from savoryyoke_fakes.deployment import published
from savoryyoke_fakes.deployment import sockets
from savoryyoke_fakes.deployment import store as fake_store

from savoryyoke_soak import children
from savoryyoke_soak import conf
from savoryyoke_soak import proxies
from savoryyoke_soak import records

_SETTINGS_VARIABLE = 'SAVORYYOKE_SETTINGS'
_CONTROL_PORTS = 16
# Address within a block that reserves it; no entry uses it.
_GUARD_HOST = 254
_GUARD_PORT = 9464


class StartFailed(Exception):
    """Report an entry that does not become ready, with its last log lines."""


class Entry:
    """Hold the addresses, settings and current process of one entry."""

    def __init__(self, *, number, host, directory):
        self.number = number
        self.host = host
        self.caller_address, self.ready_address, self.directory_address = (
            f'{host}:{port}' for port in sockets.find_ports(host, 3)
        )
        self.settings_path = pathlib.Path(directory, f'entry-{number}.json')
        self.start_count = 0
        self.started_s = None
        self.child = None
        # Name of the process that serves the caller address.
        self.incarnation = f'entry-{number}.0'
        self.is_up = False
        self.is_busy = False
        # Proxy between this entry and the store, and its address.
        self.proxy = None
        self.store_address = None
        self.log_lines = []


class Target:
    """Hold the current process and proxy of one target."""

    def __init__(self, *, number):
        self.number = number
        self.start_count = 0
        self.child = None
        self.proxy = None
        self.target_id = None
        self.published_value = None
        self.is_busy = False


class Fleet:
    """Start, publish and replace the entries and targets of a run.

    ``arguments`` are the arguments of the Python interpreter that run an
    entry.
    """

    def __init__(self, *, group, directory, history, arguments):
        self._group = group
        self._history = history
        self._arguments = arguments
        self.store = fake_store.FakeStore()
        self._store_address = None
        self._guard, address_block = _reserve_address_block()
        # Clients of other processes, whose targets have ended, may connect to
        # any port of 127.0.0.1.
        self.server_host = f'127.{address_block}.1.1'
        self._control_port = None
        self.entries = [
            Entry(
                number=number,
                host=f'127.{address_block}.0.{number + 1}',
                directory=directory,
            )
            for number in range(conf.ENTRIES)
        ]
        self.targets = [
            Target(number=number) for number in range(conf.REPLICAS)
        ]
        self.version = 0
        self._configuration = None

    async def start(self):
        """Start the store, all targets and all entries.

        Return when all entries are ready; raise ``StartFailed`` if one is
        not.
        """
        self._store_address = await self._group.start(self.store.serve)
        (self._control_port,) = sockets.find_ports(self.entries[0].host, 1)
        self.publish_configuration()
        for target in self.targets:
            await self.start_target(target)
        for entry in self.entries:
            entry.proxy = proxies.Proxy(
                host=self.server_host, upstream=self._store_address
            )
            await self.start_entry(entry)
        for entry in self.entries:
            await self.wait_until_ready(entry)

    def publish_configuration(self):
        """Publish the next configuration version, which adds its own route."""
        self.version += 1
        names = [kind.value for kind in records.Kind]
        names.extend(f'version-{number + 1}' for number in range(self.version))
        self._configuration = published.build_configuration(
            self.version, Routes=[_build_route(name) for name in names]
        )
        self.store.write('op/config', self._configuration)
        self._history.written_s_by_version[self.version] = time.monotonic()

    def publish_all_again(self):
        """Publish again what a restored store has lost."""
        self.store.write('op/config', self._configuration)
        live_keys = set()
        for target in self.targets:
            key = f'servers/{target.target_id}'
            live_keys.add(key)
            self.store.write(key, target.published_value)
        for key in self.store.find_keys('servers/'):
            if key not in live_keys:
                self.store.remove(key)

    async def start_entry(self, entry):
        """Start an entry's process."""
        if entry.start_count == 0:
            address = await self._group.start(entry.proxy.serve)
            entry.store_address = f'{address[0]}:{address[1]}'
            self.write_settings(entry)
        entry.start_count += 1
        entry.child = children.Child(
            arguments=self._arguments,
            environment={_SETTINGS_VARIABLE: str(entry.settings_path)},
            on_line=entry.log_lines.append,
        )
        entry.started_s = time.monotonic()
        await self._group.start(entry.child.run)

    def write_settings(self, entry):
        """Write an entry's settings file."""
        port = self._control_port
        document = {
            'Node': f'entry-{entry.number}',
            'Ip': entry.host,
            'Zone': list(conf.ZONES)[entry.number % len(conf.ZONES)],
            'Zones': conf.ZONES,
            'Listen': {
                'Front': entry.caller_address,
                'Ready': entry.ready_address,
                'Directory': entry.directory_address,
            },
            'PortRange': [port, port + _CONTROL_PORTS],
            'Seeds': [
                f'{other_entry.host}:{port}' for other_entry in self.entries
            ],
            'Bounds': {
                'GraceS': conf.GRACE_S,
                'RetryRatio': 0.2,
                'RetrySlack': 92,
            },
            'Provider': {'Addr': entry.store_address},
        }
        entry.settings_path.write_text(json.dumps(document))

    async def wait_until_ready(self, entry):
        """Wait until a started entry is ready, and set its incarnation.

        Raise ``StartFailed`` if it is not ready within
        ``conf.START_TIMEOUT_S``.
        """
        with anyio.move_on_after(conf.START_TIMEOUT_S) as scope:
            while not await _is_ready(entry.ready_address):
                await anyio.sleep(0.05)
        if scope.cancelled_caught:
            lines = '\n'.join(entry.log_lines[-conf.LOG_LINES_SHOWN :])
            raise StartFailed(f'entry-{entry.number}\n{lines}')
        entry.incarnation = f'entry-{entry.number}.{entry.start_count}'
        self._history.started_s_by_incarnation[entry.incarnation] = (
            entry.started_s
        )
        entry.is_up = True

    def find_incarnation(self, address):
        """Return the incarnation of the entry that serves a caller address."""
        for entry in self.entries:
            if entry.caller_address == address:
                return entry.incarnation
        return 'unknown'

    def get_directories(self):
        """Return the addresses of the entries' directories."""
        return [entry.directory_address for entry in self.entries]

    async def start_target(self, target):
        """Start a new process for a target and publish it."""
        target.start_count += 1
        target_id = f'target-{target.number}.{target.start_count}'
        upstream = []
        has_address = anyio.Event()
        arrivals_by_word = {
            'run': self._history.runs,
            'busy': self._history.refusals,
            'limited': self._history.limited_arrivals,
        }

        def handle_line(line):
            word, *fields = line.split()
            if word == 'unidentified':
                self._history.unidentified.append(line)
            elif word == 'address':
                upstream.append((fields[0], int(fields[1])))
                has_address.set()
            elif word in arrivals_by_word:
                self._record(arrivals_by_word[word], fields, target_id)

        target.child = children.Child(
            arguments=[
                '-m',
                'savoryyoke_soak.backend',
                target_id,
                self.server_host,
            ],
            environment={},
            on_line=handle_line,
        )
        await self._group.start(target.child.run)
        with anyio.fail_after(conf.START_TIMEOUT_S):
            await has_address.wait()
        target.proxy = proxies.Proxy(
            host=self.server_host,
            upstream=upstream[0],
            ends_with_upstream=True,
        )
        address = await self._group.start(target.proxy.serve)
        target.target_id = target_id
        target.published_value = published.build_target(
            address=address, Slots=8, Seq=target.start_count
        )
        self.store.write(f'servers/{target_id}', target.published_value)

    def drain_target(self, target):
        """Publish a target as draining."""
        target.published_value = target.published_value | {'State': 'draining'}
        self.store.write(f'servers/{target.target_id}', target.published_value)
        now_s = time.monotonic()
        self._history.draining_s_by_target[target.target_id] = now_s

    def remove_target(self, target):
        """Unpublish a target and kill its process."""
        self.store.remove(f'servers/{target.target_id}')
        target.child.kill()

    @staticmethod
    def _record(arrivals, fields, target_id):
        """Record a request at a target, unless it is a configuration probe."""
        request_id, at_s = fields
        if not request_id.startswith('probe-'):
            arrivals.append(
                records.Arrival(
                    request_id=request_id,
                    target_id=target_id,
                    at_s=float(at_s),
                )
            )

    def kill_all(self):
        """Kill all entries and targets, even those stopped by SIGSTOP."""
        for process_owner in (*self.entries, *self.targets):
            if process_owner.child is not None:
                process_owner.child.signal(signal.SIGCONT)
                process_owner.child.kill()
        self._guard.close()


def _reserve_address_block():
    """Return a bound socket and the block of addresses that it reserves.

    A block is the second number of loopback addresses. Two soaks that run at
    once must not use the same one, because entries have fixed ports.
    """
    while True:
        block = random.SystemRandom().randrange(20, 250)
        guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            guard.bind((f'127.{block}.0.{_GUARD_HOST}', _GUARD_PORT))
        except OSError:
            guard.close()
            continue
        return guard, block


def _build_route(name):
    """Return the route of a kind of request, or of a configuration version."""
    if name == records.Kind.PAYMENT.value:
        return published.build_route(f'/{name}/', 'non_idempotent')
    if name == records.Kind.DRAFT.value:
        return published.build_route(f'/{name}/', 'streaming', Resumable=True)
    return published.build_route(f'/{name}/', 'idempotent')


async def _is_ready(address):
    host, port = address.split(':')
    request = f'GET /savoryyoke/ready HTTP/1.1\r\nHost: {address}\r\n\r\n'
    with contextlib.suppress(OSError, anyio.EndOfStream):
        with anyio.move_on_after(1.0):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(request.encode())
                return (await stream.receive()).startswith(b'HTTP/1.1 200')
    return False

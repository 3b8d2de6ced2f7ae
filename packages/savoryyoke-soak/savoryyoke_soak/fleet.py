"""Own the processes and stand-ins of one run of the soak."""

import contextlib
import json
import pathlib
import random
import signal
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
_PORTS = 16


class StartFailed(Exception):
    """Report an entry that does not serve, with its last lines."""


class EntryPlace:
    """Hold one entry's addresses, settings and process."""

    def __init__(self, *, number, host, directory):
        self.number = number
        self.host = host
        self.front, self.ready, self.directory = (
            f'{host}:{port}' for port in sockets.find_ports(host, 3)
        )
        self.settings_path = pathlib.Path(directory, f'entry-{number}.json')
        self.lives = 0
        self.started_s = None
        self.child = None
        # The run that callers' address belongs to.
        self.life = f'entry-{number}.0'
        self.is_up = False
        self.is_busy = False
        # Between this entry and the store, and where it listens.
        self.proxy = None
        self.store = None
        self.lines = []


class TargetPlace:
    """Hold one target's present process and proxy."""

    def __init__(self, *, number):
        self.number = number
        self.lives = 0
        self.child = None
        self.proxy = None
        self.target_id = None
        self.value = None
        self.is_busy = False


class Fleet:
    """Start, publish and replace entries and targets.

    ``arguments`` are those of Python to run an entry.
    """

    def __init__(self, *, group, directory, history, arguments):
        self._group = group
        self._history = history
        self._arguments = arguments
        self.store = fake_store.FakeStore()
        self._store_address = None
        block = random.SystemRandom().randrange(20, 250)
        self._control_port = None
        self.entries = [
            EntryPlace(
                number=number,
                host=f'127.{block}.0.{number + 1}',
                directory=directory,
            )
            for number in range(conf.ENTRIES)
        ]
        self.targets = [
            TargetPlace(number=number) for number in range(conf.REPLICAS)
        ]
        self.version = 0

    async def start(self):
        """Start everything; return when all entries are ready."""
        self._store_address = await self._group.start(self.store.serve)
        (self._control_port,) = sockets.find_ports(self.entries[0].host, 1)
        self.publish_configuration()
        for place in self.targets:
            await self.start_target(place)
        for place in self.entries:
            place.proxy = proxies.Proxy(upstream=self._store_address)
            await self.start_entry(place)
        for place in self.entries:
            await self.await_entry(place)

    def publish_configuration(self):
        """Publish a further version; each adds a route of its own."""
        self.version += 1
        names = [kind.value for kind in records.Kind]
        names.extend(f'version-{x + 1}' for x in range(self.version))
        configuration = published.build_configuration(
            self.version, Routes=[_build_route(name) for name in names]
        )
        self.store.write('op/config', configuration)
        self._history.written_s_by_version[self.version] = time.monotonic()

    async def start_entry(self, place):
        """Start an entry's process."""
        if place.lives == 0:
            address = await self._group.start(place.proxy.serve)
            place.store = f'{address[0]}:{address[1]}'
            self.write_settings(place)
        place.lives += 1
        place.child = children.Child(
            arguments=self._arguments,
            environment={_SETTINGS_VARIABLE: str(place.settings_path)},
            take_line=place.lines.append,
        )
        place.started_s = time.monotonic()
        await self._group.start(place.child.run)

    def write_settings(self, place):
        """Write an entry's settings file."""
        port = self._control_port
        document = {
            'Node': f'entry-{place.number}',
            'Ip': place.host,
            'Zone': list(conf.ZONES)[place.number % len(conf.ZONES)],
            'Zones': conf.ZONES,
            'Listen': {
                'Front': place.front,
                'Ready': place.ready,
                'Directory': place.directory,
            },
            'PortRange': [port, port + _PORTS],
            'Seeds': [f'{x.host}:{port}' for x in self.entries],
            'Bounds': {
                'GraceS': conf.GRACE_S,
                'RetryRatio': 0.2,
                'RetrySlack': 92,
            },
            'Provider': {'Addr': place.store},
        }
        place.settings_path.write_text(json.dumps(document))

    async def await_entry(self, place):
        """Return when an entry's process serves; its life begins.

        Raise ``StartFailed`` where it does not.
        """
        with anyio.move_on_after(conf.START_S) as scope:
            while not await _is_ready(place.ready):
                await anyio.sleep(0.05)
        if scope.cancelled_caught:
            lines = '\n'.join(place.lines[-conf.LINES_SHOWN :])
            raise StartFailed(f'entry-{place.number}\n{lines}')
        place.life = f'entry-{place.number}.{place.lives}'
        self._history.began_s_by_life[place.life] = place.started_s
        place.is_up = True

    def find_life(self, address):
        """Return the run of the entry at a callers' address."""
        for place in self.entries:
            if place.front == address:
                return place.life
        return 'unknown'

    def directories(self):
        """Return the addresses of all directories."""
        return [place.directory for place in self.entries]

    async def start_target(self, place):
        """Start a new target in a place and publish it."""
        place.lives += 1
        target_id = f'target-{place.number}.{place.lives}'
        upstream = []
        has_address = anyio.Event()

        def take_line(line):
            word, *rest = line.split()
            if word == 'address':
                upstream.append((rest[0], int(rest[1])))
                has_address.set()
            elif word == 'run':
                self._note(records.Run, self._history.runs, rest, target_id)
            elif word == 'busy':
                self._note(
                    records.Refusal, self._history.refusals, rest, target_id
                )

        place.child = children.Child(
            arguments=['-m', 'savoryyoke_soak.backend', target_id],
            environment={},
            take_line=take_line,
        )
        await self._group.start(place.child.run)
        with anyio.fail_after(conf.START_S):
            await has_address.wait()
        place.proxy = proxies.Proxy(
            upstream=upstream[0], ends_with_upstream=True
        )
        address = await self._group.start(place.proxy.serve)
        place.target_id = target_id
        place.value = published.build_target(
            address=address, Slots=8, Seq=place.lives
        )
        self.store.write(f'servers/{target_id}', place.value)

    def drain_target(self, place):
        """Publish that a target leaves."""
        place.value = place.value | {'State': 'draining'}
        self.store.write(f'servers/{place.target_id}', place.value)
        now_s = time.monotonic()
        self._history.draining_s_by_target[place.target_id] = now_s

    def remove_target(self, place):
        """Withdraw a target and end its process."""
        self.store.remove(f'servers/{place.target_id}')
        place.child.kill()

    @staticmethod
    def _note(kind, noted, words, target_id):
        """Note a request at a target, unless it is a probe of this run."""
        request_id, at_s = words
        if not request_id.startswith('probe-'):
            noted.append(
                kind(
                    request_id=request_id,
                    target_id=target_id,
                    at_s=float(at_s),
                )
            )

    def end(self):
        """Kill every process that was started, frozen ones too."""
        for place in (*self.entries, *self.targets):
            if place.child is not None:
                place.child.signal(signal.SIGCONT)
                place.child.kill()


def _build_route(name):
    """Return the route of a kind of requests, or of a version."""
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

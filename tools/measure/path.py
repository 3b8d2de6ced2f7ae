"""Measure the price of the path, beside a direct call to the same engine.

One entry, one target process and one engine stand-in run as processes; the
load comes from this process. Prints key=value lines.
"""

import dataclasses
import json
import os
import pathlib
import pstats
import tempfile
import time

import anyio
import httpcore
import numpy

from savoryyoke_fakes import fleets
from tools.measure import processes

ENTRY = 'entry-a'
ENGINE = 'engine-a'
APPLICATION = 'app-a'
RUNS = 2
FIRST_TOKEN_CALLS = 400
STREAMS = 60
STREAM_TOKENS = 150
TOKEN_INTERVAL_S = 0.01
LOOKUPS = 3000
LOOKUP_CALLERS = 16
OPEN_STREAMS = 150
WARM_UP_CALLS = 200
SETTLE_S = 1.0
HEADERS = [(b'savoryyoke-team', b'members'), (b'host', b'x')]
TOP = 10

BASE_TEXT = fleets.BASE_TEXT.replace(
    'initial_concurrency: 4', 'initial_concurrency: 512'
).replace('max_concurrency: 32', 'max_concurrency: 512')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Stream:
    """Hold the times of one streamed answer, in seconds."""

    first_s: float
    gaps_s: tuple[float, ...]
    tokens: int


def report(**fields):
    """Print one key=value line."""
    print(
        ' '.join(
            f'{key}={value:.4g}'
            if isinstance(value, float)
            else f'{key}={value}'
            for key, value in fields.items()
        ),
        f'load_average={os.getloadavg()[0]:.1f}',
        flush=True,
    )


async def stream(pool, address, *, prompt, tokens):
    """Run one streamed completion and return its times."""
    body = json.dumps(
        {'prompt': prompt, 'max_tokens': tokens, 'stream': True}
    ).encode()
    headers = [*HEADERS, (b'content-length', str(len(body)).encode())]
    started_s = time.perf_counter()
    arrivals_s = []
    seen = b''
    async with pool.stream(
        'POST',
        f'http://{address}/v1/completions',
        headers=headers,
        content=body,
    ) as response:
        async for part in response.aiter_stream():
            arrivals_s.append(time.perf_counter())
            seen += part
    if response.status != 200 or not seen.endswith(b'data: [DONE]\n\n'):
        raise RuntimeError(f'{response.status} {seen[-200:]!r}')
    return Stream(
        first_s=arrivals_s[0] - started_s,
        gaps_s=tuple(numpy.diff(arrivals_s)),
        tokens=seen.count(b'token_index'),
    )


async def stream_many(address, *, count, tokens):
    """Run streams side by side and return their times."""
    found = []

    async def run_one(number):
        found.append(
            await stream(pool, address, prompt=f'p{number}', tokens=tokens)
        )

    async with httpcore.AsyncConnectionPool(max_connections=1000) as pool:
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(run_one, number)
    return found


async def measure_first_tokens(addresses_by_path):
    """Alternate between the paths, so that both see the same machine."""
    found = {path: [] for path in addresses_by_path}
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(FIRST_TOKEN_CALLS):
            for path, address in addresses_by_path.items():
                made = await stream(
                    pool, address, prompt=f'f{number}', tokens=2
                )
                found[path].append(made.first_s)
    return found


async def look_up(address):
    """Run lookups from several callers; return the time it took."""
    left = iter(range(LOOKUPS))

    async def run_caller():
        for _ in left:
            answer = await pool.request(
                'GET', f'http://{address}/v1/balance', headers=HEADERS
            )
            if answer.status != 200:
                raise RuntimeError(answer.content)

    started_s = time.perf_counter()
    async with httpcore.AsyncConnectionPool() as pool:
        async with anyio.create_task_group() as tasks:
            for _ in range(LOOKUP_CALLERS):
                tasks.start_soon(run_caller)
    return time.perf_counter() - started_s


def quantiles_ms(values_s):
    """Return the 50th, 95th and 99th percentile in milliseconds."""
    found = numpy.percentile(values_s, (50, 95, 99)) * 1000
    return dict(zip(('p50_ms', 'p95_ms', 'p99_ms'), map(float, found)))


class PathMeasure:
    """Run the measures against one fleet."""

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._addresses_by_path = {
            'direct': fleet.addresses_by_name[f'{ENGINE}.backend'],
            'through': fleet.addresses_by_name[ENTRY],
        }

    def _pid(self, name):
        return self._fleet.processes_by_name[name].pid

    def warm_up(self):
        """Send what makes the target count as warm."""
        self._fleet.set_backend_faults(
            ENGINE,
            token_interval_s=TOKEN_INTERVAL_S,
            concurrency_before_collapse=10_000,
        )
        address = self._addresses_by_path['through']
        for _ in range(WARM_UP_CALLS):
            anyio.run(_stream_one, address)

    def measure_first_token(self):
        """Report the time to the first token on both paths."""
        found = anyio.run(measure_first_tokens, self._addresses_by_path)
        medians = {}
        for path, values_s in found.items():
            quantiles = quantiles_ms(values_s)
            medians[path] = quantiles
            report(measure='first-token', path=path, **quantiles)
        added = {
            f'added_{name}': medians['through'][name] - medians['direct'][name]
            for name in medians['direct']
        }
        report(measure='first-token', calls=FIRST_TOKEN_CALLS, **added)

    def measure_streams(self):
        """Report gaps between tokens and the processor time of tokens."""
        for path, address in self._addresses_by_path.items():
            before = {
                name: processes.read_processor_s(self._pid(name))
                for name in (ENTRY, ENGINE)
            }
            started_s = time.perf_counter()
            found = anyio.run(_stream_side_by_side, address)
            elapsed_s = time.perf_counter() - started_s
            tokens = sum(item.tokens for item in found)
            gaps_s = [gap for item in found for gap in item.gaps_s]
            report(
                measure='between-tokens',
                path=path,
                streams=STREAMS,
                tokens_per_s=tokens / elapsed_s,
                **quantiles_ms(gaps_s),
            )
            if path == 'through':
                self._report_processor(before, tokens)

    def _report_processor(self, before, tokens):
        for name, role in ((ENTRY, 'entry'), (ENGINE, 'target')):
            used_s = processes.read_processor_s(self._pid(name)) - before[name]
            report(
                measure='tokens-per-core',
                role=role,
                tokens=tokens,
                processor_s=used_s,
                tokens_per_core_s=tokens / max(used_s, 0.01),
            )

    def measure_memory(self):
        """Report the memory that open streams take."""
        address = self._addresses_by_path['through']
        names = (ENTRY, ENGINE)
        before = {
            name: processes.read_memory_bytes(self._pid(name))
            for name in names
        }
        during = anyio.run(
            _hold_open,
            address,
            lambda: {
                name: processes.read_memory_bytes(self._pid(name))
                for name in names
            },
        )
        for name in names:
            report(
                measure='memory-per-stream',
                process=name,
                streams=OPEN_STREAMS,
                idle_bytes=before[name],
                bytes_per_stream=(during[name] - before[name]) / OPEN_STREAMS,
            )

    def measure_lookups(self):
        """Report lookups a second and for each core of the processes."""
        names = (ENTRY, APPLICATION)
        before = {
            name: processes.read_processor_s(self._pid(name)) for name in names
        }
        address = self._addresses_by_path['through']
        elapsed_s = anyio.run(look_up, address)
        report(measure='lookups', requests_per_s=LOOKUPS / elapsed_s)
        for name in names:
            used_s = processes.read_processor_s(self._pid(name)) - before[name]
            report(
                measure='lookups',
                process=name,
                requests_per_core_s=LOOKUPS / max(used_s, 0.01),
            )


async def _stream_one(address):
    async with httpcore.AsyncConnectionPool() as pool:
        return await stream(pool, address, prompt='warm', tokens=4)


async def _stream_side_by_side(address):
    return await stream_many(address, count=STREAMS, tokens=STREAM_TOKENS)


async def _hold_open(address, read):
    held = {}

    async def look():
        await anyio.sleep(SETTLE_S)
        held.update(read())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(look)
        await stream_many(address, count=OPEN_STREAMS, tokens=300)
    return held


def print_profile(path, role):
    """Print the functions that took most time themselves."""
    stats = pstats.Stats(str(path))
    rows = sorted(
        stats.stats.items(), key=lambda item: item[1][2], reverse=True
    )
    total_s = sum(values[2] for values in stats.stats.values())
    for (file_name, line, function), values in rows[:TOP]:
        place = f'{pathlib.Path(file_name).name}:{line}:{function}'
        report(
            measure='profile',
            role=role,
            function=f'"{place}"',
            own_s=float(values[2]),
            share=float(values[2] / total_s),
        )


def main():
    """Run all measures."""
    places = {
        'entries': fleets.ENTRIES[:1],
        'targets': (
            fleets.TARGETS[0],
            fleets.TARGETS[3],
        ),
    }
    for run in range(RUNS):
        report(measure='run', number=run)
        _measure(places)
    with tempfile.TemporaryDirectory() as directory:
        _profile(places, pathlib.Path(directory))


def _measure(places):
    with fleets.Fleet(base_text=BASE_TEXT, **places) as fleet:
        measure = PathMeasure(fleet=fleet)
        measure.warm_up()
        measure.measure_first_token()
        measure.measure_streams()
        measure.measure_lookups()
        measure.measure_memory()


def _profile(places, directory):
    with fleets.Fleet(
        base_text=BASE_TEXT, profile_directory=directory, **places
    ) as fleet:
        measure = PathMeasure(fleet=fleet)
        measure.warm_up()
        anyio.run(_stream_side_by_side, fleet.addresses_by_name[ENTRY])
        for name in (ENTRY, ENGINE):
            fleet.processes_by_name[name].terminate()
        for name in (ENTRY, ENGINE):
            fleet.processes_by_name[name].wait()
    for name, role in ((ENTRY, 'entry'), (ENGINE, 'target')):
        print_profile(directory / f'{name}.profile', role)


if __name__ == '__main__':
    main()

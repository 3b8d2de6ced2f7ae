"""Measure the overhead of calls through the load balancer.

Calls through one entry and one target are compared with direct calls to the
same fake engine. All three run as processes; this process sends the calls.
Prints key=value lines.
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
PROFILE_ROWS = 10

BASE_TEXT = fleets.BASE_TEXT.replace(
    'initial_concurrency: 4', 'initial_concurrency: 512'
).replace('max_concurrency: 32', 'max_concurrency: 512')


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamTimes:
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


async def run_stream(pool, address, *, prompt, tokens):
    """Run one streamed completion and return its times.

    Raise ``RuntimeError`` if the answer is not complete.
    """
    body = json.dumps(
        {'prompt': prompt, 'max_tokens': tokens, 'stream': True}
    ).encode()
    headers = [*HEADERS, (b'content-length', str(len(body)).encode())]
    started_s = time.perf_counter()
    arrivals_s = []
    received = b''
    async with pool.stream(
        'POST',
        f'http://{address}/v1/completions',
        headers=headers,
        content=body,
    ) as response:
        async for part in response.aiter_stream():
            arrivals_s.append(time.perf_counter())
            received += part
    if response.status != 200 or not received.endswith(b'data: [DONE]\n\n'):
        raise RuntimeError(f'{response.status} {received[-200:]!r}')
    return StreamTimes(
        first_s=arrivals_s[0] - started_s,
        gaps_s=tuple(numpy.diff(arrivals_s)),
        tokens=received.count(b'token_index'),
    )


async def run_streams(address, *, count, tokens):
    """Run streams in parallel and return their times."""
    times = []

    async def run_one(number):
        times.append(
            await run_stream(pool, address, prompt=f'p{number}', tokens=tokens)
        )

    async with httpcore.AsyncConnectionPool(max_connections=1000) as pool:
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                tasks.start_soon(run_one, number)
    return times


async def measure_first_tokens(addresses_by_path):
    """Return the times to the first token in seconds, by path.

    Calls alternate between the paths, so that other load on the machine
    affects both alike.
    """
    times_by_path_s = {path: [] for path in addresses_by_path}
    async with httpcore.AsyncConnectionPool() as pool:
        for number in range(FIRST_TOKEN_CALLS):
            for path, address in addresses_by_path.items():
                times = await run_stream(
                    pool, address, prompt=f'f{number}', tokens=2
                )
                times_by_path_s[path].append(times.first_s)
    return times_by_path_s


async def look_up(address):
    """Run lookups from several callers; return the elapsed seconds.

    Raise ``RuntimeError`` if a lookup is not answered with status 200.
    """
    remaining = iter(range(LOOKUPS))

    async def run_caller():
        for _ in remaining:
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
    percentiles_ms = numpy.percentile(values_s, (50, 95, 99)) * 1000
    return dict(
        zip(('p50_ms', 'p95_ms', 'p99_ms'), map(float, percentiles_ms))
    )


class PathMeasure:
    """Run the measurements with one fleet."""

    def __init__(self, *, fleet):
        self._fleet = fleet
        self._addresses_by_path = {
            'direct': fleet.addresses_by_name[f'{ENGINE}.backend'],
            'through': fleet.addresses_by_name[ENTRY],
        }

    def _pid(self, name):
        return self._fleet.processes_by_name[name].pid

    def warm_up(self):
        """Send enough calls for the target to count as warm."""
        self._fleet.set_backend_faults(
            ENGINE,
            token_interval_s=TOKEN_INTERVAL_S,
            concurrency_before_collapse=10_000,
        )
        address = self._addresses_by_path['through']
        for _ in range(WARM_UP_CALLS):
            anyio.run(_run_warm_up_stream, address)

    def measure_first_token(self):
        """Report the time to the first token on both paths."""
        times_by_path_s = anyio.run(
            measure_first_tokens, self._addresses_by_path
        )
        medians = {}
        for path, values_s in times_by_path_s.items():
            quantiles = quantiles_ms(values_s)
            medians[path] = quantiles
            report(measure='first-token', path=path, **quantiles)
        added = {
            f'added_{name}': medians['through'][name] - medians['direct'][name]
            for name in medians['direct']
        }
        report(measure='first-token', calls=FIRST_TOKEN_CALLS, **added)

    def measure_streams(self):
        """Report the gaps between tokens and the tokens per core."""
        for path, address in self._addresses_by_path.items():
            before = {
                name: processes.read_processor_s(self._pid(name))
                for name in (ENTRY, ENGINE)
            }
            started_s = time.perf_counter()
            streams = anyio.run(_run_parallel_streams, address)
            elapsed_s = time.perf_counter() - started_s
            tokens = sum(item.tokens for item in streams)
            gaps_s = [gap for item in streams for gap in item.gaps_s]
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
        """Report the memory per open stream."""
        address = self._addresses_by_path['through']
        names = (ENTRY, ENGINE)
        before = {
            name: processes.read_memory_bytes(self._pid(name))
            for name in names
        }
        during = anyio.run(
            _read_during_streams,
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
        """Report lookups per second and per core of each process."""
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


async def _run_warm_up_stream(address):
    async with httpcore.AsyncConnectionPool() as pool:
        return await run_stream(pool, address, prompt='warm', tokens=4)


async def _run_parallel_streams(address):
    return await run_streams(address, count=STREAMS, tokens=STREAM_TOKENS)


async def _read_during_streams(address, read):
    readings = {}

    async def read_after_delay():
        await anyio.sleep(SETTLE_S)
        readings.update(read())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read_after_delay)
        await run_streams(address, count=OPEN_STREAMS, tokens=300)
    return readings


def print_profile(path, role):
    """Print the functions with the most processor time of their own."""
    stats = pstats.Stats(str(path))
    rows = sorted(
        stats.stats.items(), key=lambda item: item[1][2], reverse=True
    )
    total_s = sum(values[2] for values in stats.stats.values())
    for (file_name, line, function), values in rows[:PROFILE_ROWS]:
        place = f'{pathlib.Path(file_name).name}:{line}:{function}'
        report(
            measure='profile',
            role=role,
            function=f'"{place}"',
            own_s=float(values[2]),
            share=float(values[2] / total_s),
        )


def main():
    """Run all measurements, then a profile."""
    places = {
        'entries': fleets.ENTRIES[:1],
        'targets': (
            fleets.TARGETS[0],
            fleets.TARGETS[3],
        ),
    }
    for run in range(RUNS):
        report(measure='run', number=run)
        _measure_run(places)
    with tempfile.TemporaryDirectory() as directory:
        _profile_run(places, pathlib.Path(directory))


def _measure_run(places):
    with fleets.Fleet(base_text=BASE_TEXT, **places) as fleet:
        measure = PathMeasure(fleet=fleet)
        measure.warm_up()
        measure.measure_first_token()
        measure.measure_streams()
        measure.measure_lookups()
        measure.measure_memory()


def _profile_run(places, directory):
    with fleets.Fleet(
        base_text=BASE_TEXT, profile_directory=directory, **places
    ) as fleet:
        measure = PathMeasure(fleet=fleet)
        measure.warm_up()
        anyio.run(_run_parallel_streams, fleet.addresses_by_name[ENTRY])
        for name in (ENTRY, ENGINE):
            fleet.processes_by_name[name].terminate()
        for name in (ENTRY, ENGINE):
            fleet.processes_by_name[name].wait()
    for name, role in ((ENTRY, 'entry'), (ENGINE, 'target')):
        print_profile(directory / f'{name}.profile', role)


if __name__ == '__main__':
    main()

"""Measure the processor time that heartbeats between entries take.

Each entry is a forked process with the exchange of heartbeats alone, on
loopback addresses. The clocks of all of them run slower by ``--slowdown``, so
that a large fleet does not saturate the machine; figures are per second of
these clocks.
"""

import argparse
import asyncio
import cProfile
import json
import os
import random
import resource
import signal
import statistics
import sys
import time
import types

import anyio

from savoryyoke.published import models as published_models

from savoryyoke_gateway import dispatching
from savoryyoke_gateway import peering
from savoryyoke_gateway import suspects

_PORT = 17946
_SERVICES = 4
_TARGETS = 72


def main():
    """Run the fleet and print one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--entries', type=int, default=64)
    parser.add_argument('--data-centres', type=int, default=3)
    parser.add_argument('--slowdown', type=float, default=6.0)
    parser.add_argument('--warmup-s', type=float, default=4.0)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument(
        '--busy-targets',
        type=int,
        default=0,
        help='targets with requests in flight, whose number changes',
    )
    parser.add_argument(
        '--profile',
        action='store_true',
        help='write the profile of the first entry to heartbeats.prof',
    )
    options = parser.parse_args()
    started_s = time.monotonic()
    readers = []
    child_ids = []
    for number in range(options.entries):
        reader, writer = os.pipe()
        child_id = os.fork()
        if child_id == 0:
            os.close(reader)
            _run_child(number, options, started_s, writer)
        os.close(writer)
        readers.append(reader)
        child_ids.append(child_id)
    results = []
    for reader, child_id in zip(readers, child_ids, strict=True):
        with os.fdopen(reader) as lines:
            results.append(json.loads(lines.read()))
        os.waitpid(child_id, 0)
    age_s = _compute_age_s(results)
    summary = {
        name: round(statistics.mean(result[name] for result in results), 5)
        for name in results[0]
    }
    summary['age_s'] = round(age_s, 4)
    summary['core_max'] = max(result['core'] for result in results)
    summary['peers_min'] = min(result['peers'] for result in results)
    print(json.dumps(vars(options) | summary))


def _run_child(number, options, started_s, writer):
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    profile = None
    if options.profile and number == 0:
        profile = cProfile.Profile()
    # Keeps the log of the entries out of the output.
    null_descriptor = os.open(os.devnull, os.O_WRONLY)
    os.dup2(null_descriptor, 1)
    os.dup2(null_descriptor, 2)
    result = anyio.run(_measure, number, options, started_s, profile)
    with os.fdopen(writer, 'w') as lines:
        json.dump(result, lines)
    if profile is not None:
        profile.dump_stats('heartbeats.prof')
    os._exit(0)


async def _measure(number, options, started_s, profile):
    slowdown = options.slowdown
    # All delays of the event loop are in seconds of the slower clock.
    loop = asyncio.get_running_loop()
    call_later = loop.call_later
    loop.call_later = lambda delay_s, *args, **options: call_later(
        delay_s * slowdown, *args, **options
    )
    entry = _build_entry(number, options, started_s)
    samples = []
    sent_s_by_sequence = _record_sending(entry)
    async with anyio.create_task_group() as group:
        group.start_soon(entry.run)
        elapsed_s = (time.monotonic() - started_s) / slowdown
        await anyio.sleep(options.warmup_s - elapsed_s)
        counts = _count_datagrams(entry)
        usage = _read_usage()
        if profile is not None:
            profile.enable()
        for _ in range(20):
            await anyio.sleep(options.seconds / 20)
            now_s = entry.table_clock()
            samples.extend(
                (heartbeat.sender_id, heartbeat.sequence, now_s)
                for heartbeat in entry.table.alive(now_s=now_s)
            )
        if profile is not None:
            profile.disable()
        used = [
            (after - before) / options.seconds
            for before, after in zip(usage, _read_usage(), strict=True)
        ]
        group.cancel_scope.cancel()
    return {
        'core': used[0],
        'wakeups': used[1],
        'peers': len(entry.table.alive(now_s=entry.table_clock())),
        'samples': samples,
        'sent_s': sent_s_by_sequence,
        'memory_mb': resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        'sent': (_count_datagrams(entry)[0] - counts[0]) / options.seconds,
        'received': (_count_datagrams(entry)[1] - counts[1]) / options.seconds,
    }


def _record_sending(entry):
    """Return the times at which heartbeats are sent, by sequence number."""
    sent_s_by_sequence = {}
    select = entry._pacing.select

    def select_and_record(heartbeat, *, now_s):
        sent_s_by_sequence[heartbeat.sequence] = now_s
        return select(heartbeat, now_s=now_s)

    entry._pacing.select = select_and_record
    return sent_s_by_sequence


def _compute_age_s(results):
    """Return the mean age of what entries know of each other.

    It is the time since the newest heartbeat that has arrived was built.
    """
    sent_s = {
        (f'entry-{number}', int(sequence)): at_s
        for number, result in enumerate(results)
        for sequence, at_s in result.pop('sent_s').items()
    }
    return statistics.mean(
        now_s - sent_s[sender_id, sequence]
        for result in results
        for sender_id, sequence, now_s in result.pop('samples')
    )


def _count_datagrams(entry):
    return (
        getattr(entry._socket, 'sent_count', 0),
        getattr(entry._socket, 'received_count', 0),
    )


def _read_usage():
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime, usage.ru_nvcsw


def _build_entry(number, options, started_s):
    slowdown = options.slowdown

    def clock():
        return 1000.0 + (time.monotonic() - started_s) / slowdown

    random_source = random.Random(number)
    state = types.SimpleNamespace(
        as_of=published_models.Revision(number=1),
        configuration_version=1,
        expire=lambda: None,
        find_group_members=lambda group: None,
    )
    metrics = types.SimpleNamespace()
    services = {f's{index}': None for index in range(_SERVICES)}
    dispatchers = dispatching.Dispatching(
        own_data_centre='a',
        random_fraction=random_source.random,
        clock=clock,
        metrics=metrics,
    )
    dispatchers.update_targets(
        services_by_name=services, targets=[], entry_count=options.entries
    )

    def get_entry_state():
        in_flight = {
            f'target-{random_source.randrange(_TARGETS)}': index % 5 + 1
            for index in range(options.busy_targets)
        }
        return True, False, in_flight

    address = types.SimpleNamespace(host=_host(number), port=80)
    settings = types.SimpleNamespace(
        vm_id=f'entry-{number}',
        peer_host=_host(number),
        peer_port=_PORT,
        pace_port=_PORT + 1,
        caller_address=f'{address.host}:80',
        data_centre=f'dc-{number % options.data_centres}',
        seed_hosts=tuple(_host(seed) for seed in range(3)),
    )
    entry = peering.Peering(
        settings=settings,
        published_state=state,
        dispatching=dispatchers,
        suspects=suspects.Suspects(metrics=metrics, clock=clock),
        get_entry_state=get_entry_state,
        choose_read_pause_s=lambda: 0.1,
        restart_long_poll=lambda: False,
        random_fraction=random_source.random,
        clock=clock,
    )
    entry.table_clock = clock
    return entry


def _host(number):
    return f'127.0.8.{number + 1}'


if __name__ == '__main__':
    sys.exit(main())

"""Compare routing with simple policies under the same seeded load.

Prints one line of key=value pairs for each fleet and policy, and the cost of
one decision. Run it as ``python -m tools.measure.routing``.
"""

import dataclasses
import sys
import time

import numpy as np

from savoryyoke.directory import decisions as directory_decisions
from savoryyoke.directory import directory
from savoryyoke.directory import events as directory_events
from savoryyoke.routing import decisions
from savoryyoke.routing import events
from savoryyoke.routing import router
from tools.measure import routing_policies
from tools.measure import traffic

SEED = 1
POLICIES = {
    'routed': routing_policies.RouterPolicy,
    'round_robin': routing_policies.RoundRobin,
    'least_reported': routing_policies.LeastReported,
    'perfect_shortest_queue': routing_policies.PerfectShortestQueue,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Describe a fleet and its load.

    Calls that arrive before ``warm_s`` are not measured.
    """

    entries: int
    targets: int
    data_centres: int
    teams: int
    conversations: int
    calls_per_s: float
    warm_s: float
    until_s: float


FLEETS = {
    'today': Fleet(
        entries=8,
        targets=12,
        data_centres=3,
        teams=10,
        conversations=100,
        calls_per_s=22.0,
        warm_s=30.0,
        until_s=180.0,
    ),
    'today_busy': Fleet(
        entries=8,
        targets=12,
        data_centres=3,
        teams=10,
        conversations=100,
        calls_per_s=27.0,
        warm_s=30.0,
        until_s=180.0,
    ),
    'planned': Fleet(
        entries=350,
        targets=1300,
        data_centres=6,
        teams=2200,
        conversations=20,
        calls_per_s=2700.0,
        warm_s=20.0,
        until_s=35.0,
    ),
}


def measure(fleet, *, policy, seed=SEED, **arguments):
    """Simulate a policy on a fleet; return the measured values by name."""
    world = traffic.make_world(
        policy=policy,
        entries=fleet.entries,
        targets=fleet.targets,
        data_centres=fleet.data_centres,
        seed=seed,
        **arguments,
    )
    traffic.schedule_calls(
        world,
        calls_per_s=fleet.calls_per_s,
        until_s=fleet.until_s,
        teams=fleet.teams,
        conversations=fleet.conversations,
        entries=fleet.entries,
        seed=seed,
    )
    world.run(until_s=fleet.until_s + 30.0)
    calls = [call for call in world.calls if call.arrived_s > fleet.warm_s]
    return summarize(calls, world=world)


def summarize(calls, *, world):
    """Return the measured values of the given calls by name."""
    started_calls = [call for call in calls if call.first_token_s is not None]
    first_token_times_s = [call.first_token_s for call in started_calls]
    blocks = sum(len(call.digests) for call in started_calls)
    refused = sum(call.outcome == 'refused' for call in calls)
    tries = sum(call.tries for call in calls)
    return {
        'calls': len(calls),
        'first_token_p50_s': round(
            float(np.quantile(first_token_times_s, 0.5)), 3
        ),
        'first_token_p95_s': round(
            float(np.quantile(first_token_times_s, 0.95)), 3
        ),
        'first_token_p99_s': round(
            float(np.quantile(first_token_times_s, 0.99)), 3
        ),
        'between_tokens_p95_ms': round(
            1000
            * float(
                np.quantile([call.token_s for call in started_calls], 0.95)
            ),
            1,
        ),
        'prefix_hits': round(
            sum(call.cached for call in started_calls) / blocks, 3
        ),
        'refused': round(refused / len(calls), 4),
        'refused_tries_per_call': round(tries / len(calls), 4),
    }


def make_router(*, entries, targets):
    """Return a router that has seen all entries and targets."""
    entry_router = router.Router(
        service='letters',
        entry_id='entry-0',
        data_centre='dc-0',
        generator=np.random.default_rng(SEED),
    )
    peers = {f'entry-{number}': 'dc-0' for number in range(entries)}
    entry_router.apply(
        events.PeersChanged(data_centres_by_entry_id=peers), now_s=0.0
    )
    for number in range(targets):
        target_seen = events.TargetSeen(
            target_id=str(number),
            incarnation=1,
            data_centre='dc-0',
            address='',
        )
        entry_router.apply(target_seen, now_s=0.0)
    return entry_router


def measure_costs(*, repeats=20_000):
    """Return the processor time of queries and events in us, by name."""
    digests = traffic.make_digests(team=1, conversation=1)
    request = decisions.Request(
        service='letters', prefix_digests=digests, priority=2
    )
    entry_router = make_router(entries=8, targets=40)
    entry_router.plan_connections()
    for number in range(40):
        _fill_cache(entry_router, str(number), digests[:number])
    large_router = make_router(entries=350, targets=1300)
    return {
        'decision_us': _measure_us(
            lambda number: entry_router.choose(request, 0.1), repeats=repeats
        ),
        'load_report_us': _measure_us(
            lambda number: entry_router.apply(
                _make_report('7', stamp_s=2.0 + number * 1e-4), now_s=0.2
            ),
            repeats=repeats,
        ),
        'plan_350_by_1300_us': _measure_us(
            lambda number: large_router.plan_connections(), repeats=1
        ),
        'directory_answer_of_350_us': _measure_directory(),
    }


def _measure_directory():
    """Return the microseconds per answer at 45 requests a second."""
    entry_directory = directory.Directory(
        entry_id='entry-0', data_centre='dc-0'
    )
    for number in range(350):
        entry_id = f'entry-{number}'
        target_seen = directory_events.EntrySeen(
            entry_id=entry_id,
            incarnation=1,
            data_centre=f'dc-{number % 6}',
            address='',
        )
        entry_directory.apply(target_seen, now_s=0.0)
        message_received = directory_events.EntryMessageReceived(
            entry_id=entry_id, incarnation=1, stamp_s=1.0, load=0.1
        )
        entry_directory.apply(message_received, now_s=0.0)
    return _measure_us(
        lambda number: entry_directory.answer(
            directory_decisions.Caller(identity=str(number)), number / 45
        ),
        repeats=130,
    )


def measure_subsets(*, entries=350, targets=1300, data_centres=6):
    """Return how evenly connections spread, by the side that chooses."""
    chosen_by_targets = traffic.find_subsets(
        entries=entries, targets=targets, data_centres=data_centres
    )
    generator = np.random.default_rng(SEED)
    chosen_by_entries = [
        set(generator.choice(targets, 40, replace=False).tolist())
        for _ in range(entries)
    ]
    return {
        'targets_choose': _describe_spread(chosen_by_targets, targets=targets),
        'entries_choose': _describe_spread(chosen_by_entries, targets=targets),
    }


def _describe_spread(numbers_by_entry, *, targets):
    entries_per_target = np.zeros(targets, dtype=int)
    load = np.zeros(targets)
    for numbers in numbers_by_entry:
        for number in numbers:
            entries_per_target[number] += 1
            load[number] += 1.0 / len(numbers)
    sizes = [len(numbers) for numbers in numbers_by_entry]
    return {
        'targets_per_entry_least': min(sizes),
        'targets_per_entry_most': max(sizes),
        'entries_per_target_least': int(entries_per_target.min()),
        'entries_per_target_most': int(entries_per_target.max()),
        # The load if each entry split its calls evenly over its targets.
        'even_load_most_to_mean': round(float(load.max() / load.mean()), 2),
    }


def _measure_us(action, *, repeats):
    started_s = time.process_time()
    for number in range(repeats):
        action(number)
    return (time.process_time() - started_s) / repeats * 1e6


def _fill_cache(entry_router, target_id, digests):
    entry_router.apply(events.TargetReachable(target_id=target_id), now_s=0.0)
    entry_router.apply(_make_report(target_id, stamp_s=1.0), now_s=0.0)
    cached = events.CacheEventSeen(
        target_id=target_id, incarnation=1, sequence=1, added=digests
    )
    entry_router.apply(cached, now_s=0.0)


def _make_report(target_id, *, stamp_s):
    return events.LoadReported(
        target_id=target_id,
        incarnation=1,
        stamp_s=stamp_s,
        running=12,
        queued=0,
        limit=24,
        estimated_wait_s=0.0,
        cold=False,
    )


def main(names):
    """Measure the named fleets, all by default."""
    for name in names or FLEETS:
        for policy_name, policy in POLICIES.items():
            started_s = time.process_time()
            values = measure(FLEETS[name], policy=policy)
            values['model_s'] = round(time.process_time() - started_s, 1)
            print(f'fleet={name} policy={policy_name} seed={SEED}', end='')
            for key, value in values.items():
                print(f' {key}={value}', end='')
            print(flush=True)
    for name, values in measure_subsets().items():
        text = ' '.join(f'{key}={value}' for key, value in values.items())
        print(f'subsets={name} {text}')
    for key, value in measure_costs().items():
        print(f'cost={key} value={value:.1f}')


if __name__ == '__main__':
    main(sys.argv[1:])

"""Measure what running calls at most once costs callers and ledgers.

Prints one line of key=value pairs for each measurement. The shares of a day
are computed from 30 s runs around one event each and the number of such
events a day. Calls far from any event are assumed to run.
"""

import argparse
import collections

from savoryyoke.calls.testing import oracle as oracles
from tools.measure import hash_binding
from tools.measure import keyed_calls
from tools.measure import ledger_costs
from tools.measure import reports

VMS = 1_650
TARGETS = 1_300
ENTRIES = 350
FAILURES_PER_DAY = 24
REPLACEMENTS_PER_DAY = 130
SECONDS_PER_DAY = 86_400
BEFORE_S = 12.0
AFTER_S = 18.0
DOWNTIME_S = 5.0
STRESS_DURATION_S = 120.0
# The longest time for which callers keep a binding before they use it.
BINDING_AGES_S = (10.0, 1.0)
OUTCOME_NAMES = (
    'ran',
    'not_run',
    'may_have_run',
    'ever_may_have_run',
    'unanswered',
    'first_refused',
    'double_runs',
)


def _fail_target(callers):
    callers.world.stop('t0')
    callers.run(DOWNTIME_S)
    callers.world.start('t0')


def _replace_target(callers):
    callers.world.drain('t0', 't1')
    callers.run(2.0)
    callers.world.stop('t0')
    callers.run(DOWNTIME_S)
    callers.world.start('t0')


def _replace_target_without_heir(callers):
    for _ in range(10):
        callers.refuse_queued('t0')
        callers.run(0.2)
    callers.world.stop('t0')
    callers.run(DOWNTIME_S)
    callers.world.start('t0')


def _replace_entry(callers):
    callers.world.stop('e0')
    callers.run(DOWNTIME_S)
    callers.world.start('e0')


_EVENTS_BY_NAME = {
    'target_failed': (_fail_target, FAILURES_PER_DAY * TARGETS / VMS),
    'target_replaced': (
        _replace_target,
        REPLACEMENTS_PER_DAY * TARGETS / VMS,
    ),
    'target_replaced_without_heir': (
        _replace_target_without_heir,
        REPLACEMENTS_PER_DAY * TARGETS / VMS,
    ),
    # A replaced entry is simulated like a failed one.
    'entry_stopped': (
        _replace_entry,
        (FAILURES_PER_DAY + REPLACEMENTS_PER_DAY) * ENTRIES / VMS,
    ),
}


def _run_until_fault(callers, *actions):
    try:
        for action in actions:
            action()
    except oracles.FalseAnswer as error:
        callers.counts['double_runs'] += callers.oracle.double_runs
        callers.counts['false_answers'] += 1
        reports.print_line('fault', error=repr(str(error)))


def measure_event(name, seeds, binding_age_s):
    """Return the mean counts of ``seeds`` runs with one event each."""
    trigger, _ = _EVENTS_BY_NAME[name]
    total = collections.Counter()
    for seed in range(seeds):
        callers = keyed_calls.Callers(seed=seed, binding_age_s=binding_age_s)
        _run_until_fault(
            callers,
            lambda c=callers: c.run(BEFORE_S),
            lambda c=callers: trigger(c),
            lambda c=callers: c.run(AFTER_S),
            callers.finish,
        )
        total += callers.counts
    reports.print_line(
        name,
        binding_age_s=binding_age_s,
        seeds=f'0..{seeds - 1}',
        calls=total['calls'],
        false_answers=total['false_answers'],
        **{
            outcome_name: total[outcome_name] for outcome_name in OUTCOME_NAMES
        },
    )
    return {
        outcome_name: total[outcome_name] / seeds
        for outcome_name in OUTCOME_NAMES
    }


def measure_hash(seeds):
    """Return the mean number of double runs after a hashed target stops."""
    total = collections.Counter()
    for seed in range(seeds):
        fleet = hash_binding.HashBinding(seed=seed)
        fleet.run(BEFORE_S)
        fleet.stop(0)
        fleet.run(DOWNTIME_S)
        fleet.start(0)
        fleet.run(AFTER_S)
        fleet.finish()
        total += fleet.counts
    reports.print_line(
        'hash_target_stopped',
        seeds=f'0..{seeds - 1}',
        calls=total['calls'],
        double_runs=total['double_runs'],
    )
    return total['double_runs'] / seeds


def measure_day(seeds, binding_age_s):
    """Measure a day of calls, with and without heirs of the ledgers."""
    means_by_event = {
        name: measure_event(name, seeds, binding_age_s)
        for name in _EVENTS_BY_NAME
    }
    events_with_heirs = ('target_failed', 'target_replaced', 'entry_stopped')
    _report_day('day', binding_age_s, means_by_event, events_with_heirs)
    events_without_heirs = (
        'target_failed',
        'target_replaced_without_heir',
        'entry_stopped',
    )
    _report_day(
        'day_without_heirs',
        binding_age_s,
        means_by_event,
        events_without_heirs,
    )


def _report_day(name, binding_age_s, means_by_event, event_names):
    """Print the counts and shares of a day's calls by outcome."""
    calls = keyed_calls.CALLS_PER_TARGET_S * TARGETS * SECONDS_PER_DAY
    shares = {}
    for outcome_name in ('may_have_run', 'ever_may_have_run', 'first_refused'):
        count = sum(
            means_by_event[event][outcome_name] * _EVENTS_BY_NAME[event][1]
            for event in event_names
        )
        shares[f'{outcome_name}_per_day'] = round(count, 1)
        shares[f'{outcome_name}_share'] = f'{count / calls:.2e}'
    reports.print_line(
        name,
        binding_age_s=binding_age_s,
        calls_per_day=int(calls),
        **shares,
    )


def measure_stress(name, seeds, *, with_heirs):
    """Run callers while failures of all kinds occur every few seconds."""
    total = collections.Counter()
    for seed in range(seeds):
        callers = keyed_calls.Callers(
            seed=seed, binding_age_s=BINDING_AGES_S[0]
        )
        _run_until_fault(
            callers,
            lambda c=callers: c.run(BEFORE_S),
            lambda c=callers: _inject_failures(c, with_heirs),
            callers.finish,
        )
        total += callers.counts
    shares = {
        f'{outcome_name}_share': round(total[outcome_name] / total['calls'], 5)
        for outcome_name in OUTCOME_NAMES
    }
    reports.print_line(
        name,
        seeds=f'0..{seeds - 1}',
        calls=total['calls'],
        false_answers=total['false_answers'],
        **shares,
    )


def _inject_failures(callers, with_heirs):
    world, generator = callers.world, callers.generator
    end_s = world.now_s + STRESS_DURATION_S
    while world.now_s < end_s:
        targets = [
            target_id
            for target_id in world.target_ids
            if world.is_awake(target_id)
        ]
        failure_kind = generator.integers(6)
        if failure_kind == 0 and len(targets) > 1:
            world.stop(targets[0])
        elif failure_kind == 1 and len(targets) > 1 and with_heirs:
            world.drain(targets[0], targets[1])
            callers.run(1.0)
            world.stop(targets[0])
        elif failure_kind == 1 and len(targets) > 1:
            callers.refuse_queued(targets[0])
            callers.run(1.0)
            world.stop(targets[0])
        elif failure_kind == 2:
            world.start('e0')
        elif failure_kind == 3:
            world.freeze('e1')
        elif failure_kind == 4 and targets:
            world.freeze(targets[-1])
        elif failure_kind == 5:
            world.cuts.add(frozenset(('e1', 't1')))
        callers.run(1.0 + 2.0 * generator.random())
        _repair(world)
        callers.run(1.0)


def _repair(world):
    world.cuts.clear()
    for slot in tuple(world.inboxes_by_frozen_slot):
        world.thaw(slot)
    for target_id in world.target_ids:
        if target_id not in world.processes_by_slot:
            world.start(target_id)


def main():
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=40)
    seeds = parser.parse_args().seeds
    for age_s in BINDING_AGES_S:
        measure_day(seeds, age_s)
    _, failures = _EVENTS_BY_NAME['target_failed']
    _, replacements = _EVENTS_BY_NAME['target_replaced']
    double_runs = measure_hash(seeds) * (failures + replacements)
    reports.print_line('day_hash', double_runs_per_day=round(double_runs, 1))
    measure_stress('stress', seeds, with_heirs=True)
    measure_stress('stress_without_heirs', seeds, with_heirs=False)
    ledger_costs.measure_calls()
    ledger_costs.measure_handover()


if __name__ == '__main__':
    main()

"""Check what was seen against what savoryyoke promises."""

import collections
import dataclasses

from savoryyoke_soak import conf
from savoryyoke_soak import records

# A caller may take these for "has not run".
_NOT_RUN_STATUSES = frozenset({408, 429, 503})
# An entry that is killed or frozen can keep no promise to its callers.
_DISABLING = frozenset({'killed', 'frozen'})
# One that was asked to stop is gone for callers with outdated answers of the
# directory, but cuts nothing.
_STOPPED = 'stopped'
_CONNECT_FAILURES = frozenset({'ConnectError', 'ConnectTimeout'})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Breach:
    """Name a broken promise and what shows it."""

    promise: str
    evidence: str


def check(history):
    """Return every ``Breach`` in a ``records.History``."""
    found = []
    for promise in _PROMISES:
        found.extend(promise(history))
    return found


def _check_once(history):
    """Payments run at most once."""
    counts = _count_runs(history)
    for call in history.calls:
        runs = counts[call.request_id]
        if call.kind is records.Kind.PAYMENT and runs > 1:
            yield Breach(
                promise='once', evidence=f'{call.request_id} ran {runs} times'
            )


def _check_not_run(history):
    """Requests that are said not to have run have not."""
    counts = _count_runs(history)
    for call in history.calls:
        runs = counts[call.request_id]
        if call.status in _NOT_RUN_STATUSES and runs:
            yield Breach(
                promise='not-run',
                evidence=f'{call.request_id}: {call.status}, ran {runs} times',
            )


def _check_whole(history):
    """Answers that end as whole are whole, and are the caller's own."""
    counts = _count_runs(history)
    for call in history.calls:
        if call.status != 200 or not call.is_whole:
            continue
        problem = _find_fault(call)
        if not counts[call.request_id]:
            problem = 'ran nowhere'
        if problem is not None:
            yield Breach(
                promise='whole', evidence=f'{call.request_id}: {problem}'
            )


def _find_fault(call):
    if call.answered_id != call.request_id:
        return f'answer to {call.answered_id}'
    if call.kind is not records.Kind.DRAFT:
        expected = b'answer of '
        return None if call.body.startswith(expected) else repr(call.body)
    numbers = [
        int(line.removeprefix(b'id: '))
        for line in call.body.split(b'\n')
        if line.startswith(b'id: ')
    ]
    if numbers == list(range(1, conf.STREAM_EVENTS + 1)):
        return None
    return f'events {numbers}'


def _check_answered(history):
    """Each request ends in time, unless its entry was killed or frozen."""
    for call in history.calls:
        if _is_excused_call(history, call):
            continue
        late_s = call.ended_s - call.sent_s - conf.DEADLINE_S
        if late_s > conf.BUSY_S:
            yield Breach(
                promise='answered',
                evidence=f'{call.request_id} ended {late_s:.2f} s late',
            )
        elif call.status is None:
            yield Breach(
                promise='answered',
                evidence=f'{call.request_id} at {call.life}: {call.broken}',
            )


def _check_configuration(history):
    """Accepted configuration is soon in force and never reverts."""
    last_by_life = {}
    for probe in history.probes:
        known = last_by_life.get((probe.life, probe.version), False)
        if known and not probe.in_force:
            yield Breach(
                promise='configuration',
                evidence=f'{probe.life} reverts version {probe.version}',
            )
        last_by_life[probe.life, probe.version] = known or probe.in_force
        written_s = history.written_s_by_version[probe.version]
        due_s = written_s + conf.CONFIGURATION_S + conf.BUSY_S
        if probe.in_force or probe.at_s < due_s:
            continue
        if not _is_excused(history, probe.life, written_s, probe.at_s):
            yield Breach(
                promise='configuration',
                evidence=(
                    f'{probe.life} lacks version {probe.version}'
                    f' {probe.at_s - written_s:.2f} s on'
                ),
            )


def _is_excused(history, life, from_s, until_s):
    """Tell whether an entry could not hear of a change."""
    return any(
        trouble.on in (life, 'store') and trouble.overlaps(from_s, until_s)
        for trouble in history.troubles
    )


def _check_leaving(history):
    """Work leaves a target that leaves."""
    for run in history.runs:
        since_s = history.draining_s_by_target.get(run.target_id)
        if since_s is None:
            continue
        late_s = run.at_s - since_s - conf.DRAIN_S - conf.BUSY_S
        # Any entry may have sent it, so trouble of any one excuses.
        troubled = any(
            trouble.overlaps(since_s, run.at_s) and trouble.kind != 'killed'
            for trouble in history.troubles
        )
        if late_s > 0 and not troubled:
            yield Breach(
                promise='leaving',
                evidence=f'{run.target_id} gets {run.request_id} late',
            )


def _check_announced(history):
    """An entry sends nothing to a target whose answer said that it leaves."""
    calls_by_id = {call.request_id: call for call in history.calls}
    announced_s = {}
    for call in history.calls:
        if call.leaving_id:
            key = (call.life, call.leaving_id)
            announced_s.setdefault(key, call.ended_s)
            announced_s[key] = min(announced_s[key], call.ended_s)
    for run in history.runs:
        call = calls_by_id.get(run.request_id)
        since_s = call and announced_s.get((call.life, run.target_id))
        if not since_s or call.sent_s <= since_s + conf.DRAIN_S:
            continue
        if not _is_troubled(history, call.life, since_s, run.at_s):
            yield Breach(
                promise='announced',
                evidence=f'{run.target_id} gets {run.request_id} late',
            )


def _check_paused(history):
    """An entry leaves a target alone for the pause that it asked for."""
    calls_by_id = {call.request_id: call for call in history.calls}
    arrived_s_by_key = collections.defaultdict(list)
    for arrival in (*history.refusals, *history.runs):
        call = calls_by_id.get(arrival.request_id)
        if call is not None:
            key = (call.life, arrival.target_id)
            arrived_s_by_key[key].append(arrival.at_s)
    for refusal in history.refusals:
        call = calls_by_id.get(refusal.request_id)
        if call is None:
            continue
        from_s = refusal.at_s + conf.PAUSE_GRACE_S
        until_s = refusal.at_s + conf.PAUSE_S
        arrived_s = arrived_s_by_key[call.life, refusal.target_id]
        within = sum(from_s < at_s < until_s for at_s in arrived_s)
        if within > conf.ARRIVALS_IN_PAUSE and not _is_troubled(
            history, call.life, refusal.at_s, until_s
        ):
            yield Breach(
                promise='paused',
                evidence=f'{refusal.target_id} gets {within} in a pause',
            )


def _is_troubled(history, life, from_s, until_s):
    return any(
        trouble.on == life and trouble.overlaps(from_s, until_s)
        for trouble in history.troubles
    )


def _check_stops(history):
    """Entries that are asked to stop end well and in time."""
    for stop in history.stops:
        if stop.status != 0:
            yield Breach(
                promise='stop',
                evidence=f'{stop.life}: {stop.status}, {stop.took_s:.2f} s',
            )


def _check_crashing(history):
    """Requests that crash each target are soon sent no more."""
    runs_by_id = collections.defaultdict(list)
    for run in history.runs:
        runs_by_id[run.request_id].append(run.at_s)
    arrivals = collections.defaultdict(list)
    for call in history.calls:
        if call.sent_body.startswith(conf.FATAL_BODY):
            for at_s in runs_by_id[call.request_id]:
                arrivals[call.sent_body].append((at_s, call))
    for body, reached in arrivals.items():
        reached.sort(key=lambda x: x[0])
        if len(reached) <= conf.CRASHES_TO_LEARN:
            continue
        crashed_s, _ = reached[conf.CRASHES_TO_LEARN - 1]
        late = [
            call
            for at_s, call in reached
            if at_s > crashed_s + conf.LEARNING_S
            and not _is_out_of_touch(history, call)
        ]
        if len(late) > conf.ARRIVALS_AFTER_LIMIT:
            yield Breach(
                promise='crashing',
                evidence=f'{body} came {len(late)} times too late',
            )


def _is_out_of_touch(history, call):
    """Tell whether an entry may not have heard of crashes yet."""
    from_s = call.sent_s - conf.LEARNING_S - conf.BUSY_S
    if history.began_s_by_life.get(call.life, 0.0) > from_s:
        return True
    return _is_troubled(history, call.life, from_s, call.ended_s)


def _is_excused_call(history, call):
    """Tell whether an entry could not answer a call."""
    kinds = _DISABLING
    if call.broken in _CONNECT_FAILURES:
        kinds = kinds | {_STOPPED}
    return any(
        trouble.on == call.life
        and trouble.kind in kinds
        and trouble.overlaps(call.sent_s, call.ended_s)
        for trouble in history.troubles
    )


def _count_runs(history):
    return collections.Counter(run.request_id for run in history.runs)


_PROMISES = (
    _check_once,
    _check_not_run,
    _check_whole,
    _check_answered,
    _check_configuration,
    _check_leaving,
    _check_announced,
    _check_paused,
    _check_crashing,
    _check_stops,
)

"""Check the history of a run against the promises of savoryyoke."""

import collections
import dataclasses

from savoryyoke_soak import conf
from savoryyoke_soak import records

# Statuses that tell a caller that its request has not run.
_NOT_RUN_STATUSES = frozenset({408, 429, 503})
# A killed or frozen entry cannot answer its callers.
_DISABLING_KINDS = frozenset({'killed', 'frozen'})
# A stopped entry refuses connections from callers with an outdated directory
# answer, but must not break off any request.
_STOPPED_KIND = 'stopped'
_CONNECT_FAILURES = frozenset({'ConnectError', 'ConnectTimeout'})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Breach:
    """Hold the name of a broken promise and the evidence for it."""

    promise: str
    evidence: str


def check(history):
    """Return every ``Breach`` in a ``records.History``."""
    breaches = []
    for check_promise in _CHECKS:
        breaches.extend(check_promise(history))
    return breaches


def _check_once(history):
    """Check that payments run at most once."""
    counts = _count_runs(history)
    for call in history.calls:
        runs = counts[call.request_id]
        if call.kind is records.Kind.PAYMENT and runs > 1:
            yield Breach(
                promise='once', evidence=f'{call.request_id} ran {runs} times'
            )


def _check_not_run(history):
    """Check that no request has run that was answered as not run."""
    counts = _count_runs(history)
    for call in history.calls:
        runs = counts[call.request_id]
        if call.status in _NOT_RUN_STATUSES and runs:
            yield Breach(
                promise='not-run',
                evidence=f'{call.request_id}: {call.status}, ran {runs} times',
            )


def _check_whole(history):
    """Check that complete answers have no gap and match their request."""
    counts = _count_runs(history)
    for call in history.calls:
        if call.status != 200 or not call.is_complete:
            continue
        problem = _find_answer_problem(call)
        if not counts[call.request_id]:
            problem = 'ran nowhere'
        if problem is not None:
            yield Breach(
                promise='whole', evidence=f'{call.request_id}: {problem}'
            )


def _find_answer_problem(call):
    if call.answered_request_id != call.request_id:
        return f'answer to {call.answered_request_id}'
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
    """Check that requests end in time, except at a killed or frozen entry."""
    for call in history.calls:
        if _is_excused_call(history, call):
            continue
        late_s = call.ended_s - call.sent_s - conf.DEADLINE_S
        if late_s > conf.MACHINE_DELAY_S:
            yield Breach(
                promise='answered',
                evidence=f'{call.request_id} ended {late_s:.2f} s late',
            )
        elif call.status is None:
            yield Breach(
                promise='answered',
                evidence=(
                    f'{call.request_id} at {call.incarnation}: {call.failure}'
                ),
            )


def _check_configuration(history):
    """Check that configuration is in force in time and never reverts."""
    in_force_by_key = {}
    for probe in history.probes:
        was_in_force = in_force_by_key.get(
            (probe.incarnation, probe.version), False
        )
        if was_in_force and not probe.in_force:
            yield Breach(
                promise='configuration',
                evidence=(
                    f'{probe.incarnation} reverts version {probe.version}'
                ),
            )
        in_force_by_key[probe.incarnation, probe.version] = (
            was_in_force or probe.in_force
        )
        written_s = history.written_s_by_version[probe.version]
        due_s = written_s + conf.CONFIGURATION_DELAY_S + conf.MACHINE_DELAY_S
        if probe.in_force or probe.at_s < due_s:
            continue
        if not _may_lack_change(
            history, probe.incarnation, written_s, probe.at_s
        ):
            yield Breach(
                promise='configuration',
                evidence=(
                    f'{probe.incarnation} lacks version {probe.version}'
                    f' {probe.at_s - written_s:.2f} s on'
                ),
            )


def _check_restored(history):
    """Check that no entry uses a configuration older than the accepted one.

    It may not do so while the restored store lacks the accepted one, provided
    that an entry which had it in force runs all the while.
    """
    for restore in history.restores:
        for probe in history.probes:
            if (
                probe.in_force
                or probe.version < restore.first_lost_version
                or not restore.restored_s < probe.at_s < restore.rewritten_s
            ):
                continue
            if _has_witness(history, probe, restore):
                yield Breach(
                    promise='restored',
                    evidence=(
                        f'{probe.incarnation} uses a configuration without'
                        f' version {probe.version}'
                    ),
                )


def _has_witness(history, probe, restore):
    """Return whether a running entry had the probed version in force."""
    return any(
        other_probe.in_force
        and other_probe.version == probe.version
        and other_probe.at_s < restore.lost_s
        and not _has_trouble(
            history, other_probe.incarnation, other_probe.at_s, probe.at_s
        )
        for other_probe in history.probes
    )


def _may_lack_change(history, incarnation, from_s, until_s):
    """Return whether an entry may not have received a change."""
    return any(
        trouble.subject in (incarnation, 'store')
        and trouble.overlaps(from_s, until_s)
        for trouble in history.troubles
    )


def _check_leaving(history):
    """Check that a draining target soon gets no more work."""
    for run in history.runs:
        since_s = history.draining_s_by_target.get(run.target_id)
        if since_s is None:
            continue
        late_s = run.at_s - since_s - conf.DRAIN_DELAY_S - conf.MACHINE_DELAY_S
        # Any entry may have sent the request, so trouble of any entry is an
        # excuse.
        is_excused = any(
            trouble.overlaps(since_s, run.at_s) and trouble.kind != 'killed'
            for trouble in history.troubles
        )
        if late_s > 0 and not is_excused:
            yield Breach(
                promise='leaving',
                evidence=f'{run.target_id} gets {run.request_id} late',
            )


def _check_announced(history):
    """Check that an entry avoids a target that announced its leaving to it."""
    calls_by_id = {call.request_id: call for call in history.calls}
    announced_s_by_key = {}
    for call in history.calls:
        if call.leaving_id:
            key = (call.incarnation, call.leaving_id)
            announced_s_by_key.setdefault(key, call.ended_s)
            announced_s_by_key[key] = min(
                announced_s_by_key[key], call.ended_s
            )
    for run in history.runs:
        call = calls_by_id.get(run.request_id)
        since_s = call and announced_s_by_key.get(
            (call.incarnation, run.target_id)
        )
        if not since_s or call.sent_s <= since_s + conf.DRAIN_DELAY_S:
            continue
        if not _has_trouble(history, call.incarnation, since_s, run.at_s):
            yield Breach(
                promise='announced',
                evidence=f'{run.target_id} gets {run.request_id} late',
            )


def _check_paused(history):
    """Check that an entry respects the pause that a target asked for."""
    calls_by_id = {call.request_id: call for call in history.calls}
    arrived_s_by_key = collections.defaultdict(list)
    for arrival in (*history.refusals, *history.runs):
        call = calls_by_id.get(arrival.request_id)
        if call is not None:
            key = (call.incarnation, arrival.target_id)
            arrived_s_by_key[key].append(arrival.at_s)
    for refusal in history.refusals:
        call = calls_by_id.get(refusal.request_id)
        if call is None:
            continue
        from_s = refusal.at_s + conf.PAUSE_GRACE_S
        until_s = refusal.at_s + conf.PAUSE_S
        arrived_s = arrived_s_by_key[call.incarnation, refusal.target_id]
        arrival_count = sum(from_s < at_s < until_s for at_s in arrived_s)
        if arrival_count > conf.ARRIVALS_IN_PAUSE and not _has_trouble(
            history, call.incarnation, refusal.at_s, until_s
        ):
            yield Breach(
                promise='paused',
                evidence=(
                    f'{refusal.target_id} gets {arrival_count} in a pause'
                ),
            )


def _has_trouble(history, incarnation, from_s, until_s):
    return any(
        trouble.subject == incarnation and trouble.overlaps(from_s, until_s)
        for trouble in history.troubles
    )


def _check_stop(history):
    """Check that stopped entries exit in time and with status 0."""
    for stop in history.stops:
        if stop.status != 0:
            yield Breach(
                promise='stop',
                evidence=(
                    f'{stop.incarnation}: {stop.status},'
                    f' {stop.duration_s:.2f} s'
                ),
            )


def _check_crashing(history):
    """Check that requests that crash targets are soon withheld."""
    runs_by_id = collections.defaultdict(list)
    for run in history.runs:
        runs_by_id[run.request_id].append(run.at_s)
    arrivals_by_cause = collections.defaultdict(list)
    for call in history.calls:
        if call.sent_body.startswith(conf.FATAL_BODY):
            name, separator, _ = call.sent_body.partition(
                conf.FATAL_BODY_SEPARATOR
            )
            for at_s in runs_by_id[call.request_id]:
                arrivals_by_cause[name, bool(separator)].append((at_s, call))
    for (name, is_part), arrivals in arrivals_by_cause.items():
        arrivals.sort(key=lambda arrival: arrival[0])
        crashes = (
            conf.PROMPT_CRASHES_BEFORE_LIMIT
            if is_part
            else conf.CRASHES_BEFORE_LIMIT
        )
        if len(arrivals) <= crashes:
            continue
        crashed_s, _ = arrivals[crashes - 1]
        late_calls = [
            call
            for at_s, call in arrivals
            if at_s > crashed_s + conf.CRASH_DETECTION_S
            and not _may_lack_reports(history, call)
        ]
        if len(late_calls) > conf.ARRIVALS_AFTER_LIMIT:
            yield Breach(
                promise='crashing',
                evidence=f'{name} came {len(late_calls)} times too late',
            )


def _may_lack_reports(history, call):
    """Return whether an entry may lack recent reports of other entries."""
    from_s = call.sent_s - conf.CRASH_DETECTION_S - conf.MACHINE_DELAY_S
    if history.started_s_by_incarnation.get(call.incarnation, 0.0) > from_s:
        return True
    return _has_trouble(history, call.incarnation, from_s, call.ended_s)


def _check_limited(history):
    """Check that all entries together keep the rate limits of targets."""
    calls_by_id = {call.request_id: call for call in history.calls}
    arrived_s_by_target = collections.defaultdict(list)
    for arrival in history.limited_arrivals:
        call = calls_by_id.get(arrival.request_id)
        limited_s = max(
            at_s
            for at_s in history.limited_s_by_target[arrival.target_id]
            if at_s <= arrival.at_s
        )
        is_learned = arrival.at_s > (
            limited_s + conf.RATE_LIMIT_LEARNING_S + conf.MACHINE_DELAY_S
        )
        if call is None or not is_learned or _may_lack_reports(history, call):
            continue
        arrived_s_by_target[arrival.target_id].append(arrival.at_s)
    for target_id, arrived_s in arrived_s_by_target.items():
        most = max(
            sum(
                0 <= at_s - start_s <= conf.RATE_LIMIT_WINDOW_S
                for at_s in arrived_s
            )
            for start_s in arrived_s
        )
        if most > conf.ARRIVALS_IN_WINDOW:
            yield Breach(
                promise='limited',
                evidence=f'{target_id} gets {most} requests in a window',
            )


def _is_excused_call(history, call):
    """Return whether an entry was unable to answer a call."""
    kinds = _DISABLING_KINDS
    if call.failure in _CONNECT_FAILURES:
        kinds = kinds | {_STOPPED_KIND}
    return any(
        trouble.subject == call.incarnation
        and trouble.kind in kinds
        and trouble.overlaps(call.sent_s, call.ended_s)
        for trouble in history.troubles
    )


def _count_runs(history):
    return collections.Counter(run.request_id for run in history.runs)


def _check_unasked(history):
    """Check that targets run only requests of callers, which have ids."""
    for text in history.unidentified:
        yield Breach(promise='unasked', evidence=text)


_CHECKS = (
    _check_unasked,
    _check_once,
    _check_not_run,
    _check_whole,
    _check_answered,
    _check_configuration,
    _check_restored,
    _check_leaving,
    _check_announced,
    _check_paused,
    _check_crashing,
    _check_limited,
    _check_stop,
)

"""Measure what the overload policies cost one process.

The sizes are those of docs/CAPACITY.md: 2,200 teams and 350 entries for
the limits, the maximum of evidence for the quarantine.
"""

import time
import tracemalloc

from savoryyoke.limits import aggregates as limit_aggregates
from savoryyoke.limits import conf as limit_conf
from savoryyoke.limits import events as limit_events
from savoryyoke.quarantine import conf as quarantine_conf
from savoryyoke.quarantine import evidence
from savoryyoke.retries import aggregates as retry_aggregates
from savoryyoke.retries import conf as retry_conf
from savoryyoke.retries import deadlines
from savoryyoke.retries import events as retry_events

TEAMS = 2200
CALLS = 20_000
CALLS_PER_CRASH = 64


def measure_limits(*, entries):
    """Print the costs of the team limits at one of ``entries`` entries."""
    entry_ids = tuple(f'entry-{number}' for number in range(entries))
    limit = limit_conf.TeamLimit(requests_per_s=10.0, tokens_per_s=5000.0)
    limits_by_team = {f'team-{number}': limit for number in range(TEAMS)}
    tracemalloc.start()
    limits = limit_aggregates.TeamLimits(
        entry_id=entry_ids[0], incarnation=1, now_s=0.0
    )
    limits.apply(limit_events.EntriesListed(entry_ids=entry_ids), now_s=0.0)
    limits.apply(
        limit_events.LimitsPublished(limits_by_team=limits_by_team), now_s=0.0
    )
    home_teams = [
        team
        for team in limits_by_team
        if entry_ids[0] in limits.home_entry_ids(team=team)
    ]
    for team in home_teams:
        limits.apply(_limited_call(team), now_s=10.0)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started_s = time.process_time()
    for number in range(CALLS):
        limits.apply(
            _limited_call(home_teams[number % len(home_teams)]), now_s=11.0
        )
    call_us = (time.process_time() - started_s) / CALLS * 1e6
    started_s = time.process_time()
    loan_requests = limits.apply(limit_events.HeartbeatDue(), now_s=12.0)
    heartbeat_ms = (time.process_time() - started_s) * 1e3
    rows = sum(len(loan_request.rows) for loan_request in loan_requests)
    print(
        f'limits entries={entries} teams={TEAMS} teams_here={len(home_teams)}'
        f' held_mb={memory_mb:.1f} call_cpu_us={call_us:.1f}'
        f' heartbeat_cpu_ms={heartbeat_ms:.2f} ask_rows={rows}'
    )


def _limited_call(team):
    return limit_events.CallArrived(call_id='c', team=team, tokens=500.0)


def measure_quarantine():
    """Print the costs of the quarantine with the maximum of evidence."""
    policy = quarantine_conf.QuarantinePolicy()
    full_evidence = evidence.Evidence(policy=policy)
    tracemalloc.start()
    for crash in range(policy.crash_limit):
        members = {
            (crash * CALLS_PER_CRASH + member).to_bytes(8, 'big')
            for member in range(CALLS_PER_CRASH - 1)
        }
        report = evidence.CrashReport(
            crash_id=f'target-{crash}',
            fingerprints=frozenset(members | {b'poison'}),
            remaining_s=policy.evidence_lifetime_s,
        )
        full_evidence.merge(report, now_s=0.0)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    started_s = time.process_time()
    full_evidence.status(b'poison')
    assess_ms = (time.process_time() - started_s) * 1e3
    started_s = time.process_time()
    for _ in range(CALLS):
        full_evidence.status(b'healthy')
    status_us = (time.process_time() - started_s) / CALLS * 1e6
    print(
        f'quarantine crashes={policy.crash_limit} batch={CALLS_PER_CRASH}'
        f' held_mb={memory_mb:.1f} assess_cpu_ms={assess_ms:.1f}'
        f' status_cpu_us={status_us:.1f}'
    )


def measure_retries():
    """Print the cost of a call that succeeds at the first try."""
    service = retry_aggregates.ServiceRetries(
        policy=retry_conf.RetryPolicy(), now_s=0.0
    )
    deadline = deadlines.Deadline.start(remaining_s=10.0, received_s=0.0)
    started_s = time.process_time()
    for number in range(CALLS):
        first_try = retry_events.FirstTry(
            call_id=f'{number}',
            target_id='target-0',
            idempotent=True,
            deadline=deadline,
        )
        answered = retry_events.TryAnswered(
            call_id=f'{number}', target_id='target-0', latency_s=0.1
        )
        service.apply(first_try, now_s=1.0)
        service.apply(answered, now_s=1.1)
    call_us = (time.process_time() - started_s) / CALLS * 1e6
    print(f'retries calls={CALLS} call_cpu_us={call_us:.1f}')


def main():
    """Print one line for each policy."""
    for entries in (8, 350):
        measure_limits(entries=entries)
    measure_quarantine()
    measure_retries()


if __name__ == '__main__':
    main()

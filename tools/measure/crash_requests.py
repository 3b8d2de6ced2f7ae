"""Measure how many back ends one crashing request stops.

A fleet of 12 targets and 8 entries serves steady traffic. One caller sends a
request that crashes each back end that runs it, and repeats it with a new key
through any entry; in other cases four callers do so in parallel. Back ends
also crash for reasons unrelated to any request.
"""

import collections
import dataclasses
import enum
import heapq

import numpy

from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import events
from savoryyoke.quarantine import isolation

TARGETS = 12
ENTRIES = 8
BATCH_LIMIT = 8
CALLS_PER_S = 30.0
MEAN_SERVICE_S = 2.0
RESTART_S = 30.0
POISON_RESEND_DELAY_S = 0.5
RETRY_DELAY_S = 0.2
MAX_TRIES = 3
FIRST_POISON_AT_S = 20.0
END_S = 320.0
BACKGROUND_CRASHES_PER_S = 1 / 60
POISON = b'poison'
SEEDS = range(10)


@dataclasses.dataclass(kw_only=True)
class Call:
    """Hold one request and the state of its tries."""

    call_id: str
    fingerprint: bytes
    entry: int
    tries: int = 0
    reports: tuple = ()


class Reply(enum.Enum):
    """Enumerate the replies of a target to a call."""

    RUN = 'run'
    TRY_NEXT = 'try_next'
    WAIT = 'wait'
    REFUSE = 'refuse'


class NoGuard:
    """Run all requests."""

    def __init__(self, **ignored):
        """Ignore the fleet."""

    def offer(self, call, targets):
        """Return the targets to try, in order; None to refuse for good."""
        return targets

    def start(self, target, call):
        """Return the reply of a target to a call."""
        return Reply.RUN

    def end(self, target, call):
        """Handle the success of a call."""

    def crash(self, target, calls):
        """Handle the crash of a back end while it ran ``calls``."""


class CountingGuard(NoGuard):
    """Refuse at each entry the requests that it saw in three crashes."""

    _CRASHES_TO_REFUSE = 3

    def __init__(self, **ignored):
        """Count from zero at each entry."""
        self._crashes = collections.Counter()

    def offer(self, call, targets):
        """Return the targets, or None if the request crashed too often."""
        crashes = self._crashes[call.entry, call.fingerprint]
        return None if crashes >= self._CRASHES_TO_REFUSE else targets

    def crash(self, target, calls):
        """Count the crash against all calls of the batch."""
        for call in calls:
            self._crashes[call.entry, call.fingerprint] += 1


class QuarantineGuard(NoGuard):
    """Use the quarantine of the library, with gossip after ``delay_s``."""

    def __init__(self, *, fleet, delay_s, crashes_to_quarantine):
        """Start one aggregate at each entry and target."""
        policy = conf.QuarantinePolicy(
            crashes_to_quarantine=crashes_to_quarantine
        )
        self._fleet = fleet
        self._delay_s = delay_s
        self._entries = [
            aggregates.Quarantine(policy=policy) for _ in range(ENTRIES)
        ]
        self._targets = [
            aggregates.Quarantine(policy=policy) for _ in range(TARGETS)
        ]
        self._crashes = 0
        fleet.schedule(1.0, self._gossip)

    def offer(self, call, targets):
        """Return the targets that the aggregate of the entry allows."""
        offered = events.CallOffered(
            call_id=call.call_id, fingerprint=call.fingerprint
        )
        (decision,) = self._apply(self._entries[call.entry], offered)
        if isinstance(decision, decisions.RefusePermanently):
            return None
        if isinstance(decision, decisions.Route):
            return targets
        call.reports = decision.reports
        ranked = isolation.rank_targets(
            fingerprint=call.fingerprint, target_ids=map(str, targets)
        )
        return [int(target) for target in ranked]

    def start(self, target, call):
        """Return the reply of the aggregate of the target."""
        requested = events.RunRequested(
            call_id=call.call_id,
            fingerprint=call.fingerprint,
            reports=call.reports,
        )
        decision = self._apply(self._targets[target], requested)[-1]
        if isinstance(decision, decisions.RefusePermanently):
            return Reply.REFUSE
        if isinstance(decision, decisions.Run):
            return Reply.RUN
        return Reply.WAIT if decision.same_request else Reply.TRY_NEXT

    def end(self, target, call):
        """Report the success to the target and the entry."""
        ended = events.RunEnded(call_id=call.call_id, succeeded=True)
        self._apply(self._targets[target], ended)
        succeeded = events.CallSucceeded(fingerprint=call.fingerprint)
        self._apply(self._entries[call.entry], succeeded)

    def crash(self, target, calls):
        """Report the crash to the callers' entries, to others by gossip."""
        self._crashes += 1
        crashed = events.BackendCrashed(crash_id=str(self._crashes))
        for share in self._apply(self._targets[target], crashed):
            received = events.ReportsReceived(reports=share.reports)
            for entry in {call.entry for call in calls}:
                self._apply(self._entries[entry], received)
            self._schedule_gossip_delivery(share.reports)

    def _gossip(self):
        for process in self._entries + self._targets:
            due = events.HeartbeatDue(report_limit=2)
            for share in self._apply(process, due):
                self._schedule_gossip_delivery(share.reports)
        self._fleet.schedule(1.0, self._gossip)

    def _schedule_gossip_delivery(self, reports):
        received = events.ReportsReceived(reports=reports)

        def deliver():
            for process in self._entries + self._targets:
                self._apply(process, received)

        self._fleet.schedule(self._delay_s, deliver)

    def _apply(self, process, event):
        return process.apply(event, now_s=self._fleet.now_s)


class Fleet:
    """Simulate entries, targets and callers in virtual time."""

    def __init__(self, *, guard_class, seed, senders, **guard_options):
        """Schedule the traffic and the crashes."""
        self._generator = numpy.random.default_rng(seed)
        self._pending = []
        self._sequence = 0
        self.now_s = 0.0
        self._running = [{} for _ in range(TARGETS)]
        self._down_until_s = [0.0] * TARGETS
        self.counts = collections.Counter()
        self._guard = guard_class(fleet=self, **guard_options)
        self.schedule(0.0, self._create_healthy_call)
        for _ in range(senders):
            self.schedule(FIRST_POISON_AT_S, self._send_poison)
        self.schedule(self._background_gap_s(), self._crash_random_target)

    def schedule(self, delay_s, action):
        """Run an action after a delay in seconds."""
        self._sequence += 1
        entry = (self.now_s + delay_s, self._sequence, action)
        heapq.heappush(self._pending, entry)

    def run(self):
        """Run up to ``END_S`` and return the counts."""
        while self._pending and self._pending[0][0] < END_S:
            self.now_s, _, action = heapq.heappop(self._pending)
            action()
        return self.counts

    def _create_healthy_call(self):
        self.counts['healthy'] += 1
        number = self.counts['healthy']
        self._try(self._make_call(f'call-{number}'.encode()))
        gap_s = self._generator.exponential(1 / CALLS_PER_S)
        self.schedule(gap_s, self._create_healthy_call)

    def _send_poison(self):
        self._try(self._make_call(POISON))

    def _make_call(self, fingerprint):
        self._sequence += 1
        return Call(
            call_id=f'{self._sequence}',
            fingerprint=fingerprint,
            entry=int(self._generator.integers(ENTRIES)),
        )

    def _try(self, call):
        running_targets = [
            target
            for target in range(TARGETS)
            if self._down_until_s[target] <= self.now_s
        ]
        self._generator.shuffle(running_targets)
        running_targets.sort(key=lambda target: len(self._running[target]))
        targets = self._guard.offer(call, running_targets)
        if targets is None:
            self._refuse_for_good(call)
            return
        for target in targets:
            if len(self._running[target]) >= BATCH_LIMIT:
                continue
            reply = self._guard.start(target, call)
            if reply is Reply.REFUSE:
                self._refuse_for_good(call)
                return
            if reply is Reply.RUN:
                self._start(target, call)
                return
            if reply is Reply.WAIT:
                break
        self.schedule(RETRY_DELAY_S, lambda: self._try(call))

    def _start(self, target, call):
        call.tries += 1
        self._running[target][call.call_id] = call
        if call.fingerprint == POISON:
            delay_s = self._generator.uniform(0.2, 1.0)
            finish = self._crash_from_poison
        else:
            delay_s = self._generator.exponential(MEAN_SERVICE_S)
            finish = self._succeed
        try_number = call.tries
        self.schedule(delay_s, lambda: finish(target, call, try_number))

    def _succeed(self, target, call, try_number):
        if call.tries == try_number and call.call_id in self._running[target]:
            del self._running[target][call.call_id]
            self._guard.end(target, call)

    def _crash_from_poison(self, target, call, try_number):
        if call.tries == try_number and call.call_id in self._running[target]:
            self.counts['lost_to_poison'] += 1
            self._crash(target)

    def _crash_random_target(self):
        self._crash(int(self._generator.integers(TARGETS)))
        self.schedule(self._background_gap_s(), self._crash_random_target)

    def _background_gap_s(self):
        return self._generator.exponential(1 / BACKGROUND_CRASHES_PER_S)

    def _crash(self, target):
        calls = list(self._running[target].values())
        self._running[target].clear()
        self._down_until_s[target] = self.now_s + RESTART_S
        self._guard.crash(target, calls)
        for call in calls:
            self._retry_or_fail(call)

    def _retry_or_fail(self, call):
        if call.tries < MAX_TRIES:
            self.schedule(0.0, lambda: self._try(call))
        elif call.fingerprint == POISON:
            self.schedule(POISON_RESEND_DELAY_S, self._send_poison)
        else:
            self.counts['healthy_failed'] += 1

    def _refuse_for_good(self, call):
        if call.fingerprint == POISON:
            self.counts['poison_refused'] += 1
            self.schedule(POISON_RESEND_DELAY_S, self._send_poison)
        else:
            self.counts['healthy_refused'] += 1


def measure(**case):
    """Return the counts of one run for each seed."""
    return [Fleet(seed=seed, **case).run() for seed in SEEDS]


def report(*, guard_class, **options):
    """Measure one case and print its line."""
    runs = measure(guard_class=guard_class, **options)
    lost = [counts['lost_to_poison'] for counts in runs]
    total = sum(runs, collections.Counter())
    options_text = ' '.join(f'{key}={value}' for key, value in options.items())
    print(
        f'guard={guard_class.__name__} {options_text}'
        f' seeds={SEEDS.start}-{SEEDS.stop - 1}'
        f' lost_mean={numpy.mean(lost):.1f} lost_max={max(lost)}'
        f' healthy={total["healthy"]}'
        f' healthy_refused={total["healthy_refused"]}'
        f' healthy_failed={total["healthy_failed"]}',
        flush=True,
    )


def main():
    """Print one line for each policy, gossip delay and number of senders."""
    for senders in (1, 4):
        report(guard_class=NoGuard, senders=senders)
        report(guard_class=CountingGuard, senders=senders)
        for crashes in (2, 3):
            for delay_s in (0.05, 3.0):
                report(
                    guard_class=QuarantineGuard,
                    senders=senders,
                    delay_s=delay_s,
                    crashes_to_quarantine=crashes,
                )


if __name__ == '__main__':
    main()

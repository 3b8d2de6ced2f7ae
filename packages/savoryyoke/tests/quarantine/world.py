"""Play entries, targets that crash and callers on a clock of its own."""

import collections
import dataclasses
import heapq
import itertools
import random

from savoryyoke.placement import models
from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import detection
from savoryyoke.quarantine import events

HEARTBEAT_S = 0.1
REPORTS_PER_HEARTBEAT = 8
# From a broken connection to the answer of the probe.
PROBE_S = 0.002
DELIVERY_S = 0.002
DOWN_S = 2.0
POLICY = conf.ENTRY_POLICY


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Describe the requests of one caller.

    A request is sent again ``pause_s`` after the last one has ended, with
    the same content if it has one, else with a new one. Targets end
    ``fatal_after_s`` into its run, if that is set.
    """

    content: bytes | None = None
    pause_s: float = 0.25
    work_s: float = 0.03
    fatal_after_s: float | None = None
    attempts: int = 2


@dataclasses.dataclass(kw_only=True)
class _Run:
    kind: Kind
    content: bytes
    entry: object
    tried: int
    is_over: bool = False


class _Target:
    def __init__(self, name):
        self.name = name
        self.number = 0
        self.is_up = False
        self.runs = []
        self.description = None


class Entry:
    """Hold what one entry knows; a restart makes a new one."""

    def __init__(self, *, number, now_s):
        self.number = number
        self.started_s = now_s
        self.detector = detection.CrashDetector(evidence_s=POLICY.evidence_s)
        self.quarantine = aggregates.Quarantine(policy=POLICY)

    def take_in(self, event, now_s):
        """Let the detector judge an event."""
        reports = self.detector.apply(event, now_s=now_s)
        if reports:
            received = events.ReportsReceived(reports=reports)
            self.quarantine.apply(received, now_s=now_s)


class World:
    """Play until a time; ``hears(a, b, now_s)`` tells who hears whom."""

    def __init__(
        self,
        *,
        seed,
        entries=4,
        targets=6,
        hears=lambda one, other, now_s: True,
        loss=0.0,
        keeps_ids=False,
        release=lambda target_id, now_s: 'v1',
        list_lag_s=0.0,
    ):
        self.source = random.Random(seed)
        self.now_s = 0.0
        self._hears = hears
        self._loss = loss
        self._keeps_ids = keeps_ids
        self._release = release
        self._list_lag_s = list_lag_s
        self._queue = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self.targets = [_Target(f't{x}') for x in range(targets)]
        self.entries = [Entry(number=x, now_s=0.0) for x in range(entries)]
        self.arrivals_s = collections.defaultdict(list)
        self.crashed_s = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.served = collections.Counter()
        for target in self.targets:
            self._return(target)
        for number in range(entries):
            self.after(self.source.uniform(0, HEARTBEAT_S), self._beat, number)

    def after(self, delay_s, act, *arguments):
        """Call ``act`` later."""
        item = (self.now_s + delay_s, next(self._order), act, arguments)
        heapq.heappush(self._queue, item)

    def run(self, until_s):
        """Play until a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, act, arguments = heapq.heappop(self._queue)
            act(*arguments)

    def call(self, kind):
        """Send a request and go on with the next one after its end."""
        content = kind.content or b'content-%d' % next(self._numbers)
        entry = self.source.choice(self.entries)
        self._try(kind, content, entry, 0)

    def restart(self, number):
        """Replace an entry by one that knows nothing."""
        entry = Entry(number=number, now_s=self.now_s)
        self.entries[number] = entry
        self._list(entry)

    def crash(self, target):
        """End a target, whatever the reason."""
        if not target.is_up:
            return
        target.is_up = False
        self.after(DOWN_S, self._return, target)
        runs, target.runs = target.runs, []
        for run in runs:
            run.is_over = True
            self.crashed_s[run.content].append(self.now_s)
            lost = events.TryLost(
                target=target.description,
                fingerprint=run.content,
                is_broken=True,
            )
            run.entry.take_in(lost, self.now_s)
            self.after(PROBE_S, self._probe, run, target.description)

    def _return(self, target):
        target.number += 1
        target.is_up = True
        target_id = f'{target.name}.{target.number}'
        if self._keeps_ids:
            target_id = target.name
        description = models.Target(
            target_id=target_id,
            incarnation=target.number,
            service_name='s',
            host=target.name,
            port=80,
            data_centre='dc',
            region='r',
            slots=6,
            is_draining=False,
            is_in_service=True,
            release=self._release(target_id, self.now_s),
        )
        if target.description is None:
            self._publish(target, description)
        else:
            self.after(self._list_lag_s, self._publish, target, description)

    def _publish(self, target, description):
        target.description = description
        for entry in self.entries:
            self._list(entry)

    def _list(self, entry):
        listed = tuple(x.description for x in self.targets if x.description)
        entry.take_in(events.TargetsListed(targets=listed), self.now_s)

    def _probe(self, run, description):
        refused = events.ConnectionRefused(target=description)
        run.entry.take_in(refused, self.now_s)
        if run.entry not in self.entries:
            self._end(run.kind)
            return
        self._try(run.kind, run.content, run.entry, run.tried)

    def _try(self, kind, content, entry, tried):
        if tried >= kind.attempts:
            self._end(kind)
            return
        offered = events.SendOffered(
            call_id=str(next(self._numbers)), fingerprint=content
        )
        (decision,) = entry.quarantine.apply(offered, now_s=self.now_s)
        up = [x for x in self.targets if x.is_up and len(x.runs) < 6]
        if isinstance(decision, decisions.Withhold):
            withheld = decision.releases
            up = [x for x in up if x.description.release not in withheld]
            if decision.includes_others or not up:
                self.refused[content] += 1
                self._end(kind)
                return
        if not up:
            self._end(kind)
            return
        target = min(up, key=lambda x: (len(x.runs), self.source.random()))
        run = _Run(kind=kind, content=content, entry=entry, tried=tried + 1)
        target.runs.append(run)
        self.arrivals_s[content].append(self.now_s)
        if kind.fatal_after_s is not None:
            self.after(kind.fatal_after_s, self._kill, target, run)
            return
        work_s = kind.work_s * self.source.uniform(0.5, 1.5)
        self.after(work_s, self._answer, target, run)

    def _kill(self, target, run):
        if not run.is_over:
            self.crash(target)

    def _answer(self, target, run):
        if run.is_over:
            return
        run.is_over = True
        target.runs.remove(run)
        self.served[run.content] += 1
        succeeded = events.CallSucceeded(
            fingerprint=run.content, release=target.description.release
        )
        run.entry.quarantine.apply(succeeded, now_s=self.now_s)
        self._end(run.kind)

    def _end(self, kind):
        pause_s = kind.pause_s * self.source.uniform(0.5, 1.5)
        self.after(pause_s, self.call, kind)

    def _beat(self, number):
        self.after(HEARTBEAT_S, self._beat, number)
        entry = self.entries[number]
        others = [
            x
            for x in self.entries
            if x is not entry and self._hears(number, x.number, self.now_s)
        ]
        heard = events.PeersHeard(count=len(others))
        entry.quarantine.apply(heard, now_s=self.now_s)
        digest = entry.quarantine.evidence.digest(now_s=self.now_s)
        if all(
            x.quarantine.evidence.digest(now_s=self.now_s) == digest
            for x in others
        ):
            return
        due = events.HeartbeatDue(report_limit=REPORTS_PER_HEARTBEAT)
        for shared in entry.quarantine.apply(due, now_s=self.now_s):
            received = events.ReportsReceived(reports=shared.reports)
            for other in others:
                if self.source.random() >= self._loss:
                    self.after(DELIVERY_S, self._receive, other, received)

    def _receive(self, entry, received):
        entry.quarantine.apply(received, now_s=self.now_s)

"""Simulate entries, targets that crash and callers in simulated time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from savoryyoke.placement import models
from savoryyoke.quarantine import aggregates
from savoryyoke.quarantine import conf
from savoryyoke.quarantine import decisions
from savoryyoke.quarantine import detection
from savoryyoke.quarantine import events

HEARTBEAT_S = 0.1
REPORTS_PER_HEARTBEAT = 8
# From a broken connection to the refusal of a new connection.
CONNECTION_REFUSAL_S = 0.002
DELIVERY_S = 0.002
RESTART_S = 2.0
POLICY = conf.ENTRY_POLICY


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """Describe the requests of one caller.

    The next request is sent ``pause_s`` after the last one has ended, with
    the same content if ``content`` is set, else with new content. If
    ``fatal_after_s`` is set, the request crashes its target after that time.
    Its prompt has ``prompt_parts``, and one of ``drawn_parts``, of which the
    first ones are drawn most often.
    """

    content: bytes | None = None
    pause_s: float = 0.25
    work_s: float = 0.03
    fatal_after_s: float | None = None
    attempts: int = 2
    prompt_parts: tuple[bytes, ...] = ()
    drawn_parts: tuple[bytes, ...] = ()

    def choose_prompt_parts(self, generator):
        """Return the parts of the next prompt."""
        if not self.drawn_parts:
            return frozenset(self.prompt_parts)
        weights = [
            1 / math.sqrt(rank) for rank in range(1, len(self.drawn_parts) + 1)
        ]
        drawn = generator.choices(self.drawn_parts, weights)
        return frozenset((*self.prompt_parts, *drawn))


@dataclasses.dataclass(kw_only=True)
class _Run:
    kind: Kind
    content: bytes
    prompt_parts: frozenset[bytes]
    entry: object
    tries: int
    has_ended: bool = False


class _Target:
    def __init__(self, name):
        self.name = name
        self.number = 0
        self.is_up = False
        self.runs = []
        self.description = None


class Entry:
    """Store the state of one entry; a restart replaces the object."""

    def __init__(self, *, number, now_s):
        self.number = number
        self.started_s = now_s
        self.detector = detection.CrashDetector(
            report_lifetime_s=POLICY.evidence_lifetime_s
        )
        self.quarantine = aggregates.Quarantine(policy=POLICY)

    def handle_event(self, event, now_s):
        """Apply an event to the detector and record the crashes it detects."""
        reports = self.detector.apply(event, now_s=now_s)
        if reports:
            received = events.ReportsReceived(reports=reports)
            self.quarantine.apply(received, now_s=now_s)


class World:
    """Simulate a fleet of entries and targets.

    ``is_connected(entry, peer, now_s)`` returns whether an entry exchanges
    messages with another one; both are given by number.
    """

    def __init__(
        self,
        *,
        seed,
        entries=4,
        targets=6,
        is_connected=lambda entry, peer, now_s: True,
        loss_share=0.0,
        keeps_target_ids=False,
        release=lambda target_id, now_s: 'v1',
        list_lag_s=0.0,
    ):
        self.generator = random.Random(seed)
        self.now_s = 0.0
        self._is_connected = is_connected
        self._loss_share = loss_share
        self._keeps_target_ids = keeps_target_ids
        self._release = release
        self._list_lag_s = list_lag_s
        self._queue = []
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self.targets = [_Target(f't{number}') for number in range(targets)]
        self.entries = [
            Entry(number=number, now_s=0.0) for number in range(entries)
        ]
        self.arrivals_s = collections.defaultdict(list)
        self.crashes_s = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.refused_s_by_parts = collections.defaultdict(list)
        self.served = collections.Counter()
        for target in self.targets:
            self._restart_target(target)
        for number in range(entries):
            self.call_later(
                self.generator.uniform(0, HEARTBEAT_S),
                self._send_heartbeat,
                number,
            )

    def call_later(self, delay_s, callback, *arguments):
        """Schedule a callback after a delay in seconds."""
        item = (
            self.now_s + delay_s,
            next(self._sequence),
            callback,
            arguments,
        )
        heapq.heappush(self._queue, item)

    def run(self, until_s):
        """Run the simulation until a time in seconds."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)

    def send_request(self, kind):
        """Send a request; the next one follows after its end."""
        content = kind.content or b'content-%d' % next(self._numbers)
        entry = self.generator.choice(self.entries)
        prompt_parts = kind.choose_prompt_parts(self.generator)
        self._start_try(kind, content, prompt_parts, entry, 0)

    def restart(self, number):
        """Replace an entry by one without any evidence."""
        entry = Entry(number=number, now_s=self.now_s)
        self.entries[number] = entry
        self._send_target_list(entry)

    def crash(self, target):
        """Crash a target with all of its running requests."""
        if not target.is_up:
            return
        target.is_up = False
        self.call_later(RESTART_S, self._restart_target, target)
        runs, target.runs = target.runs, []
        for part in frozenset().union(*(run.prompt_parts for run in runs)):
            self.crashes_s[part].append(self.now_s)
        for run in runs:
            run.has_ended = True
            self.crashes_s[run.content].append(self.now_s)
            lost = events.TryLost(
                target=target.description,
                fingerprint=run.content,
                prompt_parts=run.prompt_parts,
                is_broken=True,
            )
            run.entry.handle_event(lost, self.now_s)
            self.call_later(
                CONNECTION_REFUSAL_S,
                self._refuse_connection,
                run,
                target.description,
            )

    def _restart_target(self, target):
        target.number += 1
        target.is_up = True
        target_id = f'{target.name}.{target.number}'
        if self._keeps_target_ids:
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
            self.call_later(
                self._list_lag_s, self._publish, target, description
            )

    def _publish(self, target, description):
        target.description = description
        for entry in self.entries:
            self._send_target_list(entry)

    def _send_target_list(self, entry):
        descriptions = tuple(
            target.description for target in self.targets if target.description
        )
        entry.handle_event(
            events.TargetsListed(targets=descriptions), self.now_s
        )

    def _refuse_connection(self, run, description):
        refused = events.ConnectionRefused(target=description)
        run.entry.handle_event(refused, self.now_s)
        self._start_try(
            run.kind, run.content, run.prompt_parts, run.entry, run.tries
        )

    def _start_try(self, kind, content, prompt_parts, entry, tries):
        if tries >= kind.attempts or entry not in self.entries:
            self._schedule_next_request(kind)
            return
        offered = events.SendOffered(
            call_id=str(next(self._numbers)),
            fingerprint=content,
            prompt_parts=prompt_parts,
        )
        (decision,) = entry.quarantine.apply(offered, now_s=self.now_s)
        if isinstance(decision, decisions.Withhold) and decision.incomplete_s:
            self.call_later(
                decision.incomplete_s,
                self._start_try,
                kind,
                content,
                prompt_parts,
                entry,
                tries,
            )
            return
        available = [
            target
            for target in self.targets
            if target.is_up and len(target.runs) < 6
        ]
        if isinstance(decision, decisions.Withhold):
            withheld = decision.releases
            available = [
                target
                for target in available
                if target.description.release not in withheld
            ]
            if decision.includes_other_releases or not available:
                self.refused[content] += 1
                self.refused_s_by_parts[prompt_parts].append(self.now_s)
                self._schedule_next_request(kind)
                return
        if not available:
            self._schedule_next_request(kind)
            return
        target = min(
            available,
            key=lambda candidate: (
                len(candidate.runs),
                self.generator.random(),
            ),
        )
        run = _Run(
            kind=kind,
            content=content,
            prompt_parts=prompt_parts,
            entry=entry,
            tries=tries + 1,
        )
        target.runs.append(run)
        for key in (content, *prompt_parts):
            self.arrivals_s[key].append(self.now_s)
        if kind.fatal_after_s is not None:
            self.call_later(
                kind.fatal_after_s, self._crash_if_running, target, run
            )
            return
        work_s = kind.work_s * self.generator.uniform(0.5, 1.5)
        self.call_later(work_s, self._complete_run, target, run)

    def _crash_if_running(self, target, run):
        if not run.has_ended:
            self.crash(target)

    def _complete_run(self, target, run):
        if run.has_ended:
            return
        run.has_ended = True
        target.runs.remove(run)
        self.served[run.content] += 1
        succeeded = events.CallSucceeded(
            fingerprint=run.content,
            prompt_parts=run.prompt_parts,
            release=target.description.release,
        )
        run.entry.quarantine.apply(succeeded, now_s=self.now_s)
        self._schedule_next_request(run.kind)

    def _schedule_next_request(self, kind):
        pause_s = kind.pause_s * self.generator.uniform(0.5, 1.5)
        self.call_later(pause_s, self.send_request, kind)

    def _send_heartbeat(self, number):
        self.call_later(HEARTBEAT_S, self._send_heartbeat, number)
        entry = self.entries[number]
        peers = [
            peer
            for peer in self.entries
            if peer is not entry
            and self._is_connected(number, peer.number, self.now_s)
        ]
        peers_counted = events.PeersCounted(count=len(peers))
        entry.quarantine.apply(peers_counted, now_s=self.now_s)
        digest = entry.quarantine.evidence.digest(now_s=self.now_s)
        if all(
            peer.quarantine.evidence.digest(now_s=self.now_s) == digest
            for peer in peers
        ):
            return
        heartbeat_due = events.HeartbeatDue(report_limit=REPORTS_PER_HEARTBEAT)
        for decision in entry.quarantine.apply(
            heartbeat_due, now_s=self.now_s
        ):
            received = events.ReportsReceived(reports=decision.reports)
            for peer in peers:
                if self.generator.random() >= self._loss_share:
                    self.call_later(DELIVERY_S, self._receive, peer, received)

    def _receive(self, entry, received):
        entry.quarantine.apply(received, now_s=self.now_s)

"""Simulate targets and entries that exchange messages in memory."""

import dataclasses
import itertools

from savoryyoke.calls.attempts import decisions as attempt_decisions
from savoryyoke.calls.attempts import events as attempt_events
from savoryyoke.calls.attempts import forwarded
from savoryyoke.calls.attempts import machine
from savoryyoke.calls.attempts import pauses
from savoryyoke.calls import conf
from savoryyoke.calls.ledger import authority
from savoryyoke.calls.ledger import decisions
from savoryyoke.calls.ledger import events
from savoryyoke.calls.ledger import responses
from savoryyoke.calls.ledger import snapshots
from savoryyoke.calls import outcomes
from savoryyoke.calls import routes
from savoryyoke.calls.testing import oracle as oracles

STEP_S = 0.1
# Windows are short so that schedules of a few seconds close them.
LEDGER_LIMITS = conf.LedgerLimits(
    window_ms=2_000,
    accept_windows=3,
    record_windows=6,
    seal_fold_ms=3_000,
    record_limit=8,
    attempts_per_key_limit=2,
)
ATTEMPT_LIMITS = conf.AttemptLimits(pause_recovery_s=1.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Message:
    """Hold a message between the processes of two slots.

    With an ``incarnation``, only that process of the slot receives it.
    """

    source: str
    destination: str
    payload: object
    incarnation: int | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Hold a caller's request that an entry has not read yet."""

    attempt_id: str
    key: object
    fingerprint: bytes
    timeout_s: float


class Target:
    """Simulate a target process, its queue and its application."""

    def __init__(self, *, target_id, incarnation, now_s, limits):
        self.ledger = authority.Ledger(
            target_id=target_id,
            incarnation=incarnation,
            started_s=now_s,
            limits=limits,
        )
        self.incarnation = incarnation
        self.queue = []
        self.running = []
        self.attempt_ids_by_key = {}
        self.fingerprints_by_attempt = {}
        self.export = None


class Entry:
    """Simulate an entry process."""

    def __init__(self, *, incarnation, now_s, limits):
        self.incarnation = incarnation
        self.routes = routes.Routes(limits=limits)
        self.forwarded_answers = forwarded.ForwardedAnswers(limits=limits)
        self.monitor = pauses.PauseMonitor(
            now_s=now_s,
            threshold_s=limits.pause_threshold_s,
            recovery_s=limits.pause_recovery_s,
        )
        self.attempts_by_id = {}


class World:
    """Hold the processes, the messages in transit and the time.

    A slot is the place of a process; a new process in a slot has a new
    incarnation. ``cuts`` holds the pairs of slots that can't communicate.
    """

    def __init__(self, *, oracle, targets=2, entries=2, limits=LEDGER_LIMITS):
        self.now_s = 0.0
        self.oracle = oracle
        self.limits = limits
        self.messages = []
        self.processes_by_slot = {}
        self.inboxes_by_frozen_slot = {}
        self.cuts = set()
        self.outcomes_by_attempt = {}
        self._incarnations = itertools.count(1)
        self._attempt_numbers = itertools.count(1)
        self.target_ids = tuple(f't{i}' for i in range(targets))
        self.entry_ids = tuple(f'e{i}' for i in range(entries))
        for slot in (*self.target_ids, *self.entry_ids):
            self.start(slot)
        self.broadcast_stamps()

    def start(self, slot):
        """Start a new process in ``slot``, in place of any other."""
        process_class, arguments = Entry, {'limits': ATTEMPT_LIMITS}
        if slot in self.target_ids:
            process_class, arguments = (
                Target,
                {'limits': self.limits, 'target_id': slot},
            )
        self.inboxes_by_frozen_slot.pop(slot, None)
        self.processes_by_slot[slot] = process_class(
            incarnation=next(self._incarnations), now_s=self.now_s, **arguments
        )

    def stop(self, slot):
        """Kill the process of ``slot``."""
        self.processes_by_slot.pop(slot, None)
        self.inboxes_by_frozen_slot.pop(slot, None)

    def freeze(self, slot):
        """Pause the process of ``slot``."""
        if slot in self.processes_by_slot:
            self.inboxes_by_frozen_slot.setdefault(slot, [])

    def thaw(self, slot):
        """Resume a process; it reads messages of peers before requests."""
        inbox = self.inboxes_by_frozen_slot.pop(slot, ())
        for message in sorted(
            inbox, key=lambda m: isinstance(m.payload, Request)
        ):
            self._receive(message)

    def call(self, entry_id, key, *, fingerprint=b'a', timeout_s=5.0):
        """Send a request to an entry and return the id of the attempt."""
        entry = self.processes_by_slot[entry_id]
        number = next(self._attempt_numbers)
        attempt_id = f'{entry_id}/{entry.incarnation}/{number}'
        self.oracle.record_arrival(attempt_id=attempt_id, now_s=self.now_s)
        request = Request(
            attempt_id=attempt_id,
            key=key,
            fingerprint=fingerprint,
            timeout_s=timeout_s,
        )
        self._receive(
            Message(source='', destination=entry_id, payload=request)
        )
        return attempt_id

    def make_key(self, target_id, *, suffix, entry_id='e0'):
        """Return a key bound to the process of ``target_id``, or None."""
        target = self.processes_by_slot.get(target_id)
        entry = self.processes_by_slot.get(entry_id)
        if target is None or entry is None:
            return None
        binding = entry.routes.make_binding(
            service='payments',
            target_id=target_id,
            incarnation=target.incarnation,
        )
        return None if binding is None else binding.bind(suffix=suffix)

    def broadcast_stamps(self):
        """Deliver the stamps of each target that is awake to all entries.

        Stamps overtake all messages in transit.
        """
        for target_id in filter(self.is_awake, self.target_ids):
            ledger = self.processes_by_slot[target_id].ledger
            for stamp in ledger.stamps(now_s=self.now_s):
                for entry_id in self.entry_ids:
                    self._receive_unless_cut(
                        Message(
                            source=target_id,
                            destination=entry_id,
                            payload=stamp,
                        )
                    )

    def is_awake(self, slot):
        """Return whether the process of ``slot`` runs and is not frozen."""
        return (
            slot in self.processes_by_slot
            and slot not in self.inboxes_by_frozen_slot
        )

    def advance(self, seconds):
        """Advance the time in steps; tick the entries that are not frozen."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.now_s += min(STEP_S, seconds)
            for entry_id in filter(self.is_awake, self.entry_ids):
                entry = self.processes_by_slot[entry_id]
                entry.monitor.observe(now_s=self.now_s)
                for attempt in tuple(entry.attempts_by_id.values()):
                    self._apply_attempt(
                        entry_id, attempt, attempt_events.Ticked()
                    )

    def deliver_all(self):
        """Deliver messages and those sent in response, at most 200 in all."""
        for _ in range(200):
            if not self.messages:
                return
            self.deliver(0)

    def deliver(self, index):
        """Deliver the message at ``index`` of those in transit."""
        self._receive_unless_cut(self.messages.pop(index))

    def _receive_unless_cut(self, message):
        link = frozenset((message.source, message.destination))
        if link not in self.cuts:
            self._receive(message)

    def apply(self, target_id, event):
        """Apply ``event`` to a ledger and carry out its decisions."""
        target = self.processes_by_slot[target_id]
        decided = target.ledger.apply(event, now_s=self.now_s)
        for decision in decided:
            self._carry_out(target_id, target, decision)
        return decided

    def hand_over(self, target_id, *, accepts=True):
        """Hand the oldest queued call to the application.

        Without ``accepts``, the application receives no byte of it.
        """
        target = self.processes_by_slot[target_id]
        if not target.queue:
            return
        key = target.queue[0]
        decided = self.apply(target_id, events.HandOverRequested(key=key))
        if decisions.HandOver(key=key) not in decided:
            return
        target.queue.remove(key)
        if not accepts:
            self.apply(target_id, events.HandOverFailed(key=key))
            return
        target.running.append(key)
        attempt_id = target.attempt_ids_by_key[key]
        body = f'{key.suffix}@{self.now_s}'.encode()
        self.oracle.record_run(
            key=key,
            attempt_id=attempt_id,
            run=oracles.Run(
                fingerprint=target.fingerprints_by_attempt[attempt_id],
                answer=outcomes.Answer(status=200, body=body),
            ),
        )

    def refuse(self, target_id):
        """Refuse the oldest queued call, as admission does."""
        target = self.processes_by_slot[target_id]
        if target.queue:
            key = target.queue.pop(0)
            self.apply(target_id, events.Refused(key=key, retry_after_s=0.0))

    def complete(self, target_id):
        """Answer the oldest running call, as the application does."""
        target = self.processes_by_slot[target_id]
        if target.running:
            key = target.running.pop(0)
            answer = self.oracle.runs_by_key[key].answer
            self.apply(target_id, events.Completed(key=key, answer=answer))

    def replace_application(self, target_id):
        """Replace the application, which breaks its connections."""
        target = self.processes_by_slot[target_id]
        for key in target.running:
            self.apply(target_id, events.HandOverLost(key=key))
        target.running = []

    def drain(self, target_id, heir_id):
        """Start the planned stop of a target process."""
        heir = self.processes_by_slot[heir_id]
        self.apply(
            target_id,
            events.DrainStarted(
                heir=snapshots.Heir(
                    target_id=heir_id, incarnation=heir.incarnation
                )
            ),
        )

    def abort_drain(self, target_id):
        """Cancel the newest export of a leaving target, if not too late."""
        export = self.processes_by_slot[target_id].export
        if export is not None:
            number = export.snapshot.export_number
            self.apply(target_id, events.HeirLost(export_number=number))

    def reconnect(self, target_id):
        """Reconnect a target that is leaving to its heir."""
        self.apply(target_id, events.HeirReconnected())

    def report_lost_predecessors(self, target_id):
        """Report to a target that all processes no longer running are lost."""
        alive = {
            process.incarnation for process in self.processes_by_slot.values()
        }
        for incarnation in range(1, max(alive)):
            if incarnation not in alive:
                self.apply(
                    target_id, events.PredecessorLost(incarnation=incarnation)
                )

    def disconnect_caller(self, entry_id):
        """Close the connection of the caller of the entry's oldest attempt."""
        for attempt in self.processes_by_slot[
            entry_id
        ].attempts_by_id.values():
            self._apply_attempt(entry_id, attempt, attempt_events.CallerLeft())
            return

    def tick(self, target_id):
        """Apply a tick to the ledger of a target."""
        self.apply(target_id, events.Ticked())

    def _send(self, source, destination, payload, incarnation=None):
        self.messages.append(
            Message(
                source=source,
                destination=destination,
                payload=payload,
                incarnation=incarnation,
            )
        )

    def _receive(self, message):
        slot = message.destination
        if slot in self.inboxes_by_frozen_slot:
            self.inboxes_by_frozen_slot[slot].append(message)
            return
        process = self.processes_by_slot.get(slot)
        if process is None:
            self._report_unreachable(message)
        elif message.incarnation in (None, process.incarnation):
            handle = self._receive_at_entry
            if slot in self.target_ids:
                handle = self._receive_at_target
            handle(slot, process, message.payload)

    def _report_unreachable(self, message):
        if message.source not in self.entry_ids:
            return
        entry = self.processes_by_slot.get(message.source)
        if entry is None:
            return
        request = message.payload
        unreachable = attempt_events.TargetUnreachable(
            number=request.number,
            heir=snapshots.Heir(
                target_id=entry.routes.find_target(request.key), incarnation=0
            ),
        )
        self._send('', message.source, (request.attempt_id, unreachable))

    def _receive_at_entry(self, entry_id, entry, payload):
        may_predate_pause = entry.monitor.observe(now_s=self.now_s)
        if isinstance(payload, responses.Stamp):
            entry.routes.apply_stamp(payload)
        elif isinstance(payload, decisions.NameHeir):
            for incarnation, stamp_ms in payload.stamps_by_incarnation.items():
                entry.routes.apply_handover(
                    incarnation=incarnation,
                    heir=payload.heir,
                    stamp_ms=stamp_ms,
                )
        elif isinstance(payload, Request):
            self._start_attempt(entry_id, entry, payload, may_predate_pause)
        else:
            attempt_id, event = payload
            attempt = entry.attempts_by_id.get(attempt_id)
            if attempt is not None:
                self._apply_attempt(entry_id, attempt, event)

    def _start_attempt(self, entry_id, entry, request, may_predate_pause):
        attempt = machine.Attempt(
            attempt_id=request.attempt_id,
            key=request.key,
            fingerprint=request.fingerprint,
            target_id=entry.routes.find_target(request.key),
            stamp_ms=entry.routes.find_stamp_ms(request.key),
            deadline_s=self.now_s + request.timeout_s,
            may_predate_pause=may_predate_pause,
            forwarded_answers=entry.forwarded_answers,
            limits=ATTEMPT_LIMITS,
        )
        entry.attempts_by_id[request.attempt_id] = attempt
        self._apply_attempt(entry_id, attempt, attempt_events.Started())

    def _apply_attempt(self, entry_id, attempt, event):
        for decision in attempt.apply(event, now_s=self.now_s):
            if isinstance(decision, attempt_decisions.Send):
                self._send(entry_id, decision.target_id, decision.message)
                continue
            self.outcomes_by_attempt[attempt.attempt_id] = decision.outcome
            self.oracle.check_outcome(
                key=attempt.key,
                fingerprint=attempt.fingerprint,
                outcome=decision.outcome,
                now_s=self.now_s,
            )
        if attempt.next_tick_s is None:
            entry = self.processes_by_slot[entry_id]
            entry.attempts_by_id.pop(attempt.attempt_id, None)

    def _receive_at_target(self, target_id, target, payload):
        if isinstance(payload, events.Offered):
            attempt_id = payload.attempt_id
            target.fingerprints_by_attempt[attempt_id] = payload.fingerprint
        if isinstance(payload, decisions.AcknowledgeImport):
            payload = events.ImportAcknowledged(
                export_number=payload.export_number
            )
        elif isinstance(payload, decisions.RefuseImport):
            payload = events.HeirLost(export_number=payload.export_number)
        self.apply(target_id, payload)

    def _carry_out(self, target_id, target, decision):
        if isinstance(decision, decisions.Admit):
            target.queue.append(decision.key)
            target.attempt_ids_by_key[decision.key] = decision.attempt_id
        elif isinstance(decision, decisions.Abandon):
            if decision.key in target.queue:
                target.queue.remove(decision.key)
        elif isinstance(decision, (decisions.Respond, decisions.Redirect)):
            self._reply(target_id, decision)
        elif isinstance(decision, decisions.ExportSnapshot):
            target.export = decision
            self._send(
                target_id,
                decision.heir.target_id,
                events.SnapshotReceived(snapshot=decision.snapshot),
            )
        elif isinstance(decision, decisions.NameHeir):
            self._name_heir(target_id, decision)
        elif isinstance(decision, decisions.TransferRecord):
            self._send(
                target_id,
                decision.heir.target_id,
                events.RecordTransferred(record=decision.record),
                decision.heir.incarnation,
            )
        elif isinstance(
            decision, (decisions.AcknowledgeImport, decisions.RefuseImport)
        ):
            for slot in self.target_ids:
                process = self.processes_by_slot.get(slot)
                if process and process.incarnation == (
                    decision.source_incarnation
                ):
                    self._send(target_id, slot, decision, process.incarnation)

    def _reply(self, target_id, decision):
        entry_id, incarnation, _ = decision.attempt_id.split('/')
        if isinstance(decision, decisions.Respond):
            event = attempt_events.OutcomeReceived(
                number=decision.number, outcome=decision.outcome
            )
        else:
            event = attempt_events.Redirected(
                number=decision.number, heir=decision.heir
            )
        payload = (decision.attempt_id, event)
        self._send(target_id, entry_id, payload, int(incarnation))

    def _name_heir(self, target_id, decision):
        confirmed = events.HeirConfirmed(
            source_incarnation=decision.source_incarnation,
            export_number=decision.export_number,
        )
        heir = decision.heir
        self._send(target_id, heir.target_id, confirmed, heir.incarnation)
        for entry_id in self.entry_ids:
            self._send(target_id, entry_id, decision)

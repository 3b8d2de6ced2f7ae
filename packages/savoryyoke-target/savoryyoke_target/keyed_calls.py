"""Run non-idempotent calls according to the decisions of the ledger."""

import dataclasses
import functools

from savoryyoke.admission import events as admission_events
from savoryyoke.calls import exceptions as calls_exceptions
from savoryyoke.calls import keys
from savoryyoke.calls.ledger import decisions as ledger_decisions
from savoryyoke.calls.ledger import events as ledger_events
from savoryyoke.calls import outcomes
from savoryyoke_edge import logs
from savoryyoke_target import arrivals
from savoryyoke_target import conf
from savoryyoke_target import exceptions
from savoryyoke_target import inheritance
from savoryyoke_target import responses
from savoryyoke_target import sessions
from savoryyoke_wire import messages

MIN_SERVICE_TIME_S = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """Hold the connection and call identifier for answering an attempt."""

    session: sessions.Session
    call_id: int


class KeyedCalls:
    """Apply events to the ledger and run the calls that it admits."""

    def __init__(
        self, *, ledger, backend, guard, tasks, clock, backend_timeout_s
    ):
        self._ledger = ledger
        self._guard = guard
        self._backend = backend
        self._tasks = tasks
        self._clock = clock
        self._backend_timeout_s = backend_timeout_s
        self._attempts_by_message = {}
        self._offers_by_attempt_id = {}
        self._calls_by_key = {}
        self._running_ids = set()
        self._starting_id = None
        self._feed_admission = None
        self._inheritance = inheritance.Inheritance()
        self._departure = None

    def attach(self, feed_admission):
        """Set the function that passes an event to admission."""
        self._feed_admission = feed_admission

    def start_departure(self, departure):
        """Set the object that carries out decisions about the planned stop."""
        self._departure = departure

    @property
    def unfinished(self):
        """Return the number of unanswered attempts and admitted calls."""
        return len(self._attempts_by_message) + len(self._calls_by_key)

    def offer(self, session, call):
        """Offer an attempt to the ledger, or ask it to close the key.

        A call with an invalid key is refused.
        """
        try:
            key = keys.parse(call.key)
        except calls_exceptions.InvalidKey:
            reason = outcomes.NotRunReason.UNBOUND_KEY
            refusal = messages.Refusal(
                call_id=call.call_id,
                outcome=messages.Outcome.NOT_RUN,
                reason=reason.value,
            )
            session.send(refusal)
            return
        self._attempts_by_message[call.attempt, call.number] = Attempt(
            session=session, call_id=call.call_id
        )
        if call.seal_only:
            self._seal(key, call)
            return
        self._offers_by_attempt_id[call.attempt] = call
        self.feed(
            ledger_events.Offered(
                key=key,
                fingerprint=call.fingerprint,
                attempt_id=call.attempt,
                number=call.number,
                stamp_ms=call.stamp_ms,
                remaining_s=call.remaining_ms / 1000,
            )
        )

    def _seal(self, key, call):
        self.feed(
            ledger_events.SealRequested(
                key=key,
                fingerprint=call.fingerprint,
                attempt_id=call.attempt,
                number=call.number,
            )
        )

    def end_session(self, session):
        """Remove the attempts of an entry that has disconnected."""
        removed_messages = [
            message
            for message, attempt in self._attempts_by_message.items()
            if attempt.session is session
        ]
        for message in removed_messages:
            del self._attempts_by_message[message]
        for event in self._inheritance.end_session(session):
            self.feed(event)

    def receive(self, session, message):
        """Handle a message about the ledger of another target process."""
        for event in self._inheritance.receive(session, message):
            self.feed(event)

    def tick(self):
        """Apply the passage of time to the ledger."""
        self.feed(ledger_events.Ticked())

    def start(self, call_id):
        """Run an admitted call, unless the ledger has closed its key."""
        key, _ = self._calls_by_key[call_id]
        self._starting_id = call_id
        self.feed(ledger_events.HandOverRequested(key=key))
        self._starting_id = None
        if call_id not in self._running_ids:
            self._feed_admission(admission_events.Released(call_id=call_id))

    def refuse(self, refusal):
        """Report to the ledger that admission refused a call."""
        key_and_call = self._calls_by_key.pop(refusal.call_id, None)
        if key_and_call is None:
            return
        self.feed(
            ledger_events.Refused(
                key=key_and_call[0], retry_after_s=refusal.retry_after_s
            )
        )

    def feed(self, event):
        """Apply an event to the ledger and carry out its decisions."""
        for decision in self._ledger.apply(event, now_s=self._clock()):
            self._carry_out(decision)

    @functools.singledispatchmethod
    def _carry_out(self, decision):
        raise exceptions.TargetError(f'unknown decision {decision}')

    @_carry_out.register
    def _(self, decision: ledger_decisions.Admit):
        call_id = decision.key.format()
        call = self._offers_by_attempt_id[decision.attempt_id]
        self._calls_by_key[call_id] = (decision.key, call)
        self._feed_admission(arrivals.build_arrival(call_id, call))

    @_carry_out.register
    def _(self, decision: ledger_decisions.Abandon):
        call_id = decision.key.format()
        admitted_call = self._calls_by_key.pop(call_id, None)
        if admitted_call is not None and call_id != self._starting_id:
            self._feed_admission(admission_events.Cancelled(call_id=call_id))

    @_carry_out.register
    def _(self, decision: ledger_decisions.HandOver):
        call_id = decision.key.format()
        self._running_ids.add(call_id)
        self._tasks.start_soon(self._run, call_id)

    @_carry_out.register
    def _(self, decision: ledger_decisions.Respond):
        attempt = self._pop_attempt(decision)
        if attempt is not None:
            responses.send_outcome(attempt, decision.outcome)

    @_carry_out.register
    def _(self, decision: ledger_decisions.Redirect):
        attempt = self._pop_attempt(decision)
        if attempt is not None:
            responses.send_redirect(attempt, decision)

    @_carry_out.register(ledger_decisions.AcknowledgeImport)
    @_carry_out.register(ledger_decisions.RefuseImport)
    def _(self, decision):
        self._inheritance.send_answer(decision)

    @_carry_out.register(ledger_decisions.ExportSnapshot)
    @_carry_out.register(ledger_decisions.NameHeir)
    @_carry_out.register(ledger_decisions.TransferRecord)
    def _(self, decision):
        self._departure.carry_out(decision)

    def _pop_attempt(self, decision):
        """Remove and return the attempt, None if its entry disconnected."""
        self._offers_by_attempt_id.pop(decision.attempt_id, None)
        message = (decision.attempt_id, decision.number)
        return self._attempts_by_message.pop(message, None)

    async def _run(self, call_id):
        key, call = self._calls_by_key[call_id]
        started_s = self._clock()
        event, succeeded = await self._fetch(key, call)
        self._running_ids.discard(call_id)
        del self._calls_by_key[call_id]
        self.feed(event)
        service_time_s = max(self._clock() - started_s, MIN_SERVICE_TIME_S)
        self._finish_admission(
            call_id, succeeded=succeeded, service_time_s=service_time_s
        )

    async def _fetch(self, key, call):
        """Run a call; return its final ledger event and if it succeeded."""
        try:
            status, headers, body = await self._backend.fetch(
                call, timeout_s=self._backend_timeout_s
            )
        except exceptions.NothingSent as error:
            _log_failure(key, error)
            self._tasks.start_soon(self._guard.check_backend)
            return ledger_events.HandOverFailed(key=key), False
        except exceptions.AnswerLost as error:
            _log_failure(key, error)
            self._tasks.start_soon(self._guard.check_backend)
            return ledger_events.HandOverLost(key=key), False
        answer = outcomes.Answer(status=status, headers=headers, body=body)
        event = ledger_events.Completed(key=key, answer=answer)
        return event, status < conf.SERVER_ERROR_STATUS

    def _finish_admission(self, call_id, *, succeeded, service_time_s):
        self._feed_admission(
            admission_events.Finished(
                call_id=call_id,
                succeeded=succeeded,
                service_time_s=service_time_s,
            )
        )


def _log_failure(key, error):
    logs.write_event(
        'backend_failed',
        level='warning',
        key=key.format(),
        reason=str(error),
    )

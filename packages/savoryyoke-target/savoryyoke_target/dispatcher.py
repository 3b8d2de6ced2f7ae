"""Carry out what admission and the ledger decide about calls."""

import dataclasses
import functools

import anyio

from savoryyoke.admission import decisions as admission_decisions
from savoryyoke.admission import events as admission_events
from savoryyoke_edge import logs
from savoryyoke_target import arrivals
from savoryyoke_target import conf
from savoryyoke_target import exceptions
from savoryyoke_target import relays
from savoryyoke_target import sessions
from savoryyoke_wire import messages


@dataclasses.dataclass(kw_only=True)
class LiveCall:
    """Hold one idempotent call until its answer is on its way."""

    session: sessions.Session
    call: messages.Call
    window: sessions.CreditWindow
    scope: anyio.CancelScope


class Dispatcher:
    """Own the calls of this process.

    It hands idempotent calls to ``admission`` at once and the others to
    ``keyed_calls``, which asks the ledger first.
    """

    def __init__(self, *, admission, keyed_calls, backend, tasks, clock):
        self._admission = admission
        self._keyed_calls = keyed_calls
        self._backend = backend
        self._tasks = tasks
        self._clock = clock
        self._live_by_id = {}
        self.served = 0
        self.refused = 0

    @property
    def unfinished(self):
        """Return how many calls have no answer yet."""
        return len(self._live_by_id) + self._keyed_calls.unfinished

    def receive(self, session, message):
        """Take one message of an entry."""
        match message:
            case messages.Call():
                self._take_call(session, message)
            case messages.Cancel():
                self._cancel(session.identify(message.call_id))
            case messages.Credit():
                session.grow_window(message)
            case _:
                self._keyed_calls.receive(session, message)

    def end_session(self, session):
        """Cancel the idempotent calls of an entry that has gone."""
        prefix = session.identify('')
        for live_id in list(self._live_by_id):
            if live_id.startswith(prefix):
                self._cancel(live_id)
        self._keyed_calls.end_session(session)

    def _take_call(self, session, call):
        if not call.idempotent:
            self._keyed_calls.offer(session, call)
            return
        live_id = session.identify(call.call_id)
        if live_id in self._live_by_id:
            return
        self._live_by_id[live_id] = LiveCall(
            session=session,
            call=call,
            window=session.open_window(call),
            scope=anyio.CancelScope(),
        )
        self.feed_admission(arrivals.build_arrival(live_id, call))

    def feed_admission(self, event):
        """Pass an event to admission and carry out its decisions."""
        for decision in self._admission.apply(event, now_s=self._clock()):
            self._carry_out(decision)

    @functools.singledispatchmethod
    def _carry_out(self, decision):
        raise exceptions.TargetError(f'unknown decision {decision}')

    @_carry_out.register
    def _(self, decision: admission_decisions.Queue):
        logs.write_event(
            'call_queued',
            call=decision.call_id,
            estimated_wait_s=decision.estimated_wait_s,
        )

    @_carry_out.register
    def _(self, decision: admission_decisions.Start):
        live = self._live_by_id.get(decision.call_id)
        if live is None:
            self._keyed_calls.start(decision.call_id)
            return
        self._tasks.start_soon(self._run, decision.call_id, live)

    @_carry_out.register
    def _(self, decision: admission_decisions.Refuse):
        logs.write_event(
            'call_refused',
            call=decision.call_id,
            reason=decision.reason.value,
            retry_after_s=decision.retry_after_s,
        )
        self.refused += 1
        live = self._live_by_id.pop(decision.call_id, None)
        if live is None:
            self._keyed_calls.refuse(decision)
            return
        live.session.forget(live.call.call_id)
        live.session.send(
            messages.Refusal(
                call_id=live.call.call_id,
                outcome=messages.Outcome.NOT_RUN,
                reason=decision.reason.value,
                retry_after_ms=int(decision.retry_after_s * 1000),
                same_key_may_return=True,
            )
        )

    @_carry_out.register
    def _(self, decision: admission_decisions.Abort):
        live = self._live_by_id.get(decision.call_id)
        if live is not None:
            live.scope.cancel()

    def _cancel(self, live_id):
        if live_id in self._live_by_id:
            self.feed_admission(admission_events.Cancelled(call_id=live_id))

    async def _run(self, live_id, live):
        started_s = self._clock()
        relay = relays.Relay(live=live, clock=self._clock)
        succeeded = False
        with live.scope:
            succeeded = await self._try_stream(live, relay)
        live.session.forget(live.call.call_id)
        del self._live_by_id[live_id]
        self.served += 1
        first_token_s = relay.first_event_s
        self.feed_admission(
            admission_events.Finished(
                call_id=live_id,
                succeeded=succeeded,
                service_time_s=self._clock() - started_s,
                first_token_s=first_token_s and first_token_s - started_s,
            )
        )

    async def _try_stream(self, live, relay):
        try:
            await self._backend.stream(
                live.call,
                on_head=relay.send_head,
                on_events=relay.send_events,
                timeout_s=live.call.remaining_ms / 1000,
            )
        except exceptions.BackendError as error:
            relay.send_failure(error)
            return False
        relay.send_end()
        return relay.status < conf.SERVER_ERROR_STATUS

"""Carry out what admission and the ledger decide about calls."""

import dataclasses
import functools

import anyio

from savoryyoke.admission import decisions as admission_decisions
from savoryyoke.admission import events as admission_events
from savoryyoke.quarantine import decisions as quarantine_decisions
from savoryyoke_edge import logs
from savoryyoke_target import arrivals
from savoryyoke_target import conf
from savoryyoke_target import exceptions
from savoryyoke_target import relays
from savoryyoke_target import sessions
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages


@dataclasses.dataclass(kw_only=True)
class LiveCall:
    """Hold one idempotent call until its answer is on its way."""

    session: sessions.Session
    call: messages.Call
    window: sessions.CreditWindow
    scope: anyio.CancelScope
    quarantined: bool = False


class Dispatcher:
    """Own the calls of this process.

    It hands idempotent calls to ``admission`` at once and the others to
    ``keyed_calls``, which asks the ledger first.
    """

    def __init__(
        self, *, admission, keyed_calls, backend, guard, tasks, clock
    ):
        self._admission = admission
        self._guard = guard
        self._keyed_calls = keyed_calls
        self._backend = backend
        self._tasks = tasks
        self._clock = clock
        self._live_by_id = {}
        self._running_ids = set()
        self._is_out = False
        self.served = 0
        self.refused = 0

    @property
    def unfinished(self):
        """Return how many calls have no answer yet."""
        return len(self._live_by_id) + self._keyed_calls.unfinished

    @property
    def running_ids(self):
        """Return the idempotent calls that the back end runs."""
        return frozenset(self._running_ids)

    def on_backend_stopped(self):
        """Hand back what waits, as the back end is gone."""
        self.feed_admission(admission_events.BackendStopped())

    def on_backend_restarted(self):
        """Start afresh with a cold back end."""
        self.feed_admission(admission_events.BackendRestarted())

    def on_quarantined(self, call_id):
        """Stop the run of a request that crashes back ends."""
        live = self._live_by_id.get(call_id)
        if live is not None:
            live.quarantined = True
            live.scope.cancel()

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
        if self._is_out:
            self._send_elsewhere(session, call)
            return
        self._live_by_id[live_id] = LiveCall(
            session=session,
            call=call,
            window=session.open_window(call),
            scope=anyio.CancelScope(),
        )
        self.feed_admission(arrivals.build_arrival(live_id, call))

    def set_data_centre_out(self, is_out):
        """Take no new calls while operators keep the data centre out.

        Entries send none either, but one that was frozen may act on what
        it knew before. Bound keys are still served: no other process may.
        """
        self._is_out = is_out

    def _send_elsewhere(self, session, call):
        self.refused += 1
        session.send(
            messages.Refusal(
                call_id=call.call_id,
                outcome=messages.Outcome.NOT_RUN,
                reason=wire_conf.DATA_CENTRE_OUT_REASON,
                retry_after_ms=conf.DATA_CENTRE_OUT_RETRY_MS,
                same_key_may_return=True,
            )
        )

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
        verdict = self._guard.request_run(decision.call_id, live.call)
        if isinstance(verdict, quarantine_decisions.Run):
            self._running_ids.add(decision.call_id)
            self._tasks.start_soon(self._run, decision.call_id, live)
        else:
            self._tasks.start_soon(self._release, live, verdict)

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

    async def _release(self, live, verdict):
        """Answer a call that the quarantine keeps from running."""
        del self._live_by_id[verdict.call_id]
        live.session.forget(live.call.call_id)
        self.refused += 1
        relays.send_verdict(live, verdict)
        # Admission is still busy with the event that started the call.
        self.feed_admission(admission_events.Released(call_id=verdict.call_id))

    async def _run(self, live_id, live):
        started_s = self._clock()
        relay = relays.Relay(live=live, clock=self._clock)
        succeeded = False
        with live.scope:
            succeeded = await self._try_stream(live_id, live, relay)
        if live.quarantined and live.scope.cancelled_caught:
            relay.send_stopped()
        live.session.forget(live.call.call_id)
        del self._live_by_id[live_id]
        self._running_ids.discard(live_id)
        self._guard.end_run(live_id, succeeded=succeeded)
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

    async def _try_stream(self, live_id, live, relay):
        try:
            await self._backend.stream(
                live.call,
                on_head=relay.send_head,
                on_events=relay.send_events,
                timeout_s=live.call.remaining_ms / 1000,
            )
        except exceptions.NothingSent as error:
            # A call that never reached the back end did not crash it.
            self._guard.end_run(live_id, succeeded=False)
            self._running_ids.discard(live_id)
            await self._guard.examine()
            relay.send_failure(error)
            return False
        except exceptions.BackendError as error:
            await self._guard.examine()
            reports = self._guard.take_reports(live_id)
            relay.send_failure(error, crash_reports=reports)
            return False
        relay.send_end()
        return relay.status < conf.SERVER_ERROR_STATUS

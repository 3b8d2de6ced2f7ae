"""Run calls according to the decisions of admission."""

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
class ActiveCall:
    """Hold one idempotent call from its arrival until its run has ended."""

    session: sessions.Session
    call: messages.Call
    window: sessions.CreditWindow
    scope: anyio.CancelScope
    quarantined: bool = False


class Dispatcher:
    """Receive the calls of this process and run the idempotent ones.

    Idempotent calls are passed directly to ``admission``. The other calls
    are passed to ``keyed_calls``, which checks them with the ledger first.

    ``served`` counts the idempotent calls whose run has ended, ``refused``
    the calls that were refused.
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
        self._active_calls_by_id = {}
        self._running_ids = set()
        self._is_out = False
        self.served = 0
        self.refused = 0

    @property
    def unfinished(self):
        """Return the number of calls without an answer."""
        return len(self._active_calls_by_id) + self._keyed_calls.unfinished

    @property
    def running_ids(self):
        """Return the identifiers of idempotent calls that are running."""
        return frozenset(self._running_ids)

    def on_backend_stopped(self):
        """Report the crash to admission, which refuses the queued calls."""
        self.feed_admission(admission_events.BackendStopped())

    def on_backend_restarted(self):
        """Report the restart to admission; the back end counts as cold."""
        self.feed_admission(admission_events.BackendRestarted())

    def on_quarantined(self, call_id):
        """Stop the run of a request that crashes back ends."""
        active_call = self._active_calls_by_id.get(call_id)
        if active_call is not None:
            active_call.quarantined = True
            active_call.scope.cancel()

    def receive(self, session, message):
        """Handle one message received from an entry."""
        match message:
            case messages.Call():
                self._receive_call(session, message)
            case messages.Cancel():
                self._cancel(session.identify(message.call_id))
            case messages.Credit():
                session.grow_window(message)
            case _:
                self._keyed_calls.receive(session, message)

    def end_session(self, session):
        """Cancel the idempotent calls of an entry that has disconnected."""
        prefix = session.identify('')
        for call_id in list(self._active_calls_by_id):
            if call_id.startswith(prefix):
                self._cancel(call_id)
        self._keyed_calls.end_session(session)

    def _receive_call(self, session, call):
        if not call.idempotent:
            self._keyed_calls.offer(session, call)
            return
        call_id = session.identify(call.call_id)
        if call_id in self._active_calls_by_id:
            return
        if self._is_out:
            self._refuse_data_centre_out(session, call)
            return
        self._active_calls_by_id[call_id] = ActiveCall(
            session=session,
            call=call,
            window=session.open_window(call),
            scope=anyio.CancelScope(),
        )
        self.feed_admission(arrivals.build_arrival(call_id, call))

    def set_data_centre_out(self, is_out):
        """Refuse new idempotent calls while the data centre is set to out.

        Entries do not send calls to such a data centre, except for an entry
        that was suspended and still uses an old configuration. Calls with
        bound keys are still served, as no other process may run them.
        """
        self._is_out = is_out

    def _refuse_data_centre_out(self, session, call):
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
        """Apply an event to admission and carry out its decisions."""
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
        active_call = self._active_calls_by_id.get(decision.call_id)
        if active_call is None:
            self._keyed_calls.start(decision.call_id)
            return
        quarantine_decision = self._guard.request_run(
            decision.call_id, active_call.call
        )
        if isinstance(quarantine_decision, quarantine_decisions.Run):
            self._running_ids.add(decision.call_id)
            self._tasks.start_soon(self._run, decision.call_id, active_call)
        else:
            self._tasks.start_soon(
                self._release, active_call, quarantine_decision
            )

    @_carry_out.register
    def _(self, decision: admission_decisions.Refuse):
        logs.write_event(
            'call_refused',
            call=decision.call_id,
            reason=decision.reason.value,
            retry_after_s=decision.retry_after_s,
        )
        self.refused += 1
        active_call = self._active_calls_by_id.pop(decision.call_id, None)
        if active_call is None:
            self._keyed_calls.refuse(decision)
            return
        active_call.session.close_window(active_call.call.call_id)
        active_call.session.send(
            messages.Refusal(
                call_id=active_call.call.call_id,
                outcome=messages.Outcome.NOT_RUN,
                reason=decision.reason.value,
                retry_after_ms=int(decision.retry_after_s * 1000),
                same_key_may_return=True,
            )
        )

    @_carry_out.register
    def _(self, decision: admission_decisions.Abort):
        active_call = self._active_calls_by_id.get(decision.call_id)
        if active_call is not None:
            active_call.scope.cancel()

    def _cancel(self, call_id):
        if call_id in self._active_calls_by_id:
            self.feed_admission(admission_events.Cancelled(call_id=call_id))

    async def _release(self, active_call, quarantine_decision):
        """Refuse a call because of the quarantine."""
        del self._active_calls_by_id[quarantine_decision.call_id]
        active_call.session.close_window(active_call.call.call_id)
        self.refused += 1
        relays.send_quarantine_refusal(active_call, quarantine_decision)
        # Done in a task of its own, after admission has finished with the
        # event that started the call.
        self.feed_admission(
            admission_events.Released(call_id=quarantine_decision.call_id)
        )

    async def _run(self, call_id, active_call):
        started_s = self._clock()
        relay = relays.Relay(active_call=active_call, clock=self._clock)
        succeeded = False
        with active_call.scope:
            succeeded = await self._try_stream(call_id, active_call, relay)
        if active_call.quarantined and active_call.scope.cancelled_caught:
            relay.send_stopped()
        active_call.session.close_window(active_call.call.call_id)
        del self._active_calls_by_id[call_id]
        self._running_ids.discard(call_id)
        self._guard.end_run(call_id, succeeded=succeeded)
        self.served += 1
        first_token_s = relay.first_event_s
        self.feed_admission(
            admission_events.Finished(
                call_id=call_id,
                succeeded=succeeded,
                service_time_s=self._clock() - started_s,
                first_token_s=first_token_s and first_token_s - started_s,
            )
        )

    async def _try_stream(self, call_id, active_call, relay):
        try:
            await self._backend.stream(
                active_call.call,
                on_head=relay.send_head,
                on_events=relay.send_events,
                timeout_s=active_call.call.remaining_ms / 1000,
            )
        except exceptions.NothingSent as error:
            # A call that never reached the back end did not crash it.
            self._guard.end_run(call_id, succeeded=False)
            self._running_ids.discard(call_id)
            await self._guard.check_backend()
            relay.send_failure(error)
            return False
        except exceptions.BackendError as error:
            await self._guard.check_backend()
            reports = self._guard.pop_reports(call_id)
            relay.send_failure(error, crash_reports=reports)
            return False
        relay.send_end()
        return relay.status < conf.SERVER_ERROR_STATUS

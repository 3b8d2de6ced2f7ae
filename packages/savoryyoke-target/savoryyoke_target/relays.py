"""Forward the answers of idempotent calls to their entries."""

from savoryyoke.quarantine import decisions as quarantine_decisions
from savoryyoke_edge import logs
from savoryyoke_target import exceptions
from savoryyoke_target import sessions
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages


class Relay:
    """Forward one answer to its entry under flow control.

    ``status`` is the HTTP status, 0 before the head; ``first_event_s`` the
    time of the first event by ``clock``, or None.
    """

    def __init__(self, *, active_call, clock):
        self._session = active_call.session
        self._call_id = active_call.call.call_id
        self._window = active_call.window
        self._index = active_call.call.resume_index
        self._clock = clock
        self.status = 0
        self.first_event_s = None

    async def send_head(self, status, headers):
        """Send the status and the headers."""
        self.status = status
        self._session.send(
            messages.Head(
                call_id=self._call_id,
                status=status,
                headers=sessions.to_headers(headers),
            )
        )

    async def send_events(self, data, count):
        """Wait until the flow-control window is open and send the events."""
        if self.first_event_s is None:
            self.first_event_s = self._clock()
        await self._window.spend(len(data))
        self._session.send(
            messages.Chunk(
                call_id=self._call_id,
                index=self._index,
                count=count,
                data=data,
            )
        )
        self._index += count

    def send_end(self):
        """Send the end of the answer."""
        self._session.send(
            messages.End(call_id=self._call_id, total=self._index)
        )

    def send_stopped(self):
        """Send a refusal for a run that the quarantine stopped."""
        self._session.send(
            messages.Refusal(
                call_id=self._call_id,
                outcome=messages.Outcome.MAY_HAVE_RUN,
                reason=wire_conf.QUARANTINED_REASON,
                handed_over=True,
            )
        )

    def send_failure(self, error, *, crash_reports=()):
        """Send a refusal because the back end did not complete the answer."""
        handed_over = not isinstance(error, exceptions.NothingSent)
        outcome = messages.Outcome.NOT_RUN
        if handed_over:
            outcome = messages.Outcome.MAY_HAVE_RUN
        logs.write_event(
            'backend_failed',
            level='warning',
            call=self._session.identify(self._call_id),
            reason=str(error),
            handed_over=handed_over,
        )
        self._session.send(
            messages.Refusal(
                call_id=self._call_id,
                outcome=outcome,
                reason=f'backend: {error}',
                handed_over=handed_over,
                crash_reports=crash_reports,
            )
        )


def send_quarantine_refusal(active_call, quarantine_decision):
    """Send a refusal with the reason that the quarantine gives."""
    reason = wire_conf.QUARANTINED_REASON
    if isinstance(
        quarantine_decision, quarantine_decisions.RefuseWhileIsolating
    ):
        reason = wire_conf.ISOLATING_REASON
        if quarantine_decision.same_request:
            reason = wire_conf.SAME_REQUEST_REASON
    logs.write_event(
        'call_refused',
        call=quarantine_decision.call_id,
        reason=reason,
        retry_after_s=0.0,
    )
    active_call.session.send(
        messages.Refusal(
            call_id=active_call.call.call_id,
            outcome=messages.Outcome.NOT_RUN,
            reason=reason,
        )
    )

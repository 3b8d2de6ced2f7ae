"""Pass the answer of one idempotent call on to its entry."""

from savoryyoke.quarantine import decisions as quarantine_decisions
from savoryyoke_edge import logs
from savoryyoke_target import exceptions
from savoryyoke_target import sessions
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages


class Relay:
    """Pass one answer on to its entry, as fast as the entry takes it."""

    def __init__(self, *, live, clock):
        self._session = live.session
        self._call_id = live.call.call_id
        self._window = live.window
        self._index = live.call.resume_index
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
        """Send the next events once the window is open."""
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
        """Send the explicit end."""
        self._session.send(
            messages.End(call_id=self._call_id, total=self._index)
        )

    def send_stopped(self):
        """Tell the entry that the run was stopped for good."""
        self._session.send(
            messages.Refusal(
                call_id=self._call_id,
                outcome=messages.Outcome.MAY_HAVE_RUN,
                reason=wire_conf.QUARANTINED_REASON,
                handed_over=True,
            )
        )

    def send_failure(self, error, *, crash_reports=()):
        """Tell the entry that no more of this answer will come."""
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


def send_verdict(live, verdict):
    """Tell the entry why the quarantine keeps a call from running."""
    reason = wire_conf.QUARANTINED_REASON
    if isinstance(verdict, quarantine_decisions.RefuseWhileIsolating):
        reason = wire_conf.ISOLATING_REASON
        if verdict.same_request:
            reason = wire_conf.SAME_REQUEST_REASON
    logs.write_event(
        'call_refused', call=verdict.call_id, reason=reason, retry_after_s=0.0
    )
    live.session.send(
        messages.Refusal(
            call_id=live.call.call_id,
            outcome=messages.Outcome.NOT_RUN,
            reason=reason,
        )
    )

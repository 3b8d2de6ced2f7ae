"""Provide the state machine of one attempt at an entry."""

import enum
import functools

from savoryyoke.calls.attempts import decisions
from savoryyoke.calls.attempts import events
from savoryyoke.calls import conf
from savoryyoke.calls import exceptions
from savoryyoke.calls.ledger import events as ledger_events
from savoryyoke.calls import outcomes

_MayHaveRunReason = outcomes.MayHaveRunReason


class _Phase(enum.Enum):
    OFFERING = 'offering'
    SEALING = 'sealing'
    ENDED = 'ended'


class Attempt:
    """Process one attempt from the caller's request to its only answer.

    ``stamp_ms`` is the newest stamp of the key's incarnation that the entry
    had received when it read the request; ``may_predate_pause`` says that the
    request may have arrived before a pause of the entry. ``deadline_s`` and
    ``next_tick_s``, the time of the next tick, are monotonic times.
    """

    def __init__(
        self,
        *,
        attempt_id,
        key,
        fingerprint,
        target_id,
        stamp_ms,
        deadline_s,
        may_predate_pause,
        forwarded_answers,
        limits,
    ):
        self.attempt_id = attempt_id
        self.key = key
        self.fingerprint = fingerprint
        self._target_id = target_id
        self._stamp_ms = _find_stamp_before_arrival_ms(
            stamp_ms, may_predate_pause, limits
        )
        self._deadline_s = deadline_s
        self._forwarded_answers = forwarded_answers
        self._limits = limits
        self._phase = _Phase.OFFERING
        self._sent_s_by_number = {}
        self._next_number = 0
        self._redirect_count = 0

    @property
    def next_tick_s(self):
        """Return the time of the next tick, or None after the end."""
        if self._phase is _Phase.ENDED:
            return None
        if self._phase is _Phase.SEALING:
            return self._deadline_s
        return self._deadline_s - self._limits.seal_margin_s

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Return a tuple of decisions for ``event`` at ``now_s``.

        Raises ``UnknownEvent`` for an event of another type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Started, *, now_s):
        return self._send(now_s)

    @apply.register
    def _(self, event: events.OutcomeReceived, *, now_s):
        if self._is_stale(event):
            return ()
        outcome = event.outcome
        if isinstance(outcome, outcomes.NotRun):
            return self._confirm_not_run(event, now_s)
        if isinstance(outcome, outcomes.MayHaveRun):
            return self._deliver_may_have_run(outcome.reason)
        if isinstance(outcome, outcomes.RanWithoutAnswer):
            return self._deliver(self._find_forwarded_answer() or outcome)
        self._forwarded_answers.add(
            key=self.key, fingerprint=self.fingerprint, outcome=outcome
        )
        return self._deliver(outcome)

    @apply.register
    def _(self, event: events.Redirected, *, now_s):
        if self._is_stale(event):
            return ()
        return self._redirect(event, now_s)

    @apply.register
    def _(self, event: events.TargetUnreachable, *, now_s):
        if self._is_stale(event):
            return ()
        heir = event.heir
        if heir is not None and heir.target_id != self._target_id:
            return self._redirect(event, now_s)
        return self._deliver_may_have_run(_MayHaveRunReason.TARGET_UNREACHABLE)

    @apply.register
    def _(self, event: events.CallerLeft, *, now_s):
        if self._phase is _Phase.ENDED:
            return ()
        self._phase = _Phase.SEALING
        sent = self._send(now_s)
        self._phase = _Phase.ENDED
        return sent

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        if self._phase is _Phase.ENDED or now_s < self.next_tick_s:
            return ()
        was_sealing = self._phase is _Phase.SEALING
        self._phase = _Phase.SEALING
        sent = () if was_sealing else self._send(now_s)
        if now_s < self._deadline_s:
            return sent
        return (*sent, *self._deliver_may_have_run(_MayHaveRunReason.DEADLINE))

    def _is_stale(self, event):
        return (
            self._phase is _Phase.ENDED
            or event.number not in self._sent_s_by_number
        )

    def _send(self, now_s):
        number = self._next_number
        self._next_number += 1
        self._sent_s_by_number[number] = now_s
        if self._phase is _Phase.SEALING:
            message = ledger_events.SealRequested(
                key=self.key,
                fingerprint=self.fingerprint,
                attempt_id=self.attempt_id,
                number=number,
            )
        else:
            message = ledger_events.Offered(
                key=self.key,
                fingerprint=self.fingerprint,
                attempt_id=self.attempt_id,
                number=number,
                stamp_ms=self._stamp_ms,
                remaining_s=self._deadline_s - now_s,
            )
        return (decisions.Send(target_id=self._target_id, message=message),)

    def _redirect(self, event, now_s):
        del self._sent_s_by_number[event.number]
        self._redirect_count += 1
        if self._redirect_count > self._limits.redirect_limit:
            return self._deliver_may_have_run(_MayHaveRunReason.REDIRECT_LIMIT)
        self._target_id = event.heir.target_id
        return self._send(now_s)

    def _confirm_not_run(self, event, now_s):
        elapsed_s = now_s - self._sent_s_by_number[event.number]
        elapsed_s *= 1 + self._limits.clock_drift
        if elapsed_s <= event.outcome.holds_for_s:
            return self._deliver(event.outcome)
        # The seal has expired, so later attempts may run: seal again.
        if now_s >= self._deadline_s:
            return self._deliver_may_have_run(_MayHaveRunReason.DEADLINE)
        self._phase = _Phase.SEALING
        return self._send(now_s)

    def _find_forwarded_answer(self):
        return self._forwarded_answers.find(
            key=self.key, fingerprint=self.fingerprint
        )

    def _deliver_may_have_run(self, reason):
        may_have_run = outcomes.MayHaveRun(reason=reason)
        return self._deliver(self._find_forwarded_answer() or may_have_run)

    def _deliver(self, outcome):
        self._phase = _Phase.ENDED
        return (decisions.Deliver(outcome=outcome),)


def _find_stamp_before_arrival_ms(stamp_ms, may_predate_pause, limits):
    """Return a stamp, in ms, that is older than the request's arrival.

    After a pause all stamps received may be newer than the arrival. The
    result is then 0, and the ledger uses the start of the key's window. A
    pause too short to be detected is covered by subtracting the threshold.
    """
    if may_predate_pause:
        return 0
    threshold_ms = limits.pause_threshold_s * conf.MILLISECONDS_PER_SECOND
    return max(0, stamp_ms - int(threshold_ms))

"""Track the tries of one request and decide how to continue it."""

import functools

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.forwarding import exceptions


class RequestLedger:
    """Own the state of one request's tries.

    Unless ``may_repeat`` is true, the request is sent to another target only
    if it certainly has not run. ``attempts_limit`` limits how often it is sent
    to a target. Several tries may be open at once: a refusal by one target
    does not show that another one has not run the request.
    """

    def __init__(self, *, may_repeat, attempts_limit):
        self._may_repeat = may_repeat
        self._attempts_limit = attempts_limit
        self._tried_target_ids = set()
        self._sent_count = 0
        self._unreachable_count = 0
        self._open_try_count = 0
        self._may_have_run = False
        self._has_failure_answer = False
        self._is_streaming = False
        self._last_event_id = None

    @property
    def may_have_run(self):
        """Return whether a target may have run the request."""
        return self._may_have_run

    @property
    def last_event_id(self):
        """Return the id of the last event sent to the caller, or None."""
        return self._last_event_id

    @property
    def may_try_another(self):
        """Return whether the request may be sent to a further target."""
        return self._may_repeat and self._sent_count < self._attempts_limit

    @property
    def may_hedge(self):
        """Return whether a second try may be started in parallel.

        The first try must have been sent. One that is still connecting is not
        counted yet and may use up the last attempt.
        """
        return self._sent_count > 0 and self.may_try_another

    @functools.singledispatchmethod
    def apply(self, event):
        """Apply an event and return the decision that follows, or None.

        Raise ``UnknownEvent`` for an object that is not in ``events``.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Sent):
        self._tried_target_ids.add(event.target_id)
        self._sent_count += 1
        self._open_try_count += 1

    @apply.register
    def _(self, event: events.Unreachable):
        self._tried_target_ids.add(event.target_id)
        self._unreachable_count += 1
        if self._unreachable_count >= conf.UNREACHABLE_TRIES_LIMIT:
            return self._conclude('unreachable')
        return self._try_another('unreachable')

    @apply.register
    def _(self, event: events.TargetRefused):
        self._open_try_count -= 1
        return self._try_another('refused')

    @apply.register
    def _(self, event: events.TargetAnswered):
        self._open_try_count -= 1
        self._may_have_run = True
        if self._is_streaming:
            # The caller waits for the rest of a stream, so an answer of any
            # status is no use to it.
            return self._try_another('no-stream')
        if not event.is_failure:
            return decisions.Deliver()
        self._has_failure_answer = True
        if not self._may_repeat:
            return decisions.Deliver()
        return self._try_another('failed')

    @apply.register
    def _(self, event: events.StreamStarted):
        self._may_have_run = True
        if self._is_streaming:
            return None
        self._is_streaming = True
        return decisions.BeginStream()

    @apply.register
    def _(self, event: events.StreamAdvanced):
        if event.event_id is not None:
            self._last_event_id = event.event_id

    @apply.register
    def _(self, event: events.StreamEnded):
        return decisions.FinishStream()

    @apply.register
    def _(self, event: events.TryBroken):
        self._open_try_count -= 1
        self._may_have_run = True
        if not self._may_repeat:
            return self._conclude(event.reason)
        return self._try_another(event.reason)

    @apply.register
    def _(self, event: events.TargetSlow):
        """Return the decision to change the target, or None to stay."""
        if not self.may_try_another:
            return None
        return self._try_another('slow')

    @apply.register
    def _(self, event: events.NoOtherTarget):
        return self._conclude(event.reason)

    @apply.register
    def _(self, event: events.TimeRanOut):
        if self._is_streaming:
            return decisions.AbortStream(reason=event.reason)
        if self._may_have_run or self._open_try_count:
            return decisions.Fail(reason=event.reason, timed_out=True)
        return decisions.Refuse(reason=event.reason)

    def _try_another(self, reason):
        if self._sent_count >= self._attempts_limit:
            return self._conclude(reason)
        return decisions.TryAnother(
            tried_target_ids=frozenset(self._tried_target_ids),
            resume_after=self._last_event_id,
            is_repeat=self._sent_count > 0,
        )

    def _conclude(self, reason):
        """Return the final decision when no further try is possible."""
        if self._is_streaming:
            return decisions.AbortStream(reason=reason)
        if self._has_failure_answer:
            return decisions.Deliver()
        if self._may_have_run:
            return decisions.Fail(reason=reason, timed_out=False)
        return decisions.Refuse(reason=reason)

"""Keep account of the tries of one request."""

import functools

from savoryyoke.forwarding import conf
from savoryyoke.forwarding import decisions
from savoryyoke.forwarding import events
from savoryyoke.forwarding import exceptions


class RequestLedger:
    """Own what is known of one request's tries.

    A request that may not be repeated goes to another target only while it
    provably has not run. ``attempts_limit`` bounds the targets that receive
    it. Several tries may be open at once; a request that one of them refused
    may still run at another.
    """

    def __init__(self, *, may_repeat, attempts_limit):
        self._may_repeat = may_repeat
        self._attempts_limit = attempts_limit
        self._tried_target_ids = set()
        self._sent = 0
        self._unreachable = 0
        self._open_tries = 0
        self._may_have_run = False
        self._failure_held = False
        self._streaming = False
        self._last_event_id = None

    @property
    def may_have_run(self):
        """Return whether a target may have run the request."""
        return self._may_have_run

    @property
    def last_event_id(self):
        """Return the id of the last event that the caller has, or None."""
        return self._last_event_id

    @property
    def may_try_another(self):
        """Return whether the request may go to a further target."""
        return self._may_repeat and self._sent < self._attempts_limit

    @property
    def may_hedge(self):
        """Return whether a second try may run beside the first.

        The first must have been sent: a try that still connects may yet use
        up the last attempt.
        """
        return self._sent > 0 and self.may_try_another

    @functools.singledispatchmethod
    def apply(self, event):
        """Take in an event and return the decision, or None."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Sent):
        self._tried_target_ids.add(event.target_id)
        self._sent += 1
        self._open_tries += 1

    @apply.register
    def _(self, event: events.Unreachable):
        self._tried_target_ids.add(event.target_id)
        self._unreachable += 1
        if self._unreachable >= conf.UNREACHABLE_TRIES_LIMIT:
            return self._conclude('unreachable')
        return self._try_another('unreachable')

    @apply.register
    def _(self, event: events.TargetRefused):
        self._open_tries -= 1
        return self._try_another('refused')

    @apply.register
    def _(self, event: events.TargetAnswered):
        self._open_tries -= 1
        self._may_have_run = True
        if not event.is_failure:
            return decisions.Deliver()
        self._failure_held = True
        if not self._may_repeat:
            return decisions.Deliver()
        return self._try_another('failed')

    @apply.register
    def _(self, event: events.StreamStarted):
        self._may_have_run = True
        if self._streaming:
            return None
        self._streaming = True
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
        self._open_tries -= 1
        self._may_have_run = True
        if not self._may_repeat:
            return self._conclude(event.reason)
        return self._try_another(event.reason)

    @apply.register
    def _(self, event: events.TargetSlow):
        """Return the move to another target, or None to stay."""
        if not self.may_try_another:
            return None
        return self._try_another('slow')

    @apply.register
    def _(self, event: events.NoOtherTarget):
        return self._conclude(event.reason)

    @apply.register
    def _(self, event: events.TimeRanOut):
        if self._streaming:
            return decisions.BreakOff(reason='timeout')
        if self._may_have_run or self._open_tries:
            return decisions.Fail(reason='timeout', timed_out=True)
        return decisions.Refuse(reason='timeout')

    def _try_another(self, reason):
        if self._sent >= self._attempts_limit:
            return self._conclude(reason)
        return decisions.TryAnother(
            tried_target_ids=frozenset(self._tried_target_ids),
            resume_after=self._last_event_id,
            is_repeat=self._sent > 0,
        )

    def _conclude(self, reason):
        """Return the final answer where no further try is possible."""
        if self._streaming:
            return decisions.BreakOff(reason=reason)
        if self._failure_held:
            return decisions.Deliver()
        if self._may_have_run:
            return decisions.Fail(reason=reason, timed_out=False)
        return decisions.Refuse(reason=reason)

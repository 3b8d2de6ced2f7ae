"""Deliver each event of an answer once and in order, or fail aloud."""

import functools

from savoryyoke.streams import conf
from savoryyoke.streams import decisions
from savoryyoke.streams import events
from savoryyoke.streams import exceptions


class Assembly:
    """Own the state of one answer.

    ``resumable`` tells whether another target can go on where one broke
    off. Once finished or failed, it decides nothing more.
    """

    def __init__(
        self,
        *,
        resumable,
        resumes_limit=conf.RESUMES_LIMIT,
        kept_limit_bytes=conf.KEPT_LIMIT_BYTES,
    ):
        self._resumable = resumable
        self._resumes_limit = resumes_limit
        self._kept_limit_bytes = kept_limit_bytes
        self._attempt = 0
        self._next_index = 0
        self._started = False
        self._closed = False
        self._kept = []
        self._kept_bytes = 0

    @property
    def delivered(self):
        """Return the bytes of the events delivered so far."""
        return b''.join(self._kept)

    @functools.singledispatchmethod
    def apply(self, event):
        """Take one event and return a tuple of decisions."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.HeadReceived):
        if self._is_late(event) or self._started:
            return ()
        self._started = True
        return (decisions.Start(status=event.status),)

    @apply.register
    def _(self, event: events.ChunkReceived):
        if self._is_late(event):
            return ()
        if event.index > self._next_index:
            return self._break_off('gap')
        data = self._skip_delivered(event)
        if not data:
            return ()
        self._next_index = event.index + event.count
        self._keep(data)
        return (decisions.Deliver(data=data),)

    @apply.register
    def _(self, event: events.EndReceived):
        if self._is_late(event):
            return ()
        if event.total != self._next_index or not self._started:
            return self._break_off('truncated')
        self._closed = True
        return (decisions.Finish(),)

    @apply.register
    def _(self, event: events.AttemptBroken):
        if self._is_late(event):
            return ()
        return self._break_off(event.reason)

    def _is_late(self, event):
        return self._closed or event.attempt != self._attempt

    def _skip_delivered(self, event):
        """Return the part of a chunk that was not delivered before."""
        known = self._next_index - event.index
        if known <= 0:
            return event.data
        if known >= event.count:
            return b''
        parts = event.data.split(conf.EVENT_SEPARATOR, known)
        return parts[-1]

    def _keep(self, data):
        if not self._resumable:
            return
        self._kept_bytes += len(data)
        if self._kept_bytes > self._kept_limit_bytes:
            self._resumable = False
            self._kept.clear()
            return
        self._kept.append(data)

    def _break_off(self, reason):
        may_go_on = self._resumable or self._next_index == 0
        if may_go_on and self._attempt < self._resumes_limit:
            self._attempt += 1
            resume = decisions.Resume(
                attempt=self._attempt, index=self._next_index
            )
            return (resume,)
        self._closed = True
        return (decisions.Fail(reason=reason, started=self._started),)

"""Deliver each event of an answer once and in order, or report a failure."""

import functools

from savoryyoke.streams import conf
from savoryyoke.streams import decisions
from savoryyoke.streams import events
from savoryyoke.streams import exceptions


class Assembly:
    """Own the state of one answer.

    ``resumable`` says whether another target can continue an incomplete
    answer. The delivered bytes are stored for that purpose. An answer of more
    than ``resume_buffer_limit_bytes`` can't be resumed. ``resumes_limit`` is
    the largest number of resumes. After ``Finish`` or ``Fail``, events have
    no effect.
    """

    def __init__(
        self,
        *,
        resumable,
        resumes_limit=conf.RESUMES_LIMIT,
        resume_buffer_limit_bytes=conf.RESUME_BUFFER_LIMIT_BYTES,
    ):
        self._resumable = resumable
        self._resumes_limit = resumes_limit
        self._resume_buffer_limit_bytes = resume_buffer_limit_bytes
        self._attempt = 0
        self._next_index = 0
        self._has_started = False
        self._is_closed = False
        self._delivered_parts = []
        self._delivered_bytes = 0

    @property
    def delivered(self):
        """Return the bytes delivered so far.

        They are stored only while the answer is resumable.
        """
        return b''.join(self._delivered_parts)

    @functools.singledispatchmethod
    def apply(self, event):
        """Apply an event and return a tuple of decisions.

        Raise ``UnknownEvent`` for an object that is not in ``events``.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.HeadReceived):
        if self._is_outdated(event) or self._has_started:
            return ()
        self._has_started = True
        return (decisions.Start(status=event.status),)

    @apply.register
    def _(self, event: events.ChunkReceived):
        if self._is_outdated(event):
            return ()
        if event.index > self._next_index:
            return self._resume_or_fail('gap')
        data = self._skip_delivered(event)
        if not data:
            return ()
        self._next_index = event.index + event.count
        self._store_delivered(data)
        return (decisions.Deliver(data=data),)

    @apply.register
    def _(self, event: events.EndReceived):
        if self._is_outdated(event):
            return ()
        if event.total != self._next_index or not self._has_started:
            return self._resume_or_fail('truncated')
        self._is_closed = True
        return (decisions.Finish(),)

    @apply.register
    def _(self, event: events.AttemptBroken):
        if self._is_outdated(event):
            return ()
        return self._resume_or_fail(event.reason)

    def _is_outdated(self, event):
        return self._is_closed or event.attempt != self._attempt

    def _skip_delivered(self, event):
        """Return the part of a chunk that was not delivered before."""
        delivered_count = self._next_index - event.index
        if delivered_count <= 0:
            return event.data
        if delivered_count >= event.count:
            return b''
        parts = event.data.split(conf.EVENT_SEPARATOR, delivered_count)
        return parts[-1]

    def _store_delivered(self, data):
        if not self._resumable:
            return
        self._delivered_bytes += len(data)
        if self._delivered_bytes > self._resume_buffer_limit_bytes:
            self._resumable = False
            self._delivered_parts.clear()
            return
        self._delivered_parts.append(data)

    def _resume_or_fail(self, reason):
        may_resume = self._resumable or self._next_index == 0
        if may_resume and self._attempt < self._resumes_limit:
            self._attempt += 1
            resume = decisions.Resume(
                attempt=self._attempt, index=self._next_index
            )
            return (resume,)
        self._is_closed = True
        return (decisions.Fail(reason=reason, started=self._has_started),)

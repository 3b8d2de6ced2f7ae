"""Shut down without interrupting requests."""

import contextlib

import anyio

from savoryyoke_edge import logs
from savoryyoke_gateway import conf


class Stopping:
    """Own the state of a graceful shutdown.

    At first, requests are still served while the directory no longer lists
    this entry. Once callers' cached answers of the directory have expired,
    new requests are refused. The shutdown ends when no request is in flight
    or ``STOP_MARGIN_S`` before the end of the grace time. Requests that are
    still in flight then get their final answers before the process ends.

    ``grace_s`` is the time in seconds between the signal to stop and the
    kill.
    """

    def __init__(self, *, grace_s, clock):
        self._grace_s = grace_s
        self._clock = clock
        self._start_s = None
        self._started = anyio.Event()
        self._unfinished_scopes = set()
        self.refuses_requests = False
        self.has_ended = False

    @property
    def has_begun(self):
        """Return whether the shutdown has begun."""
        return self._start_s is not None

    def set_grace(self, grace_s):
        """Change the grace time, in seconds."""
        self._grace_s = grace_s

    def begin(self):
        """Begin the shutdown; later calls have no effect."""
        if self._start_s is None:
            self._start_s = self._clock()
            self._started.set()

    async def run(self, *, count_in_flight, announce):
        """Wait for the shutdown to begin, and return when it is complete.

        ``count_in_flight()`` returns the number of requests in flight;
        ``announce()`` sends the peers a heartbeat.
        """
        await self._started.wait()
        logs.write_event('stop_begun', in_flight=count_in_flight())
        await announce()
        refused_from_s = (
            self._start_s + conf.DIRECTORY_TTL_S * conf.DIRECTORY_CACHE_TTLS
        )
        while self._clock() < min(refused_from_s, self._deadline_s):
            await anyio.sleep(conf.STOP_CHECK_INTERVAL_S)
        self.refuses_requests = True
        while count_in_flight() and self._clock() < self._deadline_s:
            await anyio.sleep(conf.STOP_CHECK_INTERVAL_S)
        unfinished_count = count_in_flight()
        self._end_requests()
        with anyio.move_on_after(conf.STOP_MARGIN_S / 2):
            while count_in_flight():
                await anyio.sleep(conf.STOP_CHECK_INTERVAL_S)
        logs.write_event(
            'stopped',
            unfinished=unfinished_count,
            in_flight=count_in_flight(),
            after_s=self._clock() - self._start_s,
        )

    @property
    def _deadline_s(self):
        return self._start_s + self._grace_s - conf.STOP_MARGIN_S

    @contextlib.contextmanager
    def cancel_at_end(self, scope):
        """Cancel a scope when the shutdown ends; at once if it has ended."""
        if self.has_ended:
            scope.cancel()
        self._unfinished_scopes.add(scope)
        try:
            yield
        finally:
            self._unfinished_scopes.discard(scope)

    def _end_requests(self):
        self.has_ended = True
        for scope in self._unfinished_scopes:
            scope.cancel()

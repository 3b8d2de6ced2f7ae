"""Shut down without interrupting requests."""

import anyio

from savoryyoke_edge import logs
from savoryyoke_gateway import conf


class Stopping:
    """Own the state of a graceful shutdown.

    At first, requests are still served while the directory no longer lists
    this entry. Once callers' cached answers of the directory have expired,
    new requests are refused. The process ends when no request is in flight
    or ``STOP_MARGIN_S`` before the end of the grace time.

    ``grace_s`` is the time in seconds between the signal to stop and the
    kill.
    """

    def __init__(self, *, grace_s, clock):
        self._grace_s = grace_s
        self._clock = clock
        self._start_s = None
        self._started = anyio.Event()
        self.refuses_requests = False

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
        await anyio.sleep(conf.DIRECTORY_TTL_S * conf.DIRECTORY_CACHE_TTLS)
        self.refuses_requests = True
        deadline_s = self._start_s + self._grace_s - conf.STOP_MARGIN_S
        while count_in_flight() and self._clock() < deadline_s:
            await anyio.sleep(0.05)
        logs.write_event(
            'stopped',
            in_flight=count_in_flight(),
            after_s=self._clock() - self._start_s,
        )

"""Stop without cutting a request."""

import anyio

from savoryyoke_edge import logs
from savoryyoke_gateway import conf


class Stopping:
    """Own the course of a planned stop.

    At first requests are still served, while callers hear from the
    directory that this entry leaves. When their old answers of the
    directory have run out, further requests are refused. The process ends
    when nothing is in flight or the time for it is over.
    """

    def __init__(self, *, grace_s, clock):
        self._grace_s = grace_s
        self._clock = clock
        self._begun_s = None
        self._begun = anyio.Event()
        self.refuses = False

    @property
    def has_begun(self):
        """Return whether the process is to stop."""
        return self._begun_s is not None

    def set_grace(self, grace_s):
        """Change the time between the signal to stop and the kill."""
        self._grace_s = grace_s

    def begin(self):
        """Start the stop; later calls change nothing."""
        if self._begun_s is None:
            self._begun_s = self._clock()
            self._begun.set()

    async def run(self, *, count_in_flight, announce):
        """Wait for the start of the stop and return when to end."""
        await self._begun.wait()
        logs.write_event('stop_begun', in_flight=count_in_flight())
        await announce()
        await anyio.sleep(conf.DIRECTORY_TTL_S * conf.DIRECTORY_KEPT_TIMES)
        self.refuses = True
        ends_s = self._begun_s + self._grace_s - conf.STOP_MARGIN_S
        while count_in_flight() and self._clock() < ends_s:
            await anyio.sleep(0.05)
        logs.write_event(
            'stopped',
            in_flight=count_in_flight(),
            after_s=self._clock() - self._begun_s,
        )

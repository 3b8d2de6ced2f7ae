"""Follow the platform's published values."""

import anyio

from savoryyoke.published import conf as published_conf
from savoryyoke.published import exceptions as published_exceptions
from savoryyoke.published import models

from savoryyoke_edge import logs
from savoryyoke_gateway import conf


class Follower:
    """Read published values again and again into ``knowledge``.

    Every entry reads for itself: one that its peers can't reach still owes
    its callers the newest configuration.
    """

    def __init__(
        self, *, source, knowledge, metrics, find_pause_s, find_wait_s
    ):
        """Prepare to follow.

        ``find_pause_s()`` returns the pause between a change and the next
        reading, ``find_wait_s()`` how long a reading waits for a change.
        """
        self._source = source
        self._knowledge = knowledge
        self._metrics = metrics
        self._find_pause_s = find_pause_s
        self._find_wait_s = find_wait_s
        self._long_wait = None
        self._needs_snapshot = True
        self._is_lost = False

    async def run(self):
        """Follow until cancelled."""
        while True:
            try:
                reading = await self._read()
            except published_exceptions.HistoryLost:
                self._metrics.count_reading('history-lost')
                self._needs_snapshot = True
            except published_exceptions.SourceUnavailable as error:
                self._note_lost(error)
                await anyio.sleep(conf.SOURCE_RETRY_S)
            else:
                if reading is not None and self._take_in(reading):
                    await anyio.sleep(self._find_pause_s())

    async def _read(self):
        if self._needs_snapshot:
            return await self._source.read_snapshot()
        wait_s = self._find_wait_s()
        reading = None
        try:
            with anyio.CancelScope() as scope:
                if wait_s > published_conf.LONG_POLL_S:
                    self._long_wait = scope
                reading = await self._source.read_changes(
                    after=self._knowledge.as_of, wait_s=wait_s
                )
        finally:
            self._long_wait = None
        return reading

    def renew(self):
        """Give up a long wait for changes that others have seen already.

        Return whether there was one: its connection has fallen silent.
        """
        if self._long_wait is None:
            return False
        self._long_wait.cancel()
        self._long_wait = None
        return True

    def _take_in(self, reading):
        """Put a reading in force; return whether it moved the view."""
        before = self._knowledge.as_of
        self._metrics.count_reading('ok')
        after_outage = self._is_lost
        if after_outage:
            self._is_lost = False
            logs.write_event('platform_regained', as_of=reading.as_of)
        is_snapshot = isinstance(reading, models.Snapshot)
        skipped = not is_snapshot and self._skips_revisions(reading)
        self._knowledge.take_in(
            reading, source='platform', after_outage=after_outage
        )
        self._needs_snapshot = skipped
        return self._knowledge.as_of != before

    def _skips_revisions(self, changes):
        """Return whether the revision moved without any change shown."""
        shown = changes.items or changes.removed_keys
        return changes.as_of != self._knowledge.as_of and not shown

    def _note_lost(self, error):
        self._metrics.count_reading('failed')
        self._needs_snapshot = True
        if not self._is_lost:
            self._is_lost = True
            logs.write_event(
                'platform_lost',
                level='warning',
                reason=str(error),
                as_of=self._knowledge.as_of,
            )

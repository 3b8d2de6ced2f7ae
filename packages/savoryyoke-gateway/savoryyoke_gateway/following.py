"""Read the platform's published values continuously."""

import anyio

from savoryyoke.published import conf as published_conf
from savoryyoke.published import exceptions as published_exceptions
from savoryyoke.published import models
from savoryyoke.published import source_health

from savoryyoke_edge import logs
from savoryyoke_gateway import conf


class Follower:
    """Keep ``published_state`` up to date with the platform.

    Every entry reads the platform itself, so that an entry which its peers
    can't reach still uses the newest configuration.
    """

    def __init__(
        self,
        *,
        source,
        published_state,
        metrics,
        ask_peers,
        choose_read_pause_s,
        choose_long_poll_s,
    ):
        """Prepare to read.

        ``ask_peers()`` copies the view of a peer, if one soon answers. It is
        called before the first read, because the platform may have been
        restored from an older copy, and peers know what was in force before.
        ``choose_read_pause_s()`` returns the pause in seconds between a
        change and the next read, ``choose_long_poll_s()`` how many seconds a
        read waits for a change.
        """
        self._source = source
        self._published_state = published_state
        self._metrics = metrics
        self._ask_peers = ask_peers
        self._choose_read_pause_s = choose_read_pause_s
        self._choose_long_poll_s = choose_long_poll_s
        self._long_poll_scope = None
        self._needs_snapshot = True
        self._is_history_lost = False
        self._health = source_health.SourceHealth(
            retry_delay_s=conf.SOURCE_RETRY_DELAY_S
        )

    async def run(self):
        """Read until cancelled."""
        if self._published_state.as_of == models.NO_REVISION:
            await self._ask_peers()
        while True:
            try:
                reading = await self._read()
            except published_exceptions.HistoryLost:
                self._metrics.count_reading('history-lost')
                self._needs_snapshot = True
                if self._is_history_lost:
                    # The last snapshot was too old as well.
                    await anyio.sleep(conf.SOURCE_RETRY_DELAY_S)
                self._is_history_lost = True
            except published_exceptions.SourceUnavailable as error:
                await anyio.sleep(self._record_failure(error))
            else:
                if reading is not None and self._apply_reading(reading):
                    await anyio.sleep(self._choose_read_pause_s())

    async def _read(self):
        if self._needs_snapshot:
            return await self._source.read_snapshot()
        wait_s = self._choose_long_poll_s()
        reading = None
        try:
            with anyio.CancelScope() as scope:
                if wait_s > published_conf.LONG_POLL_S:
                    self._long_poll_scope = scope
                reading = await self._source.read_changes(
                    after=self._published_state.as_of, wait_s=wait_s
                )
        finally:
            self._long_poll_scope = None
        return reading

    def restart_long_poll(self):
        """Cancel a long poll and read again.

        Called when a peer already has a newer revision, as the connection
        of the long poll may be dead. Return whether there was a long poll.
        """
        if self._long_poll_scope is None:
            return False
        self._long_poll_scope.cancel()
        self._long_poll_scope = None
        return True

    def _apply_reading(self, reading):
        """Apply a reading; return whether the revision has changed."""
        previous_as_of = self._published_state.as_of
        self._metrics.count_reading('ok')
        after_outage = self._health.record_success()
        if after_outage:
            logs.write_event('platform_regained', as_of=reading.as_of)
        is_snapshot = isinstance(reading, models.Snapshot)
        if not is_snapshot:
            self._is_history_lost = False
        has_gap = not is_snapshot and self._has_revision_gap(reading)
        self._published_state.apply(
            reading, source='platform', after_outage=after_outage
        )
        self._needs_snapshot = has_gap
        return self._published_state.as_of != previous_as_of

    def _has_revision_gap(self, changes):
        """Return whether the revision changed although no item did."""
        is_newer = changes.as_of != self._published_state.as_of
        return is_newer and not changes.events

    def _record_failure(self, error):
        """Record a failed read; return the seconds until the next one."""
        self._metrics.count_reading('failed')
        self._needs_snapshot = True
        was_lost = self._health.is_lost
        delay_s = self._health.record_failure(now_s=anyio.current_time())
        if was_lost:
            return delay_s
        if self._health.is_lost:
            self._published_state.begin_outage()
        logs.write_event(
            'platform_lost' if self._health.is_lost else 'reading_failed',
            level='warning',
            reason=str(error),
            as_of=self._published_state.as_of,
        )
        return delay_s

"""Exchange whole views of the published values with peers."""

import math
import socket

import anyio

from savoryyoke.peers import table as peer_table
from savoryyoke.published import models

from savoryyoke_edge import logs
from savoryyoke_edge import snapshots
from savoryyoke_gateway import conf


class ViewCopies:
    """Send the own view to peers and copy theirs when they know more.

    ``choose_read_pause_s()`` returns the pause in seconds between a change
    and the next read of the platform. ``restart_long_poll()`` cancels a
    long poll of the platform and returns whether there was one.
    """

    def __init__(
        self,
        *,
        settings,
        published_state,
        table,
        choose_read_pause_s,
        restart_long_poll,
        random_fraction,
        clock,
    ):
        self._settings = settings
        self._published_state = published_state
        self._table = table
        self._choose_read_pause_s = choose_read_pause_s
        self._restart_long_poll = restart_long_poll
        self._random_fraction = random_fraction
        self._clock = clock
        self._has_restarted_poll = False
        self._behind_since_s = None
        # The highest version that a peer had and that a copy of its view did
        # not bring into force.
        self._unavailable_version = 0
        self._epoch = None
        # Peers are asked until then what the restored platform lacks.
        self._restore_end_s = -math.inf
        self._asked_peer_ids = set()
        self._sent_now = 0

    async def run(self):
        """Send and copy views until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._serve)
            group.start_soon(self._copy)

    async def copy_at_start(self):
        """Copy the view of the first seed that has one.

        Return without it if all seeds are unreachable, or after
        ``START_COPY_TIMEOUT_S``.
        """
        own_host = self._settings.peer_host
        with anyio.move_on_after(conf.START_COPY_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for host in set(self._settings.seed_hosts) - {own_host}:
                    group.start_soon(self._copy_first, host, group)

    async def _copy_first(self, host, group):
        """Copy the view of a seed and end the group if it has one."""
        await self._copy_from(host)
        if self._published_state.as_of != models.NO_REVISION:
            group.cancel_scope.cancel()

    async def _serve(self):
        listener = await anyio.create_tcp_listener(
            local_host=self._settings.peer_host,
            local_port=self._settings.peer_port,
            family=socket.AF_INET,
            reuse_port=False,
        )
        async with listener:
            await listener.serve(self._send_view)

    async def _send_view(self, stream):
        if self._sent_now >= conf.COPIES_SENT_LIMIT:
            await stream.aclose()
            return
        self._sent_now += 1
        try:
            await snapshots.send_snapshot(
                stream, self._published_state.take_snapshot()
            )
        finally:
            self._sent_now -= 1

    async def _copy(self):
        while True:
            await anyio.sleep(conf.PEER_COPY_DELAY_S / 3)
            await self._copy_when_behind()
            await self._copy_after_restore()

    async def _copy_when_behind(self):
        """Copy a newer view that the platform hasn't sent in time."""
        heartbeat = self._find_newer_view()
        if heartbeat is None:
            self._behind_since_s = None
            self._has_restarted_poll = False
            return
        host = heartbeat.sender_host
        if self._behind_since_s is None:
            self._behind_since_s = self._clock()
        behind_s = self._clock() - self._behind_since_s
        copy_delay_s = conf.PEER_COPY_DELAY_S + self._choose_read_pause_s()
        if behind_s < copy_delay_s:
            return
        if not self._has_restarted_poll and self._restart_long_poll():
            self._has_restarted_poll = True
            self._behind_since_s += conf.PEER_COPY_DELAY_S
            logs.write_event('reading_renewed', newer_at=host)
            return
        is_copied = await self._copy_from(host)
        version = heartbeat.configuration_version
        if is_copied and self._published_state.configuration_version < version:
            self._unavailable_version = version

    def _find_newer_view(self):
        return peer_table.find_newer_view(
            self._table.alive(now_s=self._clock()),
            as_of=self._published_state.as_of,
            configuration_version=max(
                self._published_state.configuration_version,
                self._unavailable_version,
            ),
        )

    async def _copy_after_restore(self):
        """Copy views of peers after the platform has begun a new epoch.

        The peers may have accepted changes that this entry has missed and
        that the platform has lost.
        """
        as_of = self._published_state.as_of
        if as_of == models.NO_REVISION:
            return
        if as_of.epoch != self._epoch:
            self._begin_epoch(as_of.epoch)
        if (
            self._clock() > self._restore_end_s
            or len(self._asked_peer_ids) >= conf.RESTORE_COPIES
        ):
            return
        candidates = [
            heartbeat
            for heartbeat in self._table.alive(now_s=self._clock())
            if heartbeat.published_as_of.epoch == as_of.epoch
            and heartbeat.sender_id not in self._asked_peer_ids
        ]
        if candidates:
            number = int(self._random_fraction() * len(candidates))
            self._asked_peer_ids.add(candidates[number].sender_id)
            await self._copy_from(candidates[number].sender_host)

    def _begin_epoch(self, epoch):
        """Ask peers again, unless this is the first known epoch."""
        is_restored = self._epoch is not None
        self._epoch = epoch
        self._asked_peer_ids = set()
        if is_restored:
            self._restore_end_s = self._clock() + conf.RESTORE_COPIES_FOR_S

    async def _copy_from(self, host):
        """Copy the view of a peer; return whether it was received."""
        try:
            snapshot = await snapshots.fetch_snapshot(
                host, self._settings.peer_port
            )
        except snapshots.SnapshotUnavailable as error:
            logs.write_event(
                'copy_failed', level='warning', host=host, reason=str(error)
            )
            return False
        self._published_state.apply(snapshot, source=host)
        return True

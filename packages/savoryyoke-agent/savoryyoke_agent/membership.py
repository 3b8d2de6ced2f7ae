"""Learn the members of the own group from the entries."""

import itertools

import anyio

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_edge import snapshots


class GroupMembership:
    """Own what is known of the group's ranks.

    ``read_all()`` reads published values from the platform; it is asked
    only when no entry answers.
    """

    def __init__(self, *, settings, members, read_all):
        self._settings = settings
        self._members = members
        self._read_all = read_all
        self._seeds = itertools.cycle(settings.seed_hosts)
        self.known = None

    def hosts(self):
        """Return the hosts of the other ranks."""
        if self.known is None:
            return []
        return [
            host
            for host in self.known.hosts_by_rank.values()
            if host != self._settings.own_host
        ]

    async def refresh(self, group):
        """Look the members of ``group`` up."""
        items_by_key = await self._read()
        if items_by_key is None:
            return
        found = self._members.find(items_by_key, group)
        if found is not None and found != self.known:
            self.known = found
            logs.write_event(
                'members_known',
                group=group,
                ranks=len(found.hosts_by_rank),
                hosts=','.join(found.hosts_by_rank.values()),
            )

    async def _read(self):
        for _ in self._settings.seed_hosts:
            host = next(self._seeds)
            try:
                snapshot = await snapshots.fetch_snapshot(
                    host, self._settings.peer_port
                )
            except snapshots.SnapshotUnavailable as error:
                logs.write_event(
                    'copy_failed',
                    level='warning',
                    host=host,
                    reason=str(error),
                )
                await anyio.sleep(conf.REPEAT_S)
                continue
            return {item.key: item for item in snapshot.items}
        return await self._read_all()

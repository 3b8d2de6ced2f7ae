"""Find the members of the own group in the values that entries publish."""

import itertools

import anyio

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_edge import snapshots


class GroupMembership:
    """Hold the members of the own group and read them again on demand.

    ``member_finder`` implements ``ports.MemberFinder``. ``members`` is the
    latest ``ports.GroupMembers``, or None. ``read_published_values()`` returns
    items by key from the platform, or None; it is called only when no entry
    answers.
    """

    def __init__(self, *, settings, member_finder, read_published_values):
        self._settings = settings
        self._member_finder = member_finder
        self._read_published_values = read_published_values
        self._seeds = itertools.cycle(settings.seed_hosts)
        self.members = None

    def other_hosts(self):
        """Return the hosts of all members but the own one."""
        if self.members is None:
            return []
        return [
            host
            for host in self.members.hosts_by_rank.values()
            if host != self._settings.own_host
        ]

    async def refresh(self, group):
        """Read the members of the group with this name."""
        items_by_key = await self._read_items()
        if items_by_key is None:
            return
        found = self._member_finder.find(items_by_key, group)
        if found is not None and found != self.members:
            self.members = found
            logs.write_event(
                'members_known',
                group=group,
                ranks=len(found.hosts_by_rank),
                hosts=','.join(found.hosts_by_rank.values()),
            )

    async def _read_items(self):
        """Return items by key from an entry or else the platform, or None."""
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
                await anyio.sleep(conf.REPEAT_INTERVAL_S)
                continue
            return {item.key: item for item in snapshot.items}
        return await self._read_published_values()

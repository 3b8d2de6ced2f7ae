"""Learn the members of the own group from the entries."""

import itertools

from savoryyoke_agent import conf

from savoryyoke_edge import logs
from savoryyoke_wire import group as wire_group


class GroupMembership:
    """Hold the members of the own group and ask for them again on demand.

    The entries are asked in turn. An answer holds only the members: all agents
    of a group may start at once, and whole views of the published values for
    all of them would fill the links of the entries.

    ``send(message, hosts, port=...)`` sends a message. ``member_finder``
    implements ``ports.MemberFinder``. ``read_published_values()`` returns
    items by key from the platform, or None; it is called only if no entry
    answers. ``clock`` returns seconds. ``members`` is the latest
    ``GroupMembers``, or None.
    """

    def __init__(
        self,
        *,
        settings,
        send,
        member_finder,
        read_published_values,
        clock,
        random_source,
    ):
        self._settings = settings
        self._send = send
        self._member_finder = member_finder
        self._read_published_values = read_published_values
        self._clock = clock
        self._random = random_source
        self.set_seeds(settings.seed_hosts)
        self._unanswered_since_s = None
        self.members = None

    def set_seeds(self, seed_hosts):
        """Replace the hosts of the entries that are asked."""
        shuffled_hosts = list(seed_hosts)
        self._random.shuffle(shuffled_hosts)
        self._seeds = itertools.cycle(shuffled_hosts)

    def other_hosts(self):
        """Return the hosts of all members but the own one."""
        if self.members is None:
            return []
        return [
            host
            for host in self.members.hosts_by_rank.values()
            if host != self._settings.own_host
        ]

    def is_complete(self, ranks):
        """Return whether the hosts of all ``ranks`` ranks are known."""
        return self.members is not None and all(
            rank in self.members.hosts_by_rank for rank in range(ranks)
        )

    async def request(self, group):
        """Ask an entry for the members of the group with this name.

        Read them from the platform if no entry has answered for
        ``ENTRIES_TIMEOUT_S``.
        """
        now_s = self._clock()
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now_s
        if now_s - self._unanswered_since_s < conf.ENTRIES_TIMEOUT_S:
            await self._send(
                wire_group.MembersRequest(group=group),
                list(itertools.islice(self._seeds, 1)),
                port=self._settings.pace_port,
            )
            return
        self._unanswered_since_s = None
        items_by_key = await self._read_published_values()
        if items_by_key is not None:
            self._store(
                group,
                self._member_finder.find(items_by_key, group),
                source='platform',
            )

    def receive(self, report):
        """Store the members in a ``MembersReport`` of an entry."""
        self._unanswered_since_s = None
        self._store(report.group, report.members, source='entry')

    def _store(self, group, found, *, source):
        if found is None or found == self.members:
            return
        self.members = found
        logs.write_event(
            'members_known',
            group=group,
            ranks=len(found.hosts_by_rank),
            hosts=','.join(found.hosts_by_rank.values()),
            source=source,
        )

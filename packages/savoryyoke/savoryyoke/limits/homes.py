"""Choose the home entries of a team, which admit its calls.

The choice depends only on the published list of entry VMs, not on which of
them are reachable, so both sides of a network partition choose the same ones.
"""

import math

import xxhash

from savoryyoke.limits import conf


def count_homes(*, limit, entries):
    """Return how many of ``entries`` entries share a team's limit."""
    home_count = max(
        math.ceil((limit.requests_per_s or 0) / conf.REQUESTS_PER_S_PER_HOME),
        math.ceil((limit.tokens_per_s or 0) / conf.TOKENS_PER_S_PER_HOME),
        conf.MIN_HOMES,
    )
    home_count = min(home_count, conf.MAX_HOMES, entries)
    return min(home_count, limit.max_concurrency or home_count)


def choose_homes(*, team, entry_ids, count):
    """Return the home entries of a team by rendezvous hashing."""
    sorted_entry_ids = sorted(
        entry_ids,
        key=lambda entry_id: _hash(team, entry_id),
    )
    return tuple(sorted_entry_ids[:count])


def _hash(team, entry_id):
    return xxhash.xxh64_intdigest(f'{team}\0{entry_id}'.encode())


class HomeHistory:
    """Store the recent versions of the list of entry VMs."""

    def __init__(self, *, entry_id):
        self._entry_id = entry_id
        self._versions = []
        self._homes_by_team = {}

    def set_entries(self, *, entry_ids, now_s):
        """Set a new list of entry VMs."""
        entry_ids = tuple(sorted(entry_ids))
        if self._versions and self._versions[-1][1] == entry_ids:
            return
        self._versions.append((now_s, entry_ids))
        self._homes_by_team.clear()
        self._drop_old_versions(now_s)

    def clear_choices(self):
        """Clear the chosen home entries after a change of limits."""
        self._homes_by_team.clear()

    def home_entry_ids(self, *, team, limit):
        """Return the home entries in order of preference."""
        return self._homes_by_version(team, limit)[-1]

    def may_admit(self, *, team, limit, now_s):
        """Return whether this entry may use its share of the limit now.

        The first list that a process receives takes effect without delay.
        """
        homes_by_version = self._homes_by_version(team, limit)
        was_home = [
            self._entry_id in home_ids for home_ids in homes_by_version
        ]
        changed_s = self._last_change_s(was_home)
        if was_home and was_home[-1]:
            return now_s - changed_s >= conf.NEW_HOME_DELAY_S
        return now_s - changed_s < conf.FORMER_HOME_ADMITS_S

    def _last_change_s(self, was_home):
        for index in range(len(was_home) - 1, 0, -1):
            if was_home[index] != was_home[index - 1]:
                return self._versions[index][0]
        return -math.inf

    def _homes_by_version(self, team, limit):
        if team not in self._homes_by_team:
            self._homes_by_team[team] = [
                choose_homes(
                    team=team,
                    entry_ids=entry_ids,
                    count=count_homes(limit=limit, entries=len(entry_ids)),
                )
                for _, entry_ids in self._versions
            ] or [()]
        return self._homes_by_team[team]

    def _drop_old_versions(self, now_s):
        # Versions before the newest one that is older than both delays have
        # no effect any more.
        retention_s = conf.NEW_HOME_DELAY_S + conf.FORMER_HOME_ADMITS_S
        dropped_until_s = now_s - retention_s
        while (
            len(self._versions) > 1 and self._versions[1][0] <= dropped_until_s
        ):
            del self._versions[0]

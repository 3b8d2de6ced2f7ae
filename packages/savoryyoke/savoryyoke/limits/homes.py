"""Choose the entries that may admit a team's calls.

The choice depends on the published list of entry VMs alone, never on
which of them answer: both sides of a partition choose the same ones.
"""

import math

import xxhash

from savoryyoke.limits import conf


def count_homes(*, limit, entries):
    """Return how many of ``entries`` entries share a team's limit."""
    wanted = max(
        math.ceil((limit.requests_per_s or 0) / conf.REQUESTS_PER_S_PER_HOME),
        math.ceil((limit.tokens_per_s or 0) / conf.TOKENS_PER_S_PER_HOME),
        conf.LEAST_HOMES,
    )
    wanted = min(wanted, conf.MOST_HOMES, entries)
    return min(wanted, limit.max_concurrency or wanted)


def choose_homes(*, team, entry_ids, count):
    """Return the home entries of a team by rendezvous hashing."""
    ranked = sorted(
        entry_ids,
        key=lambda entry_id: _hash(team, entry_id),
    )
    return tuple(ranked[:count])


def _hash(team, entry_id):
    return xxhash.xxh64_intdigest(f'{team}\0{entry_id}'.encode())


class HomeHistory:
    """Remember the lists of entries that were recently in force."""

    def __init__(self, *, entry_id):
        self._entry_id = entry_id
        self._versions = []
        self._homes_by_team = {}

    def change(self, *, entry_ids, now_s):
        """Take in a new list of entry VMs."""
        entry_ids = tuple(sorted(entry_ids))
        if self._versions and self._versions[-1][1] == entry_ids:
            return
        self._versions.append((now_s, entry_ids))
        self._homes_by_team.clear()
        self._forget(now_s)

    def forget_choices(self):
        """Choose all homes afresh, after limits have changed."""
        self._homes_by_team.clear()

    def homes(self, *, team, limit):
        """Return the homes by the present list, best first."""
        return self._homes_by_version(team, limit)[-1]

    def may_admit(self, *, team, limit, now_s):
        """Tell whether this entry may use its part of the limit now.

        The first list that a process sees is taken as settled.
        """
        chosen = self._homes_by_version(team, limit)
        homes = [self._entry_id in entries for entries in chosen]
        changed_s = self._last_change_s(homes)
        if homes and homes[-1]:
            return now_s - changed_s >= conf.WAIT_BEFORE_HOME_S
        return now_s - changed_s < conf.KEEP_AFTER_DISPLACED_S

    def _last_change_s(self, homes):
        for index in range(len(homes) - 1, 0, -1):
            if homes[index] != homes[index - 1]:
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

    def _forget(self, now_s):
        # The newest version that was settled stands for all before it.
        remembered_s = conf.WAIT_BEFORE_HOME_S + conf.KEEP_AFTER_DISPLACED_S
        settled = now_s - remembered_s
        while len(self._versions) > 1 and self._versions[1][0] <= settled:
            del self._versions[0]

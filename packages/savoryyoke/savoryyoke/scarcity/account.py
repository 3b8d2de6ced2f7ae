"""Decide which requests may use the capacity that is left."""

from savoryyoke.scarcity import conf
from savoryyoke.scarcity import histories
from savoryyoke.scarcity import limits
from savoryyoke.scarcity import models
from savoryyoke.scarcity import paces
from savoryyoke.scarcity import returns


class ScarcityAccount:
    """Own what one entry knows about the capacity of one service.

    Without measured pauses, only the slots of the engines limit requests: an
    entry that has just started, or that runs no streams, serves as if there
    were enough capacity.
    """

    def __init__(self, *, terms, random_fraction):
        self.terms = terms
        self._paces = paces.Paces()
        self._limits_by_group = {}
        self._history = histories.ServiceHistory()
        self._returns = returns.ReturnSchedule(random_fraction=random_fraction)

    def record_pause(self, group, pause_s, *, now_s):
        """Record the pause between two events of a stream of a group."""
        self._paces.record(
            group,
            pause_s,
            longest_s=conf.PAUSE_MAX_RATIO * self.terms.pause_limit_s,
            now_s=now_s,
        )

    def keep_groups(self, groups):
        """Forget the groups that are not in ``groups``."""
        self._paces.keep(groups)
        self._limits_by_group = {
            group: limit
            for group, limit in self._limits_by_group.items()
            if group in groups
        }

    def find_level(self, arrival):
        """Return the level of a ``RequestArrived``; 0 is the most urgent one.

        A request that can no longer meet its objective is one level lower.
        """
        level = self.terms.find_level(
            priority=arrival.route_priority,
            team_priority=arrival.team_priority,
        )
        return level if arrival.is_on_time else level + 1

    def is_exempt(self, arrival, *, now_s):
        """Return whether a request may use all slots whatever its level is.

        Its priority or team has been served much too seldom.
        """
        return self._history.is_starved(
            priority=arrival.route_priority, team=arrival.team, now_s=now_s
        )

    def find_urgency(self, *, priority, team_priority):
        """Return the level that targets are told; 9 at most."""
        level = self.terms.find_level(
            priority=priority, team_priority=team_priority
        )
        return min(level, models.URGENCY_MAX)

    def rank_team(self, team, *, now_s):
        """Return a number that is lower for teams with less recent work."""
        return self._history.team_work(team, now_s=now_s)

    def update_limit(self, group, *, in_flight, slots, now_s):
        """Update the limit of a group and return it, in requests.

        Return None if only the slots limit the group.
        """
        limit = self._limits_by_group.get(group)
        if limit is None:
            limit = self._limits_by_group[group] = limits.GroupLimit()
        limit.update(
            in_flight=in_flight,
            slots=slots,
            pause_s=self._paces.find(group, now_s=now_s),
            accepted_s=conf.MEAN_PAUSE_SHARE * self.terms.pause_limit_s,
            now_s=now_s,
        )
        return limit.requests(slots=slots)

    @staticmethod
    def may_use(*, level, in_flight, limit):
        """Return whether a request may add to what a group runs.

        ``limit`` is None if only the slots limit the group.
        """
        if level == models.MOST_URGENT_LEVEL or limit is None or not in_flight:
            return True
        share = 1.0 - conf.LEVEL_SHARE_STEP * (level - 1)
        return in_flight < max(share, conf.LOWEST_LEVEL_SHARE) * limit

    def record_decision(self, arrival, *, is_served, now_s):
        """Record that a request was placed or refused."""
        self._history.record(
            priority=arrival.route_priority,
            team=arrival.team,
            work=arrival.work,
            is_served=is_served,
            now_s=now_s,
        )

    def choose_retry_after_s(self, *, level, longest_s, placed_per_s, now_s):
        """Return the seconds until a refused caller should return."""
        return self._returns.choose_retry_after_s(
            level=level,
            longest_s=longest_s,
            placed_per_s=placed_per_s,
            now_s=now_s,
        )

"""Terms of a service's capacity and properties of its requests."""

import bisect
import collections
import dataclasses

# The level of requests that use all slots, whatever the pauses are.
MOST_URGENT_LEVEL = 0

# Targets distinguish ten urgencies, from 0.
URGENCY_MAX = 9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Terms:
    """Hold the terms on which streams of a service share its engines.

    ``priorities`` are the different priorities of its routes, sorted; 0 is
    the highest. ``team_priorities`` are those of the teams that have one, and
    ``usual_team_priority`` the one that most of them have, or None.
    ``pause_limit_s`` is the longest pause between two events of a stream that
    is on time.
    """

    priorities: tuple[int, ...]
    pause_limit_s: float
    team_priorities: tuple[int, ...] = ()
    usual_team_priority: int | None = None

    def find_level(self, *, priority, team_priority):
        """Return the level of a request; 0 is the most urgent one.

        The levels follow the priorities of the routes. A team's own priority
        takes precedence: it replaces that of the route if most teams have
        none. Otherwise a team that is more urgent than most teams is at level
        0, and one that is less urgent is lower by a level for each priority in
        between.
        """
        if team_priority is None:
            return bisect.bisect_left(self.priorities, priority)
        if self.usual_team_priority is None:
            return bisect.bisect_left(self.priorities, team_priority)
        if team_priority < self.usual_team_priority:
            return MOST_URGENT_LEVEL
        ranks = [
            bisect.bisect_left(self.team_priorities, value)
            for value in (self.usual_team_priority, team_priority)
        ]
        level = bisect.bisect_left(self.priorities, priority)
        return level + ranks[1] - ranks[0]


def find_terms_by_service(*, routes, teams):
    """Return the ``Terms`` of the services to which they apply, by name.

    They apply if routes of streams with at least two different priorities
    lead to a service. Different priorities of teams alone only order queues.
    """
    streams_by_service = collections.defaultdict(list)
    for route in routes:
        if route.pause_limit_s is not None:
            for destination in route.destinations:
                streams_by_service[destination.service_name].append(route)
    # A team with several keys is listed several times.
    counts = collections.Counter(team.priority for team in set(teams))
    usual = _find_usual_priority(counts)
    terms_by_service = {}
    for service_name, streams in streams_by_service.items():
        priorities = {route.priority for route in streams}
        if len(priorities) > 1:
            terms_by_service[service_name] = Terms(
                priorities=tuple(sorted(priorities)),
                pause_limit_s=min(route.pause_limit_s for route in streams),
                team_priorities=tuple(sorted(set(counts) - {None})),
                usual_team_priority=usual,
            )
    return terms_by_service


def _find_usual_priority(counts):
    """Return the priority that most teams have; None if most have none.

    Of several, the least urgent one is usual.
    """
    highest_count = max(counts.values(), default=0)
    if counts[None] == highest_count:
        return None
    return max(
        priority
        for priority, count in counts.items()
        if count == highest_count and priority is not None
    )

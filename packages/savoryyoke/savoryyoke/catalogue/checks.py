"""Find items of a configuration that never apply or contradict each other.

Such a configuration can be used, so a finding is a warning.
"""

import dataclasses
import enum

from savoryyoke.catalogue import models


class Check(enum.StrEnum):
    """List the checks, by their stable identifiers."""

    SHADOWED_ROUTE = 'savoryyoke.platform.W101'
    UNMATCHED_PREFIX = 'savoryyoke.platform.W102'
    NO_WEIGHT = 'savoryyoke.platform.W103'
    TEAM_WITHOUT_KEYS = 'savoryyoke.platform.W104'
    SHARED_KEY = 'savoryyoke.platform.W105'
    OBJECTIVE_ABOVE_TIMEOUT = 'savoryyoke.platform.W111'
    GAP_ABOVE_TIMEOUT = 'savoryyoke.platform.W112'
    TIMEOUT_ABOVE_DEADLINE = 'savoryyoke.platform.W113'


class Field(enum.Enum):
    """List the fields that a finding can concern."""

    PREFIX = 'prefix'
    DESTINATIONS = 'destinations'
    OBJECTIVE = 'objective'
    GAP_LIMIT = 'gap-limit'
    TIMEOUT = 'timeout'
    KEYS = 'keys'


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclaredRoute:
    """Hold a route as it was written.

    ``gap_limit_s`` is the longest accepted pause between two events of a
    stream, or None.
    """

    route: models.Route
    gap_limit_s: float | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclaredTeam:
    """Hold the name and the API keys of a team as they were written."""

    name: str
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """Describe what one check has found.

    ``number`` counts the routes or, for the field ``KEYS``, the teams from 0.
    """

    check: Check
    number: int
    field: Field
    problem: str
    hint: str


def check_routes(declared_routes, *, call_deadline_s=None):
    """Yield the findings on routes, which are in the order of the file.

    ``call_deadline_s`` is the deadline of the callers, or None if unknown.
    """
    last_numbers = {
        _match_key(declared.route): number
        for number, declared in enumerate(declared_routes)
    }
    for number, declared in enumerate(declared_routes):
        route = declared.route
        last_number = last_numbers[_match_key(route)]
        if last_number != number:
            yield Finding(
                check=Check.SHADOWED_ROUTE,
                number=number,
                field=Field.PREFIX,
                problem=f'route {declared_routes[last_number].route.name!r}'
                ' has the same host and prefix and is used instead',
                hint='Remove one of the two, or change its prefix',
            )
        if not route.path_prefix.startswith('/') or (
            not route.path_prefix.endswith('/')
        ):
            yield Finding(
                check=Check.UNMATCHED_PREFIX,
                number=number,
                field=Field.PREFIX,
                problem=f'no request matches the prefix {route.path_prefix!r}',
                hint='Begin and end it with "/"',
            )
        if all(target.weight <= 0 for target in route.destinations):
            yield Finding(
                check=Check.NO_WEIGHT,
                number=number,
                field=Field.DESTINATIONS,
                problem='no service has a weight above 0',
                hint='Give at least one service a weight above 0',
            )
        yield from _check_times(number, declared, call_deadline_s)


def check_teams(declared_teams):
    """Yield the findings on teams, which are in the order of the file."""
    last_teams = {key: team for team in declared_teams for key in team.keys}
    for number, team in enumerate(declared_teams):
        if not team.keys:
            yield Finding(
                check=Check.TEAM_WITHOUT_KEYS,
                number=number,
                field=Field.KEYS,
                problem=f'no request can belong to team {team.name!r}',
                hint='Give it a key, or remove it',
            )
        for owner in {
            last_teams[key].name
            for key in team.keys
            if last_teams[key] is not team
        }:
            yield Finding(
                check=Check.SHARED_KEY,
                number=number,
                field=Field.KEYS,
                problem=f'team {owner!r} has one of its keys and is used'
                ' instead',
                hint='Use separate keys for each team',
            )


def _match_key(route):
    return route.host, route.path_prefix


def _check_times(number, declared, call_deadline_s):
    timeout_s = declared.route.timeout_s
    if declared.route.objective_s > timeout_s:
        yield Finding(
            check=Check.OBJECTIVE_ABOVE_TIMEOUT,
            number=number,
            field=Field.OBJECTIVE,
            problem=f'the objective {declared.route.objective_s:g} s is'
            f' beyond the timeout {timeout_s:g} s',
            hint='Lower the objective, or raise the timeout',
        )
    if declared.gap_limit_s is not None and declared.gap_limit_s > timeout_s:
        yield Finding(
            check=Check.GAP_ABOVE_TIMEOUT,
            number=number,
            field=Field.GAP_LIMIT,
            problem=f'the limit {declared.gap_limit_s:g} s of a pause is'
            f' beyond the timeout {timeout_s:g} s',
            hint='Lower the limit, or raise the timeout',
        )
    if call_deadline_s is not None and timeout_s > call_deadline_s:
        yield Finding(
            check=Check.TIMEOUT_ABOVE_DEADLINE,
            number=number,
            field=Field.TIMEOUT,
            problem=f'the timeout {timeout_s:g} s is beyond the deadline'
            f' {call_deadline_s:g} s of its calls',
            hint='Lower the timeout to the deadline, or below',
        )

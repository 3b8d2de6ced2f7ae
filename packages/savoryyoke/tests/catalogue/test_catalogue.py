"""Test the lookup of routes and teams."""

import unittest

from savoryyoke.catalogue import models


def build_route(prefix, *, host='api.example', **changes):
    """Return a route with default values, except for ``changes``."""
    fields = {
        'name': f'{host}{prefix}',
        'host': host,
        'path_prefix': prefix,
        'destinations': (models.Destination(service_name='s', weight=1.0),),
        'kind': models.RequestKind.IDEMPOTENT,
        'timeout_s': 1.0,
        'objective_s': 0.1,
        'attempts_limit': 2,
        'priority': 1,
        'is_public': False,
        'is_resumable': False,
        'regions': frozenset(),
    }
    return models.Route(**(fields | changes))


def build_catalogue(routes, *, teams_by_key=None, version=1):
    """Return a catalogue of the routes."""
    return models.Catalogue(
        version=version,
        routes_by_prefix_by_host=models.index_routes(routes),
        services_by_name={},
        teams_by_key=teams_by_key,
        caller_limits=models.CallerLimits(
            body_bytes=1024,
            header_timeout_s=3.0,
            idle_timeout_s=15.0,
        ),
    )


class FindRouteTests(unittest.TestCase):
    def find(self, path, *, host='api.example'):
        routes = [
            build_route('/a/'),
            build_route('/a/b/'),
            build_route('/', host='root.example'),
        ]
        found = build_catalogue(routes).find_route(host=host, path=path)
        return found.path_prefix if found else None

    def test_longest_prefix_wins(self):
        self.assertEqual('/a/b/', self.find('/a/b/c/d'))
        self.assertEqual('/a/', self.find('/a/bc'))

    def test_prefix_itself_is_found(self):
        self.assertEqual('/a/b/', self.find('/a/b/'))

    def test_prefix_without_its_trailing_slash_does_not_match(self):
        self.assertIsNone(self.find('/a'))

    def test_root_prefix_matches_every_path(self):
        self.assertEqual('/', self.find('/x/y', host='root.example'))

    def test_other_host_has_no_route(self):
        self.assertIsNone(self.find('/a/b', host='other.example'))


class FindTeamTests(unittest.TestCase):
    def test_known_key(self):
        team = models.Team(name='fund', priority=1)
        catalogue = build_catalogue([], teams_by_key={'k': team})
        self.assertIs(team, catalogue.find_team(key='k'))

    def test_unknown_or_absent_key(self):
        catalogue = build_catalogue([], teams_by_key={})
        self.assertIsNone(catalogue.find_team(key='k'))
        self.assertIsNone(catalogue.find_team(key=None))


class MayRepeatTests(unittest.TestCase):
    def test_by_kind(self):
        kinds = models.RequestKind
        for kind, is_resumable, expected in (
            (kinds.IDEMPOTENT, False, True),
            (kinds.NON_IDEMPOTENT, False, False),
            (kinds.NON_IDEMPOTENT, True, False),
            (kinds.STREAM, False, False),
            (kinds.STREAM, True, True),
        ):
            with self.subTest(kind=kind, is_resumable=is_resumable):
                route = build_route('/', kind=kind, is_resumable=is_resumable)
                self.assertEqual(expected, route.may_repeat)

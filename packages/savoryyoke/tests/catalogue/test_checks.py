"""Test the checks on items that never apply or contradict each other.

Without them, operators publish routes, teams and limits without effect and
learn of it from requests.
"""

import unittest

from savoryyoke.catalogue import checks
from savoryyoke.catalogue import models
from tests.catalogue import test_catalogue

_Check = checks.Check


def declare(prefix='/a/', *, gap_limit_s=None, **changes):
    return checks.DeclaredRoute(
        route=test_catalogue.build_route(prefix, **changes),
        gap_limit_s=gap_limit_s,
    )


def split(*weights):
    return tuple(
        models.Destination(service_name=f's-{number}', weight=weight)
        for number, weight in enumerate(weights)
    )


class RouteTests(unittest.TestCase):
    def find(self, *declared_routes, **options):
        return [
            (finding.check, finding.number)
            for finding in checks.check_routes(declared_routes, **options)
        ]

    def test_routes_that_can_all_match(self):
        self.assertEqual(
            [],
            self.find(
                declare('/'),
                declare('/a/'),
                declare('/a/b/'),
                declare('/a/', host='other.example'),
                declare('/c/', destinations=split(0.0, 1.0)),
                declare('/d/', objective_s=1.0, gap_limit_s=1.0),
                call_deadline_s=1.0,
            ),
        )

    def test_earlier_route_with_the_same_prefix_never_matches(self):
        """Check that the catalogue uses the route that is not reported."""
        routes = (declare(name='first'), declare('/b/'), declare(name='last'))
        self.assertEqual([(_Check.SHADOWED_ROUTE, 0)], self.find(*routes))
        catalogue = test_catalogue.build_catalogue(
            [declared.route for declared in routes]
        )
        found = catalogue.find_route(host='api.example', path='/a/x')
        self.assertEqual('last', found.name)

    def test_prefix_that_no_path_has(self):
        for prefix in ('', 'a/', '/a', '/a/*'):
            with self.subTest(prefix):
                self.assertEqual(
                    [(_Check.UNMATCHED_PREFIX, 0)], self.find(declare(prefix))
                )

    def test_weight_of_0_everywhere(self):
        for weights in ((0.0,), (0.0, 0.0), (0.0, -1.0)):
            with self.subTest(weights):
                route = declare(destinations=split(*weights))
                self.assertEqual([(_Check.NO_WEIGHT, 0)], self.find(route))

    def test_limits_that_contradict_each_other(self):
        for check, declared in (
            (_Check.OBJECTIVE_ABOVE_TIMEOUT, declare(objective_s=1.1)),
            (_Check.GAP_ABOVE_TIMEOUT, declare(gap_limit_s=1.1)),
            (_Check.TIMEOUT_ABOVE_DEADLINE, declare(timeout_s=2.1)),
        ):
            with self.subTest(check):
                self.assertEqual(
                    [(check, 0)], self.find(declared, call_deadline_s=2.0)
                )


class TeamTests(unittest.TestCase):
    def test_teams_that_no_request_can_belong_to(self):
        teams = [
            checks.DeclaredTeam(name=name, keys=keys)
            for name, keys in (
                ('one', ('a', 'b')),
                ('two', ()),
                ('three', ('b', 'c')),
            )
        ]
        findings = [
            (finding.check, finding.number)
            for finding in checks.check_teams(teams)
        ]
        self.assertEqual(
            [(_Check.SHARED_KEY, 0), (_Check.TEAM_WITHOUT_KEYS, 1)], findings
        )

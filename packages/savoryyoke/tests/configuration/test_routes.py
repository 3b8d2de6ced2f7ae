"""Tests of the lookup of operations."""

import unittest

from savoryyoke.configuration import routes
from tests.configuration import samples


class RouteTableTest(unittest.TestCase):
    """Test which operation a request matches."""

    def setUp(self):
        configuration = samples.build().configuration
        self.table = routes.RouteTable(configuration=configuration)

    def test_literal_and_template(self):
        route = self.table.find(method='POST', path='/payments')
        self.assertEqual(route.service_name, 'claims')
        self.assertEqual(route.operation_name, 'pay')
        self.assertFalse(route.operation.idempotent)
        route = self.table.find(method='GET', path='/claims/7')
        self.assertEqual(route.operation_name, 'look_up')

    def test_no_route(self):
        cases = {
            ('GET', '/payments'): ('POST',),
            ('POST', '/claims/7'): ('GET',),
            ('GET', '/claims/'): (),
            ('GET', '/claims/7/8'): (),
            ('get', '/claims/7'): ('GET',),
            ('POST', '/payments/'): (),
            ('POST', ''): (),
        }
        for (method, path), methods in cases.items():
            with self.subTest(method=method, path=path):
                route = self.table.find(method=method, path=path)
                self.assertEqual(route, routes.NoRoute(methods=methods))

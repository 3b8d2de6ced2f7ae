"""Lookup of the operation that a request's method and path belong to."""

import dataclasses

from savoryyoke.configuration import schema


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Name an operation and the service that it belongs to."""

    service_name: str
    operation_name: str
    service: schema.ModelGroup | schema.Application
    operation: schema.Operation


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRoute:
    """Report that no operation fits; ``methods`` fit the path."""

    methods: tuple[str, ...]


class RouteTable:
    """Find operations by method and path."""

    def __init__(self, *, configuration):
        """Index the operations of ``configuration``."""
        self._literals = {}
        self._templates = {}
        for route in iterate_routes(configuration):
            self._add(route)

    def find(self, *, method, path):
        """Return the ``Route`` of a request, or ``NoRoute``."""
        route = self._find(method, path)
        if route is not None:
            return route
        methods = [
            other.value for other in schema.Method if self._find(other, path)
        ]
        return NoRoute(methods=tuple(methods))

    def _add(self, route):
        method = route.operation.method
        path = route.operation.path
        if '{' not in path:
            self._literals[method, path] = route
            return
        parts = split_path(path)
        self._templates.setdefault((method, len(parts)), []).append(
            (parts, route)
        )

    def _find(self, method, path):
        route = self._literals.get((method, path))
        if route is not None:
            return route
        parts = split_path(path)
        for template, route in self._templates.get((method, len(parts)), ()):
            if _fits(template, parts):
                return route
        return None


def iterate_routes(configuration):
    """Yield the ``Route`` of every operation."""
    for service_name, service in configuration.services_by_name.items():
        for name, operation in service.operations_by_name.items():
            yield Route(
                service_name=service_name,
                operation_name=name,
                service=service,
                operation=operation,
            )


def overlap(first, second):
    """Tell whether some request belongs to both operations."""
    if first.method is not second.method:
        return False
    first_parts = split_path(first.path)
    second_parts = split_path(second.path)
    if len(first_parts) != len(second_parts):
        return False
    return all(
        one == other or is_parameter(one) or is_parameter(other)
        for one, other in zip(first_parts, second_parts, strict=True)
    )


def split_path(path):
    """Return the segments of ``path``."""
    return tuple(path.split('/')[1:])


def is_parameter(part):
    """Tell whether a segment of a template stands for any text."""
    return part.startswith('{')


def _fits(template, parts):
    return all(
        expected == part or (is_parameter(expected) and part != '')
        for expected, part in zip(template, parts, strict=True)
    )

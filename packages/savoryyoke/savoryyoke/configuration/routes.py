"""Lookup of the operation for the method and path of a request."""

import dataclasses

from savoryyoke.configuration import schema


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Hold an operation and its service, with their names."""

    service_name: str
    operation_name: str
    service: schema.ModelGroup | schema.Application
    operation: schema.Operation


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoRoute:
    """Report that no operation matches; ``methods`` match the path."""

    methods: tuple[str, ...]


class RouteTable:
    """Find operations by method and path."""

    def __init__(self, *, configuration):
        """Index the operations of ``configuration``."""
        self._routes_by_literal = {}
        self._templates_by_shape = {}
        for route in iterate_routes(configuration):
            self._add_route(route)

    def find(self, *, method, path):
        """Return the ``Route`` of a request, or ``NoRoute``."""
        route = self._find_route(method, path)
        if route is not None:
            return route
        methods = [
            candidate.value
            for candidate in schema.Method
            if self._find_route(candidate, path)
        ]
        return NoRoute(methods=tuple(methods))

    def _add_route(self, route):
        method = route.operation.method
        path = route.operation.path
        if '{' not in path:
            self._routes_by_literal[method, path] = route
            return
        segments = split_path(path)
        self._templates_by_shape.setdefault(
            (method, len(segments)), []
        ).append((segments, route))

    def _find_route(self, method, path):
        route = self._routes_by_literal.get((method, path))
        if route is not None:
            return route
        segments = split_path(path)
        for template, route in self._templates_by_shape.get(
            (method, len(segments)), ()
        ):
            if _matches_template(template, segments):
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
    """Return whether some request matches both operations."""
    if first.method is not second.method:
        return False
    first_segments = split_path(first.path)
    second_segments = split_path(second.path)
    if len(first_segments) != len(second_segments):
        return False
    return all(
        first_segment == second_segment
        or is_parameter(first_segment)
        or is_parameter(second_segment)
        for first_segment, second_segment in zip(
            first_segments, second_segments, strict=True
        )
    )


def split_path(path):
    """Return the segments of ``path``."""
    return tuple(path.split('/')[1:])


def is_parameter(segment):
    """Return whether a path segment is a placeholder such as ``{name}``."""
    return segment.startswith('{')


def _matches_template(template, segments):
    return all(
        template_segment == segment
        or (is_parameter(template_segment) and segment != '')
        for template_segment, segment in zip(template, segments, strict=True)
    )

"""Checks across fields whose own values are valid."""

import dataclasses
import itertools

from savoryyoke.configuration import faults
from savoryyoke.configuration import routes
from savoryyoke.configuration import schema


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """Describe a fault found by a check.

    ``id`` is an identifier of ``faults``; ``path`` is a tuple of keys in the
    merged file.
    """

    id: str
    path: tuple[str, ...]
    problem: str
    hint: str


def check(configuration):
    """Yield a ``Finding`` for each conflict between fields.

    ``configuration`` is a ``schema.Configuration``, or any object with its
    attributes ``data_centres_by_name``, ``services_by_name`` and
    ``teams_by_name``.
    """
    for name, service in configuration.services_by_name.items():
        yield from _check_service(('services', name), service)
    yield from _check_routes(configuration)
    yield from _check_api_keys(configuration)
    yield from _check_data_centres(configuration)


def _check_service(path, service):
    if isinstance(service, schema.ModelGroup):
        yield from _check_models(path, service)
    limit = service.admission.max_concurrency
    if service.warm_up.initial_concurrency > limit:
        yield Finding(
            id=faults.INITIAL_ABOVE_MAXIMUM,
            path=(*path, 'warm_up', 'initial_concurrency'),
            problem=f'a warm target runs at most {limit} calls at once',
            hint=f'Set at most {limit}, or raise admission.max_concurrency',
        )


def _check_models(path, service):
    for name, model in service.models_by_name.items():
        if model.default_version in model.versions:
            continue
        yield Finding(
            id=faults.UNKNOWN_DEFAULT,
            path=(*path, 'models', name, 'default_version'),
            problem=f'{model.default_version!r} is not among the versions',
            hint='Add it to versions, or set one of the versions',
        )


def _check_routes(configuration):
    routes_by_shape = {}
    for route in routes.iterate_routes(configuration):
        operation = route.operation
        segment_count = operation.path.count('/')
        routes_by_shape.setdefault(
            (operation.method, segment_count), []
        ).append(route)
    for routes_of_shape in routes_by_shape.values():
        for earlier, later in itertools.combinations(routes_of_shape, 2):
            if routes.overlap(earlier.operation, later.operation):
                yield _describe_overlap(earlier, later)


def _describe_overlap(earlier, later):
    service_path = ('services', later.service_name, 'operations')
    earlier_path = (
        f'{earlier.service_name}.operations.{earlier.operation_name}'
    )
    return Finding(
        id=faults.ROUTE_OVERLAP,
        path=(*service_path, later.operation_name, 'path'),
        problem=f'some requests also match services.{earlier_path}',
        hint='Use different paths or methods for the two operations',
    )


def _check_api_keys(configuration):
    team_names_by_api_key = {}
    for name, team in configuration.teams_by_name.items():
        if team.api_key_name is None:
            continue
        owner_name = team_names_by_api_key.setdefault(team.api_key_name, name)
        if owner_name == name:
            continue
        yield Finding(
            id=faults.SHARED_API_KEY,
            path=('teams', name, 'api_key_name'),
            problem=f'team {owner_name!r} has the same API key',
            hint='Use a separate API key for each team',
        )


def _check_data_centres(configuration):
    states = [
        data_centre.state
        for data_centre in configuration.data_centres_by_name.values()
    ]
    if not states or schema.DataCentreState.IN in states:
        return
    yield Finding(
        id=faults.ALL_DATA_CENTRES_OUT,
        path=('data_centres',),
        problem='every data centre is out, so no call could be served',
        hint='Set the state of at least one to in',
    )

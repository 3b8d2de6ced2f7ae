"""Checks between the fields of a file whose parts are valid."""

import dataclasses
import itertools

from savoryyoke.configuration import faults
from savoryyoke.configuration import routes
from savoryyoke.configuration import schema


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """Describe a fault at ``path``, a tuple of keys of the merged file."""

    id: str
    path: tuple[str, ...]
    problem: str
    hint: str


def check(configuration):
    """Yield a ``Finding`` for every fault between fields.

    ``configuration`` may be anything that holds the collections of one.
    """
    for name, service in configuration.services_by_name.items():
        yield from _check_service(('services', name), service)
    yield from _check_routes(configuration)
    yield from _check_api_keys(configuration)
    yield from _check_data_centres(configuration)


def _check_service(path, service):
    if isinstance(service, schema.ModelGroup):
        yield from _check_models(path, service)
    most = service.admission.max_concurrency
    if service.warm_up.initial_concurrency > most:
        yield Finding(
            id=faults.COLD_ABOVE_WARM,
            path=(*path, 'warm_up', 'initial_concurrency'),
            problem=f'a warm target gets only {most} calls at once',
            hint=f'Give at most {most}, or raise admission.max_concurrency',
        )


def _check_models(path, service):
    for name, model in service.models_by_name.items():
        if model.default_version in model.versions:
            continue
        yield Finding(
            id=faults.UNKNOWN_DEFAULT,
            path=(*path, 'models', name, 'default_version'),
            problem=f'{model.default_version!r} is not among the versions',
            hint='Add it to versions, or name one of them',
        )


def _check_routes(configuration):
    groups = {}
    for route in routes.iterate_routes(configuration):
        operation = route.operation
        length = operation.path.count('/')
        groups.setdefault((operation.method, length), []).append(route)
    for group in groups.values():
        for first, second in itertools.combinations(group, 2):
            if routes.overlap(first.operation, second.operation):
                yield _describe_overlap(first, second)


def _describe_overlap(first, second):
    place = ('services', second.service_name, 'operations')
    other = f'{first.service_name}.operations.{first.operation_name}'
    return Finding(
        id=faults.ROUTE_OVERLAP,
        path=(*place, second.operation_name, 'path'),
        problem=f'some requests also belong to services.{other}',
        hint='Give the two different paths or methods',
    )


def _check_api_keys(configuration):
    owners = {}
    for name, team in configuration.teams_by_name.items():
        if team.api_key_name is None:
            continue
        owner = owners.setdefault(team.api_key_name, name)
        if owner == name:
            continue
        yield Finding(
            id=faults.SHARED_API_KEY,
            path=('teams', name, 'api_key_name'),
            problem=f'team {owner!r} has the same API key',
            hint='Give each team a key of its own',
        )


def _check_data_centres(configuration):
    states = [
        data_centre.state
        for data_centre in configuration.data_centres_by_name.values()
    ]
    if not states or schema.DataCentreState.IN in states:
        return
    yield Finding(
        id=faults.ALL_OUT,
        path=('data_centres',),
        problem='every data centre is out, so that no call could be served',
        hint='Leave at least one in',
    )

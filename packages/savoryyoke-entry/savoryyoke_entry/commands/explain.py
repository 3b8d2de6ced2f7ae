"""Explain how a request would be routed and handled.

Usage: savoryyoke explain BASE [OVERLAY] --method=METHOD --path=PATH
           --team=TEAM [--key]

--key says that the request carries an Idempotency-Key header. The status is
1 if the request would be refused at any load.
"""

import functools

import fire.decorators

from savoryyoke.configuration import routes
from savoryyoke.configuration import schema
from savoryyoke_edge.command_line import results
from savoryyoke_entry.commands import files
from savoryyoke_entry.commands import values
from savoryyoke_entry import conf


@fire.decorators.SetParseFns(key=functools.partial(values.parse_flag, '--key'))
def explain(base, overlay=None, *, method, path, team, key=False):
    """Explain how one request is handled under the files."""
    outcome = files.require(base, overlay)
    if isinstance(outcome, results.Result):
        return outcome
    configuration = outcome.configuration
    table = routes.RouteTable(configuration=configuration)
    route = table.find(method=method, path=path)
    if isinstance(route, routes.NoRoute):
        return _refuse(_describe_no_route(route, method, path))
    declared = configuration.teams_by_name.get(team)
    if declared is None:
        return _refuse(
            f'refused with 403 unknown-team: no team is called {team!r};'
            f' the header {conf.TEAM_HEADER} names the team'
        )
    lines = (
        *_describe_route(route),
        *_describe_team(team, declared, route),
        *_describe_treatment(route, key),
        *_describe_limits(route.service),
        *_describe_data_centres(configuration),
    )
    refused = not route.operation.idempotent and not key
    status = results.ExitStatus.NEGATIVE if refused else 0
    return results.Result(lines=lines, status=results.ExitStatus(status))


def _refuse(line):
    return results.Result(lines=(line,), status=results.ExitStatus.NEGATIVE)


def _describe_no_route(route, method, path):
    line = f'refused with 404 unknown-operation: no operation has {method}'
    if route.methods:
        allowed_methods = ', '.join(route.methods)
        return f'{line} {path}; the path takes {allowed_methods}'
    return f'{line} {path}'


def _describe_route(route):
    service = route.service
    yield (
        f'service: {route.service_name}, {service.kind.value} with'
        f' {service.replicas} targets'
    )
    if isinstance(service, schema.ModelGroup):
        yield from _describe_models(service)
    operation = route.operation
    kind = 'idempotent' if operation.idempotent else 'non-idempotent'
    yield f'operation: {route.operation_name}, {kind}'
    yield (
        f'timeout: {operation.timeout_s:g} s; the header'
        f' {conf.TIMEOUT_HEADER} may shorten it'
    )


def _describe_models(service):
    for name, model in service.models_by_name.items():
        yield (
            f'model: {name}, versions {", ".join(model.versions)},'
            f' default {model.default_version}'
        )


def _describe_team(name, team, route):
    operation = route.operation
    priority = min(operation.priority, team.priority_ceiling)
    yield (
        f'priority: {priority}, the lower of {operation.priority} (operation)'
        f' and {team.priority_ceiling} (ceiling of the team)'
    )
    yield f'team: {name}, weight {team.weight:g}'
    limits = (
        ('requests a second', team.requests_per_s),
        ('tokens a second', team.tokens_per_s),
        ('calls at once', team.max_concurrency),
    )
    for unit, limit in limits:
        limit_text = 'no limit' if limit is None else f'{limit:g} in the fleet'
        yield f'team limit, {unit}: {limit_text}'


def _describe_treatment(route, key):
    if route.operation.idempotent:
        retry = route.service.retry
        yield (
            f'failure: tried at most {retry.max_attempts} times within the'
            f' timeout, while retries stay under {retry.budget_ratio:g} of'
            ' first attempts; then 503 not-answered'
        )
        yield (
            'refusal: 503 not-run with Retry-After once no target has room;'
            ' the request did not run and may be sent again'
        )
        return
    yield from _describe_non_idempotent(key)


def _describe_non_idempotent(key):
    if not key:
        yield (
            f'refused with 428 binding-required: the header {conf.KEY_HEADER}'
            ' is missing; the answer carries a binding to build a key from'
        )
        return
    yield (
        'key: bound to one target, which runs it at most once and keeps its'
        ' outcome; it may be sent again through any entry'
    )
    yield (
        'failure: never tried at another target; 503 not-run where it is'
        ' certain that it did not run, 504 may-have-run where it is not'
    )
    yield 'refusal: 503 not-run with Retry-After; the request did not run'


def _describe_limits(service):
    admission = service.admission
    warm_up = service.warm_up
    yield (
        f'target: at most {admission.max_concurrency} calls at once and'
        f' {admission.queue_limit} waiting'
    )
    yield (
        f'fresh target: concurrency {warm_up.initial_concurrency}, raised by'
        f' {warm_up.growth_per_success:g} for each success; cold again'
        f' after {warm_up.cold_after_idle_s:g} s without a call'
    )


def _describe_data_centres(configuration):
    for state in schema.DataCentreState:
        names = [
            name
            for name, data_centre in configuration.data_centres_by_name.items()
            if data_centre.state is state
        ]
        yield f'data centres {state.value}: {", ".join(names) or "none"}'

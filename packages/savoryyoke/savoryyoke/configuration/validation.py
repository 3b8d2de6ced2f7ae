"""Validation of a merged tree against the schema and its checks."""

import dataclasses
import difflib

import pydantic

from savoryyoke.configuration import checks
from savoryyoke.configuration import conf
from savoryyoke.configuration import faults
from savoryyoke.configuration import fields
from savoryyoke.configuration import schema

# A part is one entry of a collection at the top, such as one service.
_PART_LENGTH = 2
_KINDS_HINT = f'Give one of: {", ".join(schema.ServiceKind)}'
_ADAPTERS_BY_COLLECTION = {
    'data_centres': pydantic.TypeAdapter(schema.DataCentre),
    'services': pydantic.TypeAdapter(schema.AnyService),
    'teams': pydantic.TypeAdapter(schema.Team),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Validated:
    """Hold the configuration, or None and the faults."""

    configuration: schema.Configuration | None
    faults: tuple[faults.Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ValidParts:
    """Hold the valid parts of a configuration that is not valid."""

    data_centres_by_name: dict
    services_by_name: dict
    teams_by_name: dict


def validate(tree, *, overlay):
    """Validate ``tree``; ``overlay`` tells which text a place came from.

    Checks between fields run on the parts whose own fields are valid, so
    that one fault does not hide another elsewhere.
    """
    version = tree.get('schema_version')
    if type(version) is int and version not in conf.SCHEMA_VERSIONS:
        fault = _refuse_version(version, overlay)
        return Validated(configuration=None, faults=(fault,))
    configuration, errors = _validate_fields(tree)
    found = [_translate(error, overlay) for error in errors]
    valid = configuration or _keep_valid(tree)
    found.extend(
        _fault(
            id_=finding.id,
            path=finding.path,
            overlay=overlay,
            problem=finding.problem,
            hint=finding.hint,
        )
        for finding in checks.check(valid)
    )
    return Validated(
        configuration=None if found else configuration, faults=tuple(found)
    )


def _validate_fields(tree):
    try:
        return schema.Configuration.model_validate(tree), ()
    except pydantic.ValidationError as error:
        return None, error.errors(include_url=False, include_context=False)


def _keep_valid(tree):
    valid = {}
    for collection, adapter in _ADAPTERS_BY_COLLECTION.items():
        parts = tree.get(collection)
        parts = parts if isinstance(parts, dict) else {}
        valid[collection] = _keep_valid_parts(parts, adapter)
        if collection == 'data_centres' and len(valid[collection]) < len(
            parts
        ):
            # Whether all are out is unknown while one is not valid.
            valid[collection] = {}
    return _ValidParts(
        data_centres_by_name=valid['data_centres'],
        services_by_name=valid['services'],
        teams_by_name=valid['teams'],
    )


def _keep_valid_parts(parts, adapter):
    valid = {}
    for name, part in parts.items():
        try:
            valid[name] = adapter.validate_python(part)
        except pydantic.ValidationError:
            # The validation of the whole file has reported it.
            continue
    return valid


def _path(error):
    """Return the keys of an error's place, as the file has them."""
    path = tuple(key for key in error['loc'] if key != '[key]')
    if len(path) > _PART_LENGTH and path[0] == 'services':
        # The third key names the kind that the service was read as.
        return path[:_PART_LENGTH] + path[_PART_LENGTH + 1 :]
    return path


def _refuse_version(version, overlay):
    known = ', '.join(str(known) for known in conf.SCHEMA_VERSIONS)
    return _fault(
        id_=faults.UNKNOWN_VERSION,
        path=('schema_version',),
        overlay=overlay,
        problem=f'this release does not know version {version}',
        hint=f'Give one of: {known}; raise it only after every process'
        ' runs a release that knows the new one',
    )


def _translate(error, overlay):
    path = _path(error)
    hint = 'The reference lists what is allowed'
    if error['type'] == 'missing':
        id_, problem, hint = faults.MISSING, 'it is required', 'Add it'
    elif error['type'] == 'union_tag_not_found':
        path = (*path, 'kind')
        id_, problem, hint = faults.MISSING, 'it is required', _KINDS_HINT
    elif error['type'] == 'union_tag_invalid':
        path = (*path, 'kind')
        id_, problem, hint = faults.INVALID, 'no such kind', _KINDS_HINT
    elif error['type'] == 'extra_forbidden':
        id_, problem = faults.UNKNOWN_FIELD, 'there is no such field'
        hint = _suggest(str(path[-1]))
    else:
        id_, problem = faults.INVALID, _describe(error)
    return _fault(
        id_=id_, path=path, overlay=overlay, problem=problem, hint=hint
    )


def _describe(error):
    message = ' '.join(error['msg'].split()).rstrip('.')
    return f'{faults.render_value(error["input"])}: {message}'


def _suggest(name):
    known = {
        field.alias or field_name
        for part in _iterate_parts(fields.Part)
        for field_name, field in part.model_fields.items()
    }
    matches = difflib.get_close_matches(name, sorted(known), n=1)
    if matches:
        return f'Did you mean {matches[0]}'
    return 'Remove it; the reference lists the fields'


def _iterate_parts(part):
    yield part
    for child in part.__subclasses__():
        yield from _iterate_parts(child)


def _fault(*, id_, path, overlay, problem, hint):
    return faults.Fault(
        id=id_,
        source=_find_source(path, overlay),
        path=faults.render_path(path),
        problem=problem,
        hint=hint,
    )


def _find_source(path, overlay):
    """Return the overlay where it sets the place, and else the base."""
    place = overlay
    for key in path:
        if not isinstance(place, dict) or key not in place:
            # A list is replaced as a whole.
            is_inside_list = isinstance(place, list)
            return (
                faults.Source.OVERLAY if is_inside_list else faults.Source.BASE
            )
        place = place[key]
    return faults.Source.OVERLAY

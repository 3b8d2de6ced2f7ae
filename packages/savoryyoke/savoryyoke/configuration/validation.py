"""Validation of a merged tree against the schema and the checks."""

import dataclasses
import difflib

import pydantic

from savoryyoke.configuration import checks
from savoryyoke.configuration import conf
from savoryyoke.configuration import faults
from savoryyoke.configuration import fields
from savoryyoke.configuration import schema

# Number of keys in the path of a part: an item of a top-level collection,
# such as one service.
_PART_LENGTH = 2
_KINDS_HINT = f'Set one of: {", ".join(schema.ServiceKind)}'
_ADAPTERS_BY_COLLECTION = {
    'data_centres': pydantic.TypeAdapter(schema.DataCentre),
    'services': pydantic.TypeAdapter(schema.AnyService),
    'teams': pydantic.TypeAdapter(schema.Team),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Validated:
    """Hold the configuration, or None with the faults."""

    configuration: schema.Configuration | None
    faults: tuple[faults.Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ValidParts:
    """Hold the valid parts of an invalid configuration."""

    data_centres_by_name: dict
    services_by_name: dict
    teams_by_name: dict


def validate(tree, *, overlay):
    """Validate ``tree``, the result of merging, and return ``Validated``.

    ``overlay`` is the tree of the overlay; it determines the source of each
    fault. The checks across fields run on all parts that are valid by
    themselves, so that a fault in one part does not hide faults in others.
    """
    version = tree.get('schema_version')
    if type(version) is int and version not in conf.SCHEMA_VERSIONS:
        fault = _build_version_fault(version, overlay)
        return Validated(configuration=None, faults=(fault,))
    configuration, errors = _validate_fields(tree)
    found_faults = [_build_error_fault(error, overlay) for error in errors]
    valid = configuration or _collect_valid_parts(tree)
    found_faults.extend(
        _build_fault(
            fault_id=finding.id,
            path=finding.path,
            overlay=overlay,
            problem=finding.problem,
            hint=finding.hint,
        )
        for finding in checks.check(valid)
    )
    return Validated(
        configuration=None if found_faults else configuration,
        faults=tuple(found_faults),
    )


def _validate_fields(tree):
    try:
        return schema.Configuration.model_validate(tree), ()
    except pydantic.ValidationError as error:
        return None, error.errors(include_url=False, include_context=False)


def _collect_valid_parts(tree):
    valid = {}
    for collection, adapter in _ADAPTERS_BY_COLLECTION.items():
        parts = tree.get(collection)
        parts = parts if isinstance(parts, dict) else {}
        valid[collection] = _validate_parts(parts, adapter)
        if collection == 'data_centres' and len(valid[collection]) < len(
            parts
        ):
            # An invalid data centre might have the state "in", so the check
            # that not all are out is skipped.
            valid[collection] = {}
    return _ValidParts(
        data_centres_by_name=valid['data_centres'],
        services_by_name=valid['services'],
        teams_by_name=valid['teams'],
    )


def _validate_parts(parts, adapter):
    valid = {}
    for name, part in parts.items():
        try:
            valid[name] = adapter.validate_python(part)
        except pydantic.ValidationError:
            # The validation of the whole file reports this error.
            continue
    return valid


def _get_path_in_file(error):
    """Return the keys of the file that lead to an error."""
    path = tuple(key for key in error['loc'] if key != '[key]')
    if len(path) > _PART_LENGTH and path[0] == 'services':
        # Pydantic adds the kind of the service as the third key.
        return path[:_PART_LENGTH] + path[_PART_LENGTH + 1 :]
    return path


def _build_version_fault(version, overlay):
    supported = ', '.join(str(number) for number in conf.SCHEMA_VERSIONS)
    return _build_fault(
        fault_id=faults.UNKNOWN_VERSION,
        path=('schema_version',),
        overlay=overlay,
        problem=f'this release does not support version {version}',
        hint=f'Set one of: {supported}; use a newer version only after every'
        ' process runs a release that supports it',
    )


def _build_error_fault(error, overlay):
    path = _get_path_in_file(error)
    hint = 'The reference lists the allowed values'
    if error['type'] == 'missing':
        fault_id, problem, hint = faults.MISSING, 'it is required', 'Add it'
    elif error['type'] == 'union_tag_not_found':
        path = (*path, 'kind')
        fault_id, problem, hint = faults.MISSING, 'it is required', _KINDS_HINT
    elif error['type'] == 'union_tag_invalid':
        path = (*path, 'kind')
        fault_id, problem, hint = faults.INVALID, 'no such kind', _KINDS_HINT
    elif error['type'] == 'extra_forbidden':
        fault_id, problem = faults.UNKNOWN_FIELD, 'there is no such field'
        hint = _suggest(str(path[-1]))
    else:
        fault_id, problem = faults.INVALID, _describe(error)
    return _build_fault(
        fault_id=fault_id,
        path=path,
        overlay=overlay,
        problem=problem,
        hint=hint,
    )


def _describe(error):
    message = ' '.join(error['msg'].split()).rstrip('.')
    return f'{faults.render_value(error["input"])}: {message}'


def _suggest(name):
    field_names = {
        field.alias or field_name
        for model in _iterate_models(fields.FileModel)
        for field_name, field in model.model_fields.items()
    }
    matches = difflib.get_close_matches(name, sorted(field_names), n=1)
    if matches:
        return f'Did you mean {matches[0]}'
    return 'Remove it; the reference lists the fields'


def _iterate_models(model):
    yield model
    for child in model.__subclasses__():
        yield from _iterate_models(child)


def _build_fault(*, fault_id, path, overlay, problem, hint):
    return faults.Fault(
        id=fault_id,
        source=_find_source(path, overlay),
        path=faults.render_path(path),
        problem=problem,
        hint=hint,
    )


def _find_source(path, overlay):
    """Return the overlay if it sets the value at ``path``, else the base."""
    node = overlay
    for key in path:
        if not isinstance(node, dict) or key not in node:
            # An overlay replaces a list as a whole.
            is_inside_list = isinstance(node, list)
            return (
                faults.Source.OVERLAY if is_inside_list else faults.Source.BASE
            )
        node = node[key]
    return faults.Source.OVERLAY

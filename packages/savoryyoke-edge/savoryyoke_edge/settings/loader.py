"""Load settings from flags and the environment."""

import dataclasses
import difflib
import enum
import typing

import pydantic

from savoryyoke_edge.settings import checks
from savoryyoke_edge.settings import exceptions

MASK = '********'


class Source(enum.StrEnum):
    """List the sources of a setting's value."""

    FLAG = 'flag'
    ENVIRONMENT = 'env'


@dataclasses.dataclass(frozen=True, kw_only=True)
class ValueOrigin:
    """Hold the source of a field's value and its flag or variable."""

    source: Source
    name: str


def load(model, *, flags, environ):
    """Return the settings from ``flags`` and ``environ``, frozen.

    ``model`` is a subclass of ``schema.ProcessSettings``. ``flags`` maps
    field names to values and overrides ``environ``, which maps environment
    variables to values. Raise ``SettingsError`` with all faults.
    """
    values, origins, faults = _collect_values(model, flags, environ)
    try:
        settings = model(**values)
    except pydantic.ValidationError as error:
        faults.extend(_build_faults(model, error, values, origins))
        raise exceptions.SettingsError(faults=faults) from None
    faults.extend(checks.check(settings))
    if faults:
        raise exceptions.SettingsError(faults=faults)
    return settings


def render(settings):
    """Return the settings as ``name=value`` lines, secrets masked."""
    return '\n'.join(
        f'{name}={_render_value(getattr(settings, name))}'
        for name in type(settings).model_fields
    )


def flag_name(field):
    """Return the flag that sets ``field``."""
    return '--' + field.replace('_', '-')


def variable_name(model, field):
    """Return the environment variable that sets ``field`` of ``model``."""
    return model.prefix + field.upper()


def _collect_values(model, flags, environ):
    values = {}
    origins = {}
    faults = []
    for variable, value in sorted(environ.items()):
        if not variable.upper().startswith(model.prefix):
            continue
        field = variable[len(model.prefix) :].lower()
        if variable != variable_name(model, field) or not _has_field(
            model, field
        ):
            faults.append(_build_unknown_variable_fault(model, variable))
            continue
        values[field] = str(value)
        origins[field] = ValueOrigin(source=Source.ENVIRONMENT, name=variable)
    for flag, value in flags.items():
        field = flag.replace('-', '_')
        if not _has_field(model, field):
            faults.append(_build_unknown_flag_fault(model, field))
            continue
        values[field] = str(value)
        origins[field] = ValueOrigin(source=Source.FLAG, name=flag_name(field))
    return values, origins, faults


def _has_field(model, field):
    return field in model.model_fields


def _build_unknown_flag_fault(model, field):
    valid_names = [flag_name(name) for name in model.model_fields]
    return exceptions.SettingsFault(
        id=checks.UNKNOWN_FLAG,
        source=Source.FLAG.value,
        name=flag_name(field),
        problem='there is no such flag',
        hint=_suggest(flag_name(field), valid_names, '--help lists the flags'),
    )


def _build_unknown_variable_fault(model, variable):
    valid_names = [variable_name(model, name) for name in model.model_fields]
    return exceptions.SettingsFault(
        id=checks.UNKNOWN_VARIABLE,
        source=Source.ENVIRONMENT.value,
        name=variable,
        problem='there is no such variable',
        hint=_suggest(variable.upper(), valid_names, 'unset it'),
    )


def _suggest(name, valid_names, default_hint):
    matches = difflib.get_close_matches(name, valid_names, n=1)
    if matches:
        return f'Did you mean {matches[0]}'
    return default_hint[:1].upper() + default_hint[1:]


def _build_faults(model, error, values, origins):
    for detail in error.errors(include_url=False, include_context=False):
        field = str(detail['loc'][0])
        if field not in values:
            yield _build_missing_fault(model, field)
            continue
        yield exceptions.SettingsFault(
            id=checks.INVALID,
            source=origins[field].source.value,
            name=origins[field].name,
            problem=_describe_problem(
                model, field, values[field], detail['msg']
            ),
            hint=f'Expected: {model.model_fields[field].description[:-1]}',
        )


def _build_missing_fault(model, field):
    return exceptions.SettingsFault(
        id=checks.MISSING,
        source='settings',
        name=flag_name(field),
        problem='it is required, but has no value',
        hint=f'Set {flag_name(field)} or {variable_name(model, field)}',
    )


def _describe_problem(model, field, value, message):
    displayed = MASK if _is_secret(model, field) else repr(value)
    return f'{displayed}: {message.removeprefix("Value error, ")}'


def _is_secret(model, field):
    annotation = model.model_fields[field].annotation
    return pydantic.SecretStr in (annotation, *typing.get_args(annotation))


def _render_value(value):
    if value is None:
        return ''
    if isinstance(value, pydantic.SecretStr):
        return MASK
    if isinstance(value, enum.Enum):
        return value.value
    return str(value)

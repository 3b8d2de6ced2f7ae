"""Reading of settings from flags and the environment."""

import dataclasses
import difflib
import enum
import typing

import pydantic

from savoryyoke_edge.settings import checks
from savoryyoke_edge.settings import exceptions

HIDDEN = '********'


class Source(enum.StrEnum):
    """List where a value of a setting may come from."""

    FLAG = 'flag'
    ENVIRONMENT = 'env'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Origin:
    """Tell where the value of one field was given."""

    source: Source
    name: str


def load(model, *, flags, environ):
    """Return the frozen settings that ``flags`` and ``environ`` describe.

    ``flags`` maps field names to values and goes before ``environ``, a
    mapping of variables. Raise ``SettingsError`` with every fault.
    """
    values, origins, faults = _collect(model, flags, environ)
    try:
        settings = model(**values)
    except pydantic.ValidationError as error:
        faults.extend(_translate(model, error, values, origins))
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


def _collect(model, flags, environ):
    values = {}
    origins = {}
    faults = []
    for variable, value in sorted(environ.items()):
        if not variable.upper().startswith(model.prefix):
            continue
        field = variable[len(model.prefix) :].lower()
        if variable != variable_name(model, field) or not _has(model, field):
            faults.append(_unknown_variable(model, variable))
            continue
        values[field] = str(value)
        origins[field] = Origin(source=Source.ENVIRONMENT, name=variable)
    for flag, value in flags.items():
        field = flag.replace('-', '_')
        if not _has(model, field):
            faults.append(_unknown_flag(model, field))
            continue
        values[field] = str(value)
        origins[field] = Origin(source=Source.FLAG, name=flag_name(field))
    return values, origins, faults


def _has(model, field):
    return field in model.model_fields


def _unknown_flag(model, field):
    known = [flag_name(name) for name in model.model_fields]
    return exceptions.SettingsFault(
        id=checks.UNKNOWN_FLAG,
        source=Source.FLAG.value,
        name=flag_name(field),
        problem='there is no such flag',
        hint=_suggest(flag_name(field), known, '--help lists the flags'),
    )


def _unknown_variable(model, variable):
    known = [variable_name(model, name) for name in model.model_fields]
    return exceptions.SettingsFault(
        id=checks.UNKNOWN_VARIABLE,
        source=Source.ENVIRONMENT.value,
        name=variable,
        problem='there is no such variable',
        hint=_suggest(variable.upper(), known, 'unset it'),
    )


def _suggest(name, known, otherwise):
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f'Did you mean {matches[0]}'
    return otherwise[:1].upper() + otherwise[1:]


def _translate(model, error, values, origins):
    for detail in error.errors(include_url=False, include_context=False):
        field = str(detail['loc'][0])
        if field not in values:
            yield _missing(model, field)
            continue
        yield exceptions.SettingsFault(
            id=checks.INVALID,
            source=origins[field].source.value,
            name=origins[field].name,
            problem=_problem(model, field, values[field], detail['msg']),
            hint=f'Expected: {model.model_fields[field].description[:-1]}',
        )


def _missing(model, field):
    return exceptions.SettingsFault(
        id=checks.MISSING,
        source='settings',
        name=flag_name(field),
        problem='it is required and has no value',
        hint=f'Give {flag_name(field)} or {variable_name(model, field)}',
    )


def _problem(model, field, value, message):
    shown = HIDDEN if _is_secret(model, field) else repr(value)
    return f'{shown}: {message.removeprefix("Value error, ")}'


def _is_secret(model, field):
    annotation = model.model_fields[field].annotation
    return pydantic.SecretStr in (annotation, *typing.get_args(annotation))


def _render_value(value):
    if value is None:
        return ''
    if isinstance(value, pydantic.SecretStr):
        return HIDDEN
    if isinstance(value, enum.Enum):
        return value.value
    return str(value)

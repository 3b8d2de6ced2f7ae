"""Read experiments from TOML files."""

import dataclasses
import pathlib
import tomllib

from savoryyoke_emulator import exceptions
from savoryyoke_emulator import models

_PARTS = {
    'engines': models.Engines,
    'traffic': models.Traffic,
    'fleet': models.Fleet,
    'maps': models.Maps,
}


def load(path):
    """Return the ``models.Experiment`` in a file.

    Raise ``InvalidExperiment`` with all problems at once.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise exceptions.InvalidExperiment([str(error)]) from error
    return build(document)


def build(document):
    """Return the ``models.Experiment`` in a decoded file."""
    problems = []
    parts = {
        name: _build_part(name, kind, document.get(name), problems)
        for name, kind in _PARTS.items()
    }
    troubles = tuple(
        _build_trouble(number, raw, problems)
        for number, raw in enumerate(document.get('trouble', []))
    )
    for name, kind in (('name', str), ('seconds', (int, float))):
        if not isinstance(document.get(name), kind):
            problems.append(f'{name}: is missing or of another type')
    known = {*_PARTS, 'trouble', 'name', 'seconds'}
    problems.extend(f'{name}: is unknown' for name in document.keys() - known)
    if problems:
        raise exceptions.InvalidExperiment(sorted(problems))
    return models.Experiment(
        name=document['name'],
        seconds=float(document['seconds']),
        troubles=tuple(sorted(troubles, key=lambda x: x.at_s)),
        **parts,
    )


def change(experiment, text):
    """Return an experiment with values changed.

    ``text`` is such as ``fleet.engine_requests=4+maps.even=1.2``.
    """
    for one in text.split('+'):
        experiment = _change_one(experiment, one)
    return experiment


def _change_one(experiment, text):
    place, _, raw = text.partition('=')
    part_name, _, name = place.partition('.')
    part = getattr(experiment, part_name, None)
    if part_name not in _PARTS or not hasattr(part, name):
        raise exceptions.InvalidExperiment([f'{place}: is unknown'])
    try:
        value = type(getattr(part, name))(raw)
    except ValueError as error:
        raise exceptions.InvalidExperiment([f'{place}: {error}']) from error
    changed = dataclasses.replace(part, **{name: value})
    return dataclasses.replace(experiment, **{part_name: changed})


def _build_part(name, kind, raw, problems):
    if not isinstance(raw, dict):
        problems.append(f'{name}: is missing')
        return None
    fields = {field.name: field.type for field in dataclasses.fields(kind)}
    wrong = [
        f'{name}.{field}: is missing or no number'
        for field in fields
        if type(raw.get(field)) not in (int, float)
    ]
    wrong.extend(
        f'{name}.{field}: is unknown' for field in raw.keys() - fields.keys()
    )
    problems.extend(wrong)
    if wrong:
        return None
    return kind(**{field: fields[field](raw[field]) for field in fields})


def _build_trouble(number, raw, problems):
    try:
        return models.Trouble(
            kind=models.TroubleKind(raw.get('kind')),
            at_s=float(raw['at_s']),
            for_s=float(raw.get('for_s', 0.0)),
            x=float(raw.get('x', 1.0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        problems.append(f'trouble {number}: {error!r}')
        return models.Trouble(kind=models.TroubleKind.SHIFT, at_s=0.0)

"""Read experiments from TOML files."""

import dataclasses
import pathlib
import tomllib

from savoryyoke_emulator import exceptions
from savoryyoke_emulator import models

_CLASSES_BY_PART = {
    'engines': models.Engines,
    'traffic': models.Traffic,
    'fleet': models.Fleet,
    'maps': models.Maps,
}


def load(path):
    """Return the ``models.Experiment`` in the TOML file at ``path``.

    Raise ``InvalidExperiment`` with all problems at once.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise exceptions.InvalidExperiment([str(error)]) from error
    return build(document)


def build(document):
    """Return the ``models.Experiment`` in a decoded TOML document.

    Raise ``InvalidExperiment`` with all problems at once.
    """
    problems = []
    parts = {
        name: _build_part(name, kind, document.get(name), problems)
        for name, kind in _CLASSES_BY_PART.items()
    }
    troubles = tuple(
        _build_trouble(number, raw, problems)
        for number, raw in enumerate(document.get('trouble', []))
    )
    kinds = tuple(
        _build_kind(number, raw, problems)
        for number, raw in enumerate(document.get('kind', []))
    )
    for name, kind in (('name', str), ('seconds', (int, float))):
        if not isinstance(document.get(name), kind):
            problems.append(f'{name}: is missing or of another type')
    known_names = {*_CLASSES_BY_PART, 'trouble', 'kind', 'name', 'seconds'}
    problems.extend(
        f'{name}: is unknown' for name in document.keys() - known_names
    )
    if problems:
        raise exceptions.InvalidExperiment(sorted(problems))
    return models.Experiment(
        name=document['name'],
        seconds=float(document['seconds']),
        troubles=tuple(sorted(troubles, key=lambda trouble: trouble.at_s)),
        kinds=kinds,
        **parts,
    )


def change(experiment, text):
    """Return an experiment with the changes in ``text`` applied.

    An example of ``text`` is ``fleet.engine_requests=4+maps.even=1.2``.
    Raise ``InvalidExperiment`` for an unknown field or an invalid value.
    """
    for assignment in text.split('+'):
        experiment = _apply_assignment(experiment, assignment)
    return experiment


def _apply_assignment(experiment, assignment):
    path, _, raw = assignment.partition('=')
    part_name, _, name = path.partition('.')
    part = getattr(experiment, part_name, None)
    if part_name not in _CLASSES_BY_PART or not hasattr(part, name):
        raise exceptions.InvalidExperiment([f'{path}: is unknown'])
    try:
        value = type(getattr(part, name))(raw)
    except ValueError as error:
        raise exceptions.InvalidExperiment([f'{path}: {error}']) from error
    changed = dataclasses.replace(part, **{name: value})
    return dataclasses.replace(experiment, **{part_name: changed})


def _build_part(name, kind, raw, problems):
    if not isinstance(raw, dict):
        problems.append(f'{name}: is missing')
        return None
    fields = {field.name: field.type for field in dataclasses.fields(kind)}
    part_problems = [
        f'{name}.{field}: is missing or no number'
        for field in fields
        if type(raw.get(field)) not in (int, float)
    ]
    part_problems.extend(
        f'{name}.{field}: is unknown' for field in raw.keys() - fields.keys()
    )
    problems.extend(part_problems)
    if part_problems:
        return None
    return kind(**{field: fields[field](raw[field]) for field in fields})


def _build_kind(number, raw, problems):
    try:
        return models.Kind(
            name=str(raw['name']),
            share=float(raw['share']),
            priority=int(raw['priority']),
            aim_s=float(raw['aim_s']),
            worth=float(raw.get('worth', 1.0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        problems.append(f'kind {number}: {error!r}')
        return models.Kind(name='', share=1.0, priority=0, aim_s=1.0)


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

"""Merging of a site's overlay into the base.

Mappings merge by key; scalars and lists replace; an explicit null deletes
an optional key. An overlay names no service, operation, model, team or data
centre that the base lacks, deletes none, and leaves alone what all sites
must agree on.
"""

import dataclasses

from savoryyoke.configuration import faults

ANY = '*'

# Mappings whose keys are names that operators choose.
COLLECTIONS = (
    ('data_centres',),
    ('services',),
    ('services', ANY, 'models'),
    ('services', ANY, 'operations'),
    ('teams',),
)
# A request may be retried through an entry of another site, so that what
# it is must not depend on the site.
FIXED_FIELDS = (
    ('schema_version',),
    ('services', ANY, 'kind'),
    ('services', ANY, 'operations', ANY, 'idempotent'),
    ('services', ANY, 'operations', ANY, 'method'),
    ('services', ANY, 'operations', ANY, 'path'),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merged:
    """Hold the merged tree and the faults of the overlay."""

    tree: dict
    faults: tuple[faults.Fault, ...]


def merge(*, base, overlay):
    """Return ``overlay`` merged into ``base``; neither is changed.

    A part of the overlay that is at fault is left out of the result.
    """
    found = []
    tree = _merge_mapping(base, overlay, (), found)
    return Merged(tree=tree, faults=tuple(found))


def _merge_mapping(base, overlay, path, found):
    merged = dict(base)
    for key, value in overlay.items():
        place = (*path, key)
        fault = _check(base, key, value, place)
        if fault is not None:
            found.append(fault)
        elif value is None:
            del merged[key]
        elif isinstance(value, dict):
            merged[key] = _merge_mapping(
                base.get(key, {}), value, place, found
            )
        else:
            merged[key] = value
    return merged


def _check(base, key, value, place):
    """Return what forbids setting ``place`` to ``value``, or None."""
    is_name = _matches(place[:-1], COLLECTIONS)
    if is_name and key not in base:
        return _fault(
            faults.UNKNOWN_NAME,
            place,
            'the base holds no such name',
            'Add it to the base, or correct its spelling',
        )
    if _matches(place, FIXED_FIELDS) and not _same(base.get(key), value):
        return _fault(
            faults.FIXED_FIELD,
            place,
            'every site must agree on it',
            'Change it in the base',
        )
    if value is None:
        return _check_deletion(base, key, place, is_name)
    if key in base and isinstance(base[key], dict) != isinstance(value, dict):
        return _fault(
            faults.SHAPE,
            place,
            'only one of base and overlay holds a mapping here',
            'Give it the shape that it has in the base',
        )
    return None


def _check_deletion(base, key, place, is_name):
    if is_name:
        return _fault(
            faults.NAME_DELETED,
            place,
            'an overlay may not delete a name',
            'Delete it in the base',
        )
    if key not in base:
        return _fault(
            faults.NOTHING_TO_DELETE,
            place,
            'null deletes a key that the base does not hold',
            'Remove the line',
        )
    return None


def _matches(path, patterns):
    return any(
        len(path) == len(pattern)
        and all(
            part in (ANY, key) for part, key in zip(pattern, path, strict=True)
        )
        for pattern in patterns
    )


def _same(before, after):
    # 1 equals True in Python, but not in the file.
    return type(before) is type(after) and before == after


def _fault(id_, place, problem, hint):
    return faults.Fault(
        id=id_,
        source=faults.Source.OVERLAY,
        path=faults.render_path(place),
        problem=problem,
        hint=hint,
    )

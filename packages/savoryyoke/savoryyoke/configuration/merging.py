"""Merging of a site's overlay into the base.

Mappings are merged by key; scalars and lists replace the value of the base;
an explicit null deletes an optional key. An overlay must not add or delete a
service, operation, model, team or data centre, and must not change the
fields that have to be the same at all sites (``FIXED_FIELDS``).
"""

import dataclasses

from savoryyoke.configuration import faults

ANY_NAME = '*'

# Paths of mappings whose keys are names chosen by operators.
COLLECTIONS = (
    ('data_centres',),
    ('services',),
    ('services', ANY_NAME, 'models'),
    ('services', ANY_NAME, 'operations'),
    ('teams',),
)
# A request may be retried through an entry of another site, so these
# properties of a request must not depend on the site.
FIXED_FIELDS = (
    ('schema_version',),
    ('services', ANY_NAME, 'kind'),
    ('services', ANY_NAME, 'operations', ANY_NAME, 'idempotent'),
    ('services', ANY_NAME, 'operations', ANY_NAME, 'method'),
    ('services', ANY_NAME, 'operations', ANY_NAME, 'path'),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merged:
    """Hold the merged tree and the faults found in the overlay."""

    tree: dict
    faults: tuple[faults.Fault, ...]


def merge(*, base, overlay):
    """Return ``overlay`` merged into ``base``, without changing either.

    Parts of the overlay that have a fault are omitted from the result.
    """
    found_faults = []
    tree = _merge_mapping(base, overlay, (), found_faults)
    return Merged(tree=tree, faults=tuple(found_faults))


def _merge_mapping(base, overlay, path, found_faults):
    merged = dict(base)
    for key, value in overlay.items():
        key_path = (*path, key)
        fault = _find_fault(base, key, value, key_path)
        if fault is not None:
            found_faults.append(fault)
        elif value is None:
            del merged[key]
        elif isinstance(value, dict):
            merged[key] = _merge_mapping(
                base.get(key, {}), value, key_path, found_faults
            )
        else:
            merged[key] = value
    return merged


def _find_fault(base, key, value, key_path):
    """Return the fault of setting ``key_path`` to ``value``, or None."""
    is_named_item = _matches_any(key_path[:-1], COLLECTIONS)
    if is_named_item and key not in base:
        return _build_fault(
            faults.UNKNOWN_NAME,
            key_path,
            'the base has no such name',
            'Add it to the base, or correct its spelling',
        )
    if _matches_any(key_path, FIXED_FIELDS) and not _is_same_value(
        base.get(key), value
    ):
        return _build_fault(
            faults.FIXED_FIELD,
            key_path,
            'it must be the same at all sites',
            'Change it in the base',
        )
    if value is None:
        return _find_deletion_fault(base, key, key_path, is_named_item)
    if key in base and isinstance(base[key], dict) != isinstance(value, dict):
        return _build_fault(
            faults.MAPPING_MISMATCH,
            key_path,
            'it is a mapping in only one of base and overlay',
            'Use the same kind of value as in the base',
        )
    return None


def _find_deletion_fault(base, key, key_path, is_named_item):
    if is_named_item:
        return _build_fault(
            faults.NAME_DELETED,
            key_path,
            'an overlay must not delete a named item',
            'Delete it in the base',
        )
    if key not in base:
        return _build_fault(
            faults.NOTHING_TO_DELETE,
            key_path,
            'null deletes a key that is not in the base',
            'Remove the line',
        )
    return None


def _matches_any(path, patterns):
    return any(
        len(path) == len(pattern)
        and all(
            expected in (ANY_NAME, key)
            for expected, key in zip(pattern, path, strict=True)
        )
        for pattern in patterns
    )


def _is_same_value(before, after):
    # Compare the types too: in Python, 1 == True.
    return type(before) is type(after) and before == after


def _build_fault(fault_id, key_path, problem, hint):
    return faults.Fault(
        id=fault_id,
        source=faults.Source.OVERLAY,
        path=faults.render_path(key_path),
        problem=problem,
        hint=hint,
    )

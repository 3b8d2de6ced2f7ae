"""Validate VM lists."""

import collections
import dataclasses

ROLES = frozenset(['entry', 'target'])
STATES = frozenset(['live', 'leaving'])
PORT_MAXIMUM = 65_535


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """Describe one validation error.

    ``id`` is stable across releases; ``hint`` helps operators to correct it.
    """

    id: str
    message: str
    hint: str


def check_entries(*, entries, limit):
    """Return the faults in the entries of a VM list, regardless of history.

    ``limit`` is the greatest number of entries allowed.
    """
    if not isinstance(entries, tuple) or not entries:
        return (
            Fault(
                id='savoryyoke.membership.E001',
                message='the VM list is empty or not a tuple of entries',
                hint='a VM list must have at least one entry',
            ),
        )
    if len(entries) > limit:
        return (
            Fault(
                id='savoryyoke.membership.E002',
                message=f'the VM list has {len(entries)} entries',
                hint=f'at most {limit} entries are accepted',
            ),
        )
    faults = [
        Fault(
            id='savoryyoke.membership.E003',
            message=f'malformed entry {entry!r}',
            hint='see VmEntry for the fields and their values',
        )
        for entry in entries
        if not _is_well_formed(entry)
    ]
    if faults:
        return tuple(faults)
    return _check_duplicates(entries, 'vm_id') + _check_duplicates(
        entries, 'address'
    )


def check_sequence(*, sequence, last_sequence, has_same_entries):
    """Return the fault of a list that does not follow the last accepted one.

    ``has_same_entries`` is true when the entries of both lists are equal.
    """
    if isinstance(sequence, bool) or not isinstance(sequence, int):
        message = f'sequence {sequence!r} is not a whole number'
    elif last_sequence is None or sequence > last_sequence:
        return ()
    elif sequence == last_sequence and has_same_entries:
        return ()
    elif sequence == last_sequence:
        message = f'sequence {sequence} was published with two contents'
    else:
        message = f'sequence {sequence} is older than {last_sequence}'
    return (
        Fault(
            id='savoryyoke.membership.E005',
            message=message,
            hint='a replica of the platform may be stale',
        ),
    )


def check_dropped(*, dropped_count, answering_count, share_limit):
    """Return the fault of a list that omits too many answering members.

    ``dropped_count`` of ``answering_count`` members are not in the list;
    ``share_limit`` is the greatest share allowed, from 0 to 1.
    """
    if dropped_count <= answering_count * share_limit:
        return ()
    return (
        Fault(
            id='savoryyoke.membership.E006',
            message=(
                f'{dropped_count} of {answering_count} answering members'
                ' are absent'
            ),
            hint='check that the list is complete; these VMs still answer',
        ),
    )


def _is_well_formed(entry):
    try:
        host, _, port = entry.address.rpartition(':')
        return (
            entry.role in ROLES
            and entry.state in STATES
            and isinstance(entry.vm_id, str)
            and entry.vm_id != ''
            and isinstance(entry.data_centre, str)
            and entry.data_centre != ''
            and host != ''
            and 0 < int(port) <= PORT_MAXIMUM
        )
    except (AttributeError, TypeError, ValueError):
        return False


def _check_duplicates(entries, field):
    values = [getattr(entry, field) for entry in entries]
    if len(set(values)) == len(values):
        return ()
    counts = collections.Counter(values)
    return tuple(
        Fault(
            id='savoryyoke.membership.E004',
            message=f'{field} {value!r} is listed {count} times',
            hint='each VM has one entry and one control address',
        )
        for value, count in counts.items()
        if count > 1
    )

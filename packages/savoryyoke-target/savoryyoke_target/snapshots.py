"""Serialize the ledger data that a stopping process sends to its heir."""

import pydantic

from savoryyoke.calls.ledger import snapshots
from savoryyoke_target import exceptions

_BASE64 = pydantic.ConfigDict(ser_json_bytes='base64', val_json_bytes='base64')
# A type adapter for a dataclass accepts no configuration of its own; the
# one-element tuple makes the encoding of bytes configurable.
_SNAPSHOT = pydantic.TypeAdapter(tuple[snapshots.Snapshot], config=_BASE64)
_RECORD = pydantic.TypeAdapter(tuple[snapshots.RecordCopy], config=_BASE64)


def dump_snapshot(snapshot):
    """Return the JSON bytes of a snapshot."""
    return _SNAPSHOT.dump_json((snapshot,))


def load_snapshot(data):
    """Return the snapshot in ``data`` or raise ``SnapshotInvalid``."""
    return _load(_SNAPSHOT, data)


def dump_record(record):
    """Return the JSON bytes of one record."""
    return _RECORD.dump_json((record,))


def load_record(data):
    """Return the record in ``data`` or raise ``SnapshotInvalid``."""
    return _load(_RECORD, data)


def _load(adapter, data):
    try:
        return adapter.validate_json(data)[0]
    except pydantic.ValidationError as error:
        raise exceptions.SnapshotInvalid(str(error)) from error

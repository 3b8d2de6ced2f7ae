"""Translate messages to packed Cap'n Proto bytes and back."""

import dataclasses
import functools
import pathlib
import re
import typing

import capnp

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions
from savoryyoke_wire import messages

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name('protocol.capnp')), imports=[]
)


def _to_member_name(class_name):
    return class_name[0].lower() + class_name[1:]


def _to_field_name(name):
    return re.sub('_([a-z])', lambda match: match.group(1).upper(), name)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Structure:
    """Describe how the items of a list field are encoded and decoded."""

    item_class: type
    limit: int
    fields: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Plan:
    """Describe how the fields of one message class are encoded and decoded.

    Each field is a pair of its names in Python and in the schema.
    """

    message_class: type
    member: str
    plain: tuple[tuple[str, str], ...]
    texts: tuple[tuple[str, str], ...]
    structures: tuple[tuple[str, str, '_Structure'], ...]
    outcomes: tuple[tuple[str, str], ...]


def _make_structure(item_class, *, limit):
    fields = dataclasses.fields(item_class)
    return _Structure(
        item_class=item_class,
        limit=limit,
        fields=tuple(
            (item.name, _to_field_name(item.name)) for item in fields
        ),
    )


_STRUCTURES_BY_HINT = {
    tuple[messages.Header, ...]: _make_structure(
        messages.Header, limit=conf.HEADERS_LIMIT
    ),
    tuple[messages.CrashReport, ...]: _make_structure(
        messages.CrashReport, limit=conf.CRASH_REPORTS_LIMIT
    ),
    tuple[messages.Stamp, ...]: _make_structure(
        messages.Stamp, limit=conf.LIST_LIMIT
    ),
    tuple[messages.LoanRow, ...]: _make_structure(
        messages.LoanRow, limit=conf.LIST_LIMIT
    ),
    tuple[messages.Version, ...]: _make_structure(
        messages.Version, limit=conf.LIST_LIMIT
    ),
}


def _make_plan(message_class):
    groups = {'plain': [], 'texts': [], 'structures': [], 'outcomes': []}
    hints = typing.get_type_hints(message_class)
    for field in dataclasses.fields(message_class):
        hint = hints[field.name]
        names = (field.name, _to_field_name(field.name))
        if hint in _STRUCTURES_BY_HINT:
            groups['structures'].append((*names, _STRUCTURES_BY_HINT[hint]))
        elif hint is messages.Outcome:
            groups['outcomes'].append(names)
        else:
            groups['texts' if hint is str else 'plain'].append(names)
    return _Plan(
        message_class=message_class,
        member=_to_member_name(message_class.__name__),
        **{name: tuple(pairs) for name, pairs in groups.items()},
    )


_PLANS_BY_CLASS = {
    message_class: _make_plan(message_class)
    for message_class in typing.get_args(messages.Message)
}
_PLANS_BY_MEMBER = {plan.member: plan for plan in _PLANS_BY_CLASS.values()}


def encode(message):
    """Return the packed bytes of ``message``.

    Raise ``LimitExceeded`` if they exceed ``FRAME_LIMIT_BYTES``.
    """
    plan = _PLANS_BY_CLASS[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    body = envelope.init(plan.member)
    for name, field in plan.plain + plan.texts:
        setattr(body, field, getattr(message, name))
    for name, field in plan.outcomes:
        setattr(body, field, getattr(message, name).value)
    for name, field, structure in plan.structures:
        _write_items(body.init, field, getattr(message, name), structure)
    packed = envelope.to_bytes_packed()
    if len(packed) > conf.FRAME_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'{plan.member} has {len(packed)} bytes,'
            f' the limit is {conf.FRAME_LIMIT_BYTES}'
        )
    return packed


def _write_items(init, field, values, structure):
    if not values:
        return
    items = init(field, len(values))
    for position, value in enumerate(values):
        item = items[position]
        for name, item_field in structure.fields:
            setattr(item, item_field, getattr(value, name))


def decode(packed):
    """Return the message in ``packed``.

    Return None for a type of message that a later version has added. Raise
    ``MalformedMessage`` or ``LimitExceeded`` for other invalid bytes.
    """
    if len(packed) > conf.FRAME_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'frame of {len(packed)} bytes is too long'
        )
    try:
        envelope = _SCHEMA.Envelope.from_bytes_packed(
            packed, traversal_limit_in_words=conf.UNPACKED_LIMIT_WORDS
        )
        member = _read_member(envelope)
        if member is None:
            return None
        return _read_body(_PLANS_BY_MEMBER[member], getattr(envelope, member))
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        summary = str(error).partition('\n')[0]
        raise exceptions.MalformedMessage(summary) from error


def _read_member(envelope):
    """Return the name of the union's member; None if it is unknown.

    pycapnp reports a member that the schema lacks as a non-union type.
    """
    try:
        member = str(envelope.which())
    except capnp.KjException as error:
        if 'non-union type' in str(error):
            return None
        raise
    return member if member in _PLANS_BY_MEMBER else None


def _read_body(plan, body):
    values = {name: getattr(body, field) for name, field in plan.plain}
    for name, field in plan.texts:
        values[name] = _check_text(name, getattr(body, field))
    for name, field in plan.outcomes:
        values[name] = messages.Outcome(str(getattr(body, field)))
    for name, field, structure in plan.structures:
        values[name] = _read_items(name, getattr(body, field), structure)
    return plan.message_class(**values)


def _check_text(name, text):
    if len(text) > conf.TEXT_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'{name} of {len(text)} characters is too long'
        )
    return text


def _read_items(name, items, structure):
    if len(items) > structure.limit:
        raise exceptions.LimitExceeded(
            f'{name} of {len(items)} items is too long'
        )
    return tuple(_read_item(item, structure) for item in items)


def _read_item(item, structure):
    values = {
        name: _check_value(name, getattr(item, field))
        for name, field in structure.fields
    }
    return structure.item_class(**values)


def _check_value(name, value):
    return _check_text(name, value) if isinstance(value, str) else value


@functools.cache
def get_union_members():
    """Return the member names of the schema's envelope, for tests."""
    return tuple(_SCHEMA.Envelope.schema.fields)

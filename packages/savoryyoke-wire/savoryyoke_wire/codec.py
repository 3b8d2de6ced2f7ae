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
class _Plan:
    """Say how the fields of one message class are read and written."""

    message_class: type
    member: str
    plain: tuple[tuple[str, str], ...]
    texts: tuple[tuple[str, str], ...]
    headers: tuple[tuple[str, str], ...]
    text_lists: tuple[tuple[str, str], ...]
    outcomes: tuple[tuple[str, str], ...]


def _make_plan(message_class):
    groups = {
        'plain': [],
        'texts': [],
        'headers': [],
        'text_lists': [],
        'outcomes': [],
    }
    kinds = {
        str: 'texts',
        tuple[messages.Header, ...]: 'headers',
        tuple[str, ...]: 'text_lists',
        messages.Outcome: 'outcomes',
    }
    hints = typing.get_type_hints(message_class)
    for field in dataclasses.fields(message_class):
        group = kinds.get(hints[field.name], 'plain')
        groups[group].append((field.name, _to_field_name(field.name)))
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

    Raise ``LimitExceeded`` where they are longer than a frame may be.
    """
    plan = _PLANS_BY_CLASS[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    body = envelope.init(plan.member)
    for name, field in plan.plain + plan.texts:
        setattr(body, field, getattr(message, name))
    for name, field in plan.outcomes:
        setattr(body, field, getattr(message, name).value)
    for name, field in plan.headers:
        _write_headers(body.init, field, getattr(message, name))
    for name, field in plan.text_lists:
        _write_texts(body.init, field, getattr(message, name))
    packed = envelope.to_bytes_packed()
    if len(packed) > conf.FRAME_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'{plan.member} takes {len(packed)} bytes,'
            f' the limit is {conf.FRAME_LIMIT_BYTES}'
        )
    return packed


def _write_headers(init, field, headers):
    if not headers:
        return
    items = init(field, len(headers))
    for position, header in enumerate(headers):
        items[position].name = header.name
        items[position].value = header.value


def _write_texts(init, field, texts):
    if not texts:
        return
    items = init(field, len(texts))
    for position, text in enumerate(texts):
        items[position] = text


def decode(packed):
    """Return the message in ``packed``, or None where it is of a later kind.

    Raise ``MalformedMessage`` or ``LimitExceeded`` for anything else.
    """
    if len(packed) > conf.FRAME_LIMIT_BYTES:
        raise exceptions.LimitExceeded(f'frame of {len(packed)} bytes')
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
    """Return the union's member, or None for one added after this version.

    The library reports a member that the schema lacks as a non-union type.
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
    for name, field in plan.headers:
        values[name] = _read_headers(getattr(body, field))
    for name, field in plan.text_lists:
        values[name] = _read_texts(name, getattr(body, field))
    return plan.message_class(**values)


def _check_text(name, text):
    if len(text) > conf.TEXT_LIMIT_BYTES:
        raise exceptions.LimitExceeded(f'{name} holds {len(text)} characters')
    return text


def _read_headers(items):
    if len(items) > conf.HEADERS_LIMIT:
        raise exceptions.LimitExceeded(f'{len(items)} headers')
    return tuple(
        messages.Header(
            name=_check_text('header', item.name),
            value=_check_text('header', item.value),
        )
        for item in items
    )


def _read_texts(name, items):
    if len(items) > conf.LIST_LIMIT:
        raise exceptions.LimitExceeded(f'{name} holds {len(items)} items')
    return tuple(_check_text(name, item) for item in items)


@functools.cache
def get_union_members():
    """Return the names of the schema's messages, for checks in tests."""
    return tuple(_SCHEMA.Envelope.schema.fields)

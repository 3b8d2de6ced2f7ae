"""Encode and decode the messages between the agents of a group."""

import dataclasses
import functools
import itertools
import pathlib
import struct

import capnp

from savoryyoke.groups.rollout import models

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name('group.capnp')), imports=[]
)
# Widths of integers in bytes that ``struct`` packs many of at once.
_STRUCT_CODES_BY_WIDTH = {1: 'B', 2: 'H', 4: 'I', 8: 'Q'}
# Encodes None in an optional number.
_ABSENT = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChoicesReport:
    """Report how often each expert was chosen recently, set by set.

    The counts cover the requests of ``rank`` and of the ranks whose reports
    it forwards.
    """

    group: str
    rank: int
    choices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapContent:
    """Carry an expert map that the leader's directives refer to."""

    group: str
    expert_map: models.ExpertMap


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapChangeContent:
    """Carry an expert map as its changes to an earlier one."""

    group: str
    change: models.MapChange


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapRequest:
    """Request a map that ``host`` lacks from the leader."""

    group: str
    version: int
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldReport:
    """Report the experts that a rank has loaded."""

    group: str
    rank: int
    held: models.RankMap


@dataclasses.dataclass(frozen=True, kw_only=True)
class PaceReport:
    """Report to entries how slow the target at ``address`` is.

    ``pace`` is the ratio of the time that it takes to the usual time.
    """

    address: str
    pace: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembersRequest:
    """Request the members of a group from an entry."""

    group: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembersReport:
    """Report the members of a group that are published."""

    group: str
    members: models.GroupMembers


@dataclasses.dataclass(frozen=True, kw_only=True)
class MessagePart:
    """Carry part ``number`` of a message that needs several datagrams.

    ``number`` counts from 0 to ``parts`` - 1.
    """

    message_id: int
    number: int
    parts: int
    content: bytes


def encode_datagrams(message, *, message_id):
    """Return the datagrams of a message; a long message is split into parts.

    ``message_id`` must be unique among the messages of a sender. Raise
    ``LimitExceeded`` if the message exceeds ``MESSAGE_LIMIT_BYTES``.
    """
    packed = encode(message)
    if len(packed) <= conf.DATAGRAM_LIMIT_BYTES:
        return (packed,)
    starts = range(0, len(packed), conf.PART_BYTES)
    return tuple(
        encode(
            MessagePart(
                message_id=message_id,
                number=number,
                parts=len(starts),
                content=packed[start : start + conf.PART_BYTES],
            )
        )
        for number, start in enumerate(starts)
    )


@functools.singledispatch
def encode(message):
    """Return the packed bytes of a message to an agent or an entry.

    A directive is encoded without its map; send a ``MapContent`` for that.
    Raise ``LimitExceeded`` beyond ``MESSAGE_LIMIT_BYTES`` and
    ``MalformedMessage`` for a class that has no encoding.
    """
    raise exceptions.MalformedMessage(type(message).__name__)


@encode.register
def _(message: models.Directive):
    envelope, body = _build_envelope('directive')
    _write_term(body, message.term)
    body.group = message.group
    body.epoch = message.epoch
    body.sequence = message.sequence
    body.leaderHost = message.leader_host
    body.phase = message.phase.value
    body.version = message.version
    body.step = message.step
    body.holdRank = message.hold_rank
    body.wantsExperts = message.wants_experts
    return _pack(envelope)


@encode.register
def _(message: MapContent):
    envelope, body = _build_envelope('map')
    body.group = message.group
    body.version = message.expert_map.version
    _write_sets(body, message.expert_map.experts)
    return _pack(envelope)


@encode.register
def _(message: MapChangeContent):
    envelope, body = _build_envelope('mapChange')
    body.group = message.group
    body.version = message.change.version
    body.baseVersion = message.change.base_version
    changed_sets = message.change.experts_by_rank_by_set
    items = body.init('sets', len(changed_sets))
    for item, experts_by_rank in zip(items, changed_sets, strict=True):
        item.ranks = list(experts_by_rank)
        _write_set(item, experts_by_rank.values())
    return _pack(envelope)


@encode.register
def _(message: MapRequest):
    envelope, body = _build_envelope('mapRequest')
    body.group = message.group
    body.version = message.version
    body.host = message.host
    return _pack(envelope)


@encode.register
def _(message: models.RankReport):
    envelope, body = _build_envelope('report')
    _write_term(body, message.term)
    state = message.state
    body.host = message.host
    body.group = state.group
    body.epoch = state.epoch
    body.rank = state.rank
    body.ranks = state.ranks
    body.isOpen = state.is_open
    body.step = state.step
    body.active = state.active
    body.prepared = _encode_optional(state.prepared)
    body.armed = _encode_optional(state.armed)
    body.held = _encode_optional(state.held)
    body.pace = state.pace
    body.sequence = message.sequence
    body.isSurelyUnarmed = not message.may_be_armed
    return _pack(envelope)


@encode.register
def _(message: ChoicesReport):
    envelope, body = _build_envelope('choices')
    body.group = message.group
    body.rank = message.rank
    starts = range(0, len(message.choices), conf.COUNTS_PER_CHUNK)
    chunks = body.init('choices', len(starts))
    for item, start in zip(chunks, starts, strict=True):
        counts = message.choices[start : start + conf.COUNTS_PER_CHUNK]
        item.bytesEach = max((max(counts).bit_length() + 7) // 8, 1)
        item.values = _pack_counts(counts, item.bytesEach)
    return _pack(envelope)


@encode.register
def _(message: HeldReport):
    envelope, body = _build_envelope('held')
    body.group = message.group
    body.rank = message.rank
    body.version = message.held.version
    experts = message.held.experts
    _write_rows(body.init('sets', len(experts)), experts)
    return _pack(envelope)


@encode.register
def _(message: MembersRequest):
    envelope, body = _build_envelope('membersRequest')
    body.group = message.group
    return _pack(envelope)


@encode.register
def _(message: MembersReport):
    envelope, body = _build_envelope('members')
    shape = message.members.shape
    body.group = message.group
    body.sets = shape.sets
    body.experts = shape.experts
    body.slots = shape.slots
    body.maxCopiesPerRank = shape.max_copies_per_rank
    body.copyS = shape.copy_s
    body.ranks = list(message.members.hosts_by_rank)
    body.hosts = list(message.members.hosts_by_rank.values())
    return _pack(envelope)


@encode.register
def _(message: MessagePart):
    envelope, body = _build_envelope('part')
    body.messageId = message.message_id
    body.number = message.number
    body.parts = message.parts
    body.content = message.content
    return _pack(envelope)


@encode.register
def _(message: PaceReport):
    envelope, body = _build_envelope('pace')
    body.address = message.address
    body.pace = message.pace
    return _pack(envelope)


def decode(packed):
    """Return the message in a datagram, or in the joined parts of a message.

    Raise ``MalformedMessage``, ``LimitExceeded`` or ``VersionMismatch``.
    """
    _require_size(packed)
    try:
        envelope = _SCHEMA.Message.from_bytes_packed(
            packed, traversal_limit_in_words=conf.UNPACKED_LIMIT_WORDS
        )
        if envelope.version != conf.GROUP_VERSION:
            raise exceptions.VersionMismatch(
                f'unsupported version {envelope.version}'
            )
        return _READERS_BY_MEMBER[str(envelope.which())](envelope)
    except (capnp.KjException, ValueError) as error:
        summary = str(error).partition('\n')[0]
        raise exceptions.MalformedMessage(summary) from error


def _build_envelope(member):
    envelope = _SCHEMA.Message.new_message(version=conf.GROUP_VERSION)
    return envelope, envelope.init(member)


def _pack(envelope):
    packed = envelope.to_bytes_packed()
    _require_size(packed)
    return packed


def _require_size(packed):
    if len(packed) > conf.MESSAGE_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'message of {len(packed)} bytes is too long'
        )


def _write_term(body, term):
    body.termNumber = term.number
    body.termRank = term.rank


def _write_sets(body, experts):
    sets = body.init('sets', len(experts))
    for item, ranks in zip(sets, experts, strict=True):
        _write_set(item, ranks)


def _write_set(item, ranks):
    """Write the experts of each rank in a set."""
    item.counts = bytes(len(rank_experts) for rank_experts in ranks)
    item.experts = [
        expert for rank_experts in ranks for expert in rank_experts
    ]


def _write_rows(rows, experts):
    for row, rank_experts in zip(rows, experts, strict=True):
        row.experts = list(rank_experts)


def _read_directive(envelope):
    body = envelope.directive
    return models.Directive(
        group=body.group,
        epoch=body.epoch,
        term=models.Term(number=body.termNumber, rank=body.termRank),
        sequence=body.sequence,
        leader_host=body.leaderHost,
        phase=models.Phase(body.phase),
        version=body.version,
        step=body.step,
        hold_rank=body.holdRank,
        wants_experts=body.wantsExperts,
    )


def _read_report(envelope):
    body = envelope.report
    return models.RankReport(
        host=body.host,
        term=models.Term(number=body.termNumber, rank=body.termRank),
        sequence=body.sequence,
        may_be_armed=not body.isSurelyUnarmed,
        state=models.EngineState(
            group=body.group,
            epoch=body.epoch,
            rank=body.rank,
            ranks=body.ranks,
            is_open=body.isOpen,
            step=body.step,
            active=body.active,
            prepared=_decode_optional(body.prepared),
            armed=_decode_optional(body.armed),
            held=_decode_optional(body.held),
            pace=body.pace,
        ),
    )


def _read_map(envelope):
    body = envelope.map
    experts = tuple(_read_set(item) for item in body.sets)
    return MapContent(
        group=body.group,
        expert_map=models.ExpertMap(version=body.version, experts=experts),
    )


def _read_map_change(envelope):
    body = envelope.mapChange
    return MapChangeContent(
        group=body.group,
        change=models.MapChange(
            version=body.version,
            base_version=body.baseVersion,
            experts_by_rank_by_set=tuple(
                dict(zip(item.ranks, _read_set(item), strict=True))
                for item in body.sets
            ),
        ),
    )


def _read_set(item):
    """Return the experts of each rank in a set."""
    experts = iter(item.experts)
    ranks = tuple(
        tuple(itertools.islice(experts, count)) for count in item.counts
    )
    if sum(item.counts) != len(item.experts):
        raise exceptions.MalformedMessage(
            'the counts do not add up to the number of experts'
        )
    return ranks


def _read_part(envelope):
    body = envelope.part
    if not 0 <= body.number < body.parts:
        raise exceptions.MalformedMessage(
            'the number of the part is out of range'
        )
    return MessagePart(
        message_id=body.messageId,
        number=body.number,
        parts=body.parts,
        content=bytes(body.content),
    )


def _pack_counts(counts, width):
    code = _STRUCT_CODES_BY_WIDTH.get(width)
    if code is not None:
        return struct.pack(f'<{len(counts)}{code}', *counts)
    return b''.join(count.to_bytes(width, 'little') for count in counts)


def _read_counts(item):
    """Return the counts of one chunk."""
    values, width = bytes(item.values), item.bytesEach
    if width == 0 or len(values) % width:
        raise exceptions.MalformedMessage(
            'the counts are not a multiple of their width'
        )
    code = _STRUCT_CODES_BY_WIDTH.get(width)
    if code is not None:
        return struct.unpack(f'<{len(values) // width}{code}', values)
    return [
        int.from_bytes(values[start : start + width], 'little')
        for start in range(0, len(values), width)
    ]


def _read_map_request(envelope):
    body = envelope.mapRequest
    return MapRequest(group=body.group, version=body.version, host=body.host)


def _read_choices(envelope):
    body = envelope.choices
    return ChoicesReport(
        group=body.group,
        rank=body.rank,
        choices=tuple(
            itertools.chain.from_iterable(map(_read_counts, body.choices))
        ),
    )


def _read_held(envelope):
    body = envelope.held
    return HeldReport(
        group=body.group,
        rank=body.rank,
        held=models.RankMap(
            version=body.version,
            experts=tuple(tuple(row.experts) for row in body.sets),
        ),
    )


def _read_pace(envelope):
    return PaceReport(address=envelope.pace.address, pace=envelope.pace.pace)


def _read_members_request(envelope):
    return MembersRequest(group=envelope.membersRequest.group)


def _read_members(envelope):
    body = envelope.members
    return MembersReport(
        group=body.group,
        members=models.GroupMembers(
            shape=models.GroupShape(
                sets=body.sets,
                experts=body.experts,
                slots=body.slots,
                max_copies_per_rank=body.maxCopiesPerRank,
                copy_s=body.copyS,
            ),
            hosts_by_rank=dict(zip(body.ranks, body.hosts, strict=True)),
        ),
    )


_READERS_BY_MEMBER = {
    'pace': _read_pace,
    'directive': _read_directive,
    'report': _read_report,
    'choices': _read_choices,
    'map': _read_map,
    'mapChange': _read_map_change,
    'mapRequest': _read_map_request,
    'held': _read_held,
    'part': _read_part,
    'membersRequest': _read_members_request,
    'members': _read_members,
}


def _encode_optional(number):
    return _ABSENT if number is None else number


def _decode_optional(number):
    return None if number == _ABSENT else number

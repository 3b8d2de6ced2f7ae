"""Translate what the agents of a group tell each other to bytes and back."""

import dataclasses
import functools
import pathlib

import capnp

from savoryyoke.groups.rollout import models

from savoryyoke_wire import conf
from savoryyoke_wire import exceptions

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name('group.capnp')), imports=[]
)
# Stands for "none" where a number may be absent.
_NONE = -1


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChoicesReport:
    """Report how often experts were chosen lately, set by set.

    These are the choices of a rank's requests, and of the ranks that report
    through it.
    """

    group: str
    rank: int
    choices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapContent:
    """Tell what a map holds that the leader's directives name."""

    group: str
    expert_map: models.ExpertMap


@dataclasses.dataclass(frozen=True, kw_only=True)
class MapRequest:
    """Ask the leader for a map that has not arrived at ``host``."""

    group: str
    version: int
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldReport:
    """Report the experts that a rank holds."""

    group: str
    rank: int
    held: models.RankMap


@dataclasses.dataclass(frozen=True, kw_only=True)
class PaceReport:
    """Tell entries how slow the target at ``address`` is.

    ``pace`` is the time that it takes over the usual one.
    """

    address: str
    pace: float


@functools.singledispatch
def encode(message):
    """Return the datagram of a message between agents, or to entries.

    A directive goes without its map, which is a message of its own.
    Raise ``LimitExceeded`` where it is too large for one datagram.
    """
    raise exceptions.MalformedMessage(type(message).__name__)


@encode.register
def _(message: models.Directive):
    envelope, body = _begin('directive')
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
    return _finish(envelope)


@encode.register
def _(message: MapContent):
    envelope, body = _begin('map')
    body.group = message.group
    body.version = message.expert_map.version
    _write_sets(body, message.expert_map.experts)
    return _finish(envelope)


@encode.register
def _(message: MapRequest):
    envelope, body = _begin('mapRequest')
    body.group = message.group
    body.version = message.version
    body.host = message.host
    return _finish(envelope)


@encode.register
def _(message: models.RankReport):
    envelope, body = _begin('report')
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
    body.prepared = _to_wire(state.prepared)
    body.armed = _to_wire(state.armed)
    body.held = _to_wire(state.held)
    body.pace = state.pace
    return _finish(envelope)


@encode.register
def _(message: ChoicesReport):
    envelope, body = _begin('choices')
    body.group = message.group
    body.rank = message.rank
    body.choices = list(message.choices)
    return _finish(envelope)


@encode.register
def _(message: HeldReport):
    envelope, body = _begin('held')
    body.group = message.group
    body.rank = message.rank
    body.version = message.held.version
    experts = message.held.experts
    _write_rows(body.init('sets', len(experts)), experts)
    return _finish(envelope)


@encode.register
def _(message: PaceReport):
    envelope, body = _begin('pace')
    body.address = message.address
    body.pace = message.pace
    return _finish(envelope)


def decode(packed):
    """Return the message in a datagram.

    Raise ``MalformedMessage``, ``LimitExceeded`` or ``VersionMismatch``.
    """
    if len(packed) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(f'datagram of {len(packed)} bytes')
    try:
        envelope = _SCHEMA.Message.from_bytes_packed(
            packed, traversal_limit_in_words=conf.UNPACKED_LIMIT_WORDS
        )
        if envelope.version != conf.GROUP_VERSION:
            raise exceptions.VersionMismatch(f'version {envelope.version}')
        return _READERS_BY_MEMBER[str(envelope.which())](envelope)
    except (capnp.KjException, ValueError) as error:
        summary = str(error).partition('\n')[0]
        raise exceptions.MalformedMessage(summary) from error


def _begin(member):
    envelope = _SCHEMA.Message.new_message(version=conf.GROUP_VERSION)
    return envelope, envelope.init(member)


def _finish(envelope):
    packed = envelope.to_bytes_packed()
    if len(packed) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(f'datagram of {len(packed)} bytes')
    return packed


def _write_term(body, term):
    body.termNumber = term.number
    body.termRank = term.rank


def _write_sets(body, experts):
    sets = body.init('sets', len(experts))
    for item, ranks in zip(sets, experts, strict=True):
        _write_rows(item.init('ranks', len(ranks)), ranks)


def _write_rows(rows, experts):
    for row, held in zip(rows, experts, strict=True):
        row.experts = list(held)


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
        state=models.EngineState(
            group=body.group,
            epoch=body.epoch,
            rank=body.rank,
            ranks=body.ranks,
            is_open=body.isOpen,
            step=body.step,
            active=body.active,
            prepared=_from_wire(body.prepared),
            armed=_from_wire(body.armed),
            held=_from_wire(body.held),
            pace=body.pace,
        ),
    )


def _read_map(envelope):
    body = envelope.map
    experts = tuple(
        tuple(tuple(row.experts) for row in item.ranks) for item in body.sets
    )
    return MapContent(
        group=body.group,
        expert_map=models.ExpertMap(version=body.version, experts=experts),
    )


def _read_map_request(envelope):
    body = envelope.mapRequest
    return MapRequest(group=body.group, version=body.version, host=body.host)


def _read_choices(envelope):
    body = envelope.choices
    return ChoicesReport(
        group=body.group, rank=body.rank, choices=tuple(body.choices)
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


_READERS_BY_MEMBER = {
    'pace': _read_pace,
    'directive': _read_directive,
    'report': _read_report,
    'choices': _read_choices,
    'map': _read_map,
    'mapRequest': _read_map_request,
    'held': _read_held,
}


def _to_wire(number):
    return _NONE if number is None else number


def _from_wire(number):
    return None if number == _NONE else number

"""Encode and decode the heartbeats and snapshots that entries exchange."""

import dataclasses
import pathlib
import struct

import capnp

from savoryyoke.peers import messages
from savoryyoke.placement import notices
from savoryyoke.placement import rate_limits
from savoryyoke.published import models
from savoryyoke.quarantine import evidence
from savoryyoke_wire import conf
from savoryyoke_wire import exceptions

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name('fleet.capnp')), imports=[]
)

# Preface, number of the turn and whether to collect; then for each heartbeat
# its length and its bytes.
_BATCH_HEADER = struct.Struct('>4sI?')
_BATCH_LENGTH = struct.Struct('>H')


def encode_heartbeat(heartbeat):
    """Return the packed datagram of a heartbeat.

    Raise ``LimitExceeded`` if it exceeds ``DATAGRAM_LIMIT_BYTES``.
    """
    message = _SCHEMA.Heartbeat.new_message(
        version=conf.FLEET_VERSION,
        senderId=heartbeat.sender_id,
        senderHost=heartbeat.sender_host,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        callerAddress=heartbeat.caller_address,
        dataCentre=heartbeat.data_centre,
        isReady=heartbeat.is_ready,
        isLeaving=heartbeat.is_leaving,
        publishedAsOf=heartbeat.published_as_of.number,
        publishedEpoch=heartbeat.published_as_of.epoch,
        configurationVersion=heartbeat.configuration_version,
        canRelay=heartbeat.can_relay,
        wantsRelay=heartbeat.wants_relay,
        canBatch=heartbeat.can_batch,
        contactHosts=list(heartbeat.contact_hosts),
        evidenceDigest=heartbeat.evidence_digest,
    )
    counts = message.init('inFlight', len(heartbeat.in_flight))
    for item, count in zip(counts, heartbeat.in_flight, strict=True):
        item.targetId = count.target_id
        item.requests = count.requests
    slow = message.init('slowTargets', len(heartbeat.slow_targets))
    for item, target in zip(slow, heartbeat.slow_targets, strict=True):
        item.address = target.address
        item.pace = target.pace
    leaving = message.init('leavingTargets', len(heartbeat.leaving_targets))
    for item, target in zip(leaving, heartbeat.leaving_targets, strict=True):
        item.targetId = target.target_id
        item.incarnation = target.incarnation
        item.ageS = target.age_s
    _write_rate_reports(message, heartbeat.rate_reports)
    crashes = message.init('crashes', len(heartbeat.crashes))
    for item, report in zip(crashes, heartbeat.crashes, strict=True):
        item.crashId = report.crash_id
        item.release = report.release
        item.fingerprints = sorted(report.fingerprints)
        item.promptParts = sorted(report.prompt_parts)
        item.cleared = sorted(report.cleared)
        item.remainingS = report.remaining_s
    packed = message.to_bytes_packed()
    if len(packed) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'datagram of {len(packed)} bytes is too long'
        )
    return packed


def decode_heartbeat(packed):
    """Return the heartbeat in a datagram.

    Raise ``MalformedMessage``, ``LimitExceeded`` or ``VersionMismatch``.
    """
    if len(packed) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'datagram of {len(packed)} bytes is too long'
        )
    message = _read(_SCHEMA.Heartbeat, packed)
    try:
        return messages.Heartbeat(
            sender_id=message.senderId,
            sender_host=message.senderHost,
            incarnation=message.incarnation,
            sequence=message.sequence,
            caller_address=message.callerAddress,
            data_centre=message.dataCentre,
            is_ready=message.isReady,
            is_leaving=message.isLeaving,
            published_as_of=models.Revision(
                epoch=message.publishedEpoch, number=message.publishedAsOf
            ),
            configuration_version=message.configurationVersion,
            can_relay=message.canRelay,
            wants_relay=message.wantsRelay,
            can_batch=message.canBatch,
            in_flight=tuple(
                messages.InFlight(
                    target_id=count.targetId, requests=count.requests
                )
                for count in message.inFlight
            ),
            contact_hosts=tuple(message.contactHosts),
            slow_targets=tuple(
                messages.SlowTarget(address=target.address, pace=target.pace)
                for target in message.slowTargets
            ),
            leaving_targets=tuple(
                notices.LeavingTarget(
                    target_id=target.targetId,
                    incarnation=target.incarnation,
                    age_s=target.ageS,
                )
                for target in message.leavingTargets
            ),
            rate_reports=tuple(
                _read_rate_report(report) for report in message.rateReports
            ),
            evidence_digest=message.evidenceDigest,
            crashes=tuple(_read_crash(report) for report in message.crashes),
        )
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise _build_malformed_error(error) from error


class HeartbeatReader:
    """Decode heartbeats; decode unchanged ones only once.

    Most heartbeats differ from the last one of their sender in nothing but
    the sequence number. Such a repetition is recognized by its bytes.
    """

    def __init__(self):
        self._last_by_prefix = {}

    def __len__(self):
        """Return the number of stored heartbeats."""
        return len(self._last_by_prefix)

    def read(self, packed):
        """Return the heartbeat in a datagram.

        Raise the errors of ``decode_heartbeat``.
        """
        parts = _split_at_sequence(packed)
        if parts is None:
            return decode_heartbeat(packed)
        prefix, sequence, suffix = parts
        last_suffix, heartbeat = self._last_by_prefix.get(prefix, (None, None))
        if last_suffix == suffix:
            return heartbeat.with_sequence(sequence)
        heartbeat = decode_heartbeat(packed)
        if heartbeat.sequence == sequence:
            # A prefix contains the incarnation and the size of the message,
            # so a sender has a few of them. Those of former peers go too.
            if len(self._last_by_prefix) >= conf.REPEATED_HEARTBEATS_LIMIT:
                self._last_by_prefix.clear()
            self._last_by_prefix[prefix] = (suffix, heartbeat)
        return heartbeat


def _split_at_sequence(packed):
    """Return the bytes before the sequence number, it, and the bytes after.

    Return None for an encoding that other builders might choose: such a
    message is decoded as a whole. In the packed encoding of Cap'n Proto, a
    tag byte before each word of 8 bytes says which of them are not zero and
    follow. The sequence number comes after the table of segments, the root
    pointer, the flags and the incarnation.
    """
    position = 0
    for _ in range(4):
        tag = packed[position : position + 1]
        if not tag or tag == b'\0':
            return None
        position += 1 + tag[0].bit_count()
        if tag == b'\xff':
            # The number of words that follow as they are.
            if packed[position : position + 1] != b'\0':
                return None
            position += 1
    tag = packed[position : position + 1]
    # Sequence numbers below 2**32 have no other tags.
    sequence_bytes = _SEQUENCE_BYTES_BY_TAG.get(tag)
    if sequence_bytes is None:
        return None
    end = position + 1 + len(sequence_bytes)
    if end > len(packed):
        return None
    sequence = 0
    for index, shift in enumerate(sequence_bytes, position + 1):
        sequence |= packed[index] << shift
    return packed[:position], sequence, packed[end:]


# The places in bits of the bytes that follow a tag.
_SEQUENCE_BYTES_BY_TAG = {
    bytes([tag]): tuple(8 * bit for bit in range(4) if tag >> bit & 1)
    for tag in range(1, 16)
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Batch:
    """Hold encoded heartbeats that are sent in one datagram.

    ``turn`` is the number of the turn in which its sender chose collectors.
    With ``wants_collecting``, the recipient sends the heartbeats on to the
    entries of its data centre.
    """

    turn: int
    wants_collecting: bool
    heartbeats: tuple[bytes, ...]


def encode_batches(heartbeats, *, turn, wants_collecting):
    """Return datagrams that contain the encoded ``heartbeats`` in order.

    Heartbeats that are too long for a batch are left out, see ``fits_batch``.
    """
    header = _BATCH_HEADER.pack(conf.BATCH_PREFACE, turn, wants_collecting)
    datagrams = []
    parts = [header]
    size = len(header)
    for packed in filter(fits_batch, heartbeats):
        item_size = _BATCH_LENGTH.size + len(packed)
        if (
            size + item_size > conf.DATAGRAM_LIMIT_BYTES
            or len(parts) // 2 >= conf.BATCH_ITEMS_LIMIT
        ):
            datagrams.append(b''.join(parts))
            parts = [header]
            size = len(header)
        parts += (_BATCH_LENGTH.pack(len(packed)), packed)
        size += item_size
    if len(parts) > 1:
        datagrams.append(b''.join(parts))
    return datagrams


def fits_batch(packed):
    """Return whether an encoded heartbeat fits into a batch."""
    return (
        _BATCH_HEADER.size + _BATCH_LENGTH.size + len(packed)
        <= conf.DATAGRAM_LIMIT_BYTES
    )


def is_batch(datagram):
    """Return whether a datagram is a batch, not a single heartbeat."""
    return datagram.startswith(conf.BATCH_PREFACE)


def decode_batch(datagram):
    """Return the ``Batch`` in a datagram; its heartbeats are not decoded.

    Raise ``MalformedMessage`` or ``LimitExceeded``.
    """
    if len(datagram) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'datagram of {len(datagram)} bytes is too long'
        )
    try:
        _, turn, wants_collecting = _BATCH_HEADER.unpack_from(datagram)
        heartbeats = []
        position = _BATCH_HEADER.size
        while position < len(datagram):
            (length,) = _BATCH_LENGTH.unpack_from(datagram, position)
            position += _BATCH_LENGTH.size
            heartbeats.append(datagram[position : position + length])
            position += length
    except struct.error as error:
        raise exceptions.MalformedMessage(str(error)) from error
    if position > len(datagram):
        raise exceptions.MalformedMessage('batch is truncated')
    if not 0 < len(heartbeats) <= conf.BATCH_ITEMS_LIMIT:
        raise exceptions.LimitExceeded(
            f'batch of {len(heartbeats)} heartbeats'
        )
    return Batch(
        turn=turn,
        wants_collecting=wants_collecting,
        heartbeats=tuple(heartbeats),
    )


def encode_snapshot(snapshot):
    """Return the packed bytes of a snapshot of the published values."""
    message = _SCHEMA.Snapshot.new_message(
        version=conf.FLEET_VERSION,
        asOf=snapshot.as_of.number,
        epoch=snapshot.as_of.epoch,
    )
    items = message.init('items', len(snapshot.items))
    for item, published in zip(items, snapshot.items, strict=True):
        _write_item(item, published)
    holds = message.init('holds', len(snapshot.holds))
    for item, hold in zip(holds, snapshot.holds, strict=True):
        item.key = hold.key
        item.remainingS = hold.remaining_s
        if hold.overruled is not None:
            _write_item(item.init('overruled'), hold.overruled)
    lapses = message.init('lapses', len(snapshot.lapses))
    for item, lapse in zip(lapses, snapshot.lapses, strict=True):
        item.key = lapse.key
        item.remainingS = lapse.remaining_s
    return message.to_bytes_packed()


def decode_snapshot(packed):
    """Return the snapshot of the published values in ``packed``.

    Raise ``MalformedMessage`` or ``VersionMismatch``.
    """
    message = _read(_SCHEMA.Snapshot, packed)
    try:
        return models.Snapshot(
            as_of=models.Revision(epoch=message.epoch, number=message.asOf),
            items=tuple(_read_item(item) for item in message.items),
            holds=tuple(
                models.Hold(
                    key=hold.key,
                    remaining_s=hold.remainingS,
                    overruled=(
                        _read_item(hold.overruled)
                        if hold._has('overruled')
                        else None
                    ),
                )
                for hold in message.holds
            ),
            lapses=tuple(
                models.Lapse(key=lapse.key, remaining_s=lapse.remainingS)
                for lapse in message.lapses
            ),
        )
    except (capnp.KjException, UnicodeDecodeError) as error:
        raise _build_malformed_error(error) from error


def _write_rate_reports(message, reports):
    items = message.init('rateReports', len(reports))
    for item, report in zip(items, reports, strict=True):
        item.targetId = report.target_id
        item.incarnation = report.incarnation
        item.isLimited = report.limit_per_s is not None
        item.limitPerS = report.limit_per_s or 0.0
        item.ageS = report.age_s
        item.sentCount = report.sent_count
        item.demandPerS = report.demand_per_s


def _read_rate_report(message):
    return rate_limits.RateReport(
        target_id=message.targetId,
        incarnation=message.incarnation,
        limit_per_s=message.limitPerS if message.isLimited else None,
        age_s=message.ageS,
        sent_count=message.sentCount,
        demand_per_s=message.demandPerS,
    )


def _write_item(message, item):
    message.key = item.key
    message.revision = item.revision.number
    message.epoch = item.revision.epoch
    message.value = item.value


def _read_item(message):
    return models.Item(
        key=message.key,
        revision=models.Revision(epoch=message.epoch, number=message.revision),
        value=message.value,
    )


def _read_crash(message):
    return evidence.CrashReport(
        crash_id=message.crashId,
        release=message.release,
        fingerprints=frozenset(
            bytes(fingerprint) for fingerprint in message.fingerprints
        ),
        prompt_parts=frozenset(bytes(part) for part in message.promptParts),
        cleared=frozenset(bytes(digest) for digest in message.cleared),
        remaining_s=message.remainingS,
    )


def _read(structure, packed):
    try:
        message = structure.from_bytes_packed(
            packed, traversal_limit_in_words=conf.UNPACKED_LIMIT_WORDS
        )
        version = message.version
    except (capnp.KjException, ValueError) as error:
        raise _build_malformed_error(error) from error
    if version != conf.FLEET_VERSION:
        raise exceptions.VersionMismatch(f'unsupported version {version}')
    return message


def _build_malformed_error(error):
    summary = str(error).partition('\n')[0]
    return exceptions.MalformedMessage(summary)

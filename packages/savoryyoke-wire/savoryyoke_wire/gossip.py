"""Encode and decode the datagrams of the membership protocol."""

import pathlib

import capnp

from savoryyoke.membership import messages
from savoryyoke_wire import conf
from savoryyoke_wire import exceptions

_SCHEMA = capnp.load(
    str(pathlib.Path(__file__).with_name('gossip.capnp')), imports=[]
)
_KINDS_BY_CLASS = {
    messages.Ping: 'ping',
    messages.PingRequest: 'pingRequest',
    messages.Ack: 'ack',
}


def encode(message):
    """Return the packed datagram of a membership message.

    Raise ``LimitExceeded`` if it exceeds ``DATAGRAM_LIMIT_BYTES``.
    """
    datagram = _SCHEMA.Datagram.new_message(
        version=conf.GOSSIP_VERSION,
        kind=_KINDS_BY_CLASS[type(message)],
        senderId=message.sender_id,
        senderIncarnation=message.sender_incarnation,
        senderRefutation=message.sender_refutation,
        senderState=int(message.sender_state),
        sequence=message.sequence,
        versionsDigest=message.versions_digest,
    )
    _write_versions(datagram, message.versions)
    _write_attachments(datagram, message.attachments)
    _write_updates(datagram, message.updates)
    _write_kind(datagram, message)
    packed = datagram.to_bytes_packed()
    if len(packed) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'datagram of {len(packed)} bytes is too long'
        )
    return packed


def _write_versions(datagram, versions):
    items = datagram.init('versions', len(versions))
    for item, version in zip(items, versions, strict=True):
        item.name = version.name
        item.revision = version.revision
        item.digest = version.digest


def _write_attachments(datagram, attachments):
    items = datagram.init('attachments', len(attachments))
    for item, attachment in zip(items, attachments, strict=True):
        item.name = attachment.name
        item.content = attachment.content


def _write_updates(datagram, updates):
    items = datagram.init('updates', len(updates))
    for item, update in zip(items, updates, strict=True):
        item.vmId = update.vm_id
        item.incarnation = update.incarnation
        item.refutation = update.refutation
        item.state = int(update.state)
        item.role = update.role
        item.dataCentre = update.data_centre
        item.address = update.address


def _write_kind(datagram, message):
    match message:
        case messages.Ping():
            datagram.joining = message.joining
        case messages.PingRequest():
            datagram.subjectId = message.subject_id
            datagram.subjectAddress = message.subject_address
        case messages.Ack():
            datagram.subjectId = message.subject_id
            datagram.reached = message.reached


def decode(packed):
    """Return the membership message in a packed datagram.

    Raise ``MalformedMessage``, ``LimitExceeded`` or ``VersionMismatch``.
    """
    if len(packed) > conf.DATAGRAM_LIMIT_BYTES:
        raise exceptions.LimitExceeded(
            f'datagram of {len(packed)} bytes is too long'
        )
    try:
        datagram = _SCHEMA.Datagram.from_bytes_packed(
            packed, traversal_limit_in_words=conf.UNPACKED_LIMIT_WORDS
        )
        if not datagram.version:
            raise exceptions.VersionMismatch('the datagram has no version')
        return _read(datagram)
    except (capnp.KjException, UnicodeDecodeError, ValueError) as error:
        summary = str(error).partition('\n')[0]
        raise exceptions.MalformedMessage(summary) from error


def _read(datagram):
    common = {
        'sender_id': datagram.senderId,
        'sender_incarnation': datagram.senderIncarnation,
        'sender_refutation': datagram.senderRefutation,
        'sender_state': messages.MemberState(datagram.senderState),
        'sequence': datagram.sequence,
        'versions_digest': datagram.versionsDigest,
        'versions': tuple(
            _read_version(version) for version in datagram.versions
        ),
        'attachments': tuple(
            _read_attachment(attachment) for attachment in datagram.attachments
        ),
        'updates': tuple(_read_update(update) for update in datagram.updates),
    }
    match str(datagram.kind):
        case 'ping':
            return messages.Ping(joining=datagram.joining, **common)
        case 'pingRequest':
            return messages.PingRequest(
                subject_id=datagram.subjectId,
                subject_address=datagram.subjectAddress,
                **common,
            )
        case 'ack':
            return messages.Ack(
                subject_id=datagram.subjectId,
                reached=datagram.reached,
                **common,
            )
    raise exceptions.MalformedMessage('the datagram is of an unknown kind')


def _read_version(item):
    return messages.Version(
        name=item.name, revision=item.revision, digest=item.digest
    )


def _read_attachment(item):
    return messages.Attachment(name=item.name, content=item.content)


def _read_update(item):
    return messages.MemberUpdate(
        vm_id=item.vmId,
        incarnation=item.incarnation,
        refutation=item.refutation,
        state=messages.MemberState(item.state),
        role=item.role,
        data_centre=item.dataCentre,
        address=item.address,
    )

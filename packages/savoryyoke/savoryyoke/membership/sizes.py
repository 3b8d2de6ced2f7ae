"""Estimate the size of messages on the wire, in bytes.

The estimates assume packed Cap'n Proto over UDP and IPv4 and tend to be too
large; ``tools.measure.membership`` compares them with the codec.
"""

DATAGRAM_BYTES = 28
MESSAGE_BYTES = 60
UPDATE_BYTES = 35
VERSION_BYTES = 24
ATTACHMENT_BYTES = 16


def update_bytes(update):
    """Return the estimated size of one update in bytes."""
    return (
        UPDATE_BYTES
        + len(update.vm_id)
        + len(update.role)
        + len(update.data_centre)
        + len(update.address)
    )


def message_bytes(message):
    """Return the estimated size of one datagram with headers, in bytes."""
    size_bytes = DATAGRAM_BYTES + MESSAGE_BYTES + len(message.sender_id)
    size_bytes += len(getattr(message, 'subject_id', ''))
    size_bytes += len(getattr(message, 'subject_address', ''))
    size_bytes += sum(update_bytes(update) for update in message.updates)
    for version in message.versions:
        size_bytes += VERSION_BYTES + len(version.name)
    for attachment in message.attachments:
        size_bytes += ATTACHMENT_BYTES + len(attachment.name)
        size_bytes += len(attachment.content)
    return size_bytes

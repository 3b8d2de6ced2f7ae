"""Compose the messages of one process."""

import xxhash

from savoryyoke.membership import decisions
from savoryyoke.membership import exceptions
from savoryyoke.membership import sizes


class MessageComposer:
    """Fill in what every message of this process carries.

    The versions travel in full on a few messages after they changed or
    after a peer was seen with others; their digest travels on all.
    """

    def __init__(self, *, settings, queue):
        self._settings = settings
        self._queue = queue
        self._versions = ()
        self._attachments = ()
        self._full_left = 0
        self._versions_digest = 0

    def set_versions(self, versions):
        """Replace the versions; raise SummaryTooLarge past the bound."""
        limit = self._settings.versions_limit
        if len(versions) > limit:
            raise exceptions.SummaryTooLarge(size=len(versions), limit=limit)
        self._versions = tuple(versions)
        self._versions_digest = digest_versions(self._versions)
        self._repeat_summary()

    def set_attachments(self, attachments):
        """Replace the attachments; raise SummaryTooLarge past the bound."""
        limit = self._settings.attachments_limit_bytes
        size = sum(
            sizes.ATTACHMENT_BYTES + len(item.name) + len(item.content)
            for item in attachments
        )
        if size > limit:
            raise exceptions.SummaryTooLarge(size=size, limit=limit)
        self._attachments = tuple(attachments)
        self._repeat_summary()

    def read(self, message, address):
        """Return decisions for what a message's summary brings.

        A peer with other versions is shown those of this process.
        """
        is_same = message.versions_digest == self._versions_digest
        if not is_same:
            self._repeat_summary()
        attachments = message.attachments
        if attachments == self._attachments:
            attachments = ()
        versions = () if is_same else message.versions
        if not versions and not attachments:
            return ()
        return (
            decisions.SummaryReceived(
                vm_id=message.sender_id,
                address=address,
                versions=versions,
                attachments=attachments,
            ),
        )

    def _repeat_summary(self):
        self._full_left = self._settings.summary_repeats

    def compose(self, *, record, first=(), is_full=False, is_bare=False):
        """Return the fields that all kinds of messages share.

        ``is_full`` adds the summary whether or not it is news; ``is_bare``
        leaves out queued updates, as in messages about one probe.
        """
        versions = attachments = ()
        if is_full or self._full_left:
            versions = self._versions
            attachments = self._attachments
            self._full_left = max(self._full_left - 1, 0)
        return {
            'sender_id': record.vm_id,
            'sender_incarnation': record.incarnation,
            'sender_refutation': record.refutation,
            'sender_state': record.state,
            'versions_digest': self._versions_digest,
            'versions': versions,
            'attachments': attachments,
            'updates': tuple(first)
            if is_bare
            else self._queue.take(first=first),
        }


def digest_versions(versions):
    """Return a 64-bit digest of versions, the same in every process."""
    if not versions:
        return 0
    text = '\n'.join(
        f'{version.name}\t{version.revision}\t{version.digest}'
        for version in sorted(versions, key=lambda version: version.name)
    )
    return xxhash.xxh3_64_intdigest(text.encode())

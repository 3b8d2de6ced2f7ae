"""Build the fields that all messages of one process share."""

import xxhash

from savoryyoke.membership import decisions
from savoryyoke.membership import exceptions
from savoryyoke.membership import sizes


class MessageComposer:
    """Build the common fields of the messages of this process.

    The summary consists of the versions and the attachments. It is sent on
    ``summary_repeats`` messages after it changed or after a peer showed other
    versions. Every message carries a digest of the versions.
    """

    def __init__(self, *, settings, queue):
        self._settings = settings
        self._queue = queue
        self._versions = ()
        self._attachments = ()
        self._summary_messages_left = 0
        self._versions_digest = 0

    def set_versions(self, versions):
        """Replace the versions.

        Raise ``SummaryTooLarge`` above ``versions_limit`` versions.
        """
        limit = self._settings.versions_limit
        if len(versions) > limit:
            raise exceptions.SummaryTooLarge(size=len(versions), limit=limit)
        self._versions = tuple(versions)
        self._versions_digest = digest_versions(self._versions)
        self._restart_summary_repeats()

    def set_attachments(self, attachments):
        """Replace the attachments.

        Raise ``SummaryTooLarge`` above ``attachments_limit_bytes``.
        """
        limit = self._settings.attachments_limit_bytes
        size = sum(
            sizes.ATTACHMENT_BYTES
            + len(attachment.name)
            + len(attachment.content)
            for attachment in attachments
        )
        if size > limit:
            raise exceptions.SummaryTooLarge(size=size, limit=limit)
        self._attachments = tuple(attachments)
        self._restart_summary_repeats()

    def read_summary(self, message, address):
        """Return the decisions that follow from the summary of a message.

        If the sender has other versions, the next messages of this process
        include its summary.
        """
        has_same_versions = message.versions_digest == self._versions_digest
        if not has_same_versions:
            self._restart_summary_repeats()
        attachments = message.attachments
        if attachments == self._attachments:
            attachments = ()
        versions = () if has_same_versions else message.versions
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

    def _restart_summary_repeats(self):
        self._summary_messages_left = self._settings.summary_repeats

    def compose(
        self,
        *,
        record,
        leading_updates=(),
        includes_summary=False,
        skips_queue=False,
    ):
        """Return the common fields of a message as keyword arguments.

        ``includes_summary`` adds the summary even if it was sent often
        enough; ``skips_queue`` omits queued updates, as in messages about
        one probe.
        """
        versions = attachments = ()
        if includes_summary or self._summary_messages_left:
            versions = self._versions
            attachments = self._attachments
            self._summary_messages_left = max(
                self._summary_messages_left - 1, 0
            )
        return {
            'sender_id': record.vm_id,
            'sender_incarnation': record.incarnation,
            'sender_refutation': record.refutation,
            'sender_state': record.state,
            'versions_digest': self._versions_digest,
            'versions': versions,
            'attachments': attachments,
            'updates': tuple(leading_updates)
            if skips_queue
            else self._queue.take(leading_updates=leading_updates),
        }


def digest_versions(versions):
    """Return a 64-bit digest of versions that is equal in all processes."""
    if not versions:
        return 0
    joined_text = '\n'.join(
        f'{version.name}\t{version.revision}\t{version.digest}'
        for version in sorted(versions, key=lambda version: version.name)
    )
    return xxhash.xxh3_64_intdigest(joined_text.encode())

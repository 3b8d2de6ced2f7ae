"""Maintain the record that the local process publishes about itself."""

import dataclasses

from savoryyoke.membership import messages


class LocalRecord:
    """Hold the local record and refute wrong updates about it."""

    def __init__(self, *, record):
        self.record = record

    def refute(self, update):
        """Refute an update that would take precedence over the local record.

        Return whether the record changed. A process that has left refutes
        nothing.
        """
        own_record = self.record
        if own_record.state == messages.MemberState.LEFT:
            return False
        # Without an incarnation the sender cannot compare its update with the
        # local record.
        has_no_incarnation = (
            update.incarnation == 0
            and update.state >= messages.MemberState.SUSPECT
            and update.refutation >= own_record.refutation
        )
        if (
            update.precedence() <= own_record.precedence()
            and not has_no_incarnation
        ):
            return False
        self._replace(update.refutation + 1, own_record.state)
        return True

    def announce(self, state):
        """Change to a later state; return whether the state changed."""
        if self.record.state >= state:
            return False
        self._replace(self.record.refutation + 1, state)
        return True

    def _replace(self, refutation, state):
        self.record = dataclasses.replace(
            self.record, refutation=refutation, state=state
        )

"""Hold what the local process says of itself."""

import dataclasses

from savoryyoke.membership import messages


class LocalRecord:
    """Own the local record and raise it past what others wrongly state."""

    def __init__(self, *, record):
        self.record = record

    def defend(self, update):
        """Refute a statement that would prevail over the local record.

        Return whether there was something to refute. A process that has
        left refutes nothing.
        """
        own = self.record
        if own.state == messages.MemberState.LEFT:
            return False
        # Whoever knows no incarnation cannot tell that the record prevails.
        is_unnamed = (
            update.incarnation == 0
            and update.state >= messages.MemberState.SUSPECT
            and update.refutation >= own.refutation
        )
        if update.precedence() <= own.precedence() and not is_unnamed:
            return False
        self._replace(update.refutation + 1, own.state)
        return True

    def announce(self, state):
        """Move on to a later state; return whether it is a change."""
        if self.record.state >= state:
            return False
        self._replace(self.record.refutation + 1, state)
        return True

    def _replace(self, refutation, state):
        self.record = dataclasses.replace(
            self.record, refutation=refutation, state=state
        )

"""Define the errors of the target process."""


class TargetError(Exception):
    """Report an error of the target process; base of all its errors."""


class BackendError(TargetError):
    """Report a call without a complete answer of the back end."""


class NothingSent(BackendError):
    """Report that the back end certainly received no byte of the call."""


class AnswerLost(BackendError):
    """Report that a call may have been sent but has no complete answer."""


class SnapshotInvalid(TargetError):
    """Report data that is not a valid snapshot or record of a ledger."""

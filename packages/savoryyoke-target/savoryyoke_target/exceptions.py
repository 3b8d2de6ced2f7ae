"""Errors of the target process."""


class TargetError(Exception):
    """Describe a fault of the target process; the base of its errors."""


class BackendError(TargetError):
    """Describe a call that the back end did not answer in full."""


class NothingSent(BackendError):
    """Report that the back end provably received no byte of the call."""


class AnswerLost(BackendError):
    """Report a call that was sent and whose answer did not arrive whole."""


class SnapshotInvalid(TargetError):
    """Report bytes that are not what a leaving process hands over."""

"""Errors of reading published values."""


class SourceError(Exception):
    """Report a failed read; the base class of this package's errors."""


class SourceUnavailable(SourceError):
    """Report that the platform gave no usable answer."""


class HistoryLost(SourceError):
    """Report that the changes since a revision are no longer available."""

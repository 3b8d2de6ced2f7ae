"""Errors of the groups package."""


class GroupsError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(GroupsError):
    """Report an event of a type that the receiver does not handle."""

    def __init__(self, *, event):
        """Name the type of ``event``."""
        super().__init__(f'unknown event {type(event).__name__}')


class BarrierViolated(GroupsError):
    """Report contributions that can't come from one completed collective."""


class InvalidShape(GroupsError):
    """Report loads, maps or limits whose sizes don't match."""

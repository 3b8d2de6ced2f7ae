"""Errors of the groups package."""


class GroupsError(Exception):
    """Serve as the base class of all errors of this package."""


class UnknownEvent(GroupsError):
    """Report an event that the aggregate does not know."""

    def __init__(self, *, event):
        """Name the type of ``event``."""
        super().__init__(f'unknown event {type(event).__name__}')


class BarrierViolated(GroupsError):
    """Report words that one completed collective cannot have carried."""


class InvalidShape(GroupsError):
    """Report loads, maps or limits whose sizes do not fit together."""

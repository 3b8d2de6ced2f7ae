"""Errors of the command line."""

from savoryyoke_edge.command_line import results


class CommandError(Exception):
    """Report why a command failed, as one line of text."""

    def __init__(self, *, problem, status=results.ExitStatus.USAGE):
        """Store the ``problem`` text and the exit status."""
        super().__init__(problem)
        self.status = status

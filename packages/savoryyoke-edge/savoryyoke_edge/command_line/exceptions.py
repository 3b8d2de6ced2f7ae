"""Errors of the command line."""

from savoryyoke_edge.command_line import results


class CommandError(Exception):
    """Report why a command cannot go on; its text is one line."""

    def __init__(self, *, problem, status=results.ExitStatus.USAGE):
        """Hold the ``problem`` and the exit status that it leads to."""
        super().__init__(problem)
        self.status = status

"""Exceptions of the emulator."""


class InvalidExperiment(Exception):
    """Report everything that is wrong with an experiment's file."""

    def __init__(self, problems):
        super().__init__('\n'.join(problems))
        self.problems = problems

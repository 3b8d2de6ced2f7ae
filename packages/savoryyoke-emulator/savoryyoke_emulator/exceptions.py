"""Define the exceptions of the emulator."""


class InvalidExperiment(Exception):
    """Report all problems of an experiment's file."""

    def __init__(self, problems):
        super().__init__('\n'.join(problems))
        self.problems = problems

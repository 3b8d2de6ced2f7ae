"""Define the errors of scenarios."""


class ScenarioError(Exception):
    """Serve as the base of all errors of this package."""


class InvalidScenario(ScenarioError):
    """Report a line that is not understood, and what may stand there."""

    def __init__(self, *, line, problem, expected=()):
        self.line = line
        self.expected = tuple(expected)
        text = f'line {line}: {problem}'
        if self.expected:
            text += '; expected ' + ' or '.join(self.expected)
        super().__init__(text)


class PromiseBroken(ScenarioError):
    """Report an expectation that was not met."""

    def __init__(self, *, line, problem):
        self.line = line
        self.problem = problem
        super().__init__(f'line {line}: {problem}')

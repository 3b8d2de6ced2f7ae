"""Errors of the settings layer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsFault:
    """Describe one thing wrong with the settings of a process.

    ``source`` is ``flag``, ``env`` or ``settings`` (where no single source
    is at fault). ``name`` is the flag or variable as an operator writes it.
    """

    id: str
    source: str
    name: str
    problem: str
    hint: str

    def __str__(self):
        """Return the fault as one line."""
        place = f'{self.id} {self.source} {self.name}'
        return f'{place}: {self.problem}. {self.hint}.'


class SettingsException(Exception):
    """Root of the errors that this layer raises."""


class SettingsError(SettingsException):
    """Report every fault of a set of settings at once."""

    def __init__(self, *, faults):
        """Hold ``faults``, a tuple of :class:`SettingsFault`."""
        self.faults = tuple(faults)
        super().__init__('\n'.join(str(fault) for fault in self.faults))

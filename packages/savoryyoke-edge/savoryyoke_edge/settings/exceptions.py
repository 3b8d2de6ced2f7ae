"""Errors of the settings layer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingsFault:
    """Describe one fault in the settings of a process.

    ``source`` is ``flag``, ``env``, or ``settings`` if the fault is not in a
    single flag or variable. ``name`` is the flag, variable or field.
    """

    id: str
    source: str
    name: str
    problem: str
    hint: str

    def __str__(self):
        """Return the fault as one line."""
        location = f'{self.id} {self.source} {self.name}'
        return f'{location}: {self.problem}. {self.hint}.'


class SettingsException(Exception):
    """Serve as the base class of the errors of this package."""


class SettingsError(SettingsException):
    """Report all faults of a set of settings."""

    def __init__(self, *, faults):
        """Store ``faults``, an iterable of :class:`SettingsFault`."""
        self.faults = tuple(faults)
        super().__init__('\n'.join(str(fault) for fault in self.faults))

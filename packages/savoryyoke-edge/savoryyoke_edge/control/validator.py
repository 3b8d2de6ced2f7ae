"""Validate configurations and cache the parsed form of accepted ones."""

import collections
import dataclasses

from savoryyoke.configuration import documents
from savoryyoke.configuration import schema
from savoryyoke.propagation import validation

CACHE_LIMIT_CONFIGURATIONS = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppliedConfiguration:
    """Hold the configuration in force and its revisions.

    ``confirmed`` is false if no peer with a configuration in force answered
    while this process started.
    """

    configuration: schema.Configuration
    base_revision: int
    overlay_revision: int
    digest: str
    confirmed: bool

    @property
    def revision_text(self):
        """Return the revisions as ``base.overlay``."""
        return f'{self.base_revision}.{self.overlay_revision}'


class ConfigurationValidator:
    """Validate a base with its overlay on behalf of the propagation."""

    def __init__(self):
        self._configurations_by_digest = collections.OrderedDict()

    def __call__(self, base_text, overlay_text):
        """Return ``validation.Accepted`` or ``validation.Refused``."""
        outcome = documents.build(base_text, overlay_text)
        if isinstance(outcome, documents.Refused):
            faults = tuple(str(fault) for fault in outcome.faults)
            return validation.Refused(faults=faults)
        self._configurations_by_digest[outcome.digest] = outcome.configuration
        while len(self._configurations_by_digest) > CACHE_LIMIT_CONFIGURATIONS:
            self._configurations_by_digest.popitem(last=False)
        return validation.Accepted(digest=outcome.digest)

    def build_applied(self, decision):
        """Return the ``AppliedConfiguration`` for an ``Apply`` decision."""
        configuration = self._configurations_by_digest.get(decision.digest)
        if configuration is None:
            outcome = documents.build(
                decision.base_text, decision.overlay_text
            )
            configuration = outcome.configuration
        return AppliedConfiguration(
            configuration=configuration,
            base_revision=decision.base_revision,
            overlay_revision=decision.overlay_revision,
            digest=decision.digest,
            confirmed=decision.is_confirmed,
        )

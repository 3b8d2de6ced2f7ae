"""The last accepted configuration, as revisions of it arrive.

A revision is a pair: that of the base and that of the overlay, which the
platform counts apart. One pair is newer than another where neither half is
older and one half is newer. The state only ever moves to a newer pair.
"""

import dataclasses
import enum
import functools

from savoryyoke.configuration import documents
from savoryyoke.configuration import exceptions
from savoryyoke.configuration import faults
from savoryyoke.configuration import schema


@dataclasses.dataclass(frozen=True, kw_only=True)
class Revision:
    """Hold the revisions of a base and of an overlay."""

    base: int
    overlay: int

    def is_at_least(self, other):
        """Tell whether neither half is older than that of ``other``."""
        return self.base >= other.base and self.overlay >= other.overlay


class IgnoreReason(enum.Enum):
    """List why an offer was not judged."""

    OLDER = 'older'
    APPLIED_ALREADY = 'applied_already'
    REFUSED_ALREADY = 'refused_already'


@dataclasses.dataclass(frozen=True, kw_only=True)
class DocumentOffered:
    """Offer the texts of a base and an overlay with their revisions."""

    base_text: str
    overlay_text: str
    base_revision: int
    overlay_revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationApplied:
    """Report the configuration now in force."""

    configuration: schema.Configuration
    digest: str
    revision: Revision


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationRefused:
    """Report that an offer is invalid; the last accepted one stays.

    ``kept`` is the revision in force, or None where there is none.
    """

    faults: tuple[faults.Fault, ...]
    revision: Revision
    kept: Revision | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class OfferIgnored:
    """Report that an offer was not judged."""

    revision: Revision
    reason: IgnoreReason


class ConfigurationState:
    """Hold the last accepted configuration and move only forward."""

    def __init__(self, *, build=documents.build):
        """Start with nothing accepted; ``build`` judges two texts."""
        self._build = build
        self._applied = None
        self._document = None
        self._refused = None

    @property
    def applied(self):
        """Return the ``ConfigurationApplied`` in force, or None."""
        return self._applied

    @property
    def document(self):
        """Return the ``DocumentOffered`` in force, or None."""
        return self._document

    @property
    def refused(self):
        """Return the last ``ConfigurationRefused`` still unmended, or None."""
        return self._refused

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take an event; return the decisions that follow."""
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: DocumentOffered, *, now_s):
        revision = Revision(
            base=event.base_revision, overlay=event.overlay_revision
        )
        reason = self._find_reason(revision)
        if reason is not None:
            return (OfferIgnored(revision=revision, reason=reason),)
        outcome = self._build(event.base_text, event.overlay_text)
        if isinstance(outcome, documents.Refused):
            return (self._refuse(revision, outcome),)
        return (self._accept(event, revision, outcome),)

    def _find_reason(self, revision):
        if self._refused and revision == self._refused.revision:
            return IgnoreReason.REFUSED_ALREADY
        if self._applied is None:
            return None
        if revision == self._applied.revision:
            return IgnoreReason.APPLIED_ALREADY
        if not revision.is_at_least(self._applied.revision):
            return IgnoreReason.OLDER
        return None

    def _accept(self, event, revision, outcome):
        self._document = event
        self._applied = ConfigurationApplied(
            configuration=outcome.configuration,
            digest=outcome.digest,
            revision=revision,
        )
        if self._refused and revision.is_at_least(self._refused.revision):
            self._refused = None
        return self._applied

    def _refuse(self, revision, outcome):
        refused = ConfigurationRefused(
            faults=outcome.faults,
            revision=revision,
            kept=self._applied and self._applied.revision,
        )
        # An older refusal that arrives late does not hide a newer one.
        if not self._refused or revision.is_at_least(self._refused.revision):
            self._refused = refused
        return refused

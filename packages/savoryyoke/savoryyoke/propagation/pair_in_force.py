"""Decide which base and overlay are in force."""

from savoryyoke.propagation import decisions
from savoryyoke.propagation import documents
from savoryyoke.propagation import validation

REFUSED_PAIR_LIMIT = 256


class PairInForce:
    """Hold the pair in force at a site and the refused pairs.

    Neither revision of the pair in force ever decreases. ``validate`` is a
    function of the texts of a base and an overlay that returns ``Accepted``
    or ``Refused``.
    """

    def __init__(self, *, site, validate):
        self._overlay_name = documents.overlay_name(site)
        self._validate = validate
        self._refused_revisions = {}
        self.pair = None
        self.digest = None

    @property
    def revisions(self):
        """Return the revisions in force, or (-1, -1) if there are none."""
        return (-1, -1) if self.pair is None else self.pair.revisions()

    def is_newer(self, revisions):
        """Return whether a pair may replace the one in force.

        It differs, and neither of its revisions is lower.
        """
        return revisions != self.revisions and all(
            own_revision <= other_revision
            for own_revision, other_revision in zip(
                self.revisions, revisions, strict=True
            )
        )

    def is_refused(self, revisions):
        """Return whether a pair was validated and refused."""
        return revisions in self._refused_revisions

    def diverges(self, revisions):
        """Return whether one revision is higher, and one lower, than in force.

        Neither of the two pairs may then replace the other.
        """
        return not self.is_newer(revisions) and any(
            own_revision < other_revision
            for own_revision, other_revision in zip(
                self.revisions, revisions, strict=True
            )
        )

    def apply_pair(self, pair, *, is_confirmed):
        """Validate a pair; return ``Apply``, or a ``Report`` of its faults."""
        result = self._validate(pair.base.text, pair.overlay.text)
        if isinstance(result, validation.Refused):
            return self._refuse(pair, result)
        self.pair = pair
        self.digest = result.digest
        self._refused_revisions = {
            revisions: None
            for revisions in self._refused_revisions
            if self.is_newer(revisions)
        }
        return decisions.Apply(
            base_revision=pair.base.revision,
            overlay_revision=pair.overlay.revision,
            base_text=pair.base.text,
            overlay_text=pair.overlay.text,
            digest=result.digest,
            is_confirmed=is_confirmed,
        )

    def _refuse(self, pair, result):
        self._refused_revisions[pair.revisions()] = None
        while len(self._refused_revisions) > REFUSED_PAIR_LIMIT:
            del self._refused_revisions[next(iter(self._refused_revisions))]
        return decisions.Report(
            kind=decisions.ReportKind.REFUSED,
            name=self._overlay_name,
            revision=pair.overlay.revision,
            detail=f'base={pair.base.revision} faults={result.faults}',
        )

"""Decide which pair of documents is in force."""

from savoryyoke.propagation import decisions
from savoryyoke.propagation import documents
from savoryyoke.propagation import judgements

REFUSED_LIMIT = 256


class ForceKeeper:
    """Hold the pair in force at a site and the pairs that were refused.

    Neither revision of the pair in force ever decreases. ``judge`` takes the
    texts of a base and an overlay and returns ``Accepted`` or ``Refused``.
    """

    def __init__(self, *, site, judge):
        self._overlay_name = documents.overlay_name(site)
        self._judge = judge
        self._refused_keys = {}
        self.pair = None
        self.digest = None

    @property
    def key(self):
        """Return the revisions in force, or a pair below all others."""
        return (-1, -1) if self.pair is None else self.pair.key()

    def is_newer(self, key):
        """Return whether a pair may follow the one in force."""
        return key != self.key and all(
            mine <= other for mine, other in zip(self.key, key, strict=True)
        )

    def is_refused(self, key):
        """Return whether a pair was judged and refused."""
        return key in self._refused_keys

    def diverges(self, key):
        """Return whether neither of two pairs may follow the other."""
        return not self.is_newer(key) and any(
            mine < other for mine, other in zip(self.key, key, strict=True)
        )

    def try_pair(self, pair, *, is_confirmed):
        """Judge a pair; return ``Apply``, or a ``Report`` of its faults."""
        verdict = self._judge(pair.base.text, pair.overlay.text)
        if isinstance(verdict, judgements.Refused):
            return self._refuse(pair, verdict)
        self.pair = pair
        self.digest = verdict.digest
        self._refused_keys = {
            key: None for key in self._refused_keys if self.is_newer(key)
        }
        return decisions.Apply(
            base_revision=pair.base.revision,
            overlay_revision=pair.overlay.revision,
            base_text=pair.base.text,
            overlay_text=pair.overlay.text,
            digest=verdict.digest,
            is_confirmed=is_confirmed,
        )

    def _refuse(self, pair, verdict):
        self._refused_keys[pair.key()] = None
        while len(self._refused_keys) > REFUSED_LIMIT:
            del self._refused_keys[next(iter(self._refused_keys))]
        return decisions.Report(
            kind=decisions.ReportKind.REFUSED,
            name=self._overlay_name,
            revision=pair.overlay.revision,
            detail=f'base={pair.base.revision} faults={verdict.faults}',
        )

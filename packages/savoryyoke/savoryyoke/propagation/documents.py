"""Store the newest revision of each document."""

import dataclasses

import xxhash

from savoryyoke.membership import messages

BASE = 'base'


def overlay_name(site):
    """Return the name of a site's overlay."""
    return f'overlay/{site}'


def digest_text(text):
    """Return a 64-bit digest of a document's text, never 0."""
    return xxhash.xxh3_64_intdigest(text.encode()) or 1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """Hold one revision of a document."""

    name: str
    revision: int
    text: str
    digest: int

    def version(self):
        """Return the version that identifies this document."""
        return messages.Version(
            name=self.name, revision=self.revision, digest=self.digest
        )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pair:
    """Hold a base and the overlay of one site."""

    base: Document
    overlay: Document

    def revisions(self):
        """Return the revisions of base and overlay."""
        return (self.base.revision, self.overlay.revision)

    def versions(self):
        """Return the versions of both documents."""
        return (self.base.version(), self.overlay.version())


class DocumentStore:
    """Store the newest revision of each document and retained older ones.

    The newest revision never decreases; the content of a revision never
    changes.
    """

    def __init__(self, *, names):
        self._newest_by_name = dict.fromkeys(names)
        self._retained_by_key = {}

    def __contains__(self, name):
        return name in self._newest_by_name

    @property
    def names(self):
        """Return the names of all documents."""
        return tuple(self._newest_by_name)

    def newest(self, name):
        """Return the newest revision of a document, or None."""
        return self._newest_by_name.get(name)

    def newest_revision(self, name):
        """Return the number of a document's newest revision, or -1."""
        document = self._newest_by_name.get(name)
        return -1 if document is None else document.revision

    def find(self, name, revision):
        """Return exactly that revision of a document, or None."""
        newest = self._newest_by_name.get(name)
        if newest is not None and newest.revision == revision:
            return newest
        return self._retained_by_key.get((name, revision))

    def put(self, document):
        """Store a document if it is the newest; return whether it is."""
        if document.revision <= self.newest_revision(document.name):
            return False
        self._newest_by_name[document.name] = document
        return True

    def retain_only(self, documents):
        """Retain exactly these documents in addition to the newest ones."""
        self._retained_by_key = {
            (document.name, document.revision): document
            for document in documents
        }

    def retain(self, document):
        """Retain a document in addition to the newest one."""
        self._retained_by_key[(document.name, document.revision)] = document

    def versions(self):
        """Return the versions of the newest documents."""
        return tuple(
            document.version()
            for document in self._newest_by_name.values()
            if document is not None
        )

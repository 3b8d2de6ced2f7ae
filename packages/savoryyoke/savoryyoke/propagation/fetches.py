"""Plan the fetches of documents from peers."""

import dataclasses

from savoryyoke.propagation import decisions
from savoryyoke.propagation import utils


@dataclasses.dataclass(kw_only=True, slots=True)
class MissingVersion:
    """Describe a missing version and the peers that have it.

    ``due_s`` is the monotonic time of the next fetch.
    """

    digest: int
    source_ids: list
    due_s: float
    attempts: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fetch:
    """Describe one open fetch."""

    vm_id: str
    revision: int
    deadline_s: float


class FetchPlanner:
    """Fetch each missing version from one of the peers that announced it.

    At most one fetch per document is open at a time; the newest revision
    comes first. A peer that refuses or fails is skipped until it announces
    the version again.
    """

    def __init__(self, *, vm_id, settings):
        self._vm_id = vm_id
        self._settings = settings
        self._missing_by_key = {}
        self._fetches_by_name = {}

    def add_source(self, version, *, vm_id, now_s):
        """Record that a peer has a version that this process does not have.

        Return the digest that other peers announced if it differs, else None.
        """
        key = (version.name, version.revision)
        missing = self._missing_by_key.get(key)
        if (
            missing is None
            or not missing.source_ids
            and missing.digest != version.digest
        ):
            self._missing_by_key[key] = MissingVersion(
                digest=version.digest, source_ids=[vm_id], due_s=now_s
            )
        elif missing.digest != version.digest:
            return missing.digest
        elif vm_id not in missing.source_ids:
            missing.source_ids.append(vm_id)
            del missing.source_ids[: -self._settings.fetch_source_limit]
        return None

    def is_missing(self, name, *, above):
        """Return whether a peer announced a revision above the given one."""
        return any(
            key[0] == name and key[1] > above and missing.source_ids
            for key, missing in self._missing_by_key.items()
        )

    def remove_missing(self, name, *, below):
        """Remove missing versions of a document below a revision."""
        for key in list(self._missing_by_key):
            if key[0] == name and key[1] < below:
                del self._missing_by_key[key]

    def expected_digest(self, name, revision):
        """Return the expected digest of a missing version, or None."""
        missing = self._missing_by_key.get((name, revision))
        return None if missing is None else missing.digest

    def succeed(self, name, revision):
        """Close a fetch that returned a valid document."""
        self._close(name, revision)
        self._missing_by_key.pop((name, revision), None)

    def fail(self, *, vm_id, name, revision, now_s):
        """Close a failed fetch and schedule one from another peer."""
        self._close(name, revision)
        missing = self._missing_by_key.get((name, revision))
        if missing is None:
            return
        if vm_id in missing.source_ids:
            missing.source_ids.remove(vm_id)
        missing.attempts += 1
        pause_s = min(
            self._settings.fetch_retry_s * 2 ** min(missing.attempts - 1, 10),
            self._settings.fetch_retry_limit_s,
        )
        jitter = utils.hash_fraction(
            self._vm_id, name, revision, missing.attempts
        )
        missing.due_s = now_s + pause_s * jitter

    def take_fetches(self, *, now_s):
        """Return the fetches that are due."""
        self._expire(now_s)
        emitted = []
        for key in sorted(self._missing_by_key, reverse=True):
            name, revision = key
            missing = self._missing_by_key[key]
            if name in self._fetches_by_name or not missing.source_ids:
                continue
            if missing.due_s <= now_s:
                emitted.append(self._fetch(name, revision, missing, now_s))
        return emitted

    def _fetch(self, name, revision, missing, now_s):
        share = utils.hash_fraction(
            self._vm_id, name, revision, missing.attempts
        )
        vm_id = missing.source_ids[int(share * len(missing.source_ids))]
        self._fetches_by_name[name] = Fetch(
            vm_id=vm_id,
            revision=revision,
            deadline_s=now_s + self._settings.fetch_timeout_s,
        )
        return decisions.FetchFrom(vm_id=vm_id, name=name, revision=revision)

    def _expire(self, now_s):
        for name, fetch in list(self._fetches_by_name.items()):
            if fetch.deadline_s < now_s:
                self.fail(
                    vm_id=fetch.vm_id,
                    name=name,
                    revision=fetch.revision,
                    now_s=now_s,
                )

    def _close(self, name, revision):
        fetch = self._fetches_by_name.get(name)
        if fetch is not None and fetch.revision == revision:
            del self._fetches_by_name[name]

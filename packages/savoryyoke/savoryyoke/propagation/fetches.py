"""Plan the fetches of documents from peers."""

import dataclasses

from savoryyoke.propagation import decisions
from savoryyoke.propagation import utils


@dataclasses.dataclass(kw_only=True, slots=True)
class Want:
    """Hold a version that this process lacks and who has it."""

    digest: int
    vm_ids: list
    due_s: float
    attempts: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fetch:
    """Hold one open fetch."""

    vm_id: str
    revision: int
    deadline_s: float


class FetchPlanner:
    """Fetch each wanted version from one of the peers that showed it.

    One fetch for each document is open at a time, the newest revision
    first. A peer that refuses or fails is passed over until it shows the
    version again.
    """

    def __init__(self, *, vm_id, settings):
        self._vm_id = vm_id
        self._settings = settings
        self._wants_by_key = {}
        self._fetches_by_name = {}

    def want(self, version, *, vm_id, now_s):
        """Note that a peer has a version that this process lacks.

        Return the digest that other peers showed for it, if it differs.
        """
        key = (version.name, version.revision)
        want = self._wants_by_key.get(key)
        if want is None or not want.vm_ids and want.digest != version.digest:
            self._wants_by_key[key] = Want(
                digest=version.digest, vm_ids=[vm_id], due_s=now_s
            )
        elif want.digest != version.digest:
            return want.digest
        elif vm_id not in want.vm_ids:
            want.vm_ids.append(vm_id)
            del want.vm_ids[: -self._settings.candidates_limit]
        return None

    def lacks(self, name, *, above):
        """Return whether a peer showed a revision above the given one."""
        return any(
            key[0] == name and key[1] > above and want.vm_ids
            for key, want in self._wants_by_key.items()
        )

    def drop(self, name, *, below):
        """Forget wanted versions of a document below a revision."""
        for key in list(self._wants_by_key):
            if key[0] == name and key[1] < below:
                del self._wants_by_key[key]

    def expected_digest(self, name, revision):
        """Return the digest that a wanted version must have, or None."""
        want = self._wants_by_key.get((name, revision))
        return None if want is None else want.digest

    def succeed(self, name, revision):
        """Close a fetch that brought a good document."""
        self._close(name, revision)
        self._wants_by_key.pop((name, revision), None)

    def fail(self, *, vm_id, name, revision, now_s):
        """Close a fetch that failed and plan to ask another peer."""
        self._close(name, revision)
        want = self._wants_by_key.get((name, revision))
        if want is None:
            return
        if vm_id in want.vm_ids:
            want.vm_ids.remove(vm_id)
        want.attempts += 1
        pause_s = min(
            self._settings.fetch_retry_s * 2 ** min(want.attempts - 1, 10),
            self._settings.fetch_retry_limit_s,
        )
        jitter = utils.fraction(self._vm_id, name, revision, want.attempts)
        want.due_s = now_s + pause_s * jitter

    def take_fetches(self, *, now_s):
        """Return the fetches that are due."""
        self._expire(now_s)
        made = []
        for key in sorted(self._wants_by_key, reverse=True):
            name, revision = key
            want = self._wants_by_key[key]
            if name in self._fetches_by_name or not want.vm_ids:
                continue
            if want.due_s <= now_s:
                made.append(self._fetch(name, revision, want, now_s))
        return made

    def _fetch(self, name, revision, want, now_s):
        draw = utils.fraction(self._vm_id, name, revision, want.attempts)
        vm_id = want.vm_ids[int(draw * len(want.vm_ids))]
        self._fetches_by_name[name] = Fetch(
            vm_id=vm_id,
            revision=revision,
            deadline_s=now_s + self._settings.fetch_s,
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

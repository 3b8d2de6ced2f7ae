"""Merge what processes know of crashes and derive the status of requests."""

import collections
import dataclasses
import enum
import hashlib
import math


class Status(enum.Enum):
    """Say whether a request is suspected."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Describe one crash of one back end for other processes.

    ``fingerprints`` were in flight; those in ``cleared`` have succeeded
    since. ``remaining_s`` is how long the evidence is still kept and
    ``release`` the version of what the back end ran.
    """

    crash_id: str
    fingerprints: frozenset[bytes]
    cleared: frozenset[bytes] = frozenset()
    remaining_s: float
    release: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """Sum up the crashes that a request may have caused.

    ``releases`` are those it crashed; ``newest_s`` is when the last of its
    ``crashes`` happened.
    """

    releases: frozenset[str]
    crashes: int
    newest_s: float


@dataclasses.dataclass(kw_only=True)
class _Crash:
    fingerprints: frozenset[bytes]
    cleared: frozenset[bytes]
    expires_s: float
    release: str
    parts_sent: int = 0

    @property
    def suspects(self):
        """Return the fingerprints that may have caused the crash."""
        return self.fingerprints - self.cleared

    def count_parts(self, digests_per_report):
        """Return how many reports of limited size describe the crash."""
        if digests_per_report is None:
            return 1
        digests = len(self.fingerprints | self.cleared)
        return max(math.ceil(digests / digests_per_report), 1)


class Evidence:
    """Hold crashes; merging is commutative, associative and idempotent.

    Sets grow by union and the earlier expiry wins, so that the order and
    number of messages make no difference.
    """

    def __init__(self, *, policy):
        self._policy = policy
        self._crashes_by_id = {}
        self._crash_ids_by_fingerprint = collections.defaultdict(set)
        self._crashes_to_quarantine = policy.crashes_to_quarantine
        self._forget_derived()

    def set_threshold(self, crashes_to_quarantine):
        """Change how many crashes quarantine a request."""
        if crashes_to_quarantine != self._crashes_to_quarantine:
            self._crashes_to_quarantine = crashes_to_quarantine
            self._forget_derived()

    def merge(self, report, *, now_s):
        """Take in a report; return whether it told anything new."""
        if report.remaining_s <= 0:
            return False
        expires_s = now_s + min(report.remaining_s, self._policy.evidence_s)
        crash = self._crashes_by_id.get(report.crash_id)
        if crash is None:
            crash = self._add(report.crash_id, expires_s)
        if crash is None:
            return False
        fingerprints = crash.fingerprints | report.fingerprints
        cleared = crash.cleared | report.cleared
        release = max(crash.release, report.release)
        crash.expires_s = min(crash.expires_s, expires_s)
        known = (crash.fingerprints, crash.cleared, crash.release)
        if (fingerprints, cleared, release) == known:
            return False
        crash.fingerprints = fingerprints
        crash.cleared = cleared
        crash.release = release
        for fingerprint in report.fingerprints:
            crash_ids = self._crash_ids_by_fingerprint[fingerprint]
            crash_ids.add(report.crash_id)
        self._note_change(crash)
        return True

    def clear(self, fingerprint, *, release=''):
        """Clear a request of all crashes of a release known now."""
        for crash_id in self._crash_ids_by_fingerprint.get(fingerprint, ()):
            crash = self._crashes_by_id[crash_id]
            if fingerprint not in crash.cleared and crash.release == release:
                crash.cleared |= {fingerprint}
                self._note_change(crash)

    def status(self, fingerprint):
        """Return the status of a request."""
        if fingerprint not in self._crash_ids_by_fingerprint:
            return Status.CLEAR
        if self._status_by_fingerprint is None:
            self._status_by_fingerprint = _assess(
                [crash.suspects for crash in self._crashes_by_id.values()],
                self._crashes_to_quarantine,
                self._policy.crashes_in_any_case,
            )
        return self._status_by_fingerprint.get(fingerprint, Status.CLEAR)

    def record(self, fingerprint):
        """Return the ``Record`` of a request, or None without crashes."""
        crashes = [
            self._crashes_by_id[crash_id]
            for crash_id in self._crash_ids_by_fingerprint.get(fingerprint, ())
        ]
        crashes = [x for x in crashes if fingerprint in x.suspects]
        if not crashes:
            return None
        return Record(
            releases=frozenset(x.release for x in crashes),
            crashes=len(crashes),
            newest_s=max(x.expires_s for x in crashes)
            - self._policy.evidence_s,
        )

    def quarantined(self):
        """Return the fingerprints that are quarantined."""
        if self._quarantined is None:
            self._quarantined = frozenset(
                fingerprint
                for fingerprint in self._crash_ids_by_fingerprint
                if self.status(fingerprint) is Status.QUARANTINED
            )
        return self._quarantined

    def digest(self, *, now_s):
        """Return a number that equal evidence has in common."""
        shared = frozenset(
            crash_id
            for crash_id, crash in self._crashes_by_id.items()
            if self._is_shared(crash, now_s)
        )
        if self._digest is None or self._digest[0] != shared:
            self._digest = (shared, self._compute_digest(shared))
        return self._digest[1]

    def reports_about(self, fingerprint, *, now_s):
        """Return the crashes that a request was part of."""
        crash_ids = self._crash_ids_by_fingerprint.get(fingerprint, ())
        return tuple(
            self._report(crash_id, now_s) for crash_id in sorted(crash_ids)
        )

    def next_reports(self, *, count, now_s, digests_per_report=None):
        """Return the reports that were passed on least often.

        News goes first; later all crashes take turns, so that processes
        which start or were cut off catch up. A crash with more than
        ``digests_per_report`` requests is told in several reports; what does
        not fit is told next time.
        """
        lively = sorted(
            (
                crash.parts_sent // crash.count_parts(digests_per_report),
                crash_id,
            )
            for crash_id, crash in self._crashes_by_id.items()
            if self._is_shared(crash, now_s)
        )
        made = []
        for _, crash_id in lively:
            crash = self._crashes_by_id[crash_id]
            parts = crash.count_parts(digests_per_report)
            left = parts - crash.parts_sent % parts
            for _ in range(min(left, count - len(made))):
                made.append(
                    self._report_part(crash_id, now_s, digests_per_report)
                )
                crash.parts_sent += 1
        return tuple(made)

    def forget_expired(self, *, now_s):
        """Drop the crashes whose time is over."""
        for crash_id, crash in list(self._crashes_by_id.items()):
            if crash.expires_s <= now_s:
                self._drop(crash_id)

    def _add(self, crash_id, expires_s):
        """Return a new crash; None if it is older than all that fit."""
        if len(self._crashes_by_id) >= self._policy.crash_limit:
            known_s, oldest_id = min(
                (crash.expires_s, known_id)
                for known_id, crash in self._crashes_by_id.items()
            )
            if (expires_s, crash_id) < (known_s, oldest_id):
                return None
            self._drop(oldest_id)
        crash = _Crash(
            fingerprints=frozenset(),
            cleared=frozenset(),
            expires_s=expires_s,
            release='',
        )
        self._crashes_by_id[crash_id] = crash
        return crash

    def _drop(self, crash_id):
        crash = self._crashes_by_id.pop(crash_id)
        for fingerprint in crash.fingerprints:
            crash_ids = self._crash_ids_by_fingerprint[fingerprint]
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self._crash_ids_by_fingerprint[fingerprint]
        self._forget_derived()

    def _note_change(self, crash):
        crash.parts_sent = 0
        self._forget_derived()

    def _forget_derived(self):
        self._status_by_fingerprint = None
        self._quarantined = None
        self._digest = None

    def _is_shared(self, crash, now_s):
        return crash.expires_s - now_s > self._policy.silent_s

    def _compute_digest(self, crash_ids):
        digest = hashlib.blake2b(digest_size=8)
        for crash_id in sorted(crash_ids):
            crash = self._crashes_by_id[crash_id]
            for part in (
                crash_id.encode(),
                crash.release.encode(),
                b''.join(sorted(crash.fingerprints)),
                b''.join(sorted(crash.cleared)),
            ):
                digest.update(len(part).to_bytes(4, 'big'))
                digest.update(part)
        return int.from_bytes(digest.digest(), 'big')

    def _report_part(self, crash_id, now_s, digests_per_report):
        """Return the report of a crash that is next, with limited size."""
        report = self._report(crash_id, now_s)
        if digests_per_report is None:
            return report
        crash = self._crashes_by_id[crash_id]
        number = crash.parts_sent % crash.count_parts(digests_per_report)
        start = number * digests_per_report
        digests = sorted(report.fingerprints | report.cleared)
        part = frozenset(digests[start : start + digests_per_report])
        return dataclasses.replace(
            report,
            fingerprints=report.fingerprints & part,
            cleared=report.cleared & part,
        )

    def _report(self, crash_id, now_s):
        crash = self._crashes_by_id[crash_id]
        return CrashReport(
            crash_id=crash_id,
            fingerprints=crash.fingerprints,
            cleared=crash.cleared,
            remaining_s=crash.expires_s - now_s,
            release=crash.release,
        )


def _assess(
    suspects_by_crash, crashes_to_quarantine, crashes_in_any_case=None
):
    """Return the status of each suspect.

    A crash is attributed to the one request that took part in more crashes
    than any other of the batch. Crashes with a quarantined request are
    explained and are set aside before assessing the rest.
    """
    statuses = {}
    unexplained = [suspects for suspects in suspects_by_crash if suspects]
    if crashes_in_any_case is not None:
        counts = _count_crashes(unexplained)
        poison = {f for f, n in counts.items() if n >= crashes_in_any_case}
    else:
        poison = set()
    while True:
        statuses.update(dict.fromkeys(poison, Status.QUARANTINED))
        unexplained = [
            suspects for suspects in unexplained if not suspects & poison
        ]
        poison = _find_poison(unexplained, crashes_to_quarantine)
        if not poison:
            break
    for suspects in unexplained:
        for fingerprint in suspects:
            statuses.setdefault(fingerprint, Status.SUSPECT)
    return statuses


def _find_poison(unexplained, crashes_to_quarantine):
    crashes = _count_crashes(unexplained)
    against = collections.Counter()
    for suspects in unexplained:
        most = max(crashes[fingerprint] for fingerprint in suspects)
        likeliest = [f for f in suspects if crashes[f] == most]
        if len(likeliest) == 1:
            against[likeliest[0]] += 1
    return {
        fingerprint
        for fingerprint, count in against.items()
        if count >= crashes_to_quarantine
    }


def _count_crashes(unexplained):
    return collections.Counter(
        fingerprint for suspects in unexplained for fingerprint in suspects
    )

"""Merge crash reports of processes and derive the status of requests."""

import collections
import dataclasses
import enum
import hashlib
import math


class Status(enum.Enum):
    """List the states of a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashReport:
    """Describe one crash of one back end for other processes.

    ``fingerprints`` are the requests that were running, and ``cleared`` those
    of them that have succeeded since. The evidence expires after
    ``remaining_s``. ``release`` is the release that the back end ran.
    """

    crash_id: str
    fingerprints: frozenset[bytes]
    cleared: frozenset[bytes] = frozenset()
    remaining_s: float
    release: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashSummary:
    """Summarise the crashes that a request may have caused.

    ``releases`` are the releases that crashed, ``crashes`` is the number of
    crashes and ``last_crash_s`` the time of the last one.
    """

    releases: frozenset[str]
    crashes: int
    last_crash_s: float


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
        """Return how many reports of limited size the crash needs."""
        if digests_per_report is None:
            return 1
        digests = len(self.fingerprints | self.cleared)
        return max(math.ceil(digests / digests_per_report), 1)


class Evidence:
    """Store crashes; merging is commutative, associative and idempotent.

    Sets are merged by union and the earlier expiry is used, so the order and
    repetition of messages make no difference.
    """

    def __init__(self, *, policy):
        self._policy = policy
        self._crashes_by_id = {}
        self._crash_ids_by_fingerprint = collections.defaultdict(set)
        self._crashes_to_quarantine = policy.crashes_to_quarantine
        self._clear_caches()

    def set_threshold(self, crashes_to_quarantine):
        """Set how many crashes quarantine a request."""
        if crashes_to_quarantine != self._crashes_to_quarantine:
            self._crashes_to_quarantine = crashes_to_quarantine
            self._clear_caches()

    def merge(self, report, *, now_s):
        """Merge a report; return whether it contained anything new."""
        if report.remaining_s <= 0:
            return False
        expires_s = now_s + min(
            report.remaining_s, self._policy.evidence_lifetime_s
        )
        crash = self._crashes_by_id.get(report.crash_id)
        if crash is None:
            crash = self._add_crash(report.crash_id, expires_s)
        if crash is None:
            return False
        fingerprints = crash.fingerprints | report.fingerprints
        cleared = crash.cleared | report.cleared
        release = max(crash.release, report.release)
        crash.expires_s = min(crash.expires_s, expires_s)
        old_state = (crash.fingerprints, crash.cleared, crash.release)
        if (fingerprints, cleared, release) == old_state:
            return False
        crash.fingerprints = fingerprints
        crash.cleared = cleared
        crash.release = release
        for fingerprint in report.fingerprints:
            crash_ids = self._crash_ids_by_fingerprint[fingerprint]
            crash_ids.add(report.crash_id)
        self._reset_after_change(crash)
        return True

    def clear(self, fingerprint, *, release=''):
        """Clear a request of all recorded crashes of a release."""
        for crash_id in self._crash_ids_by_fingerprint.get(fingerprint, ()):
            crash = self._crashes_by_id[crash_id]
            if fingerprint not in crash.cleared and crash.release == release:
                crash.cleared |= {fingerprint}
                self._reset_after_change(crash)

    def status(self, fingerprint):
        """Return the status of a request."""
        if fingerprint not in self._crash_ids_by_fingerprint:
            return Status.CLEAR
        if self._status_by_fingerprint is None:
            self._status_by_fingerprint = _assess(
                [crash.suspects for crash in self._crashes_by_id.values()],
                self._crashes_to_quarantine,
                self._policy.total_crashes_to_quarantine,
            )
        return self._status_by_fingerprint.get(fingerprint, Status.CLEAR)

    def summarize_crashes(self, fingerprint):
        """Return the summary for a request, or None without crashes."""
        crashes = [
            self._crashes_by_id[crash_id]
            for crash_id in self._crash_ids_by_fingerprint.get(fingerprint, ())
        ]
        crashes = [crash for crash in crashes if fingerprint in crash.suspects]
        if not crashes:
            return None
        return CrashSummary(
            releases=frozenset(crash.release for crash in crashes),
            crashes=len(crashes),
            last_crash_s=max(crash.expires_s for crash in crashes)
            - self._policy.evidence_lifetime_s,
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
        """Return a 64-bit hash, which is the same for equal evidence."""
        shared_ids = frozenset(
            crash_id
            for crash_id, crash in self._crashes_by_id.items()
            if self._is_shared(crash, now_s)
        )
        if self._digest is None or self._digest[0] != shared_ids:
            self._digest = (shared_ids, self._compute_digest(shared_ids))
        return self._digest[1]

    def reports_about(self, fingerprint, *, now_s):
        """Return reports of the crashes in which a request was running."""
        crash_ids = self._crash_ids_by_fingerprint.get(fingerprint, ())
        return tuple(
            self._report(crash_id, now_s) for crash_id in sorted(crash_ids)
        )

    def next_reports(self, *, count, now_s, digests_per_report=None):
        """Return up to ``count`` reports that were sent least often.

        New reports come first. After that all crashes are sent in rotation,
        so that processes which have started or were disconnected receive
        them. A crash with more than ``digests_per_report`` requests is split
        into several reports; those beyond ``count`` are sent next time.
        """
        shared_crashes = sorted(
            (
                crash.parts_sent // crash.count_parts(digests_per_report),
                crash_id,
            )
            for crash_id, crash in self._crashes_by_id.items()
            if self._is_shared(crash, now_s)
        )
        reports = []
        for _, crash_id in shared_crashes:
            crash = self._crashes_by_id[crash_id]
            parts = crash.count_parts(digests_per_report)
            remaining_parts = parts - crash.parts_sent % parts
            for _ in range(min(remaining_parts, count - len(reports))):
                reports.append(
                    self._report_part(crash_id, now_s, digests_per_report)
                )
                crash.parts_sent += 1
        return tuple(reports)

    def forget_expired(self, *, now_s):
        """Remove the crashes that have expired."""
        for crash_id, crash in list(self._crashes_by_id.items()):
            if crash.expires_s <= now_s:
                self._remove_crash(crash_id)

    def _add_crash(self, crash_id, expires_s):
        """Add a crash; return None if all of the stored ones are newer."""
        if len(self._crashes_by_id) >= self._policy.crash_limit:
            oldest_expires_s, oldest_id = min(
                (crash.expires_s, other_id)
                for other_id, crash in self._crashes_by_id.items()
            )
            if (expires_s, crash_id) < (oldest_expires_s, oldest_id):
                return None
            self._remove_crash(oldest_id)
        crash = _Crash(
            fingerprints=frozenset(),
            cleared=frozenset(),
            expires_s=expires_s,
            release='',
        )
        self._crashes_by_id[crash_id] = crash
        return crash

    def _remove_crash(self, crash_id):
        crash = self._crashes_by_id.pop(crash_id)
        for fingerprint in crash.fingerprints:
            crash_ids = self._crash_ids_by_fingerprint[fingerprint]
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self._crash_ids_by_fingerprint[fingerprint]
        self._clear_caches()

    def _reset_after_change(self, crash):
        crash.parts_sent = 0
        self._clear_caches()

    def _clear_caches(self):
        self._status_by_fingerprint = None
        self._quarantined = None
        self._digest = None

    def _is_shared(self, crash, now_s):
        return (
            crash.expires_s - now_s > self._policy.stop_sharing_before_expiry_s
        )

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
        """Return the next report of a crash, with limited size."""
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
    suspects_by_crash, crashes_to_quarantine, total_crashes_to_quarantine=None
):
    """Return the status of each suspect by its fingerprint.

    A crash is attributed to the request that was running in more crashes
    than any other request of this crash. Crashes with a quarantined request
    count as explained and are removed before the others are assessed.
    """
    statuses = {}
    unexplained = [suspects for suspects in suspects_by_crash if suspects]
    if total_crashes_to_quarantine is not None:
        counts = _count_crashes(unexplained)
        poison = {
            fingerprint
            for fingerprint, count in counts.items()
            if count >= total_crashes_to_quarantine
        }
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
    attributed_crashes = collections.Counter()
    for suspects in unexplained:
        max_crashes = max(crashes[fingerprint] for fingerprint in suspects)
        candidates = [
            fingerprint
            for fingerprint in suspects
            if crashes[fingerprint] == max_crashes
        ]
        if len(candidates) == 1:
            attributed_crashes[candidates[0]] += 1
    return {
        fingerprint
        for fingerprint, count in attributed_crashes.items()
        if count >= crashes_to_quarantine
    }


def _count_crashes(unexplained):
    return collections.Counter(
        fingerprint for suspects in unexplained for fingerprint in suspects
    )

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

    ``fingerprints`` are the requests that were running, ``prompt_parts`` the
    parts of their prompts that other requests share, and ``cleared`` those of
    both that have succeeded since. The evidence expires after
    ``remaining_s``. ``release`` is the release that the back end ran.
    """

    crash_id: str
    fingerprints: frozenset[bytes]
    prompt_parts: frozenset[bytes] = frozenset()
    cleared: frozenset[bytes] = frozenset()
    remaining_s: float
    release: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class CrashSummary:
    """Summarise the crashes that the requests of a pattern may have caused.

    ``releases`` are the releases that crashed, ``crashes`` is the number of
    crashes and ``last_crash_s`` the time of the last one.
    """

    releases: frozenset[str]
    crashes: int
    last_crash_s: float


@dataclasses.dataclass(kw_only=True)
class _Crash:
    fingerprints: frozenset[bytes]
    prompt_parts: frozenset[bytes]
    cleared: frozenset[bytes]
    expires_s: float
    release: str
    reported_s: float
    parts_sent: int = 0

    @property
    def digests(self):
        """Return the digests of the requests and of their prompts' parts."""
        return self.fingerprints | self.prompt_parts

    @property
    def suspects(self):
        """Return the digests of what may have caused the crash."""
        return self.digests - self.cleared

    def count_parts(self, digests_per_report):
        """Return how many reports of limited size the crash needs."""
        if digests_per_report is None:
            return 1
        digests = len(self.digests | self.cleared)
        return max(math.ceil(digests / digests_per_report), 1)


class Evidence:
    """Store crashes; merging is commutative, associative and idempotent.

    A request is known by the digest of its content and by those of the parts
    of its prompt that it shares with others. A pattern is a set of such
    digests; the requests that have all of them are quarantined together.

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
            crash = self._add_crash(report.crash_id, expires_s, now_s)
        if crash is None:
            return False
        fingerprints = crash.fingerprints | report.fingerprints
        prompt_parts = crash.prompt_parts | report.prompt_parts
        cleared = crash.cleared | report.cleared
        release = max(crash.release, report.release)
        crash.expires_s = min(crash.expires_s, expires_s)
        new_state = (fingerprints, prompt_parts, cleared, release)
        if new_state == (
            crash.fingerprints,
            crash.prompt_parts,
            crash.cleared,
            crash.release,
        ):
            return False
        if crash.digests != fingerprints | prompt_parts:
            crash.reported_s = now_s
        crash.fingerprints = fingerprints
        crash.prompt_parts = prompt_parts
        crash.cleared = cleared
        crash.release = release
        for digest in report.fingerprints | report.prompt_parts:
            self._crash_ids_by_fingerprint[digest].add(report.crash_id)
        self._reset_after_change(crash)
        return True

    def clear(self, fingerprint, *, release=''):
        """Clear a digest of all recorded crashes of a release."""
        for crash_id in self._crash_ids_by_fingerprint.get(fingerprint, ()):
            crash = self._crashes_by_id[crash_id]
            if fingerprint not in crash.cleared and crash.release == release:
                crash.cleared |= {fingerprint}
                self._reset_after_change(crash)

    def status(self, fingerprint):
        """Return the status of a request whose prompt shares no parts."""
        if fingerprint not in self._crash_ids_by_fingerprint:
            return Status.CLEAR
        return self._assess_crashes().get(fingerprint, Status.CLEAR)

    def find_pattern(self, fingerprint, *, prompt_parts=frozenset()):
        """Return the pattern for which a request is quarantined, or None."""
        digests = {fingerprint} | prompt_parts
        if not any(
            digest in self._crash_ids_by_fingerprint for digest in digests
        ):
            return None
        patterns = [
            pattern for pattern in self.quarantined() if pattern <= digests
        ]
        return min(patterns, key=sorted, default=None)

    def count_incomplete_s(self, pattern, *, now_s):
        """Return in how many seconds the reports on a pattern are complete.

        Until then, a part that healthy prompts share may seem to be what some
        crashes have in common. Return 0 for a pattern without such a part.
        """
        reported_s = sorted(
            crash.reported_s
            for crash in self._crashes_by_id.values()
            if pattern <= crash.suspects and pattern & crash.prompt_parts
        )
        if len(reported_s) < self._crashes_to_quarantine:
            return 0.0
        decisive_s = reported_s[self._crashes_to_quarantine - 1]
        return max(decisive_s + self._policy.report_completion_s - now_s, 0.0)

    def summarize_crashes(self, pattern):
        """Return the summary for a pattern, or None without crashes."""
        crashes = [
            crash
            for crash in self._crashes_by_id.values()
            if pattern <= crash.suspects
        ]
        if not crashes:
            return None
        return CrashSummary(
            releases=frozenset(crash.release for crash in crashes),
            crashes=len(crashes),
            last_crash_s=max(crash.expires_s for crash in crashes)
            - self._policy.evidence_lifetime_s,
        )

    def quarantined(self):
        """Return the patterns of the requests that are quarantined."""
        if self._quarantined is None:
            self._quarantined = frozenset(
                key if isinstance(key, frozenset) else frozenset({key})
                for key, status in self._assess_crashes().items()
                if status is Status.QUARANTINED
            )
        return self._quarantined

    def _assess_crashes(self):
        """Return the statuses by digest or pattern, see ``_assess``."""
        if self._status_by_digest is None:
            crashes = self._crashes_by_id.values()
            self._status_by_digest = _assess(
                [crash.suspects for crash in crashes],
                self._crashes_to_quarantine,
                self._policy.total_crashes_to_quarantine,
                frozenset().union(*(crash.prompt_parts for crash in crashes)),
            )
        return self._status_by_digest

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

    def _add_crash(self, crash_id, expires_s, now_s):
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
            prompt_parts=frozenset(),
            cleared=frozenset(),
            expires_s=expires_s,
            release='',
            reported_s=now_s,
        )
        self._crashes_by_id[crash_id] = crash
        return crash

    def _remove_crash(self, crash_id):
        crash = self._crashes_by_id.pop(crash_id)
        for digest in crash.digests:
            crash_ids = self._crash_ids_by_fingerprint[digest]
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self._crash_ids_by_fingerprint[digest]
        self._clear_caches()

    def _reset_after_change(self, crash):
        crash.parts_sent = 0
        self._clear_caches()

    def _clear_caches(self):
        self._status_by_digest = None
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
                b''.join(sorted(crash.prompt_parts)),
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
        digests = sorted(crash.digests | crash.cleared)
        part = frozenset(digests[start : start + digests_per_report])
        return dataclasses.replace(
            report,
            fingerprints=report.fingerprints & part,
            prompt_parts=report.prompt_parts & part,
            cleared=report.cleared & part,
        )

    def _report(self, crash_id, now_s):
        crash = self._crashes_by_id[crash_id]
        return CrashReport(
            crash_id=crash_id,
            fingerprints=crash.fingerprints,
            prompt_parts=crash.prompt_parts,
            cleared=crash.cleared,
            remaining_s=crash.expires_s - now_s,
            release=crash.release,
        )


def _assess(
    suspects_by_crash,
    crashes_to_quarantine,
    total_crashes_to_quarantine=None,
    prompt_parts=frozenset(),
):
    """Return the status of each suspect by its digest, or by its pattern.

    A crash is attributed to the suspect that was running in more crashes
    than any other suspect of this crash. Suspects that were running in
    equally many form a pattern. A part of prompts forms a pattern with each of
    two other parts that explain its crashes as well: requests without these
    show whether it is the cause. Crashes with a quarantined suspect or pattern
    count as explained and are removed before the others are assessed.
    """
    statuses = {}
    unexplained = [suspects for suspects in suspects_by_crash if suspects]
    patterns = set()
    if total_crashes_to_quarantine is not None:
        counts = _count_crashes(unexplained)
        poison = {
            digest
            for digest, count in counts.items()
            if count >= total_crashes_to_quarantine
            and digest not in prompt_parts
        }
    else:
        poison = set()
    while True:
        statuses.update(dict.fromkeys(poison | patterns, Status.QUARANTINED))
        unexplained = [
            suspects
            for suspects in unexplained
            if not suspects & poison
            and not any(pattern <= suspects for pattern in patterns)
        ]
        poison = _find_poison(unexplained, crashes_to_quarantine)
        patterns = set()
        for part in poison & prompt_parts:
            other_parts = _find_other_explanation(
                unexplained, part, prompt_parts
            )
            if other_parts:
                poison -= {part}
                patterns.update(
                    frozenset({part, other_part}) for other_part in other_parts
                )
        if not poison and not patterns:
            patterns = _find_patterns(
                unexplained, crashes_to_quarantine, prompt_parts
            )
        if not poison and not patterns:
            break
    for suspects in unexplained:
        for digest in suspects:
            statuses.setdefault(digest, Status.SUSPECT)
    return statuses


def _find_poison(unexplained, crashes_to_quarantine):
    attributed_crashes = collections.Counter()
    for candidates in _find_candidates(unexplained):
        if len(candidates) == 1:
            attributed_crashes.update(candidates)
    return {
        digest
        for digest, count in attributed_crashes.items()
        if count >= crashes_to_quarantine
    }


def _find_other_explanation(unexplained, part, prompt_parts):
    """Return two parts that together were in all crashes with ``part``.

    At least one of them was in several of these crashes. Return an empty set
    if there are no such parts.
    """
    crashes = [
        suspects & prompt_parts - {part}
        for suspects in unexplained
        if part in suspects
    ]
    counts = _count_crashes(crashes)
    for first in sorted(digest for digest in counts if counts[digest] > 1):
        others = [parts for parts in crashes if first not in parts]
        common_parts = frozenset.intersection(*others) if others else ()
        if common_parts:
            return frozenset({first, min(common_parts)})
    return frozenset()


def _find_patterns(unexplained, crashes_to_quarantine, prompt_parts):
    """Return the patterns of several digests that explain enough crashes.

    A request has one content, so a pattern with two of them matches none.
    """
    attributed_crashes = collections.Counter(
        candidates
        for candidates in _find_candidates(unexplained)
        if len(candidates) > 1 and len(candidates - prompt_parts) <= 1
    )
    return {
        pattern
        for pattern, count in attributed_crashes.items()
        if count >= crashes_to_quarantine
    }


def _find_candidates(unexplained):
    """Return for each crash its suspects that were in the most crashes."""
    crashes = _count_crashes(unexplained)
    candidates_by_crash = []
    for suspects in unexplained:
        max_crashes = max(crashes[digest] for digest in suspects)
        candidates_by_crash.append(
            frozenset(
                digest for digest in suspects if crashes[digest] == max_crashes
            )
        )
    return candidates_by_crash


def _count_crashes(unexplained):
    return collections.Counter(
        digest for suspects in unexplained for digest in suspects
    )

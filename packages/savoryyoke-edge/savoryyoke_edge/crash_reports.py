"""Translate crash reports between the library and the protocol."""

from savoryyoke.quarantine import evidence
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages

_DIGEST_BYTES = wire_conf.CRASH_DIGEST_BYTES
_MS_PER_S = 1000


def pack(reports):
    """Return the library's reports, as many as one message may carry.

    The youngest crashes go first.
    """
    youngest = sorted(
        reports, key=lambda report: report.remaining_s, reverse=True
    )
    return tuple(
        messages.CrashReport(
            crash_id=report.crash_id,
            fingerprints=b''.join(sorted(report.fingerprints)),
            cleared=b''.join(sorted(report.cleared)),
            remaining_ms=int(report.remaining_s * _MS_PER_S),
        )
        for report in youngest[: wire_conf.CRASH_REPORTS_LIMIT]
    )


def unpack(reports):
    """Return the reports of a message for the library."""
    return tuple(
        evidence.CrashReport(
            crash_id=report.crash_id,
            fingerprints=_split(report.fingerprints),
            cleared=_split(report.cleared),
            remaining_s=report.remaining_ms / _MS_PER_S,
        )
        for report in reports
    )


def _split(digests):
    """Return the whole digests that stand one after the other."""
    whole = len(digests) // _DIGEST_BYTES * _DIGEST_BYTES
    return frozenset(
        digests[start : start + _DIGEST_BYTES]
        for start in range(0, whole, _DIGEST_BYTES)
    )

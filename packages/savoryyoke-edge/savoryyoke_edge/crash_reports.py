"""Convert crash reports between the library and the wire protocol."""

from savoryyoke.quarantine import evidence
from savoryyoke_wire import conf as wire_conf
from savoryyoke_wire import messages

_DIGEST_BYTES = wire_conf.CRASH_DIGEST_BYTES
_MS_PER_S = 1000


def pack(reports):
    """Return the library's reports as wire messages, newest crashes first.

    Reports beyond ``CRASH_REPORTS_LIMIT``, the limit of one message, are
    omitted.
    """
    newest_first = sorted(
        reports, key=lambda report: report.remaining_s, reverse=True
    )
    return tuple(
        messages.CrashReport(
            crash_id=report.crash_id,
            fingerprints=b''.join(sorted(report.fingerprints)),
            cleared=b''.join(sorted(report.cleared)),
            remaining_ms=int(report.remaining_s * _MS_PER_S),
        )
        for report in newest_first[: wire_conf.CRASH_REPORTS_LIMIT]
    )


def unpack(reports):
    """Return the wire messages as reports of the library."""
    return tuple(
        evidence.CrashReport(
            crash_id=report.crash_id,
            fingerprints=_split_digests(report.fingerprints),
            cleared=_split_digests(report.cleared),
            remaining_s=report.remaining_ms / _MS_PER_S,
        )
        for report in reports
    )


def _split_digests(digests):
    """Split concatenated digests; drop an incomplete digest at the end."""
    complete_bytes = len(digests) // _DIGEST_BYTES * _DIGEST_BYTES
    return frozenset(
        digests[start : start + _DIGEST_BYTES]
        for start in range(0, complete_bytes, _DIGEST_BYTES)
    )

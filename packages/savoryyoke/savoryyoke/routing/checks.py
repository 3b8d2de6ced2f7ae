"""Validate events before they change the state of a router."""

from savoryyoke.routing import decisions
from savoryyoke.routing import utils


def check_report(report, *, last_stamp_s, elapsed_s, settings):
    """Return the reason to reject a load report, or None.

    ``elapsed_s`` is the time since the last accepted report, in seconds.
    """
    reason = check_stamp(
        report.stamp_s,
        last_stamp_s=last_stamp_s,
        elapsed_s=elapsed_s,
        settings=settings,
    )
    if reason is None and not has_valid_values(report, settings=settings):
        reason = decisions.RejectionReason.ABSURD_VALUE
    return reason


def check_stamp(stamp_s, *, last_stamp_s, elapsed_s, settings):
    """Return the reason to reject a sender's time stamp, or None."""
    if not utils.is_between(stamp_s, lowest=0.0, highest=1e12):
        return decisions.RejectionReason.ABSURD_STAMP
    if last_stamp_s is None:
        return None
    if stamp_s <= last_stamp_s:
        return decisions.RejectionReason.OUT_OF_ORDER
    # A stamp far ahead would cause all later reports to be rejected.
    latest_s = last_stamp_s + elapsed_s + settings.report_late_tolerance_s
    if stamp_s > latest_s:
        return decisions.RejectionReason.ABSURD_STAMP
    return None


def has_valid_values(report, *, settings):
    """Return whether all values of a load report are in range."""
    counts = (report.running, report.queued, report.limit)
    if not all(isinstance(count, int) for count in counts):
        return False
    highest = settings.calls_limit
    if not all(
        utils.is_between(count, lowest=0, highest=highest) for count in counts
    ):
        return False
    return utils.is_between(
        report.estimated_wait_s, lowest=0.0, highest=settings.wait_limit_s
    ) and utils.is_between(report.kv_free_ratio, lowest=0.0, highest=1.0)

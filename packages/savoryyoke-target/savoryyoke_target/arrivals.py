"""Convert protocol calls to arrival events of admission."""

from savoryyoke.admission import events as admission_events


def build_arrival(call_id, call):
    """Return the admission event for a call received from an entry."""
    return admission_events.Arrived(
        call_id=call_id,
        team=call.team,
        weight=call.team_weight,
        priority=call.priority,
        cost=call.cost,
        remaining_s=call.remaining_ms / 1000,
        cancelable=True,
    )

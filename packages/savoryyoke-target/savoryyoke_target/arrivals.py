"""Turn calls of the protocol into admission's arrivals."""

from savoryyoke.admission import events as admission_events


def build_arrival(call_id, call):
    """Return admission's event for a call of an entry."""
    return admission_events.Arrived(
        call_id=call_id,
        team=call.team,
        weight=call.team_weight,
        priority=call.priority,
        cost=call.cost,
        remaining_s=call.remaining_ms / 1000,
        cancelable=True,
    )

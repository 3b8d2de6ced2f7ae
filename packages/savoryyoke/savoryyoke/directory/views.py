"""Collect the entries that may be returned to callers."""

import dataclasses

from savoryyoke.directory import ranking


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """Hold the entries that accept callers.

    ``available`` are those in contact and this entry; ``alternatives`` are
    all except this entry, whether in contact or not. ``peers_in_contact`` of
    ``peers_expected`` other entries have sent a message recently.
    """

    available: ranking.Ranking
    alternatives: ranking.Ranking
    peers_in_contact: int
    peers_expected: int


def make_view(states, *, entry_id, excluded_data_centres, is_in_contact):
    """Return the `View` of an entry from the states of all entries.

    Entries of ``excluded_data_centres`` and leaving ones are omitted.
    ``is_in_contact`` returns whether the entry of a state sent a message
    recently.
    """
    peers = [state for state in states if state.entry_id != entry_id]
    usable = [
        state
        for state in states
        if not state.leaving and state.data_centre not in excluded_data_centres
    ]
    return View(
        available=ranking.Ranking(states=filter(is_in_contact, usable)),
        alternatives=ranking.Ranking(
            states=[state for state in usable if state.entry_id != entry_id]
        ),
        peers_in_contact=sum(map(is_in_contact, peers)),
        peers_expected=len(peers),
    )

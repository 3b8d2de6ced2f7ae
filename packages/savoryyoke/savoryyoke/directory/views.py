"""Prepare the entries that callers may be told of."""

import dataclasses

from savoryyoke.directory import ranking


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """Hold the entries to name.

    ``named`` were heard lately; ``others`` are all but this entry, heard
    or not.
    """

    named: ranking.Ranking
    others: ranking.Ranking
    peers_heard: int
    peers_expected: int


def make_view(states, *, entry_id, out, is_heard):
    """Return the view of an entry.

    ``out`` holds the data centres that are out; ``is_heard`` tells whether
    the entry of a state was heard lately.
    """
    peers = [state for state in states if state.entry_id != entry_id]
    usable = [
        state
        for state in states
        if not state.leaving and state.data_centre not in out
    ]
    return View(
        named=ranking.Ranking(states=filter(is_heard, usable)),
        others=ranking.Ranking(
            states=[state for state in usable if state.entry_id != entry_id]
        ),
        peers_heard=sum(map(is_heard, peers)),
        peers_expected=len(peers),
    )

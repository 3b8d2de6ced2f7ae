"""Determine at the start what other processes have in force."""

from savoryyoke.propagation import utils

# Sorting all peers of a large fleet would take milliseconds.
SAMPLE_SIZE_PEERS = 100


class Startup:
    """Request the state of peers in several data centres at the start."""

    def __init__(self, *, vm_id, data_centre, settings):
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._settings = settings
        self._started_s = None
        self._requested_ids = set()
        self._answered_ids = set()
        self._failed_ids = set()
        self._minimum_revisions = (-1, -1)
        self._useful_answer_count = 0
        self.is_complete = False

    @property
    def is_confirmed(self):
        """Return whether a peer with a configuration in force has answered."""
        return self._useful_answer_count > 0

    @property
    def minimum_revisions(self):
        """Return the newest revisions that peers have in force."""
        return self._minimum_revisions

    def begin(self, *, now_s):
        """Start the timeouts on the first call."""
        if self._started_s is None:
            self._started_s = now_s

    def choose_peers(self, peers):
        """Return the identifiers of the peers whose state to request next."""
        if self.is_complete:
            return ()
        limit = self._settings.startup_peer_count
        pending_count = len(
            self._requested_ids - self._answered_ids - self._failed_ids
        )
        count = min(
            limit - pending_count - self._useful_answer_count,
            self._settings.startup_peer_limit - len(self._requested_ids),
        )
        if count <= 0:
            return ()
        candidates = [
            peer
            for peer in self._sample(peers)
            if peer.vm_id not in self._requested_ids
        ]
        chosen_ids = [
            peer.vm_id
            for peer in self._interleave_data_centres(candidates)[:count]
        ]
        self._requested_ids.update(chosen_ids)
        return chosen_ids

    def record_answer(self, vm_id, revisions):
        """Record an answer; ``revisions`` is None if nothing is in force."""
        self._answered_ids.add(vm_id)
        if revisions is not None and not self.is_complete:
            self._useful_answer_count += 1
            self._minimum_revisions = tuple(
                map(max, self._minimum_revisions, revisions)
            )

    def record_failure(self, vm_id):
        """Record that a peer did not answer."""
        self._failed_ids.add(vm_id)

    def awaits_answers(self, *, now_s):
        """Return whether to wait for more answers."""
        if self._started_s is None:
            return True
        elapsed_s = now_s - self._started_s
        if elapsed_s < self._settings.answer_wait_minimum_s:
            return True
        pending_ids = (
            self._requested_ids - self._answered_ids - self._failed_ids
        )
        has_all_answers = self.is_confirmed and not pending_ids
        return (
            not has_all_answers
            and elapsed_s < self._settings.answer_wait_limit_s
        )

    def may_apply(self, revisions, *, now_s):
        """Return whether a pair is new enough or the wait for one is over."""
        if self.is_complete:
            return True
        if (
            revisions[0] >= self._minimum_revisions[0]
            and revisions[1] >= self._minimum_revisions[1]
        ):
            return True
        return self.is_catch_up_over(now_s=now_s)

    def is_catch_up_over(self, *, now_s):
        """Return whether the wait for newer documents of peers is over."""
        if self.is_complete or self._started_s is None:
            return self.is_complete
        return now_s - self._started_s >= self._settings.catch_up_s

    def needs_platform(self, *, now_s):
        """Return whether to read the platform without help from peers."""
        if self.is_complete or self._started_s is None:
            return False
        wait_s = self._settings.fallback_s
        wait_s += self._settings.fallback_jitter_s * utils.hash_fraction(
            self._vm_id, 'fallback'
        )
        return now_s - self._started_s >= wait_s

    def _sample(self, peers):
        if len(peers) <= SAMPLE_SIZE_PEERS:
            return peers
        stride = len(peers) // SAMPLE_SIZE_PEERS
        share = utils.hash_fraction(self._vm_id, len(self._requested_ids))
        return peers[int(share * stride) :: stride]

    def _interleave_data_centres(self, peers):
        # Takes one peer of each data centre in turn, the local one last: all
        # processes of a partitioned data centre may have the same stale state.
        counts_by_data_centre = {}
        ranked_peers = []
        for peer in sorted(peers, key=self._hash_weight):
            position = counts_by_data_centre.get(peer.data_centre, 0)
            counts_by_data_centre[peer.data_centre] = position + 1
            is_local = peer.data_centre == self._data_centre
            ranked_peers.append(
                (position, is_local, self._hash_weight(peer), peer)
            )
        ranked_peers.sort(key=lambda item: item[:3])
        return [item[3] for item in ranked_peers]

    def _hash_weight(self, peer):
        return utils.hash_fraction(self._vm_id, peer.vm_id)

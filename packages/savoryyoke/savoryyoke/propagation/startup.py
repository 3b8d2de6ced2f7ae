"""Find out at the start what other processes have in force."""

from savoryyoke.propagation import utils

# Ranking every peer of a large fleet would take milliseconds.
SAMPLE_SIZE = 100


class Startup:
    """Ask peers over the data centres and collect their answers."""

    def __init__(self, *, vm_id, data_centre, settings):
        self._vm_id = vm_id
        self._data_centre = data_centre
        self._settings = settings
        self._started_s = None
        self._asked = set()
        self._answered = set()
        self._failed = set()
        self._floor = (-1, -1)
        self._useful_answers = 0
        self.is_over = False

    @property
    def is_confirmed(self):
        """Return whether a peer with something in force has answered."""
        return self._useful_answers > 0

    @property
    def floor(self):
        """Return the newest revisions that a peer has in force."""
        return self._floor

    def begin(self, *, now_s):
        """Start the waiting times."""
        if self._started_s is None:
            self._started_s = now_s

    def choose_peers(self, peers):
        """Return the peers to ask next, the nearest of each turn first."""
        if self.is_over:
            return ()
        limit = self._settings.peers_asked
        pending = len(self._asked - self._answered - self._failed)
        room = min(
            limit - pending - self._useful_answers,
            self._settings.peers_asked_limit - len(self._asked),
        )
        if room <= 0:
            return ()
        fresh = [
            peer
            for peer in self._sample(peers)
            if peer.vm_id not in self._asked
        ]
        chosen = [peer.vm_id for peer in self._spread(fresh)[:room]]
        self._asked.update(chosen)
        return chosen

    def note_answer(self, vm_id, in_force_key):
        """Take in an answer; its key is None where nothing is in force."""
        self._answered.add(vm_id)
        if in_force_key is not None and not self.is_over:
            self._useful_answers += 1
            self._floor = tuple(map(max, self._floor, in_force_key))

    def note_failure(self, vm_id):
        """Take in that a peer did not answer."""
        self._failed.add(vm_id)

    def is_listening(self, *, now_s):
        """Return whether more answers are worth waiting for."""
        if self._started_s is None:
            return True
        passed_s = now_s - self._started_s
        if passed_s < self._settings.listen_s:
            return True
        pending = self._asked - self._answered - self._failed
        is_answered = self.is_confirmed and not pending
        return not is_answered and passed_s < self._settings.answer_s

    def may_apply(self, key, *, now_s):
        """Return whether a pair is new enough, or the wait is over."""
        if self.is_over:
            return True
        if key[0] >= self._floor[0] and key[1] >= self._floor[1]:
            return True
        return self.is_patience_over(now_s=now_s)

    def is_patience_over(self, *, now_s):
        """Return whether to stop waiting for what peers have shown."""
        if self.is_over or self._started_s is None:
            return self.is_over
        return now_s - self._started_s >= self._settings.catch_up_s

    def needs_platform(self, *, now_s):
        """Return whether to read the platform for want of any peer."""
        if self.is_over or self._started_s is None:
            return False
        wait_s = self._settings.fallback_s
        wait_s += self._settings.fallback_jitter_s * utils.fraction(
            self._vm_id, 'fallback'
        )
        return now_s - self._started_s >= wait_s

    def _sample(self, peers):
        if len(peers) <= SAMPLE_SIZE:
            return peers
        stride = len(peers) // SAMPLE_SIZE
        turn = utils.fraction(self._vm_id, len(self._asked))
        return peers[int(turn * stride) :: stride]

    def _spread(self, peers):
        # Peers elsewhere come first: a cut data centre agrees with itself.
        turns = {}
        order = []
        for peer in sorted(peers, key=self._weight):
            turn = turns.get(peer.data_centre, 0)
            turns[peer.data_centre] = turn + 1
            is_near = peer.data_centre == self._data_centre
            order.append((turn, is_near, self._weight(peer), peer))
        order.sort(key=lambda item: item[:3])
        return [item[3] for item in order]

    def _weight(self, peer):
        return utils.fraction(self._vm_id, peer.vm_id)

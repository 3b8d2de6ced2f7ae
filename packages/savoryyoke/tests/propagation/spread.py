"""Run many ``Propagation`` aggregates on a network and a platform."""

import collections

from savoryyoke.membership import composer
from savoryyoke.propagation import aggregate
from savoryyoke.propagation import decisions
from savoryyoke.propagation import documents
from savoryyoke.propagation import events
from savoryyoke.propagation import judgements

SITE = 'north'
TICK_S = 0.25
TRANSFER_S = 0.05
REQUEST_TIMEOUT_S = 1.0
OVERLAY = documents.overlay_name(SITE)


def judge(base_text, overlay_text):
    """Refuse texts that say so themselves."""
    text = f'{base_text}|{overlay_text}'
    if 'bad' in text:
        return judgements.Refused(faults=(text,))
    return judgements.Accepted(digest=text)


class Platform:
    """Stand in for the configuration service, and count its calls."""

    def __init__(self, network):
        self.network = network
        self.is_down = False
        self.documents = {}
        self.stale = {}
        self.stale_share = 0.0
        self.calls_by_second = collections.Counter()
        self.callers = set()
        self._watches = {}

    def publish(self, name, revision, text):
        """Publish a revision and wake those who wait for it."""
        self.documents[name] = (revision, text)
        waiting, self._watches = self._watches, {}
        for key, (call, answer) in waiting.items():
            if call.name == name:
                self._answer(call, answer, self.documents)
            else:
                self._watches[key] = (call, answer)

    def call(self, vm_id, call, answer):
        """Take one call; its answer goes to ``answer``."""
        self.calls_by_second[int(self.network.now_s)] += 1
        self.callers.add(vm_id)
        if self.is_down:
            self._reply(answer, events.PlatformFailed(name=call.name))
        elif self.network.random.random() < self.stale_share:
            self._answer(call, answer, self.stale)
        elif self._revision(call.name, self.documents) > call.wait_revision:
            self._answer(call, answer, self.documents)
        else:
            self._watch(vm_id, call, answer)

    def _watch(self, vm_id, call, answer):
        key = (vm_id, call.name)
        self._watches[key] = held = (call, answer)

        def end():
            if self._watches.get(key) is held:
                del self._watches[key]
                answer(events.PlatformUnchanged(name=call.name))

        self.network.call_at(self.network.now_s + call.timeout_s, end)

    def _revision(self, name, held):
        return held.get(name, (-1, ''))[0]

    def _answer(self, call, answer, held):
        if call.name not in held:
            self._reply(answer, events.PlatformFailed(name=call.name))
            return
        revision, text = held[call.name]
        event = events.PlatformRead(
            name=call.name, revision=revision, text=text
        )
        self._reply(answer, event)

    def _reply(self, answer, event):
        due_s = self.network.now_s + 0.005
        self.network.call_at(due_s, lambda: answer(event))


class Spread:
    """Join processes by gossip, requests and a platform."""

    def __init__(
        self, *, network, entries, targets, data_centres=6, kind=None
    ):
        self.network = network
        self.kind = kind or aggregate.Propagation
        self.platform = Platform(network)
        self.peers = tuple(
            events.Peer(
                vm_id=f'{role}-{number}',
                role=role,
                data_centre=f'dc{number % data_centres}',
            )
            for role, count in (('entry', entries), ('target', targets))
            for number in range(count)
        )
        self.peers_by_id = {peer.vm_id: peer for peer in self.peers}
        self.nodes_by_id = {}
        self.versions_by_id = {}
        self.applied = []
        self.reports = []
        self.floors_by_id = {}
        self.below_floor = []
        self.kinds = collections.Counter()
        self.most_serves = 0
        self.transfer_s = TRANSFER_S

    def start(self, vm_id):
        """Start a process, also in place of a running one."""
        peer = self.peers_by_id[vm_id]
        node = self.kind(
            vm_id=vm_id,
            role=peer.role,
            data_centre=peer.data_centre,
            site=SITE,
            sites=(SITE,),
            judge=judge,
        )
        self.nodes_by_id[vm_id] = node
        self.versions_by_id[vm_id] = ((), 0)
        self.floors_by_id[vm_id] = (-1, -1)
        others = tuple(p for p in self.peers if p.vm_id != vm_id)
        ticked = events.Ticked()

        def tick(now_s):
            self.feed(vm_id, node, ticked)
            place = int(self.network.random.random() * len(self.peers))
            versions = self.versions_by_id[vm_id]
            other = self.peers[place].vm_id
            self.network.send(vm_id, other, (True, versions))

        def receive(source, message, now_s):
            is_ping, (versions, digest) = message
            own = self.versions_by_id[vm_id]
            if is_ping:
                self.network.send(vm_id, source, (False, own))
            if digest != own[1]:
                self.feed(
                    vm_id,
                    node,
                    events.SummaryReceived(vm_id=source, versions=versions),
                )

        self.network.attach(vm_id, receive, tick, TICK_S)
        self.feed(vm_id, node, events.PeersChanged(peers=others))

    def kill(self, vm_id):
        """Kill a process."""
        self.network.detach(vm_id)
        self.nodes_by_id.pop(vm_id, None)

    def feed(self, vm_id, node, event):
        """Give a process an event, unless it is no longer that process."""
        if self.nodes_by_id.get(vm_id) is not node:
            return
        for made in node.apply(event, now_s=self.network.now_s):
            self.kinds[type(made).__name__] += 1
            self._carry_out(vm_id, node, made)

    def in_force(self):
        """Return the revisions in force and how many have them."""
        return collections.Counter(
            node.in_force for node in self.nodes_by_id.values()
        )

    def _carry_out(self, vm_id, node, made):
        now_s = self.network.now_s
        if isinstance(made, decisions.Apply):
            key = (made.base_revision, made.overlay_revision)
            self.applied.append((now_s, vm_id, node, key))
            floor = self.floors_by_id[vm_id]
            if key[0] < floor[0] or key[1] < floor[1]:
                self.below_floor.append((vm_id, key, floor))
            # Only the first pair of a process has a floor set by peers.
            self.floors_by_id[vm_id] = (-1, -1)
        elif isinstance(made, decisions.Report):
            self.reports.append((vm_id, made))
        elif isinstance(made, decisions.SendSummary):
            digest = composer.digest_versions(made.versions)
            self.versions_by_id[vm_id] = (made.versions, digest)
        elif isinstance(made, decisions.ReadPlatform):
            self.platform.call(
                vm_id, made, lambda event: self.feed(vm_id, node, event)
            )
        else:
            self._request(vm_id, node, made)

    def _request(self, vm_id, node, made):
        due_s = self.network.now_s + self.transfer_s
        if isinstance(made, decisions.RequestState):
            failed = events.StateRequestFailed(vm_id=made.vm_id)
        else:
            failed = events.FetchFailed(
                vm_id=made.vm_id, name=made.name, revision=made.revision
            )
        peer = self.nodes_by_id.get(made.vm_id)
        is_cut = self.network.is_blocked(vm_id, made.vm_id)
        if (
            peer is None
            or is_cut
            or self.network.is_blocked(made.vm_id, vm_id)
        ):
            late_s = self.network.now_s + REQUEST_TIMEOUT_S
            self.network.call_at(
                late_s, lambda: self.feed(vm_id, node, failed)
            )
            return
        event = self._serve(vm_id, node, peer, made) or failed
        self.network.call_at(due_s, lambda: self.feed(vm_id, node, event))

    def _serve(self, vm_id, node, peer, made):
        now_s = self.network.now_s
        request_id = self.kinds.total()
        if isinstance(made, decisions.RequestState):
            asked = events.StateRequested(request_id=request_id, site=SITE)
            (answer,) = peer.apply(asked, now_s=now_s)
            if answer.in_force:
                key = tuple(v.revision for v in answer.in_force)
                self._raise_floor(vm_id, node, key)
            return events.StateReceived(
                vm_id=made.vm_id, held=answer.held, in_force=answer.in_force
            )
        asked = events.DocumentRequested(
            request_id=request_id, name=made.name, revision=made.revision
        )
        (answer,) = peer.apply(asked, now_s=now_s)
        if isinstance(answer, decisions.RefuseDocument):
            return None
        self.kinds['served'] += 1
        self.most_serves = max(self.most_serves, len(peer._serves))
        ended = events.ServeEnded(request_id=request_id)
        self.network.call_at(
            now_s + self.transfer_s, lambda: peer.apply(ended, now_s=now_s)
        )
        return events.DocumentFetched(
            vm_id=made.vm_id,
            name=answer.name,
            revision=answer.revision,
            text=answer.text,
        )

    def _raise_floor(self, vm_id, node, key):
        if not node.is_ready:
            floor = self.floors_by_id[vm_id]
            self.floors_by_id[vm_id] = tuple(map(max, floor, key))

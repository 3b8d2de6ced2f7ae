"""Simulate many ``Propagation`` aggregates, a network and a platform."""

import collections

from savoryyoke.membership import composer
from savoryyoke.propagation import aggregate
from savoryyoke.propagation import decisions
from savoryyoke.propagation import documents
from savoryyoke.propagation import events
from savoryyoke.propagation import validation

SITE = 'north'
TICK_S = 0.25
TRANSFER_S = 0.05
REQUEST_TIMEOUT_S = 1.0
OVERLAY = documents.overlay_name(SITE)


def validate(base_text, overlay_text):
    """Refuse texts that contain ``bad``."""
    text = f'{base_text}|{overlay_text}'
    if 'bad' in text:
        return validation.Refused(faults=(text,))
    return validation.Accepted(digest=text)


class Platform:
    """Simulate the configuration service and count its calls."""

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
        """Publish a revision and answer the calls that wait for it."""
        self.documents[name] = (revision, text)
        waiting, self._watches = self._watches, {}
        for key, (call, answer) in waiting.items():
            if call.name == name:
                self._answer(call, answer, self.documents)
            else:
                self._watches[key] = (call, answer)

    def call(self, vm_id, call, answer):
        """Process one call; pass the resulting event to ``answer``."""
        self.calls_by_second[int(self.network.now_s)] += 1
        self.callers.add(vm_id)
        if self.is_down:
            self._reply(answer, events.PlatformFailed(name=call.name))
        elif self.network.random.random() < self.stale_share:
            self._answer(call, answer, self.stale)
        elif self._revision(call.name, self.documents) > call.after_revision:
            self._answer(call, answer, self.documents)
        else:
            self._watch(vm_id, call, answer)

    def _watch(self, vm_id, call, answer):
        key = (vm_id, call.name)
        self._watches[key] = watch = (call, answer)

        def end():
            if self._watches.get(key) is watch:
                del self._watches[key]
                answer(events.PlatformUnchanged(name=call.name))

        self.network.call_at(self.network.now_s + call.timeout_s, end)

    def _revision(self, name, documents_by_name):
        return documents_by_name.get(name, (-1, ''))[0]

    def _answer(self, call, answer, documents_by_name):
        if call.name not in documents_by_name:
            self._reply(answer, events.PlatformFailed(name=call.name))
            return
        revision, text = documents_by_name[call.name]
        event = events.PlatformRead(
            name=call.name, revision=revision, text=text
        )
        self._reply(answer, event)

    def _reply(self, answer, event):
        due_s = self.network.now_s + 0.005
        self.network.call_at(due_s, lambda: answer(event))


class Spread:
    """Connect processes by gossip, requests and a platform."""

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
        self.most_open_transfers = 0
        self.transfer_s = TRANSFER_S

    def start(self, vm_id):
        """Start a process, or restart a running one."""
        peer = self.peers_by_id[vm_id]
        node = self.kind(
            vm_id=vm_id,
            role=peer.role,
            data_centre=peer.data_centre,
            site=SITE,
            sites=(SITE,),
            validate=validate,
        )
        self.nodes_by_id[vm_id] = node
        self.versions_by_id[vm_id] = ((), 0)
        self.floors_by_id[vm_id] = (-1, -1)
        other_peers = tuple(peer for peer in self.peers if peer.vm_id != vm_id)
        ticked = events.Ticked()

        def tick(now_s):
            self.feed(vm_id, node, ticked)
            index = int(self.network.random.random() * len(self.peers))
            versions = self.versions_by_id[vm_id]
            other_id = self.peers[index].vm_id
            self.network.send(vm_id, other_id, (True, versions))

        def receive(source, message, now_s):
            is_ping, (versions, digest) = message
            own_versions = self.versions_by_id[vm_id]
            if is_ping:
                self.network.send(vm_id, source, (False, own_versions))
            if digest != own_versions[1]:
                self.feed(
                    vm_id,
                    node,
                    events.SummaryReceived(vm_id=source, versions=versions),
                )

        self.network.attach(vm_id, receive, tick, TICK_S)
        self.feed(vm_id, node, events.PeersChanged(peers=other_peers))

    def kill(self, vm_id):
        """Kill a process."""
        self.network.detach(vm_id)
        self.nodes_by_id.pop(vm_id, None)

    def feed(self, vm_id, node, event):
        """Pass an event to a process unless it was replaced by a restart."""
        if self.nodes_by_id.get(vm_id) is not node:
            return
        for decision in node.apply(event, now_s=self.network.now_s):
            self.kinds[type(decision).__name__] += 1
            self._carry_out(vm_id, node, decision)

    def in_force(self):
        """Return the revisions in force and how many have them."""
        return collections.Counter(
            node.in_force for node in self.nodes_by_id.values()
        )

    def _carry_out(self, vm_id, node, decision):
        now_s = self.network.now_s
        if isinstance(decision, decisions.Apply):
            key = (decision.base_revision, decision.overlay_revision)
            self.applied.append((now_s, vm_id, node, key))
            floor = self.floors_by_id[vm_id]
            if key[0] < floor[0] or key[1] < floor[1]:
                self.below_floor.append((vm_id, key, floor))
            # Peers set lower bounds only for the first pair of a process.
            self.floors_by_id[vm_id] = (-1, -1)
        elif isinstance(decision, decisions.Report):
            self.reports.append((vm_id, decision))
        elif isinstance(decision, decisions.SendSummary):
            digest = composer.digest_versions(decision.versions)
            self.versions_by_id[vm_id] = (decision.versions, digest)
        elif isinstance(decision, decisions.ReadPlatform):
            self.platform.call(
                vm_id, decision, lambda event: self.feed(vm_id, node, event)
            )
        else:
            self._request(vm_id, node, decision)

    def _request(self, vm_id, node, decision):
        due_s = self.network.now_s + self.transfer_s
        if isinstance(decision, decisions.RequestState):
            failed = events.StateRequestFailed(vm_id=decision.vm_id)
        else:
            failed = events.FetchFailed(
                vm_id=decision.vm_id,
                name=decision.name,
                revision=decision.revision,
            )
        peer = self.nodes_by_id.get(decision.vm_id)
        is_cut = self.network.is_blocked(vm_id, decision.vm_id)
        if (
            peer is None
            or is_cut
            or self.network.is_blocked(decision.vm_id, vm_id)
        ):
            timeout_at_s = self.network.now_s + REQUEST_TIMEOUT_S
            self.network.call_at(
                timeout_at_s, lambda: self.feed(vm_id, node, failed)
            )
            return
        event = self._serve(vm_id, node, peer, decision) or failed
        self.network.call_at(due_s, lambda: self.feed(vm_id, node, event))

    def _serve(self, vm_id, node, peer, decision):
        now_s = self.network.now_s
        request_id = self.kinds.total()
        if isinstance(decision, decisions.RequestState):
            requested = events.StateRequested(request_id=request_id, site=SITE)
            (answer,) = peer.apply(requested, now_s=now_s)
            if answer.in_force:
                key = tuple(version.revision for version in answer.in_force)
                self._raise_floor(vm_id, node, key)
            return events.StateReceived(
                vm_id=decision.vm_id,
                held=answer.held,
                in_force=answer.in_force,
            )
        requested = events.DocumentRequested(
            request_id=request_id,
            name=decision.name,
            revision=decision.revision,
        )
        (answer,) = peer.apply(requested, now_s=now_s)
        if isinstance(answer, decisions.RefuseDocument):
            return None
        self.kinds['served'] += 1
        self.most_open_transfers = max(
            self.most_open_transfers, len(peer._open_transfers)
        )
        ended = events.ServeEnded(request_id=request_id)
        self.network.call_at(
            now_s + self.transfer_s, lambda: peer.apply(ended, now_s=now_s)
        )
        return events.DocumentFetched(
            vm_id=decision.vm_id,
            name=answer.name,
            revision=answer.revision,
            text=answer.text,
        )

    def _raise_floor(self, vm_id, node, key):
        if not node.is_ready:
            floor = self.floors_by_id[vm_id]
            self.floors_by_id[vm_id] = tuple(map(max, floor, key))

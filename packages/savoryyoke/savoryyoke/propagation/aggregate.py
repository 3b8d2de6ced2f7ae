"""Distribute revisions of the configuration and put them into force."""

import functools

from savoryyoke.propagation import conf
from savoryyoke.propagation import decisions
from savoryyoke.propagation import documents
from savoryyoke.propagation import events
from savoryyoke.propagation import exceptions
from savoryyoke.propagation import fetches
from savoryyoke.propagation import pair_in_force
from savoryyoke.propagation import platform_reads
from savoryyoke.propagation import startup

ReportKind = decisions.ReportKind


class Propagation:
    """Hold the documents of one process and decide which are in force.

    Every process holds the base and the overlays of all ``sites``, and puts
    the base and the overlay of its own ``site`` into force. ``validate``
    is a function of the texts of a base and an overlay that returns
    ``validation.Accepted`` or ``validation.Refused``; it must return the same
    in every process.
    """

    def __init__(
        self,
        *,
        vm_id,
        role,
        data_centre,
        site,
        sites,
        validate,
        settings=conf.DEFAULTS,
    ):
        self._vm_id = vm_id
        self._site = site
        self._settings = settings
        own_names = (documents.BASE, documents.overlay_name(site))
        all_names = (documents.overlay_name(name) for name in sites)
        names = tuple(dict.fromkeys((*own_names, *all_names)))
        self._own_names = own_names
        self._store = documents.DocumentStore(names=names)
        self._pair_in_force = pair_in_force.PairInForce(
            site=site, validate=validate
        )
        self._reader = platform_reads.PlatformReader(
            vm_id=vm_id, role=role, data_centre=data_centre, settings=settings
        )
        self._planner = fetches.FetchPlanner(vm_id=vm_id, settings=settings)
        self._startup = startup.Startup(
            vm_id=vm_id, data_centre=data_centre, settings=settings
        )
        self._peers = ()
        self._open_transfers = set()
        self._reported_conflicts = {}
        self._offered_versions = None
        self._next_repeat_s = 0.0
        self._repeat_count = 0

    @property
    def is_ready(self):
        """Return whether a configuration is in force."""
        return self._pair_in_force.pair is not None

    @property
    def in_force(self):
        """Return the revisions in force, or (-1, -1)."""
        return self._pair_in_force.revisions

    @property
    def seen(self):
        """Return the newest versions stored, in force or not."""
        return self._store.versions()

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Process an event and return a tuple of decisions.

        ``now_s`` is a monotonic time in seconds. Raise ``UnknownEvent`` for
        an unsupported event type.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        self._startup.begin(now_s=now_s)
        emitted = self._request_states()
        emitted.extend(self._apply_newest(now_s))
        emitted.extend(self._repeat_requests(now_s))
        emitted.extend(self._planner.take_fetches(now_s=now_s))
        emitted.extend(self._read_platform(now_s))
        return tuple(emitted)

    @apply.register
    def _(self, event: events.PeersChanged, *, now_s):
        self._peers = event.peers
        self._reader.elect(event.peers)
        return tuple(self._request_states())

    @apply.register
    def _(self, event: events.SummaryReceived, *, now_s):
        emitted = self._compare_versions(event.versions, event.vm_id, now_s)
        emitted.extend(self._planner.take_fetches(now_s=now_s))
        return tuple(emitted)

    @apply.register
    def _(self, event: events.StateReceived, *, now_s):
        emitted = self._compare_versions(event.held, event.vm_id, now_s)
        revisions = self._read_revisions(event.in_force)
        self._startup.record_answer(event.vm_id, revisions)
        if revisions is not None:
            emitted.extend(self._compare_in_force(event, revisions, now_s))
        emitted.extend(self._apply_newest(now_s))
        emitted.extend(self._planner.take_fetches(now_s=now_s))
        return tuple(emitted)

    @apply.register
    def _(self, event: events.StateRequestFailed, *, now_s):
        self._startup.record_failure(event.vm_id)
        return tuple(self._request_states())

    @apply.register
    def _(self, event: events.StateRequested, *, now_s):
        pair = self._pair_in_force.pair
        has_state = pair is not None and event.site == self._site
        return (
            decisions.AnswerState(
                request_id=event.request_id,
                held=self._store.versions(),
                in_force=pair.versions() if has_state else (),
            ),
        )

    @apply.register
    def _(self, event: events.PlatformRead, *, now_s):
        document, emitted = self._read_document(event)
        newest = self._store.newest_revision(event.name)
        is_newer = document is not None and document.revision > newest
        self._reader.end_call(event.name, is_success=is_newer, now_s=now_s)
        if document is None:
            return emitted
        if document.revision < newest:
            return (
                _report(ReportKind.STALE_PLATFORM, event, f'newest={newest}'),
            )
        return (
            *self._check_conflict(document.version()),
            *self._store_document(document, now_s),
        )

    @apply.register
    def _(self, event: events.PlatformUnchanged, *, now_s):
        self._reader.end_call(event.name, is_success=True, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.PlatformFailed, *, now_s):
        self._reader.end_call(event.name, is_success=False, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.DocumentFetched, *, now_s):
        expected = self._planner.expected_digest(event.name, event.revision)
        if expected is None:
            self._planner.succeed(event.name, event.revision)
            return ()
        document, emitted = self._read_document(event)
        if document is None or document.digest != expected:
            self._fail_fetch(event, now_s)
            return emitted or (
                _report(ReportKind.DIGEST_MISMATCH, event, event.vm_id),
            )
        self._planner.succeed(event.name, event.revision)
        return tuple(self._store_document(document, now_s))

    @apply.register
    def _(self, event: events.FetchFailed, *, now_s):
        self._fail_fetch(event, now_s)
        return ()

    @apply.register
    def _(self, event: events.DocumentRequested, *, now_s):
        document = self._store.find(event.name, event.revision)
        is_busy = (
            len(self._open_transfers) >= self._settings.open_transfer_limit
        )
        if document is None or is_busy:
            return (decisions.RefuseDocument(request_id=event.request_id),)
        self._open_transfers.add(event.request_id)
        return (
            decisions.ServeDocument(
                request_id=event.request_id,
                name=document.name,
                revision=document.revision,
                text=document.text,
            ),
        )

    @apply.register
    def _(self, event: events.ServeEnded, *, now_s):
        self._open_transfers.discard(event.request_id)
        return ()

    def _request_states(self):
        return [
            decisions.RequestState(vm_id=vm_id, site=self._site)
            for vm_id in self._startup.choose_peers(self._peers)
        ]

    def _repeat_requests(self, now_s):
        # Peers may have put an older pair into force that this process never
        # received, before they refused the newest one.
        revisions = self._newest_revisions()
        is_newest_refused = self._pair_in_force.is_refused(revisions)
        if (
            not is_newest_refused
            or not self._peers
            or now_s < self._next_repeat_s
        ):
            return []
        self._next_repeat_s = now_s + self._settings.repeat_period_s
        emitted = []
        for _ in range(self._settings.repeat_peer_count):
            self._repeat_count += 1
            # Steps by a prime spread the requests over the peers.
            index = (self._repeat_count * 7919) % len(self._peers)
            emitted.append(
                decisions.RequestState(
                    vm_id=self._peers[index].vm_id, site=self._site
                )
            )
        return emitted

    def _read_platform(self, now_s):
        if self._reader.is_reader:
            names = self._store.names
        elif not self.is_ready and self._startup.needs_platform(now_s=now_s):
            names = self._own_names
        else:
            return ()
        return self._reader.take_calls(
            names=names, store=self._store, now_s=now_s
        )

    def _compare_versions(self, versions, vm_id, now_s):
        emitted = []
        for version in versions:
            if version.name not in self._store:
                continue
            newest = self._store.newest_revision(version.name)
            if version.revision > newest:
                other_digest = self._planner.add_source(
                    version, vm_id=vm_id, now_s=now_s
                )
                emitted.extend(self._report_conflict(version, other_digest))
            elif version.revision == newest:
                emitted.extend(self._check_conflict(version))
        return emitted

    def _check_conflict(self, version):
        stored = self._store.find(version.name, version.revision)
        return self._report_conflict(version, stored and stored.digest)

    def _report_conflict(self, version, digest):
        if digest is None or digest == version.digest:
            return ()
        if self._reported_conflicts.get(version.name) == version.revision:
            return ()
        self._reported_conflicts[version.name] = version.revision
        detail = f'held={digest:x} other={version.digest:x}'
        return (_report(ReportKind.CONFLICTING_CONTENTS, version, detail),)

    def _read_document(self, event):
        is_well_formed = (
            isinstance(event.text, str)
            and type(event.revision) is int
            and event.revision >= 0
            and event.name in self._store
            and len(event.text.encode(errors='replace'))
            <= self._settings.document_limit_bytes
        )
        if not is_well_formed:
            report = _report(
                ReportKind.MALFORMED, event, 'malformed or too large document'
            )
            return None, (report,)
        document = documents.Document(
            name=event.name,
            revision=event.revision,
            text=event.text,
            digest=documents.digest_text(event.text),
        )
        return document, ()

    def _store_document(self, document, now_s):
        emitted = []
        if self._store.put(document):
            self._planner.remove_missing(
                document.name, below=document.revision + 1
            )
            emitted.append(
                decisions.SendSummary(versions=self._store.versions())
            )
        elif self._is_offered(document):
            self._store.retain(document)
        emitted.extend(self._apply_newest(now_s))
        emitted.extend(self._planner.take_fetches(now_s=now_s))
        return emitted

    def _fail_fetch(self, event, now_s):
        self._planner.fail(
            vm_id=event.vm_id,
            name=event.name,
            revision=event.revision,
            now_s=now_s,
        )

    def _read_revisions(self, versions):
        names = tuple(version.name for version in versions)
        if names != self._own_names:
            return None
        return tuple(version.revision for version in versions)

    def _compare_in_force(self, event, revisions, now_s):
        if (
            self._pair_in_force.diverges(revisions)
            and self._pair_in_force.pair is not None
        ):
            return [
                _report(ReportKind.DIVERGED, event.in_force[1], event.vm_id)
            ]
        if not self._pair_in_force.is_newer(revisions):
            return []
        if (
            self._offered_versions is None
            or revisions > self._offered_revisions()
        ):
            self._offered_versions = event.in_force
        for version in event.in_force:
            if self._store.find(version.name, version.revision) is None:
                self._planner.add_source(
                    version, vm_id=event.vm_id, now_s=now_s
                )
        return []

    def _apply_newest(self, now_s):
        if self._startup.awaits_answers(now_s=now_s):
            return []
        if not self._startup.is_complete and self._awaits_documents(now_s):
            return []
        emitted = []
        for pair in (self._newest_pair(), self._offered_pair()):
            if pair is None or not self._may_apply(pair.revisions(), now_s):
                continue
            emitted.extend(self._apply_pair(pair))
        return emitted

    def _awaits_documents(self, now_s):
        if self._startup.is_catch_up_over(now_s=now_s):
            return False
        return any(
            self._planner.is_missing(
                name, above=self._store.newest_revision(name)
            )
            for name in self._own_names
        )

    def _may_apply(self, revisions, now_s):
        return (
            self._pair_in_force.is_newer(revisions)
            and not self._pair_in_force.is_refused(revisions)
            and self._startup.may_apply(revisions, now_s=now_s)
        )

    def _apply_pair(self, pair):
        is_confirmed = self._startup.is_complete or self._startup.is_confirmed
        decision = self._pair_in_force.apply_pair(
            pair, is_confirmed=is_confirmed
        )
        if not isinstance(decision, decisions.Apply):
            return [decision]
        self._startup.is_complete = True
        self._offered_versions = None
        self._store.retain_only((pair.base, pair.overlay))
        if is_confirmed:
            return [decision]
        report = _report(
            ReportKind.UNCONFIRMED,
            pair.overlay,
            'no peer with a configuration in force',
        )
        return [decision, report]

    def _newest_revisions(self):
        return tuple(map(self._store.newest_revision, self._own_names))

    def _newest_pair(self):
        base, overlay = map(self._store.newest, self._own_names)
        if base is None or overlay is None:
            return None
        return documents.Pair(base=base, overlay=overlay)

    def _offered_revisions(self):
        return tuple(version.revision for version in self._offered_versions)

    def _is_offered(self, document):
        return self._offered_versions is not None and any(
            (version.name, version.revision)
            == (document.name, document.revision)
            for version in self._offered_versions
        )

    def _offered_pair(self):
        if self._offered_versions is None:
            return None
        base, overlay = (
            self._store.find(version.name, version.revision)
            for version in self._offered_versions
        )
        if base is None or overlay is None:
            return None
        return documents.Pair(base=base, overlay=overlay)


def _report(kind, subject, detail):
    return decisions.Report(
        kind=kind,
        name=subject.name,
        revision=subject.revision,
        detail=detail,
    )

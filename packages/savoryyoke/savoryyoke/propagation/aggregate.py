"""Spread revisions of the configuration and put them into force."""

import functools

from savoryyoke.propagation import conf
from savoryyoke.propagation import decisions
from savoryyoke.propagation import documents
from savoryyoke.propagation import events
from savoryyoke.propagation import exceptions
from savoryyoke.propagation import fetches
from savoryyoke.propagation import force
from savoryyoke.propagation import platform_reads
from savoryyoke.propagation import startup

ReportKind = decisions.ReportKind


class Propagation:
    """Hold one process's documents and decide what it has in force.

    Every process holds the base and the overlays of all ``sites``; what is
    in force is judged for its own ``site``. ``judge`` takes the texts of a
    base and an overlay and returns ``judgements.Accepted`` or
    ``judgements.Refused``, the same in every process.
    """

    def __init__(
        self,
        *,
        vm_id,
        role,
        data_centre,
        site,
        sites,
        judge,
        settings=conf.DEFAULTS,
    ):
        self._vm_id = vm_id
        self._site = site
        self._settings = settings
        own_names = (documents.BASE, documents.overlay_name(site))
        others = (documents.overlay_name(other) for other in sites)
        names = tuple(dict.fromkeys((*own_names, *others)))
        self._own_names = own_names
        self._store = documents.DocumentStore(names=names)
        self._force = force.ForceKeeper(site=site, judge=judge)
        self._reader = platform_reads.PlatformReader(
            vm_id=vm_id, role=role, data_centre=data_centre, settings=settings
        )
        self._planner = fetches.FetchPlanner(vm_id=vm_id, settings=settings)
        self._startup = startup.Startup(
            vm_id=vm_id, data_centre=data_centre, settings=settings
        )
        self._peers = ()
        self._serves = set()
        self._conflicts = {}
        self._offer = None
        self._ask_again_s = 0.0
        self._asks = 0

    @property
    def is_ready(self):
        """Return whether a configuration is in force."""
        return self._force.pair is not None

    @property
    def in_force(self):
        """Return the revisions in force, or (-1, -1)."""
        return self._force.key

    @property
    def seen(self):
        """Return the newest versions held, whether or not in force."""
        return self._store.versions()

    @functools.singledispatchmethod
    def apply(self, event, *, now_s):
        """Take in an event at a monotonic time; return the decisions.

        Raise UnknownEvent for other events.
        """
        raise exceptions.UnknownEvent(event=event)

    @apply.register
    def _(self, event: events.Ticked, *, now_s):
        self._startup.begin(now_s=now_s)
        made = self._ask_peers()
        made.extend(self._settle(now_s))
        made.extend(self._ask_again(now_s))
        made.extend(self._planner.take_fetches(now_s=now_s))
        made.extend(self._read_platform(now_s))
        return tuple(made)

    @apply.register
    def _(self, event: events.PeersChanged, *, now_s):
        self._peers = event.peers
        self._reader.choose(event.peers)
        return tuple(self._ask_peers())

    @apply.register
    def _(self, event: events.SummaryReceived, *, now_s):
        made = self._note_versions(event.versions, event.vm_id, now_s)
        made.extend(self._planner.take_fetches(now_s=now_s))
        return tuple(made)

    @apply.register
    def _(self, event: events.StateReceived, *, now_s):
        made = self._note_versions(event.held, event.vm_id, now_s)
        key = self._read_in_force(event.in_force)
        self._startup.note_answer(event.vm_id, key)
        if key is not None:
            made.extend(self._consider(event, key, now_s))
        made.extend(self._settle(now_s))
        made.extend(self._planner.take_fetches(now_s=now_s))
        return tuple(made)

    @apply.register
    def _(self, event: events.StateRequestFailed, *, now_s):
        self._startup.note_failure(event.vm_id)
        return tuple(self._ask_peers())

    @apply.register
    def _(self, event: events.StateRequested, *, now_s):
        pair = self._force.pair
        is_known = pair is not None and event.site == self._site
        return (
            decisions.AnswerState(
                request_id=event.request_id,
                held=self._store.versions(),
                in_force=pair.versions() if is_known else (),
            ),
        )

    @apply.register
    def _(self, event: events.PlatformRead, *, now_s):
        document, made = self._read_document(event)
        newest = self._store.newest_revision(event.name)
        is_news = document is not None and document.revision > newest
        self._reader.end(event.name, is_good=is_news, now_s=now_s)
        if document is None:
            return made
        if document.revision < newest:
            return (
                _report(ReportKind.STALE_PLATFORM, event, f'newest={newest}'),
            )
        return (
            *self._find_conflict(document.version()),
            *self._keep(document, now_s),
        )

    @apply.register
    def _(self, event: events.PlatformUnchanged, *, now_s):
        self._reader.end(event.name, is_good=True, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.PlatformFailed, *, now_s):
        self._reader.end(event.name, is_good=False, now_s=now_s)
        return ()

    @apply.register
    def _(self, event: events.DocumentFetched, *, now_s):
        expected = self._planner.expected_digest(event.name, event.revision)
        if expected is None:
            self._planner.succeed(event.name, event.revision)
            return ()
        document, made = self._read_document(event)
        if document is None or document.digest != expected:
            self._fail_fetch(event, now_s)
            return made or (
                _report(ReportKind.DIGEST_MISMATCH, event, event.vm_id),
            )
        self._planner.succeed(event.name, event.revision)
        return tuple(self._keep(document, now_s))

    @apply.register
    def _(self, event: events.FetchFailed, *, now_s):
        self._fail_fetch(event, now_s)
        return ()

    @apply.register
    def _(self, event: events.DocumentRequested, *, now_s):
        document = self._store.find(event.name, event.revision)
        is_busy = len(self._serves) >= self._settings.serves_limit
        if document is None or is_busy:
            return (decisions.RefuseDocument(request_id=event.request_id),)
        self._serves.add(event.request_id)
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
        self._serves.discard(event.request_id)
        return ()

    def _ask_peers(self):
        return [
            decisions.RequestState(vm_id=vm_id, site=self._site)
            for vm_id in self._startup.choose_peers(self._peers)
        ]

    def _ask_again(self, now_s):
        # Others may have put an older pair into force before the newest
        # one was refused, which this process has not heard of.
        key = self._newest_key()
        is_stuck = self._force.is_refused(key)
        if not is_stuck or not self._peers or now_s < self._ask_again_s:
            return []
        self._ask_again_s = now_s + self._settings.ask_again_s
        made = []
        for _ in range(self._settings.peers_asked_again):
            self._asks += 1
            place = (self._asks * 7919) % len(self._peers)
            made.append(
                decisions.RequestState(
                    vm_id=self._peers[place].vm_id, site=self._site
                )
            )
        return made

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

    def _note_versions(self, versions, vm_id, now_s):
        made = []
        for version in versions:
            if version.name not in self._store:
                continue
            newest = self._store.newest_revision(version.name)
            if version.revision > newest:
                other = self._planner.want(version, vm_id=vm_id, now_s=now_s)
                made.extend(self._report_conflict(version, other))
            elif version.revision == newest:
                made.extend(self._find_conflict(version))
        return made

    def _find_conflict(self, version):
        held = self._store.find(version.name, version.revision)
        return self._report_conflict(version, held and held.digest)

    def _report_conflict(self, version, digest):
        if digest is None or digest == version.digest:
            return ()
        if self._conflicts.get(version.name) == version.revision:
            return ()
        self._conflicts[version.name] = version.revision
        detail = f'held={digest:x} other={version.digest:x}'
        return (_report(ReportKind.CONFLICTING_CONTENTS, version, detail),)

    def _read_document(self, event):
        is_whole = (
            isinstance(event.text, str)
            and type(event.revision) is int
            and event.revision >= 0
            and event.name in self._store
            and len(event.text.encode(errors='replace'))
            <= self._settings.document_limit_bytes
        )
        if not is_whole:
            report = _report(ReportKind.MALFORMED, event, 'not a document')
            return None, (report,)
        document = documents.Document(
            name=event.name,
            revision=event.revision,
            text=event.text,
            digest=documents.digest_text(event.text),
        )
        return document, ()

    def _keep(self, document, now_s):
        made = []
        if self._store.put(document):
            self._planner.drop(document.name, below=document.revision + 1)
            made.append(decisions.SendSummary(versions=self._store.versions()))
        elif self._is_offered(document):
            self._store.add_spare(document)
        made.extend(self._settle(now_s))
        made.extend(self._planner.take_fetches(now_s=now_s))
        return made

    def _fail_fetch(self, event, now_s):
        self._planner.fail(
            vm_id=event.vm_id,
            name=event.name,
            revision=event.revision,
            now_s=now_s,
        )

    def _read_in_force(self, versions):
        names = tuple(version.name for version in versions)
        if names != self._own_names:
            return None
        return tuple(version.revision for version in versions)

    def _consider(self, event, key, now_s):
        if self._force.diverges(key) and self._force.pair is not None:
            return [
                _report(ReportKind.DIVERGED, event.in_force[1], event.vm_id)
            ]
        if not self._force.is_newer(key):
            return []
        if self._offer is None or key > self._offer_key():
            self._offer = event.in_force
        for version in event.in_force:
            if self._store.find(version.name, version.revision) is None:
                self._planner.want(version, vm_id=event.vm_id, now_s=now_s)
        return []

    def _settle(self, now_s):
        if self._startup.is_listening(now_s=now_s):
            return []
        if not self._startup.is_over and self._is_behind(now_s):
            return []
        made = []
        for pair in (self._newest_pair(), self._offered_pair()):
            if pair is None or not self._may_try(pair.key(), now_s):
                continue
            made.extend(self._try_pair(pair))
        return made

    def _is_behind(self, now_s):
        if self._startup.is_patience_over(now_s=now_s):
            return False
        return any(
            self._planner.lacks(name, above=self._store.newest_revision(name))
            for name in self._own_names
        )

    def _may_try(self, key, now_s):
        return (
            self._force.is_newer(key)
            and not self._force.is_refused(key)
            and self._startup.may_apply(key, now_s=now_s)
        )

    def _try_pair(self, pair):
        is_confirmed = self._startup.is_over or self._startup.is_confirmed
        made = self._force.try_pair(pair, is_confirmed=is_confirmed)
        if not isinstance(made, decisions.Apply):
            return [made]
        self._startup.is_over = True
        self._offer = None
        self._store.keep_spares((pair.base, pair.overlay))
        if is_confirmed:
            return [made]
        report = _report(
            ReportKind.UNCONFIRMED, pair.overlay, 'no peer with a state'
        )
        return [made, report]

    def _newest_key(self):
        return tuple(map(self._store.newest_revision, self._own_names))

    def _newest_pair(self):
        base, overlay = map(self._store.newest, self._own_names)
        if base is None or overlay is None:
            return None
        return documents.Pair(base=base, overlay=overlay)

    def _offer_key(self):
        return tuple(version.revision for version in self._offer)

    def _is_offered(self, document):
        return self._offer is not None and any(
            (version.name, version.revision)
            == (document.name, document.revision)
            for version in self._offer
        )

    def _offered_pair(self):
        if self._offer is None:
            return None
        base, overlay = (
            self._store.find(version.name, version.revision)
            for version in self._offer
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

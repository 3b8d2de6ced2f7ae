"""Decide which published targets may be at the addresses that they claim."""

import collections


class AddressClaims:
    """Own what answers have shown about targets that share an address.

    Each target is published by a writer of its own, so several can claim one
    address: a target that died stays published for some seconds, in which its
    address may be assigned again, and a writer may publish an address that is
    not its own. Only the process at the address can tell which claim is true:
    it refuses requests for another target.
    """

    def __init__(self):
        self._refuted_claims = frozenset()
        self._confirmed_claims = frozenset()
        self._contested_claims = frozenset()

    def select(self, targets):
        """Return the targets that may be at their address.

        A claim that was refuted doesn't count beside others. A target takes
        the place of those with a lower revision, unless it is draining or of
        another service, data centre or group: it may then get no request whose
        answer would refute its claim.
        """
        self._confirmed_claims &= frozenset(map(_identify, targets))
        targets_by_address = collections.defaultdict(list)
        for target in targets:
            targets_by_address[target.host, target.port].append(target)
        contested = [
            claimants
            for claimants in targets_by_address.values()
            if len(claimants) > 1
        ]
        self._contested_claims = frozenset(
            _identify(target)
            for claimants in contested
            for target in claimants
        )
        self._refuted_claims &= self._contested_claims
        if not contested:
            return tuple(targets)
        dropped_claims = self._contested_claims - {
            _identify(target)
            for claimants in contested
            for target in self._select_claimants(claimants)
        }
        return tuple(
            target
            for target in targets
            if _identify(target) not in dropped_claims
        )

    def refute(self, target):
        """Record that another target is at the address of ``target``.

        Return whether ``select()`` may now return others.
        """
        claim = _identify(target)
        self._confirmed_claims -= {claim}
        if claim not in self._contested_claims - self._refuted_claims:
            return False
        self._refuted_claims |= {claim}
        return True

    def confirm(self, target):
        """Record that ``target`` itself has answered at its address."""
        claim = _identify(target)
        if claim not in self._confirmed_claims:
            self._confirmed_claims |= {claim}

    def is_confirmed(self, target):
        """Return whether a target has answered since it was published."""
        return _identify(target) in self._confirmed_claims

    def _select_claimants(self, claimants):
        """Return those that stay of the targets that claim one address."""
        possible = [
            target
            for target in claimants
            if _identify(target) not in self._refuted_claims
        ]
        # Answers that refute all claims are contradictory.
        possible = possible or claimants
        newest_revision_by_place = {}
        for target in possible:
            if not target.is_draining:
                place = _find_place(target)
                newest_revision_by_place[place] = max(
                    target.revision,
                    newest_revision_by_place.get(place, target.revision),
                )
        return [
            target
            for target in possible
            if target.revision
            >= newest_revision_by_place.get(
                _find_place(target), target.revision
            )
        ]


def _find_place(target):
    return target.service_name, target.data_centre, target.group


def _identify(target):
    return (target.target_id, target.incarnation, target.host, target.port)

"""Keep account of the probes that wait for an answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Hold one open probe of this process."""

    subject_id: str
    sent_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Relay:
    """Hold one open probe that this process makes for another."""

    origin_address: str
    origin_sequence: int
    subject_id: str
    sent_s: float


class ProbeLedger:
    """Number probes and find those that are overdue."""

    def __init__(self):
        self._sequence = 0
        self._probes = {}
        self._relays = {}
        self._reports = {}

    def next_sequence(self):
        """Return a number that no earlier message of this process had."""
        self._sequence += 1
        return self._sequence

    def open_probe(self, *, subject_id, now_s):
        """Open a probe and return its sequence number."""
        sequence = self.next_sequence()
        self._probes[sequence] = Probe(subject_id=subject_id, sent_s=now_s)
        return sequence

    def open_relay(self, *, request, address, now_s):
        """Open a probe for another member; return its sequence number."""
        sequence = self.next_sequence()
        self._relays[sequence] = Relay(
            origin_address=address,
            origin_sequence=request.sequence,
            subject_id=request.subject_id,
            sent_s=now_s,
        )
        return sequence

    def close_probe(self, *, sequence, subject_id):
        """Close the probe that an answer belongs to; return whether one."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject_id != subject_id:
            return False
        del self._probes[sequence]
        self._reports.pop(sequence, None)
        return True

    def close_relay(self, *, sequence, subject_id):
        """Close and return the relay that an answer belongs to, or None."""
        relay = self._relays.get(sequence)
        if relay is None or relay.subject_id != subject_id:
            return None
        return self._relays.pop(sequence)

    def note_relays(self, *, sequence, count):
        """Remember that relays were asked about a probe."""
        if count:
            self._reports[sequence] = 0

    def note_unreached(self, *, sequence, subject_id):
        """Count a relay's report; return whether the probe is open."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject_id != subject_id:
            return False
        self._reports[sequence] = self._reports.get(sequence, 0) + 1
        return True

    def take_failed(self, *, before_s):
        """Remove the probes sent before a time.

        Return pairs of the probe and of whether relays were asked and all
        of them kept silent, which makes this process suspect.
        """
        overdue = [
            sequence
            for sequence, probe in self._probes.items()
            if probe.sent_s < before_s
        ]
        return [
            (
                self._probes.pop(sequence),
                self._reports.pop(sequence, None) == 0,
            )
            for sequence in overdue
        ]

    def find_late(self, *, before_s):
        """Return pairs of sequence and probe that no relay knows yet."""
        return [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.sent_s < before_s and sequence not in self._reports
        ]

    def take_unreached(self, *, before_s):
        """Remove and return the relays started before a time."""
        overdue = [
            sequence
            for sequence, relay in self._relays.items()
            if relay.sent_s < before_s
        ]
        return [self._relays.pop(sequence) for sequence in overdue]

    def discard(self):
        """Forget all open probes and relays; late answers count no more."""
        self._probes.clear()
        self._relays.clear()
        self._reports.clear()

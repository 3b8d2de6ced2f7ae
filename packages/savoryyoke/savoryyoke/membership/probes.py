"""Track the probes that wait for an answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """Describe one open probe of this process."""

    subject_id: str
    sent_s: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RelayedProbe:
    """Describe one open probe that another member requested."""

    origin_address: str
    origin_sequence: int
    subject_id: str
    sent_s: float


class ProbeTracker:
    """Number probes and find those that are overdue."""

    def __init__(self):
        self._sequence = 0
        self._probes = {}
        self._relays = {}
        self._relay_report_counts = {}

    def next_sequence(self):
        """Return a sequence number that this process has not used yet."""
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
        self._relays[sequence] = RelayedProbe(
            origin_address=address,
            origin_sequence=request.sequence,
            subject_id=request.subject_id,
            sent_s=now_s,
        )
        return sequence

    def close_probe(self, *, sequence, subject_id):
        """Close the probe of an answer; return whether it was open."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject_id != subject_id:
            return False
        del self._probes[sequence]
        self._relay_report_counts.pop(sequence, None)
        return True

    def close_relay(self, *, sequence, subject_id):
        """Close and return the relay that an answer belongs to, or None."""
        relay = self._relays.get(sequence)
        if relay is None or relay.subject_id != subject_id:
            return None
        return self._relays.pop(sequence)

    def record_relay_requests(self, *, sequence, count):
        """Record that ``count`` relays were requested for a probe."""
        if count:
            self._relay_report_counts[sequence] = 0

    def record_unreached(self, *, sequence, subject_id):
        """Count a relay's failure report; return whether its probe is open."""
        probe = self._probes.get(sequence)
        if probe is None or probe.subject_id != subject_id:
            return False
        self._relay_report_counts[sequence] = (
            self._relay_report_counts.get(sequence, 0) + 1
        )
        return True

    def remove_overdue_probes(self, *, sent_before_s):
        """Remove and return the probes sent before a time.

        Return pairs of the probe and of whether relays were requested but
        none reported, which indicates a fault of this process.
        """
        overdue_sequences = [
            sequence
            for sequence, probe in self._probes.items()
            if probe.sent_s < sent_before_s
        ]
        return [
            (
                self._probes.pop(sequence),
                self._relay_report_counts.pop(sequence, None) == 0,
            )
            for sequence in overdue_sequences
        ]

    def find_unrelayed(self, *, sent_before_s):
        """Return the probes sent before a time that have no relay.

        Return pairs of the sequence number and the probe.
        """
        return [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if probe.sent_s < sent_before_s
            and sequence not in self._relay_report_counts
        ]

    def remove_overdue_relays(self, *, sent_before_s):
        """Remove and return the relayed probes sent before a time."""
        overdue_sequences = [
            sequence
            for sequence, relay in self._relays.items()
            if relay.sent_s < sent_before_s
        ]
        return [self._relays.pop(sequence) for sequence in overdue_sequences]

    def clear(self):
        """Remove all open probes, so that late answers are ignored."""
        self._probes.clear()
        self._relays.clear()
        self._relay_report_counts.clear()

"""Choose where a suspect request runs."""

import xxhash


def rank_targets(*, fingerprint, target_ids):
    """Return the targets in the order in which a suspect tries them.

    Each entry finds the same order, so that the same request meets
    itself on one target instead of crashing several side by side.
    """
    return tuple(
        sorted(
            target_ids,
            key=lambda target_id: xxhash.xxh64_intdigest(
                fingerprint + target_id.encode()
            ),
        )
    )

"""Choose the targets on which a suspect request runs."""

import xxhash


def rank_targets(*, fingerprint, target_ids):
    """Return the ids of targets in the order in which to try a suspect.

    All entries compute the same order, so that copies of the same request are
    sent to one target and do not crash several targets at once.
    """
    return tuple(
        sorted(
            target_ids,
            key=lambda target_id: xxhash.xxh64_intdigest(
                fingerprint + target_id.encode()
            ),
        )
    )

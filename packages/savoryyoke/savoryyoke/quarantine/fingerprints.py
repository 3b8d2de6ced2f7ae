"""Identify a request by its content, not by its idempotency key."""

import hashlib
import json
import unicodedata

from savoryyoke.quarantine import conf


def compute_fingerprint(*, service, body, ignored_fields=conf.IGNORED_FIELDS):
    """Return the digest of a request's normalised content, 8 bytes.

    JSON bodies that differ only in white space, order of fields, Unicode
    normalisation or ``ignored_fields`` of the outermost object have the same
    fingerprint. Other bodies are hashed without changes.
    """
    digest = hashlib.blake2b(digest_size=conf.FINGERPRINT_BYTES)
    digest.update(service.encode())
    digest.update(b'\0')
    digest.update(_normalize(body, ignored_fields))
    return digest.digest()


def compute_content_digest(*, service, caller, method, target, body):
    """Return the digest of an HTTP request as it was received, 8 bytes.

    ``target`` is the path with the query, and ``caller`` the name of the
    team, or empty. Headers are excluded, since callers change some of them
    with each attempt. The body is hashed without changes.
    """
    digest = hashlib.blake2b(digest_size=conf.FINGERPRINT_BYTES)
    for part in (service.encode(), caller.encode(), method, target, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()


def compute_prompt_part_digests(*, service, part_ids):
    """Return the digests of the parts of a prompt, 8 bytes each.

    ``part_ids`` identify the parts that other requests share, in order.
    Digests don't depend on the position of a part or on the caller.
    """
    return frozenset(
        _compute_prompt_part_digest(service, part_id)
        for part_id in part_ids[: conf.MAX_PROMPT_PARTS]
    )


def _compute_prompt_part_digest(service, part_id):
    digest = hashlib.blake2b(
        digest_size=conf.FINGERPRINT_BYTES, person=b'prompt-part'
    )
    digest.update(service.encode())
    digest.update(b'\0')
    digest.update(part_id.encode())
    return digest.digest()


def _normalize(body, ignored_fields):
    try:
        content = json.loads(body)
        if isinstance(content, dict):
            content = {
                name: value
                for name, value in content.items()
                if name not in ignored_fields
            }
        text = json.dumps(
            content, ensure_ascii=False, sort_keys=True, separators=(',', ':')
        )
    except (ValueError, RecursionError):
        return body
    normalized = unicodedata.normalize('NFC', text)
    return normalized.encode('utf-8', 'surrogatepass')

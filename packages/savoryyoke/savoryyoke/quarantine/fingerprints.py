"""Identify a request by its content, not by its key."""

import hashlib
import json
import unicodedata

from savoryyoke.quarantine import conf


def compute_fingerprint(*, service, body, ignored_fields=conf.IGNORED_FIELDS):
    """Return the digest of a request's normalized content.

    Two JSON bodies that differ only in spacing, order of fields, Unicode
    form or in ``ignored_fields`` of the outermost object have the same
    fingerprint; any other body counts byte by byte.
    """
    digest = hashlib.blake2b(digest_size=conf.FINGERPRINT_BYTES)
    digest.update(service.encode())
    digest.update(b'\0')
    digest.update(_normalize(body, ignored_fields))
    return digest.digest()


def compute_content_digest(*, service, caller, method, target, body):
    """Return the digest of a request as an HTTP caller sent it.

    ``target`` is the path with its query; ``caller`` names the team, or is
    empty. Headers are left out, since callers change some of them with each
    attempt; the body counts byte by byte.
    """
    digest = hashlib.blake2b(digest_size=conf.FINGERPRINT_BYTES)
    for part in (service.encode(), caller.encode(), method, target, body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
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
    normal = unicodedata.normalize('NFC', text)
    return normal.encode('utf-8', 'surrogatepass')

"""Read the bodies of answers from outside, up to a limit."""

from savoryyoke_edge import exceptions


async def read_limited(response, *, limit_bytes):
    """Return the body of an ``httpcore`` response that is being streamed.

    Raise ``BodyTooLarge`` as soon as it exceeds ``limit_bytes``; the rest is
    left unread, and the connection must be closed.
    """
    body = bytearray()
    async for part in response.aiter_stream():
        body += part
        if len(body) > limit_bytes:
            raise exceptions.BodyTooLarge(
                f'the answer exceeds {limit_bytes} bytes'
            )
    return bytes(body)


async def fetch(pool, method, url, *, limit_bytes, headers=None, content=None):
    """Return the response to a request, and its body.

    Raise ``BodyTooLarge``, or the errors of ``httpcore``.
    """
    async with pool.stream(
        method, url, headers=headers, content=content
    ) as response:
        body = await read_limited(response, limit_bytes=limit_bytes)
    return response, body

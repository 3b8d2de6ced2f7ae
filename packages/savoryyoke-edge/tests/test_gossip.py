"""Test the sending of membership datagrams."""

import socket
import types
import unittest

import anyio

from savoryyoke.membership import decisions
from savoryyoke.membership import messages
from savoryyoke_edge.control import gossip


class GossipTests(unittest.IsolatedAsyncioTestCase):
    async def test_flush_during_a_send_loses_no_datagrams(self):
        async with await anyio.create_udp_socket(
            family=socket.AF_INET, local_host='127.0.0.1'
        ) as udp_socket:
            port = udp_socket.extra(anyio.abc.SocketAttribute.local_port)
            send = decisions.Send(
                address=f'127.0.0.1:{port}',
                message=messages.Ack(
                    sender_id='vm-1',
                    sender_incarnation=1,
                    sender_refutation=0,
                    sender_state=messages.MemberState.ALIVE,
                    sequence=1,
                    subject_id='vm-1',
                ),
            )
            membership = types.SimpleNamespace(
                apply=lambda event, now_s: [] if event else [send] * 3
            )
            sender = gossip.Gossip(
                socket=udp_socket,
                membership=membership,
                clock=anyio.current_time,
                tick_s=60.0,
                on_decision=None,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(sender.run)
                await anyio.sleep(0.01)
                sender.feed(None)
                # The sending task has started to send these.
                await anyio.lowlevel.checkpoint()
                sender.feed(None)
                await sender.flush()
                tasks.cancel_scope.cancel()
        self.assertEqual(6, sender.sent_bytes / self.size(send))

    @staticmethod
    def size(send):
        """Return the size in bytes of the datagram of ``send``."""
        return len(gossip.gossip.encode(send.message))

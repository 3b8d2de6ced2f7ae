"""Test the commands that call a running daemon."""

import http.server
import json
import threading
import unittest

from savoryyoke_edge.command_line import results
from tests.commands import console

STATUS = results.ExitStatus
TOKEN = 'hunter2'


class Handler(http.server.BaseHTTPRequestHandler):
    """Imitate the admin address of a daemon."""

    body = b''
    drains = 0

    def do_GET(self):
        """Return the status."""
        self._answer(200 if self.path == '/status' else 404, self.body)

    def do_POST(self):
        """Accept a drain with the right token."""
        if self.headers.get('Authorization') != f'Bearer {TOKEN}':
            self._answer(401, b'the admin token is missing\nor wrong\n')
            return
        type(self).drains += self.path == '/drain'
        self._answer(202, b'draining\n')

    def _answer(self, status, body):
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Write no log."""


class DaemonTest(unittest.TestCase):
    """Test status and drain against a fake daemon."""

    def setUp(self):
        self.handler = type('FreshHandler', (Handler,), {})
        server = http.server.HTTPServer(('127.0.0.1', 0), self.handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        self.address = f'127.0.0.1:{server.server_port}'

    def test_status(self):
        document = {'ready': True, 'links': {'up': 2}, 'sites': ['a b'] * 2}
        self.handler.body = json.dumps(document).encode()
        run = console.run('status', self.address)
        expected = 'ready=true\nlinks.up=2\nsites.0="a b"\nsites.1="a b"\n'
        self.assertEqual((run.status, run.output), (STATUS.OK, expected))
        run = console.run('status', self.address, '--json')
        self.assertEqual(json.loads(run.output), document)

    def test_answer_that_is_not_json(self):
        self.handler.body = b'<html>'
        run = console.run('status', self.address)
        self.assertEqual(run.status, STATUS.REFUSED)
        self.assertIn('not JSON', run.errors)

    def test_drain_needs_the_token(self):
        run = console.run('drain', self.address)
        self.assertEqual(run.status, STATUS.REFUSED)
        self.assertIn('refused with 401', run.errors)
        self.assertIn('SAVORYYOKE_ADMIN_TOKEN', run.errors)
        self.assertEqual(len(run.errors.splitlines()), 1)
        self.assertEqual(self.handler.drains, 0)
        environ = {'SAVORYYOKE_ADMIN_TOKEN': TOKEN}
        run = console.run('drain', self.address, environ=environ)
        self.assertEqual((run.status, run.errors), (STATUS.OK, ''))
        self.assertEqual(self.handler.drains, 1)

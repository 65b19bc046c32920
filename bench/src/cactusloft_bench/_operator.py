"""Client for the admin listener of a daemon."""

import http.client
import json

import attrs

from cactusloft_bench import _hosts

REQUEST_TIMEOUT_S = 15.0


@attrs.frozen
class OperatorAnswer:
    """Response of an admin listener.

    :ivar status: HTTP status, 0 if the daemon cannot be reached.
    :ivar content: decoded JSON body, or None if it is empty.
    """

    status: int
    content: object = None

    @property
    def is_accepted(self):
        """Return whether the status is a success (2xx)."""
        return 200 <= self.status < 300


class Operator:
    """Client that sends an operator's requests to one daemon.

    :param endpoint: ``IP:port`` of its admin listener.
    """

    def __init__(self, endpoint):
        self._endpoint = endpoint

    def ask(self, method, path, body=None):
        """Send a request and return its :class:`OperatorAnswer`."""
        try:
            status, text = self._send(method, path, body)
        except (OSError, http.client.HTTPException):
            return OperatorAnswer(0)
        return OperatorAnswer(status, json.loads(text or 'null'))

    def scrape(self):
        """Return the metrics of the daemon as text.

        :raises OSError: if the daemon cannot be reached.
        """
        _, text = self._send('GET', '/metrics', None)
        return text.decode()

    def _send(self, method, path, body):
        connection = http.client.HTTPConnection(
            self._endpoint, timeout=REQUEST_TIMEOUT_S
        )
        token = _hosts.OPERATOR_TOKEN
        headers = {'Authorization': f'Bearer {token}'}
        content = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def read_status(self):
        """Return the status of the daemon, empty if it cannot be read."""
        response = self.ask('GET', '/v1/status')
        return response.content if response.is_accepted else {}

    def apply(self, base_version, change_id, text):
        """Apply a document and return the :class:`OperatorAnswer`.

        :param base_version: version that the document replaces.
        :param change_id: id that makes a repeated request idempotent.
        :param text: text of the document.
        """
        body = {
            'base_version': base_version,
            'change_id': change_id,
            'text': text,
        }
        return self.ask('POST', '/v1/document', body)

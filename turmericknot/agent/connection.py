"""A single urllib3 connection to a target, used without a connection pool.

Each slot sends one request at a time to its target, one request per task. Request
handling in urllib3's pool (URL parsing, retries, response wrapper) costs more CPU time
than the rest of an agent's work for a task, so requests go through http.client instead.
"""

import http.client
from dataclasses import dataclass

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError

from turmericknot.clients.target_client import TargetClient
from turmericknot.core.addresses import split_address


@dataclass(slots=True)
class TargetResponse:
    """Status and body of an HTTP response."""

    status: int
    data: bytes


class TargetConnection:
    """Single-connection replacement for the pool of a TargetClient; not thread-safe."""

    __slots__ = ("_connection",)

    def __init__(self, connection):
        self._connection = connection

    def urlopen(self, method, path, body, headers, timeout, **options):
        """Send a request once and return its TargetResponse.

        ``options`` are accepted for compatibility with urllib3's pool and ignored.
        Failures to connect raise urllib3's exceptions. Any later failure raises
        ProtocolError, because the target may have received the request.
        """
        connection = self._connection
        if connection.sock is None or not connection.is_connected:
            connection.close()
            connection.timeout = timeout.connect_timeout
            connection.connect()
        connection.sock.settimeout(timeout.read_timeout)
        try:
            http.client.HTTPConnection.request(connection, method, path, body, headers)
            response = http.client.HTTPConnection.getresponse(connection)
            return TargetResponse(response.status, response.read())
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise ProtocolError(
                f"connection failed during the request: {error}", error
            ) from error

    def close(self):
        """Close the connection."""
        self._connection.close()


def create_slot_client(address):
    """Return a TargetClient that uses a single dedicated connection."""
    host, port = split_address(address)
    return TargetClient(address, TargetConnection(HTTPConnection(host, port)))

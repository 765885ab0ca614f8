"""One urllib3 connection to a target, without the pool around it.

A slot calls its target once per task, one call at a time. The request cycle of
urllib3's pool (URL parsing, retries, response wrapper) costs more CPU time than the
rest of an agent's work for a task, so the cycle of the underlying http.client is used.
"""

import http.client
from dataclasses import dataclass

from urllib3.connection import HTTPConnection
from urllib3.exceptions import ProtocolError

from turmericknot.clients.target_client import TargetClient
from turmericknot.core.addresses import split_address


@dataclass(slots=True)
class Reply:
    """Status and body of an answer."""

    status: int
    data: bytes


class TargetConnection:
    """Take the place of the pool of a TargetClient; one call at a time."""

    __slots__ = ("_connection",)

    def __init__(self, connection):
        self._connection = connection

    def urlopen(self, method, path, body, headers, timeout, **options):
        """Send a request once and return its Reply; ``options`` are the pool's.

        Errors of the connect phase are those of urllib3; any later one is a
        ProtocolError, because the request may have arrived.
        """
        connection = self._connection
        if connection.sock is None or not connection.is_connected:
            connection.close()
            connection.timeout = timeout.connect_timeout
            connection.connect()
        connection.sock.settimeout(timeout.read_timeout)
        try:
            http.client.HTTPConnection.request(connection, method, path, body, headers)
            answer = http.client.HTTPConnection.getresponse(connection)
            return Reply(answer.status, answer.read())
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise ProtocolError(f"request broke off: {error}", error) from error

    def close(self):
        """Close the connection."""
        self._connection.close()


def create_slot_client(address):
    """Return a TargetClient with one connection of its own."""
    host, port = split_address(address)
    return TargetClient(address, TargetConnection(HTTPConnection(host, port)))

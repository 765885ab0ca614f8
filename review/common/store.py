"""The project's stand-in for the store, with an address of its own for each machine.

It can turn single machines away while it serves the others, and take the partitions of
a member away at once, without any request.
"""

from tests.standins.store import StoreStandin
from turmericknot.aio.server import Response, create_http_server


class MachineStore(StoreStandin):
    """A store that knows which machine calls by the address that it was given."""

    def __init__(self):
        super().__init__()
        self.refused_machines = set()
        self._servers = []
        self._rotation = 0

    async def open_address(self, machine):
        """Return an address for the calls of one machine."""

        async def handle(request):
            if machine in self.refused_machines:
                return Response(503)
            return await self.handle(request)

        server = create_http_server(handle)
        self._servers.append(server)
        await server.start("127.0.0.1:0")
        host, port = server._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self):
        """Close all addresses."""
        for server in (*self._servers, self.server):
            server.stop()

    def reassign(self, name):
        """Reassign all partitions of a group at once, without any request."""
        group = self.groups[name]
        self._rotation += 1
        for number in list(group.holders):
            group.holders[number] = self._assigned_member(group, number)
        self._start_generation(group)

    def _assigned_member(self, group, number):
        members = sorted(group.members)
        if not members:
            return None
        return members[(number + self._rotation) % len(members)]

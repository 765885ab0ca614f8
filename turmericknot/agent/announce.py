"""HTTP API of an agent, on which its target announces itself and its departure."""

from typing import Annotated

import msgspec

from turmericknot.core.http_server import (
    HttpError,
    create_json_app,
    create_wsgi_server,
    read_json_body,
)
from turmericknot.dispatch import events

HTTP_THREADS = 4
MAX_BODY_BYTES = 64 * 1024

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class AnnounceBody(msgspec.Struct):
    """Body of POST /v1/announce."""

    worker: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    address: Annotated[str, msgspec.Meta(pattern=r"^.+:\d{1,5}$")]
    slots: Annotated[int, msgspec.Meta(ge=0, le=4096)]
    processors: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    memory_mb: NonNegativeInt = 0
    accelerators: NonNegativeInt = 0


class LeavingBody(msgspec.Struct):
    """Body of POST /v1/leaving."""

    worker: str = ""


def create_announce_server(kernel, settings):
    """Return the HTTP server of an agent, not started."""

    def announce(environ):
        body = read_json_body(environ, AnnounceBody)
        kernel.get("runners").set_target_address(body.address)
        announced = events.TargetAnnounced(**msgspec.structs.asdict(body))
        kernel.get("dispatcher").post(announced)
        return 200, {}, []

    def leaving(environ):
        read_json_body(environ, LeavingBody)
        kernel.get("dispatcher").post(events.TargetLeaving())
        return 200, {}, []

    routes = {
        ("POST", "/v1/announce"): announce,
        ("POST", "/v1/leaving"): leaving,
        ("GET", "/v1/status"): lambda environ: (200, kernel.get("status")(), []),
    }

    def route(method, path):
        handler = routes.get((method, path))
        if handler is None:
            raise HttpError(404, "no_such_resource", f"{method} {path}")
        return handler

    return create_wsgi_server(
        settings.announce_address,
        create_json_app(route),
        HTTP_THREADS,
        HTTP_THREADS,
        MAX_BODY_BYTES,
    )

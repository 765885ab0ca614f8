"""Decodes the operator's configuration from the platform's store."""

import msgspec

from turmericknot.aio.server import HttpLimits
from turmericknot.core.exceptions import MessageError
from turmericknot.scheduling.queues import Configuration, Queue, Service

CONFIGURATION_KEY = "config"


class _Route(msgspec.Struct):
    """A queue; ``name`` identifies it across versions."""

    name: str
    host: str
    prefix: str
    service: str
    prio: int = 0  # 0 is the highest
    attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0
    timeout_ms: int = 0  # 0: no time-out


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000


class _Document(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_document_decoder = msgspec.json.Decoder(_Document)


def decode_configuration(data):
    """Decode a Configuration record; raise MessageError if it is malformed."""
    try:
        document = _document_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise MessageError(f"configuration: {error}") from error
    limits = document.limits
    return Configuration(
        version=document.version,
        queues=[_decode_queue(route) for route in document.routes],
        services={
            service.name: Service(service.name, service.enforces_capacity)
            for service in document.services
        },
        limits=HttpLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _decode_queue(route):
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.service,
        priority=route.prio,
        attempts=route.attempts,
        stretch=route.stretch,
        objective=route.slo_ms / 1000,
        timeout=route.timeout_ms / 1000,
    )

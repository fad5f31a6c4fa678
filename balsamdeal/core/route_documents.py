"""Conversion of a configuration to a document with a part for each route, and back.

Nodes send each other deltas between such documents. Only the routes whose parts differ
from a known document are decoded.
"""

import json
from dataclasses import astuple

from balsamdeal.core.routes import Backend, Configuration, HostRoute, Limits
from balsamdeal.documents import build_document
from balsamdeal.errors import ContentError

# Names of the parts that are not routes; names of route parts contain a slash.
SERVICES_PART = "services"
LIMITS_PART = "limits"


def _encode_json(values):
    return json.dumps(values, separators=(",", ":"), ensure_ascii=False)


def _encode_route(route):
    backends = [[backend.service, backend.weight] for backend in route.backends]
    return _encode_json(
        [
            route.name,
            backends,
            int(route.idempotent),
            route.timeout_s,
            route.objective_s,
            route.max_attempts,
            route.rank,
        ]
    )


def _decode_route(prefix, text):
    name, backends, idempotent, timeout_s, objective_s, max_attempts, rank = json.loads(
        text
    )
    return HostRoute(
        name,
        prefix,
        tuple(Backend(service, weight) for service, weight in backends),
        bool(idempotent),
        timeout_s,
        objective_s,
        max_attempts,
        rank,
    )


def make_document(configuration, known=None):
    """Return the ``Document`` of a ``Configuration``.

    :param known: an earlier document whose hashes are reused for equal parts.
    """
    parts = {
        SERVICES_PART: _encode_json(sorted(configuration.services)),
        LIMITS_PART: _encode_json(astuple(configuration.limits)),
    }
    for host, routes in configuration.hosts.items():
        for prefix, route in routes.items():
            parts[host + prefix] = _encode_route(route)
    return build_document(configuration.version, parts, known)


def read_configuration(document, known=None):
    """Return the ``Configuration`` of a document.

    :param document: the ``Document``.
    :param known: an earlier document and its configuration, as a pair; routes whose
        parts are equal are reused.
    :raises ContentError: if a part is missing or cannot be decoded.
    """
    known_document, known_configuration = known or (None, None)
    known_hashes = known_document.hashes if known_document else {}
    hosts = dict(known_configuration.hosts) if known_configuration else {}
    copied_hosts = set()

    def get_writable_routes(host):
        if host not in copied_hosts:
            copied_hosts.add(host)
            hosts[host] = dict(hosts.get(host, {}))
        return hosts[host]

    try:
        for name in known_hashes.keys() - document.hashes.keys():
            host, slash, path = name.partition("/")
            get_writable_routes(host).pop(slash + path)
            if not hosts[host]:
                del hosts[host]
                copied_hosts.discard(host)
        for name, digest in document.hashes.items():
            host, slash, path = name.partition("/")
            if slash and known_hashes.get(name) != digest:
                prefix = slash + path
                get_writable_routes(host)[prefix] = _decode_route(
                    prefix, document.parts[name]
                )
        return Configuration(
            document.version.revision,
            hosts,
            frozenset(json.loads(document.parts[SERVICES_PART])),
            Limits(*json.loads(document.parts[LIMITS_PART])),
        )
    except (KeyError, TypeError, ValueError) as error:
        message = f"not a configuration: {error}"
        raise ContentError(message, "decode", str(document.version.revision)) from error

"""A configuration of routes by host and path prefix, and how a request finds its own.

A ``Configuration`` is immutable and whole: a node runs all of one or none of it.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that takes a part of a route's requests; ``weight`` is relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HostRoute:
    """Where requests go whose path begins with ``prefix``.

    ``timeout_s`` bounds a request's whole stay, ``objective_s`` is the time in which
    an answer is in time, ``max_attempts`` bounds the targets one request is sent to.
    A lower ``rank`` is more urgent.
    """

    name: str
    prefix: str
    backends: tuple[Backend, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    rank: int


@dataclass(frozen=True, slots=True)
class Limits:
    """What callers may send, in bytes, and how long they may take, in seconds."""

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes of one version, by host and then by prefix."""

    version: int
    hosts: dict[str, dict[str, HostRoute]]
    services: frozenset[str]
    limits: Limits = field(default_factory=Limits)

    def match(self, host, path):
        """Return the route of the longest prefix of ``path``, or None.

        :param host: the host that the caller named, a port allowed.
        :param path: the path with or without its query.
        """
        prefixes = self.hosts.get(host) or self.hosts.get(_strip_port(host))
        if not prefixes:
            return None
        path = path.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _strip_port(host):
    name, separator, port = host.rpartition(":")
    return name.lower() if separator and port.isdigit() else host.lower()


class WeightedChoice:
    """Deals requests to a route's backends so that each keeps its share.

    Smooth weighted round robin: over any span the shares differ from the weights by
    less than one request for each backend.
    """

    def __init__(self):
        self._credits = {}

    def choose(self, route):
        """Return the name of the service that the next request goes to."""
        if len(route.backends) == 1:
            return route.backends[0].service
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        for backend in route.backends:
            total += backend.weight
            earned = credits.get(backend.service, 0.0) + backend.weight
            credits[backend.service] = earned
        best = max(route.backends, key=lambda item: credits[item.service])
        credits[best.service] -= total
        return best.service

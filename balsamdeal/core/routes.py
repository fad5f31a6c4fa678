"""A configuration of routes by host and path prefix, and the matching of requests.

A ``Configuration`` is immutable and complete: a node applies all of it or none.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Backend:
    """A service that gets a share of a route's requests; ``weight`` is relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class HostRoute:
    """Route of requests whose path begins with ``prefix``, which ends with a slash.

    ``timeout_s`` bounds the whole time of a request at the proxy. ``objective_s`` is
    the latency objective: an answer within it is in time. ``max_attempts`` bounds the
    number of targets that may receive one request; attempts that reached no target
    don't count. A lower ``rank`` is more urgent.
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
    """Limits on callers' requests, in bytes, and on their connections, in seconds."""

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """All routes of one version, by host and then by prefix.

    ``version`` is the source's revision. ``unknown_words`` describes, for operators,
    what this release does not know and therefore treats with most caution; deltas
    between nodes do not carry it.
    """

    version: int
    hosts: dict[str, dict[str, HostRoute]]
    services: frozenset[str]
    limits: Limits = field(default_factory=Limits)
    unknown_words: tuple[str, ...] = ()

    def match(self, host, path):
        """Return the route of the longest prefix of ``path``, or None.

        :param host: the request's host, with or without a port.
        :param path: the path, with or without a query.
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
    """Distributes the requests of each route over its backends by weight.

    Smooth weighted round robin: the difference between each backend's count and its
    share doesn't grow with the number of requests. It is about one request at most, and
    can exceed one if a route has four or more backends.
    """

    def __init__(self):
        self._credits = {}

    def choose(self, route):
        """Return the name of the service that gets the route's next request."""
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

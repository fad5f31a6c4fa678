"""A configuration of routes by host and path prefix, and the matching of requests.

A ``Configuration`` is immutable and complete: a node applies all of it or none.
"""

import math
from dataclasses import dataclass, field

# The first turn of a route is drawn among this many.
START_TURNS = 100


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

    Credits are in units of the weights, so they belong to a route with these backends:
    if a configuration changes them, the route begins anew. It begins at a random turn:
    all nodes begin at about the same time, and the same backend would get the first
    requests of all of them.

    :param random: a seeded generator.
    """

    def __init__(self, random):
        self._random = random
        self._turns = {}

    def choose(self, route):
        """Return the name of the service that gets the route's next request."""
        if len(route.backends) == 1:
            return route.backends[0].service
        key = (route.name, route.backends)
        turn = self._turns.get(key)
        if turn is None:
            turn = self._turns[key] = _Turn.from_backends(route.backends)
            for _ in range(self._random.randrange(START_TURNS)):
                turn.advance()
        return route.backends[turn.advance()].service

    def keep_routes(self, routes):
        """Drop the state of all routes but these."""
        keys = {
            (route.name, route.backends) for route in routes if len(route.backends) > 1
        }
        for key in self._turns.keys() - keys:
            del self._turns[key]


@dataclass(slots=True)
class _Turn:
    """The turns of the backends of a route: their weights and credits, in their order.

    The weights have been scaled so that no sum of them overflows.
    """

    weights: list[float]
    credits: list[float]

    @classmethod
    def from_backends(cls, backends):
        """Return the state before the first turn."""
        exponent = max(math.frexp(backend.weight)[1] for backend in backends)
        weights = [math.ldexp(backend.weight, -exponent) for backend in backends]
        return cls(weights, [0.0] * len(weights))

    def advance(self):
        """Return the index of the backend whose turn it is, and charge it."""
        best, total = None, 0.0
        for index, weight in enumerate(self.weights):
            if not weight:
                continue
            total += weight
            self.credits[index] += weight
            if best is None or self.credits[index] > self.credits[best]:
                best = index
        self.credits[best] -= total
        return best

"""Which requests may run more than once, while versions of the configuration change.

A caller sends a request by the version that it knows of, nodes put a version in force
at different moments, and a call may outlast several. So a request runs once only if any
version says so that has been in force lately.
"""

from collections import deque

# Operators have a version in force everywhere within 3 s, and within 6 s more while the
# source is disturbed. Callers may go by the version before for as long.
VERSION_MEMORY_S = 10.0
# Versions that are remembered at most: those of 10 s at five a second, as storms bring
# them. Only those count that let less be repeated than the next.
MAX_VERSIONS = 50
# Why a node refuses work that may have run elsewhere.
RUNS_ONCE = "may run once only"


class RepeatRules:
    """Versions that were in force lately and let less be repeated; changed in place."""

    def __init__(self):
        self._current = None
        # Pairs of an earlier ``Configuration`` and when it was replaced, in seconds of
        # the loop's time.
        self._replaced = deque(maxlen=MAX_VERSIONS)

    def set_configuration(self, configuration, now_s):
        """Record the ``Configuration`` that is in force from now on."""
        known = self._current
        self._current = configuration
        if known is not None and _forbids_more(known, configuration):
            self._replaced.append((known, now_s))

    def allow(self, host, path, since_s):
        """Return whether no version says that a request may run once only.

        Versions count that were in force later than VERSION_MEMORY_S before a time; one
        without a route for the request says nothing.

        :param since_s: when the request arrived, by the loop's time in seconds.
        """
        known = [] if self._current is None else [self._current]
        known += [
            configuration
            for configuration, replaced_s in self._replaced
            if replaced_s > since_s - VERSION_MEMORY_S
        ]
        routes = [configuration.match(host, path) for configuration in known]
        return all(route is None or route.idempotent for route in routes)


def _forbids_more(configuration, later):
    """Return whether a version lets some request run once only, and the later does not.

    Versions share the routes that are the same in both.
    """
    for host, routes in configuration.hosts.items():
        later_routes = later.hosts.get(host, {})
        if later_routes is routes:
            continue
        changed = [
            prefix
            for prefix, route in routes.items()
            if later_routes.get(prefix) is not route
        ]
        changed += later_routes.keys() - routes.keys()
        for prefix in changed:
            before = configuration.match(host, prefix)
            after = later.match(host, prefix)
            was_once = before is not None and not before.idempotent
            if was_once and (after is None or after.idempotent):
                return True
    return False

"""Settings of a node that forwards by host and path, as data.

An adapter fills them in from what its platform hands to a process.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Addresses are ``IP:port``; times are in seconds.

    ``node_address`` is where other nodes send work, ``ready_address`` is asked for
    readiness. ``metrics_address`` may be empty. ``stop_bound_s`` is the time between
    a request to stop and a kill. ``repeat_share`` is how many extra attempts the
    operators allow for each request, over all nodes. ``link_mbps`` is the VM's own link
    in Mbit/s, or None if the platform does not tell.
    """

    vm: str
    region: str
    failure_domain: str
    service: str
    caller_address: str
    node_address: str
    ready_address: str
    metrics_address: str
    target_address: str
    source_address: str
    stop_bound_s: float
    repeat_share: float
    seed: int
    link_mbps: float | None = None

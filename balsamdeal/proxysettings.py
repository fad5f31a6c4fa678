"""Settings of a node that forwards by host and path.

An adapter fills them in from the configuration that its platform gives to a process.
"""

from dataclasses import dataclass

from balsamdeal.core.rate_limit import DEFAULT_SETTLE_S

# The memory of the users' smallest VMs, where the platform does not tell it.
SMALL_VM_MEMORY_MB = 128.0


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Addresses are ``IP:port``; times are in seconds.

    ``node_address`` receives work from other nodes, ``ready_address`` receives the
    platform's readiness probes. ``metrics_address`` may be empty. ``stop_bound_s`` is
    the time between a stop request and a kill. ``repeat_share`` is the number of
    retries per request that operators allow, on average over all nodes. ``seed`` is
    the seed of random choices. ``link_mbps`` is the bandwidth of the VM's link in
    Mbit/s, or None if the platform does not specify it. ``limit_settle_s`` is the time
    within which a limit of requests that a target names has to hold. ``memory_mb`` is
    the memory that this process may use, in MB.
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
    limit_settle_s: float = DEFAULT_SETTLE_S
    memory_mb: float = SMALL_VM_MEMORY_MB

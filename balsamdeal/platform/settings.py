"""The settings file that the platform provides to a process."""

import os
import secrets
from pathlib import Path

from balsamdeal.core.rate_limit import DEFAULT_SETTLE_S
from balsamdeal.platform.messages import Address, Message
from balsamdeal.proxysettings import SMALL_VM_MEMORY_MB, ProxySettings

PATH_VARIABLE = "BALSAMDEAL_BOOT"


class ListenMessage(Message):
    """Addresses to listen on.

    ``outbound`` serves the VM's callers, ``inbound`` other nodes, ``ready_address``
    readiness checks.
    """

    outbound: Address
    inbound: Address
    ready_address: Address


class BoundsMessage(Message):
    """Operational limits.

    ``grace_s`` is the time in seconds from a request to stop until the process is
    killed, ``retry_budget_ratio`` the number of retries allowed per request.
    ``stable_window_s`` is the time within which a target's limit of requests has to
    hold.
    """

    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    stable_window_s: float = DEFAULT_SETTLE_S


class VmLimitsMessage(Message):
    """Resources of the VM, and of each of its processes.

    ``link_mbps`` is the bandwidth of its link in Mbit/s, ``memory_mb`` the memory of a
    process in MB.
    """

    link_mbps: float | None = None
    memory_mb: float | None = None


class PlatformMessage(Message):
    """The address of the platform's store."""

    address: Address


class SettingsMessage(Message):
    """The fields of the file that are used.

    ``zone`` is the VM's failure domain, ``app_address`` the address of its target.
    """

    node_name: str
    region: str = ""
    zone: str
    service: str
    app_address: Address
    listen: ListenMessage
    limits: VmLimitsMessage = VmLimitsMessage()
    bounds: BoundsMessage = BoundsMessage()
    platform: PlatformMessage


def get_settings_path():
    """Return the path of the settings file."""
    return Path(os.environ[PATH_VARIABLE])


def make_reader(metrics_port):
    """Return a function that reads the settings file into ``ProxySettings``.

    The random seed is drawn once, so it stays the same when the file is read again.
    The function raises ``KeyError`` if the environment lacks the file's path,
    ``OSError`` if the file cannot be read, and ``ValueError`` if it is invalid.

    :param metrics_port: the port for metrics; 0 for none.
    """
    seed = secrets.randbits(63)

    def read():
        message = SettingsMessage.model_validate_json(get_settings_path().read_bytes())
        ip = message.listen.inbound.rpartition(":")[0]
        return ProxySettings(
            vm=message.node_name,
            region=message.region,
            failure_domain=message.zone,
            service=message.service,
            caller_address=message.listen.outbound,
            node_address=message.listen.inbound,
            ready_address=message.listen.ready_address,
            metrics_address=f"{ip}:{metrics_port}" if metrics_port else "",
            target_address=message.app_address,
            source_address=message.platform.address,
            stop_bound_s=message.bounds.grace_s,
            repeat_share=message.bounds.retry_budget_ratio,
            seed=seed,
            link_mbps=message.limits.link_mbps,
            limit_settle_s=message.bounds.stable_window_s,
            memory_mb=message.limits.memory_mb or SMALL_VM_MEMORY_MB,
        )

    return read

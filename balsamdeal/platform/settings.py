"""The settings file that the platform hands to a process."""

import os
import secrets
from pathlib import Path

from balsamdeal.platform.messages import Message
from balsamdeal.proxysettings import ProxySettings

PATH_VARIABLE = "BALSAMDEAL_BOOT"


class ListenMessage(Message):
    """Addresses of the process: for requesters, for other nodes, for readiness."""

    outbound: str
    inbound: str
    ready_address: str


class BoundsMessage(Message):
    """Figures of the rules that the process goes by."""

    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2


class VmLimitsMessage(Message):
    """What the VM has; ``link_mbps`` is its own link in Mbit/s."""

    link_mbps: float | None = None


class PlatformMessage(Message):
    """Where the store is."""

    address: str


class SettingsMessage(Message):
    """The fields of the file that are used."""

    node_name: str
    region: str = ""
    zone: str
    service: str
    app_address: str
    listen: ListenMessage
    limits: VmLimitsMessage = VmLimitsMessage()
    bounds: BoundsMessage = BoundsMessage()
    platform: PlatformMessage


def get_path():
    """Return the path of the settings file."""
    return Path(os.environ[PATH_VARIABLE])


def make_reader(metrics_port):
    """Return a function that reads the settings, with one seed for all times.

    :param metrics_port: the port for metrics; 0 for none.
    """
    seed = secrets.randbits(63)

    def read():
        message = SettingsMessage.model_validate_json(get_path().read_bytes())
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
        )

    return read

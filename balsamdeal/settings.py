"""Settings of the daemon: flags first, then ``BALSAMDEAL_*`` variables, then defaults.

All invalid settings are reported together, before any socket opens.
"""

import argparse
import ipaddress
from dataclasses import dataclass

from balsamdeal.core.distribution import TREE, VARIANTS
from balsamdeal.core.key_records import KeyPolicy
from balsamdeal.core.node import PAUSE_BOUND_S
from balsamdeal.errors import SettingsError
from balsamdeal.snapshots import Vm

ENVIRONMENT_PREFIX = "BALSAMDEAL_"
LOG_LEVELS = ("debug", "info", "warning", "error")

# A row for each setting: flag, default (None if required), help.
FLAGS = (
    ("vm", None, "name of this VM, as in the VM list"),
    ("region", None, "region of this VM"),
    ("failure-domain", None, "failure domain of this VM"),
    ("service", None, "service of this VM's target"),
    ("caller-address", None, "IP:port to serve callers on"),
    ("peer-address", None, "IP:port to serve other nodes on"),
    ("operator-address", None, "IP:port to serve operators on"),
    ("target-address", None, "IP:port of this VM's target"),
    ("platform-address", None, "IP:port of the configuration source and VM list"),
    ("config-key", "balsamdeal/config", "key of the configuration at the source"),
    ("vms-key", "balsamdeal/vms", "key of the VM list at the source"),
    ("seeds", "", "comma-separated peer addresses to contact at the start"),
    ("distribution", TREE, f"how versions are distributed: {', '.join(VARIANTS)}"),
    ("compare-interval-s", "2.5", "mean time between comparisons with a peer"),
    ("fleet-size", "100", "expected number of nodes, to spread their first reads"),
    ("seed", "0", "seed of random choices; 0 to draw one at the start"),
    ("clock-skew-s", "0.5", "largest clock difference between callers and VMs"),
    ("resend-horizon-s", "30", "longest time that callers resend an undated key"),
    ("max-body-bytes", "1000000", "largest request or answer body, in bytes"),
    ("drain-timeout-s", "30", "longest wait for requests in flight after SIGTERM"),
    ("log-level", "info", f"one of {', '.join(LOG_LEVELS)}"),
)
ADDRESS_FLAGS = (
    "caller-address",
    "peer-address",
    "operator-address",
    "target-address",
    "platform-address",
)


@dataclass(frozen=True, slots=True)
class Settings:
    """Validated settings; sizes in bytes, times in seconds."""

    own_vm: Vm
    caller_address: str
    target_address: str
    platform_address: str
    config_key: str
    vms_key: str
    seeds: tuple[str, ...]
    distribution: str
    compare_interval_s: float
    fleet_size: int
    seed: int
    key_policy: KeyPolicy
    max_body_bytes: int
    drain_timeout_s: float
    log_level: str


def make_parser():
    """Return the argument parser of the daemon."""
    parser = argparse.ArgumentParser(
        prog="balsamdeald",
        description="One node of balsamdeal, beside one target VM.",
        epilog=f"Each flag may be set as {ENVIRONMENT_PREFIX}NAME in the environment.",
    )
    for name, default, text in FLAGS:
        default_text = (
            "required" if default is None else f"default: {default or 'none'}"
        )
        parser.add_argument(f"--{name}", default=None, help=f"{text} ({default_text})")
    return parser


def collect_values(arguments, environment):
    """Return the value of each setting by flag name; None where one is missing.

    :param arguments: the parsed command line.
    :param environment: a mapping such as ``os.environ``.
    """
    values = {}
    for name, default, _ in FLAGS:
        attribute = name.replace("-", "_")
        value = getattr(arguments, attribute)
        if value is None:
            value = environment.get(ENVIRONMENT_PREFIX + attribute.upper(), default)
        values[name] = value
    return values


def _check_address(name, value, faults):
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        faults.append(f"--{name}: {value!r} is not IP:port")


def _parse_number(name, value, kind, low, high, faults):
    try:
        number = kind(value)
    except ValueError:
        faults.append(f"--{name}: {value!r} is not a number")
        return low
    if not low <= number <= high:
        faults.append(f"--{name}: {value} is not between {low} and {high}")
    return number


def _check_choice(name, value, choices, faults):
    if value not in choices:
        faults.append(f"--{name}: {value!r} is not one of {', '.join(choices)}")


def check_settings(values):
    """Return the validated settings.

    :param values: texts by flag name; None where a required one is missing.
    :raises SettingsError: with all faults.
    """
    faults = []
    for name, value in values.items():
        if value is None or (name in ("vm", "service") and not value):
            faults.append(f"--{name}: is required")
    present = {name: value or "" for name, value in values.items()}
    for name in ADDRESS_FLAGS:
        if present[name]:
            _check_address(name, present[name], faults)
    seeds = tuple(item.strip() for item in present["seeds"].split(",") if item.strip())
    for seed in seeds:
        _check_address("seeds", seed, faults)
    _check_choice("distribution", present["distribution"], VARIANTS, faults)
    _check_choice("log-level", present["log-level"], LOG_LEVELS, faults)
    size = _parse_number("fleet-size", present["fleet-size"], int, 1, 100_000, faults)
    compare_s = _parse_number(
        "compare-interval-s", present["compare-interval-s"], float, 0.5, 30, faults
    )
    seed = _parse_number("seed", present["seed"], int, 0, 2**63, faults)
    body = _parse_number(
        "max-body-bytes", present["max-body-bytes"], int, 1024, 2**30, faults
    )
    clock_skew_s = _parse_number(
        "clock-skew-s", present["clock-skew-s"], float, PAUSE_BOUND_S, 60, faults
    )
    resend_horizon_s = _parse_number(
        "resend-horizon-s", present["resend-horizon-s"], float, 1, 300, faults
    )
    drain_s = _parse_number(
        "drain-timeout-s", present["drain-timeout-s"], float, 0, 3600, faults
    )
    listen_addresses = [present[name] for name in ADDRESS_FLAGS[:3] if present[name]]
    if len(set(listen_addresses)) < len(listen_addresses):
        faults.append("caller, peer and operator addresses must differ")
    if faults:
        raise SettingsError(faults)
    own_vm = Vm(
        present["vm"],
        present["region"],
        present["failure-domain"],
        present["service"],
        present["peer-address"],
        present["operator-address"],
        False,
    )
    return Settings(
        own_vm,
        present["caller-address"],
        present["target-address"],
        present["platform-address"],
        present["config-key"],
        present["vms-key"],
        seeds,
        present["distribution"],
        compare_s,
        size,
        seed,
        KeyPolicy(clock_skew_s, resend_horizon_s),
        body,
        drain_s,
        present["log-level"],
    )

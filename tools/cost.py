"""Measures the cost of a node's reducer by size of VM list and configuration.

Runs in one process without sockets, with VM lists and configurations of increasing
size. Writes JSON for ``tools.capacity``.
"""

import argparse
import json
import sys
import time
import tracemalloc
from pathlib import Path

from balsamdeal.core import events
from balsamdeal.core.key_records import KeyPolicy
from balsamdeal.core.node import Node
from balsamdeal.documents import CONFIG, VMS, build_document, compute_delta
from balsamdeal.net import wire
from balsamdeal.snapshots import Vm, render_snapshot
from standins.platform import make_vms_document
from tools.measure import DATA_FOLDER, describe_run

DOMAINS = 7
SERVICES = 29
REPEATS = 5
TICKS = 2000
LOOKUPS = 2000
NOW_S = 4.2  # within the pause bound of the last tick of make_node


def make_vms(count):
    """Return a list of VMs spread over failure domains and services."""
    return [
        Vm(
            f"vm-{number:04}",
            f"region-{number % 2}",
            f"domain-{number % DOMAINS}",
            f"service-{number % SERVICES}",
            f"10.{number % DOMAINS}.{number // 250}.{number % 250}:7002",
            f"10.{number % DOMAINS}.{number // 250}.{number % 250}:7003",
            False,
        )
        for number in range(count)
    ]


def make_config(revision, workspaces, routes=10):
    """Return a configuration document with 29 services and the given workspaces.

    :param routes: the number of routes of each workspace.
    """
    parts = {
        f"services/service-{number}.yaml": (
            "slots: 20\nconnections: 130\n"
            "classes: {lookup: {weight: 8, timeout_s: 1.0}}\n"
        )
        for number in range(SERVICES)
    }
    parts["templates/standard.yaml.j2"] = (
        "routes:\n{% for number in range(count) %}"
        "  - {path: /{{ prefix }}/{{ number }}, methods: [GET], "
        "reach: service-{{ number % 29 }}, class: lookup}\n{% endfor %}"
    )
    for number in range(workspaces):
        parts[f"workspaces/workspace-{number}.yaml"] = (
            "templates: [standard]\n"
            f"parameters: {{prefix: p{number}, count: {routes}}}\n"
        )
    return build_document(revision, parts)


def measure_best(function):
    """Return the shortest duration of repeated calls, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        function()
        times.append(time.perf_counter() - started_s)
    return min(times) * 1000


def make_node(vms, config):
    """Return a node that holds a VM list and a configuration, in steady state."""
    node = Node(vms[0], (), "tree", len(vms), 1, KeyPolicy())
    node.reduce(events.Started(0.0, 0.0))
    for channel, document in ((CONFIG, config), (VMS, make_vms_document(1, vms))):
        node.reduce(events.SourceAnswered(channel, 1, document, 0.1))
    for number in range(40):
        node.reduce(events.Ticked(0.2 + number / 10))
    return node


def measure_vm_list(count):
    """Return time, bytes and memory that a VM list of this length costs."""
    vms = make_vms(count)
    config = make_config(1, 20)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    node = make_node(vms, config)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    old, new = make_vms_document(1, vms), make_vms_document(2, vms[:-1])
    revisions = iter(range(2, 100))

    def apply():
        document = make_vms_document(next(revisions), vms)
        node.reduce(events.SourceAnswered(VMS, 99, document, NOW_S))

    def tick():
        for number in range(TICKS):
            node.reduce(events.Ticked(NOW_S + number / 1000))

    delta = wire.encode_delta(compute_delta(old, new))
    return {
        "vms": count,
        "apply_ms": measure_best(apply),
        "tick_us": measure_best(tick) * 1000 / TICKS,
        "document_bytes": sum(len(part) for part in old.parts.values()),
        "delta_bytes": len(delta),
        "memory_bytes": memory - before,
    }


def measure_config(workspaces):
    """Return time, bytes and memory of a configuration with ten routes a workspace."""
    config = make_config(1, workspaces)
    tracemalloc.start()
    snapshot = render_snapshot(config)
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    changed_parts = dict(config.parts)
    name = "workspaces/workspace-0.yaml"
    changed_parts[name] = changed_parts[name].replace("count: 10", "count: 9")
    changed_config = build_document(2, changed_parts)
    delta = wire.encode_delta(compute_delta(config, changed_config))
    return {
        "workspaces": workspaces,
        "routes": sum(len(routes) for routes in snapshot.routes.values()),
        "render_ms": measure_best(lambda: render_snapshot(config)),
        "change_ms": measure_best(
            lambda: render_snapshot(changed_config, (config, snapshot))
        ),
        "document_bytes": sum(len(part) for part in config.parts.values()),
        "delta_bytes": len(delta),
        "memory_bytes": memory,
    }


def measure_decisions():
    """Return the reducer's processing time per call, in microseconds."""
    vms = make_vms(810)
    node = make_node(vms, make_config(1, 20))

    def call():
        for number in range(LOOKUPS):
            event = events.RequestReceived(
                f"r{number}", "workspace-0", "GET", "/p0/1", "", "", None, True, NOW_S
            )
            for effect in node.reduce(event):
                attempt = getattr(effect, "attempt_id", None)
            node.reduce(events.AttemptFailed(attempt, "read", "x", True, NOW_S))
            node.reduce(events.CallerLeft(f"r{number}", NOW_S))

    return {"vms": 810, "reduce_us_per_call": measure_best(call) * 1000 / LOOKUPS}


def parse_arguments(argv=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default=str(DATA_FOLDER / "costs.json"))
    return parser.parse_args(argv)


def main(argv=None):
    """Run all measurements, write them as JSON and print them."""
    arguments = parse_arguments(argv)
    content = {
        "run": describe_run("tools.cost"),
        "lists": [measure_vm_list(count) for count in (100, 200, 400, 810)],
        "configs": [measure_config(count) for count in (10, 50, 100, 200)],
        "decisions": measure_decisions(),
    }
    Path(arguments.output).write_text(json.dumps(content, indent=1) + "\n")
    for rows in (content["lists"], content["configs"], [content["decisions"]]):
        for row in rows:
            print(row)
    return 0


if __name__ == "__main__":
    sys.exit(main())

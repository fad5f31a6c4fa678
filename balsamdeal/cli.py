"""``balsamdeal``: the operators' tool; reads configurations and nodes, never writes."""

import argparse
import json
import sys
import time
import urllib.error
import urllib.parse
import urllib.request
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from balsamdeal.errors import BalsamdealError, ContentError
from balsamdeal.folders import render_folder

EXIT_OK = 0
EXIT_NEGATIVE = 1
EXIT_USAGE = 2
NODE_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.1
MAX_PARALLEL_FETCHES = 32


class NodeError(BalsamdealError):
    """A node could not be reached at its operators' address."""


def fetch_node(address, path, text=False):
    """Return the body of a node's response at its operators' address.

    Error statuses have a body too, which is returned like any other.

    :param address: ``IP:port``.
    :param path: the path with its query.
    :param text: whether to return the body as text instead of parsed JSON.
    :raises NodeError: when the node does not answer.
    """
    url = f"http://{address}{path}"
    try:
        with urllib.request.urlopen(url, timeout=NODE_TIMEOUT_S) as response:
            body = response.read()
    except urllib.error.HTTPError as error:
        body = error.read()
    except (OSError, ValueError) as error:
        raise NodeError(str(error), "fetch", address) from error
    return body.decode() if text else json.loads(body)


def fetch_all(addresses, path):
    """Return the body of each node's response, or its ``NodeError``, by address.

    :param addresses: operators' addresses, ``IP:port``.
    :param path: the path with its query.
    """

    def fetch(address):
        try:
            return fetch_node(address, path)
        except NodeError as error:
            return error

    with ThreadPoolExecutor(MAX_PARALLEL_FETCHES) as pool:
        return dict(zip(addresses, pool.map(fetch, addresses)))


def _describe_routes(snapshot):
    return [
        {
            "workspace": workspace,
            "methods": sorted(route.methods),
            "path": route.prefix,
            "service": route.service.name,
            "class": route.traffic_class.name,
            "idempotent_methods": sorted(route.idempotent_methods),
            "timeout_s": route.traffic_class.timeout_s,
        }
        for workspace, routes in sorted(snapshot.routes.items())
        for route in routes
    ]


def read_platform_file(path):
    """Return the ``Configuration`` in a file of the platform's format.

    :param path: the path of the file.
    :raises ContentError: when the file is invalid.
    """
    # Imported here because only files of the platform need it.
    from balsamdeal.platform.messages import decode_configuration

    return decode_configuration(Path(path).read_bytes())


def _validate_platform_file(arguments):
    configuration = read_platform_file(arguments.folder)
    summary = {
        "valid": True,
        "version": configuration.version,
        "services": len(configuration.services),
        "hosts": len(configuration.hosts),
        "routes": sum(len(routes) for routes in configuration.hosts.values()),
    }
    if arguments.json:
        print(json.dumps(summary))
    else:
        print(
            f"valid: version {summary['version']}, {summary['services']} services, "
            f"{summary['hosts']} hosts, {summary['routes']} routes"
        )
    return EXIT_OK


def validate(arguments):
    """Check a folder, or a file of the platform's format, offline."""
    try:
        if Path(arguments.folder).is_file():
            return _validate_platform_file(arguments)
        snapshot = render_folder(arguments.folder)
    except ContentError as error:
        fault = {"step": error.step, "part": error.peer, "reason": error.message}
        if arguments.json:
            print(json.dumps({"valid": False, "fault": fault}, ensure_ascii=False))
        else:
            print(f"{error.peer}: {error.step}: {error.message}")
        return EXIT_NEGATIVE
    count = sum(len(routes) for routes in snapshot.routes.values())
    summary = {
        "valid": True,
        "services": len(snapshot.services),
        "workspaces": len(snapshot.routes),
        "routes": count,
        "digest": snapshot.version.digest,
    }
    if arguments.json:
        print(json.dumps(summary))
    else:
        print(
            f"valid: {summary['services']} services, {summary['workspaces']} "
            f"workspaces, {count} routes, digest {summary['digest']}"
        )
    return EXIT_OK


def render(arguments):
    """Print the routes that a folder renders to."""
    try:
        routes = _describe_routes(render_folder(arguments.folder))
    except ContentError as error:
        print(f"{error.peer}: {error.step}: {error.message}", file=sys.stderr)
        return EXIT_NEGATIVE
    if arguments.json:
        print(json.dumps(routes, ensure_ascii=False))
        return EXIT_OK
    for route in routes:
        methods = ",".join(route["methods"])
        print(
            f"{route['workspace']}: {methods} {route['path']} -> {route['service']} "
            f"({route['class']}, {route['timeout_s']:g} s)"
        )
    return EXIT_OK


def _print_status(address, status):
    config = status["channels"]["config"]
    print(
        f"{status['vm']} ({status['failure_domain']}) revision {config['revision']} "
        f"digest {config['digest']} age {config['age_s']} s, source "
        f"{config['source_state']}, heard {status['source_age_s']} s ago, "
        f"{'ready' if status['ready'] else 'not ready'}"
    )
    if config["source_reason"]:
        print(f"  source: {config['source_reason']}")
    rejected = config["last_rejected"]
    if rejected:
        print(f"  rejected revision {rejected['revision']}: {rejected['reason']}")


def show_status(arguments):
    """Print the status of each node; the result is negative if one does not answer."""
    answers = fetch_all(arguments.nodes, "/status")
    failed = False
    report = {}
    for address, answer in answers.items():
        if isinstance(answer, NodeError):
            failed = True
            report[address] = {"error": str(answer)}
            if not arguments.json:
                print(f"{address}: no answer: {answer.message}")
            continue
        report[address] = answer
        if not arguments.json:
            _print_status(address, answer)
    if arguments.json:
        print(json.dumps(report, ensure_ascii=False))
    return EXIT_NEGATIVE if failed else EXIT_OK


def _explain_platform_file(arguments):
    host = arguments.workspace
    try:
        configuration = read_platform_file(arguments.node)
    except ContentError as error:
        print(f"{error.peer}: {error.step}: {error.message}", file=sys.stderr)
        return EXIT_NEGATIVE
    route = configuration.match(host, arguments.path)
    answer = {"version": configuration.version}
    if route is not None:
        answer |= {
            "route": route.name,
            "prefix": route.prefix,
            "services": {item.service: item.weight for item in route.backends},
            "idempotent": route.idempotent,
            "timeout_s": route.timeout_s,
            "objective_s": route.objective_s,
            "max_attempts": route.max_attempts,
            "rank": route.rank,
        }
    if arguments.json:
        print(json.dumps(answer, ensure_ascii=False))
    elif route is None:
        print(f"no route for {host}{arguments.path} in version {answer['version']}")
    else:
        parts = ", ".join(f"{name} {w:g}" for name, w in answer["services"].items())
        kind = "idempotent" if route.idempotent else "not idempotent"
        print(
            f"{host}{arguments.path} -> {parts} by route {route.name} ({route.prefix}) "
            f"of version {answer['version']}, {kind}, timeout {route.timeout_s:g} s"
        )
    return EXIT_OK if route is not None else EXIT_NEGATIVE


def explain(arguments):
    """Print the route of a request, from a node or from a file."""
    if Path(arguments.node).is_file():
        return _explain_platform_file(arguments)
    query = urllib.parse.urlencode(
        {
            "workspace": arguments.workspace,
            "method": arguments.method,
            "path": arguments.path,
        }
    )
    answer = fetch_node(arguments.node, f"/explain?{query}")
    if arguments.json:
        print(json.dumps(answer, ensure_ascii=False))
    elif "route" not in answer:
        print(answer["reason"])
    else:
        print(
            f"{arguments.method} {arguments.path} -> {answer['service']} by route "
            f"{answer['route']} of revision {answer['revision']}, class "
            f"{answer['class']}, "
            f"{'idempotent' if answer['idempotent'] else 'not idempotent'}"
        )
        for item in answer["candidates"]:
            state = "usable" if item["usable"] else ", ".join(item["reasons"])
            print(
                f"  {item['vm']} ({item['failure_domain']}): {state}, utilization "
                f"{item['utilization']}, latency {item['latency_ms']} ms"
            )
    return EXIT_OK if "route" in answer else EXIT_NEGATIVE


def _is_in_force(answer, revision, digest):
    if isinstance(answer, NodeError):
        return False
    held = answer["channels"]["config"]
    if digest and held["revision"] == revision and held["digest"] != digest:
        return False
    return held["revision"] >= revision


def wait(arguments):
    """Poll until a revision, or a newer one, is in force on each node.

    The result is negative if that takes longer than the argument ``timeout_s``.
    A node that runs the revision with another digest does not count.
    """
    deadline_s = time.monotonic() + arguments.timeout_s
    last = -1
    while True:
        answers = fetch_all(arguments.nodes, "/status")
        in_force = [
            address
            for address, answer in answers.items()
            if _is_in_force(answer, arguments.revision, arguments.digest)
        ]
        missing = sorted(set(answers) - set(in_force))
        if len(in_force) != last and not arguments.json:
            last = len(in_force)
            print(f"in force on {last} of {len(answers)} nodes", flush=True)
        done = not missing
        if done or time.monotonic() >= deadline_s:
            break
        time.sleep(POLL_INTERVAL_S)
    if arguments.json:
        print(json.dumps({"in_force": len(in_force), "missing": missing}))
    elif missing:
        print("not in force on: " + ", ".join(missing))
    return EXIT_OK if done else EXIT_NEGATIVE


def show_metrics(arguments):
    """Print a node's counters and latencies."""
    if arguments.json:
        print(json.dumps(fetch_node(arguments.node, "/metrics.json")))
    else:
        print(fetch_node(arguments.node, "/metrics", text=True), end="")
    return EXIT_OK


def make_parser():
    """Return the argument parser of the operators' tool."""
    parser = argparse.ArgumentParser(prog="balsamdeal", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)

    def add_command(name, function, text):
        command = commands.add_parser(name, help=text, description=text)
        command.add_argument("--json", action="store_true", help="print JSON")
        command.set_defaults(run=function)
        return command

    command = add_command("validate", validate, "check a configuration, offline")
    command.add_argument("folder", help="a folder, or a file of the platform's format")
    command = add_command("render", render, "print the routes of a folder, offline")
    command.add_argument("folder")
    command = add_command("status", show_status, "print the status of each node")
    command.add_argument("nodes", nargs="+", help="operators' addresses, IP:port")
    command = add_command("explain", explain, "print where a request would go, and why")
    command.add_argument("node", help="a node's operators' address, or a file")
    command.add_argument("workspace", help="a workspace; with a file, a host")
    command.add_argument("path")
    command.add_argument("--method", default="GET")
    command = add_command("wait", wait, "wait until a revision is in force everywhere")
    command.add_argument("revision", type=int)
    command.add_argument("nodes", nargs="+", help="operators' addresses, IP:port")
    command.add_argument("--digest", default="", help="expected digest")
    command.add_argument("--timeout-s", type=float, default=30.0)
    command = add_command(
        "metrics", show_metrics, "print a node's counters and latencies"
    )
    command.add_argument("node", help="a node's operators' address")
    return parser


def parse_arguments(argv=None):
    """Return the parsed command line.

    :param argv: the command line without the program's name.
    """
    return make_parser().parse_args(argv)


def main(argv=None):
    """Run the tool; return 0, 1 for a negative result, 2 for wrong usage.

    :param argv: the command line without the program's name.
    """
    arguments = parse_arguments(argv)
    try:
        return arguments.run(arguments)
    except NodeError as error:
        print(f"balsamdeal: {error}", file=sys.stderr)
        return EXIT_NEGATIVE


if __name__ == "__main__":
    sys.exit(main())

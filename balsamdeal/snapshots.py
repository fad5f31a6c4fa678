"""Snapshots: fully rendered configuration versions, with all references checked.

Rendering is a pure function of a document's parts, so all nodes accept or reject the
same versions.
"""

import json
from dataclasses import dataclass

import yaml
from pydantic import ValidationError

from balsamdeal.documents import Version
from balsamdeal.errors import ContentError
from balsamdeal.models import RenderedTemplate, ServiceModel, VmListPart, WorkspaceModel
from balsamdeal.templates import TemplateSet

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
MAX_PART_BYTES = 1_000_000
YAML_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


@dataclass(frozen=True, slots=True)
class TrafficClass:
    """A class of a service's traffic.

    ``timeout_s`` bounds a whole call, with all its attempts. ``hedge_after_s`` is the
    time after which an idempotent request may get a second, concurrent attempt; None
    for never. Times are in seconds.
    """

    name: str
    weight: float
    timeout_s: float
    hedge_after_s: float | None


@dataclass(frozen=True, slots=True)
class Service:
    """A service: concurrency and connection limits of each of its targets."""

    name: str
    slots: int
    connections: int
    classes: dict[str, TrafficClass]


@dataclass(frozen=True, slots=True)
class Route:
    """How a workspace's requests that match ``methods`` and ``prefix`` are handled.

    ``share`` scales the weight of the traffic class for this workspace.
    """

    workspace: str
    methods: frozenset[str]
    prefix: str
    service: Service
    traffic_class: TrafficClass
    idempotent_methods: frozenset[str]
    share: float

    def is_idempotent(self, method):
        """Return whether a request with this method may run more than once."""
        return method in self.idempotent_methods


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All routes and services of one version."""

    version: Version
    services: dict[str, Service]
    routes: dict[str, tuple[Route, ...]]


@dataclass(frozen=True, slots=True)
class Vm:
    """An entry of the VM list; ``leaving`` VMs get no new work."""

    name: str
    region: str
    failure_domain: str
    service: str
    peer_address: str
    operator_address: str
    leaving: bool


def describe_validation(error):
    """Return the faults of a pydantic error on one line, each with its field."""
    faults = []
    for fault in error.errors():
        field = ".".join(str(item) for item in fault["loc"]) or "document"
        faults.append(f"field {field}: {fault['msg']}")
    return "; ".join(faults)


def parse_part(model, name, content):
    """Return a YAML part as a validated model.

    :param model: the pydantic class.
    :param name: the part's name, for errors.
    :param content: the YAML text.
    :raises ContentError: with the invalid line or field.
    """
    try:
        return model.model_validate(yaml.load(content, Loader=YAML_LOADER))
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = f"line {mark.line + 1}: " if mark else ""
        problem = getattr(error, "problem", None) or "not YAML"
        raise ContentError(f"{line}{problem}", "parse", name) from error
    except ValidationError as error:
        raise ContentError(describe_validation(error), "validate", name) from error
    except RecursionError as error:
        raise ContentError("nested too deeply", "parse", name) from error


def _check_size(name, content):
    if len(content.encode()) > MAX_PART_BYTES:
        raise ContentError(
            f"{len(content.encode())} bytes, at most {MAX_PART_BYTES} are allowed",
            "size",
            name,
        )


def _build_service(name, model):
    classes = {
        class_name: TrafficClass(
            class_name, item.weight, item.timeout_s, item.hedge_after_s
        )
        for class_name, item in model.classes.items()
    }
    return Service(name, model.slots, model.connections, classes)


def _index_parts(parts, folder):
    prefix = folder + "/"
    names_by_stem = {}
    for name in sorted(parts):
        if name.startswith(prefix):
            stem = name[len(prefix) :].split(".", 1)[0]
            if stem in names_by_stem:
                raise ContentError(f"a second part named {stem}", "collect", name)
            names_by_stem[stem] = name
    return names_by_stem


def _build_route(workspace, model, item, services, template_name):
    service = services.get(item.reach)
    if service is None:
        raise ContentError(
            f"routes.{item.path}: unknown service {item.reach!r}; "
            f"known are {', '.join(sorted(services)) or 'none'}",
            "resolve",
            template_name,
        )
    traffic_class = service.classes.get(item.traffic_class)
    if traffic_class is None:
        raise ContentError(
            f"routes.{item.path}: service {item.reach} has no class "
            f"{item.traffic_class!r}",
            "resolve",
            template_name,
        )
    methods = frozenset(item.methods)
    idempotent = methods if item.idempotent else methods & IDEMPOTENT_METHODS
    if item.idempotent is False:
        idempotent = frozenset()
    return Route(
        workspace, methods, item.path, service, traffic_class, idempotent, model.share
    )


def _render_workspace(workspace, part_name, content, templates, services):
    model = parse_part(WorkspaceModel, part_name, content)
    routes = []
    for template in model.templates:
        name = f"templates/{template} for {part_name}"
        text = templates.render(template, model.parameters, part_name)
        _check_size(name, text)
        rendered = parse_part(RenderedTemplate, name, text)
        for item in rendered.routes:
            routes.append(_build_route(workspace, model, item, services, name))
    seen = set()
    for route in routes:
        for method in route.methods:
            if (method, route.prefix) in seen:
                raise ContentError(
                    f"two routes for {method} {route.prefix}", "resolve", part_name
                )
            seen.add((method, route.prefix))
    routes.sort(key=lambda route: len(route.prefix), reverse=True)
    return tuple(routes)


def render_snapshot(document, known=None):
    """Return the snapshot of a configuration document.

    :param document: a whole document of the channel ``config``.
    :param known: a pair of an earlier document and its snapshot, whose unchanged
        workspaces are reused instead of being rendered again.
    :raises ContentError: when any part is invalid; the whole version is rejected.
    """
    for name, content in document.parts.items():
        _check_size(name, content)
    services = {
        stem: _build_service(stem, parse_part(ServiceModel, name, document.parts[name]))
        for stem, name in _index_parts(document.parts, "services").items()
    }
    sources = {
        stem: document.parts[name]
        for stem, name in _index_parts(document.parts, "templates").items()
    }
    templates = TemplateSet(sources)
    reusable = _find_reusable(document, known)
    if reusable:
        services = known[1].services
    routes = {}
    for stem, name in _index_parts(document.parts, "workspaces").items():
        content = document.parts[name]
        if name in reusable:
            routes[stem] = known[1].routes[stem]
        else:
            routes[stem] = _render_workspace(stem, name, content, templates, services)
    if not services or not routes:
        raise ContentError("no services or no workspaces", "collect", "document")
    return Snapshot(document.version, services, routes)


def _find_reusable(document, known):
    """Return the names of workspace parts that render as in a known document.

    A workspace depends on its own part and on all templates and services.
    """
    if known is None:
        return frozenset()
    unchanged = {
        name
        for name, digest in document.hashes.items()
        if known[0].hashes.get(name) == digest
    }
    shared_parts = {
        name
        for name in {*document.hashes, *known[0].hashes}
        if not name.startswith("workspaces/")
    }
    if not shared_parts <= unchanged:
        return frozenset()
    return unchanged - shared_parts


def read_vms(document):
    """Return the VMs of a document of the channel ``vms``, by name.

    :param document: a whole document, one JSON part for each failure domain.
    :raises ContentError: when an entry is invalid.
    """
    vms = {}
    for name, content in document.parts.items():
        try:
            part = VmListPart.model_validate(json.loads(content))
        except ValueError as error:
            message = str(error).replace("\n", " ")
            raise ContentError(message, "validate", name) from error
        for item in part.vms:
            vms[item.vm] = Vm(
                item.vm,
                item.region,
                item.failure_domain,
                item.service,
                item.peer_address,
                item.operator_address,
                item.state == "leaving",
            )
    return vms


def match_route(snapshot, workspace, method, path):
    """Return the route with the longest matching prefix, or None.

    :param snapshot: the snapshot in force.
    :param workspace: the caller's workspace.
    :param method: the HTTP method.
    :param path: the path without its query.
    """
    for route in snapshot.routes.get(workspace, ()):
        if method not in route.methods:
            continue
        if path == route.prefix or path.startswith(route.prefix.rstrip("/") + "/"):
            return route
    return None

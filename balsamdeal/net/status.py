"""Readiness, status and route explanations of a node, for operators."""

from balsamdeal.documents import CONFIG
from balsamdeal.snapshots import match_route


def is_ready(node):
    """Return whether the node serves callers."""
    distribution = node.distribution
    return not (distribution.starting or distribution.draining)


def _describe_channel(state, now_s, wall_offset_s):
    source = state.source
    applied_at_s = state.applied_s + wall_offset_s if state.document else None
    rejected = None
    if state.rejected:
        version = max(state.rejected)
        rejected = {
            "revision": version.revision,
            "digest": version.digest,
            "reason": state.rejected[version],
        }
    return {
        "revision": state.version.revision,
        "digest": state.version.digest,
        "age_s": round(now_s - state.applied_s, 2) if state.document else None,
        "applied_at_s": applied_at_s and round(applied_at_s, 3),
        "source_state": source.state,
        "source_reason": source.reason,
        "last_rejected": rejected,
    }


def describe(node, now_s):
    """Return a node's status as a dictionary for JSON.

    :param node: the ``Node``.
    :param now_s: the loop's time in seconds.
    """
    distribution = node.distribution
    load = node.work.make_load()
    age_s = distribution.sources.get_contact_age_s(now_s)
    wall_offset_s = distribution.started_wall_s - distribution.started_s
    return {
        "vm": node.own.name,
        "region": node.own.region,
        "failure_domain": node.own.failure_domain,
        "service": node.own.service,
        "ready": is_ready(node),
        "draining": distribution.draining,
        "distribution": distribution.variant,
        "source_age_s": None if age_s is None else round(age_s, 2),
        "watches": {
            channel: node.membership.is_watcher(channel, now_s)
            for channel in distribution.channels
        },
        "channels": {
            channel: _describe_channel(state, now_s, wall_offset_s)
            for channel, state in distribution.channels.items()
        },
        "vms_known": len(node.membership.vms),
        "load": {"busy": load.busy, "queued": load.queued, "slots": load.slots},
        "remembered_keys": len(node.work.key_records.records),
    }


def _describe_candidate(node, vm, service, now_s):
    stats = node.routing.get_stats(vm.name)
    membership = node.membership
    reasons = []
    if vm.leaving:
        reasons.append("leaving")
    if not vm.leaving and not membership.accepts_work(vm, now_s):
        reasons.append("draining")
    if membership.is_suspected(vm.peer_address, now_s):
        reasons.append("unreachable a short while ago")
    if now_s < stats.ejected_until_s:
        reasons.append("ejected after failures")
    return {
        "vm": vm.name,
        "failure_domain": vm.failure_domain,
        "own_domain": vm.failure_domain == node.own.failure_domain,
        "usable": not reasons,
        "reasons": reasons,
        "utilization": round(
            node.routing.estimate_utilization(vm, service.slots, now_s), 3
        ),
        "latency_ms": round(stats.latency_s * 1000, 3),
    }


def explain(node, workspace, method, path, now_s):
    """Return the route of a request and its candidate targets, or why there is none.

    :param node: the ``Node``.
    :param workspace: the caller's workspace.
    :param method: the HTTP method.
    :param path: the path.
    :param now_s: the loop's time in seconds.
    """
    snapshot = node.distribution.snapshot
    if snapshot is None:
        return {"reason": "no configuration is in force"}
    route = match_route(snapshot, workspace, method, path)
    if route is None:
        known = sorted(snapshot.routes)
        return {"reason": f"no route for {method} {path}", "workspaces": known}
    service = route.service
    version = node.distribution.channels[CONFIG].version
    return {
        "revision": version.revision,
        "workspace": workspace,
        "route": route.prefix,
        "service": service.name,
        "class": route.traffic_class.name,
        "timeout_s": route.traffic_class.timeout_s,
        "idempotent": route.is_idempotent(method),
        "candidates": [
            _describe_candidate(node, vm, service, now_s)
            for vm in node.membership.list_service(service.name)
        ],
    }

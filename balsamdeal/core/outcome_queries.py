"""Callers' queries for the outcome of a key.

A query bars the key at each VM of the service where it has not started to run.
"""

import json
from dataclasses import dataclass, field

from balsamdeal.core import effects, key_records
from balsamdeal.core.replies import ANSWERED, NOT_RUN, UNKNOWN, Reply, make_unknown
from balsamdeal.documents import VMS

QUERY_TIMER = "question"
QUERY_TIMEOUT_S = 2.0


@dataclass(slots=True)
class OutcomeQuery:
    """A caller's query, with the findings of ``expected`` VMs."""

    event: object
    expected: int
    findings: list = field(default_factory=list)


class OutcomeQueries:
    """Queries that are not answered yet; changed in place.

    :param distribution: the ``Distribution``, for versions and start times.
    :param policy: the ``key_records.KeyPolicy``.
    """

    def __init__(self, distribution, policy):
        self.distribution = distribution
        self.membership = distribution.membership
        self.policy = policy
        self.queries = {}

    def begin(self, event):
        """Inquire about a key at all VMs of a service, which bars it there."""
        vms = list(self.membership.list_service(event.service))
        if not vms:
            reply = make_unknown("ask", event.service, "no VM of this service is known")
            return [effects.AnswerCaller(event.request_id, reply, "", "", "", 0)]
        self.queries[event.request_id] = OutcomeQuery(event, len(vms))
        result = [
            effects.SendInquiry(
                event.request_id, vm.name, vm.peer_address, event.key, ""
            )
            for vm in vms
        ]
        at_s = event.now_s + QUERY_TIMEOUT_S
        return [*result, effects.SetTimer(QUERY_TIMER, event.request_id, at_s)]

    def handle_finding(self, event):
        """Collect a VM's finding, and answer the query after the last one."""
        query = self.queries.get(event.subject)
        if query is None:
            return []
        query.findings.append(event.finding)
        if len(query.findings) < query.expected:
            return []
        return self.finish(event.subject, event.now_s)

    def finish(self, subject, now_s):
        """Answer a query from the findings collected so far.

        The state in the answer is running or done, not-run if that is proved, or else
        unknown.

        :param subject: the id of the caller's request.
        :param now_s: the loop's time in seconds.
        """
        query = self.queries.pop(subject, None)
        if query is None:
            return []
        state, vm = self._determine_outcome(query, now_s)
        body = json.dumps({"state": state, "vm": vm}).encode()
        headers = (("Content-Type", "application/json"),)
        reply = Reply(ANSWERED, 200, headers, body)
        return [effects.AnswerCaller(subject, reply, "", "", "", 0)]

    def _determine_outcome(self, query, now_s):
        event = query.event
        distribution = self.distribution
        for finding in query.findings:
            if finding.state in (key_records.RUNNING, key_records.DONE):
                return finding.state, finding.vm
        removed_vms = [
            name
            for name, (item, _) in self.membership.removed_vms.items()
            if item.service == event.service
        ]
        has_missing = len(query.findings) < query.expected
        own_revision = distribution.channels[VMS].version.revision
        # A newer VM list may contain a VM that received no inquiry.
        has_newer_list = any(
            item.vms_revision > own_revision for item in query.findings
        )
        wall_s = distribution.get_wall_s(now_s)
        proved_not_run = key_records.is_proved_not_run(
            event.key, query.findings, wall_s, self.policy
        )
        if removed_vms or has_missing or has_newer_list or not proved_not_run:
            return UNKNOWN, "".join(removed_vms[:1])
        return NOT_RUN, ""

    def is_idle(self):
        """Return whether no query is pending."""
        return not self.queries

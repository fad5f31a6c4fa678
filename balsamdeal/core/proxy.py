"""The request path of a node: one reducer for all its events.

It combines ``Calls`` (requests from callers), ``TargetWork`` (work for the own target),
``CrashNews`` (requests that crash targets) and ``ConfigReplication`` (distribution of
configurations). The shell updates the list
of targets directly through the methods of ``TargetList``.
"""

from random import Random

from balsamdeal.core import (
    calls,
    crash_news,
    events,
    replication_messages,
    request_events,
    target_work,
)
from balsamdeal.core.calls import Calls
from balsamdeal.core.crash_news import CrashNews
from balsamdeal.core.crashes import CrashTable
from balsamdeal.core.link_queue import LinkQueue
from balsamdeal.core.placement import Placement
from balsamdeal.core.rate_limit import DEFAULT_SETTLE_S
from balsamdeal.core.repeats import RepeatRules
from balsamdeal.core.replication import ConfigReplication
from balsamdeal.core.route_documents import make_document, read_configuration
from balsamdeal.core.target_work import TargetWork
from balsamdeal.core.targets import TargetList
from balsamdeal.errors import ContentError


class Proxy:
    """State of the request path.

    :param own_node: the address of this node as other nodes reach it.
    :param own_domain: the failure domain of this node.
    :param seed: the seed of all random choices.
    :param repeat_share: retries that operators allow per request.
    :param link_mbps: the VM's own link in Mbit/s, or None if it is not known.
    :param limit_settle_s: how long after a target has first named a limit of requests
        operators expect it to hold.
    """

    def __init__(
        self,
        own_node,
        own_domain,
        seed,
        repeat_share=0.2,
        link_mbps=None,
        limit_settle_s=DEFAULT_SETTLE_S,
    ):
        random = Random(seed)
        self._own_domain = own_domain
        self.link = LinkQueue(link_mbps)
        self.targets = TargetList()
        self.placement = Placement(self.targets, own_domain, own_node, random)
        self.crash_news = CrashNews(
            CrashTable(), self.targets, own_node, own_domain, Random(seed + 2)
        )
        self.repeat_rules = RepeatRules()
        self.calls = Calls(
            self.placement, random, repeat_share, self.crash_news, self.repeat_rules
        )
        self.target_work = TargetWork(
            self.targets,
            own_node,
            self.crash_news,
            limit_settle_s,
            self.link,
            self.repeat_rules,
        )
        self.replication = ConfigReplication(
            own_node, link_mbps, Random(seed + 1), self._apply_document
        )
        self._handlers = {
            request_events.CallReceived: self.calls.receive,
            request_events.CallerLeft: self.calls.handle_caller_left,
            request_events.AttemptReplied: self.calls.handle_reply,
            request_events.AttemptFailed: self.calls.handle_failure,
            request_events.WorkReceived: self.target_work.receive,
            request_events.WorkAbandoned: self.target_work.abandon,
            request_events.TargetReplied: self.target_work.handle_reply,
            request_events.TargetFailed: self.target_work.handle_failure,
            request_events.TargetChecked: self.target_work.handle_checked,
            request_events.TimerFired: self._fire_timer,
            request_events.StopRequested: self._stop,
            request_events.StopEnding: self.calls.handle_stop_ending,
            replication_messages.PollReceived: self.replication.handle_poll,
            replication_messages.PollResponseReceived: (
                self.replication.handle_poll_response
            ),
            crash_news.CrashNewsReceived: self.crash_news.handle_news,
            events.Ticked: self._tick,
            events.PeerFailed: self.replication.handle_failure,
            events.SourceAnswered: self.replication.handle_source_answer,
            events.SourceFailed: self.replication.handle_source_failure,
        }
        self._timer_handlers = {
            calls.CALL_TIMER: self.calls.handle_timeout,
            target_work.WORK_TIMER: self.target_work.handle_timeout,
            target_work.START_TIMER: self.target_work.handle_start_timer,
        }

    @classmethod
    def from_config(cls, settings):
        """Return the request path that the settings describe.

        :param settings: a ``proxysettings.ProxySettings``.
        """
        return cls(
            settings.node_address,
            settings.failure_domain,
            settings.seed,
            settings.repeat_share,
            settings.link_mbps,
            settings.limit_settle_s,
        )

    def reduce(self, event):
        """Return the effects of an event.

        :param event: an event of ``request_events``, ``replication_messages`` or
            ``events``; ``now_s`` never decreases from one event to the next.
        """
        return self._handlers[type(event)](event)

    def _tick(self, event):
        return self.replication.tick(event) + self.crash_news.tick(event.now_s)

    def _fire_timer(self, event):
        return self._timer_handlers[event.kind](event)

    def _stop(self, event):
        self.target_work.stop = event
        self.calls.stop = event
        return [
            request_events.LogDecision("stopping", {"calls": len(self.calls.calls)})
        ]

    def refuse_all(self):
        """Refuse all new calls and work: the process is about to exit."""
        self.calls.refuse_all = True
        self.target_work.refuse_all = True

    def apply_configuration(self, configuration, now_s):
        """Put a configuration in force; return whether it is newer than the last.

        :param configuration: a whole ``routes.Configuration``.
        :param now_s: the loop's time in seconds.
        """
        known = self.calls.configuration
        if known is not None and configuration.version <= known.version:
            return False
        self.calls.set_configuration(configuration)
        self.placement.set_routes(configuration)
        self.repeat_rules.set_configuration(configuration, now_s)
        return True

    def _apply_document(self, document, now_s):
        """Put the configuration of a document in force.

        :raises ContentError: if the document holds no valid configuration, or its
            version is not newer than the one in force; nothing changes then.
        """
        current = self.replication.versions.document
        known = None if current is None else (current, self.calls.configuration)
        configuration = read_configuration(document, known)
        if not self.apply_configuration(configuration, now_s):
            number = document.version.revision
            raise ContentError("another content of a version", "apply", str(number))

    def make_document(self, configuration):
        """Return the ``Document`` of a ``Configuration`` that the source published."""
        return make_document(configuration, self.replication.versions.document)

    def update_targets(self, now_s):
        """Update all that depends on the list of targets after it has changed."""
        self.placement.drop_unlisted()
        self.targets.drop_unlisted_notices(now_s)
        self.target_work.update_targets(now_s)
        members = frozenset(
            target.node_address
            for target in self.targets.targets.values()
            if target.failure_domain == self._own_domain
        )
        self.replication.update_members(
            replication_messages.MembersChanged(members, now_s)
        )

    def list_missing(self):
        """Return what the node lacks to serve callers; an empty list if it is ready."""
        missing = []
        if self.calls.configuration is None:
            missing.append("configuration")
        if self.targets.changed_s is None:
            missing.append("targets")
        return missing

    def is_ready(self):
        """Return whether the node has a configuration and a list of targets."""
        return not self.list_missing()

    def is_idle(self):
        """Return whether all calls and all work have been answered."""
        is_busy = self.calls.calls or not self.target_work.is_idle()
        return not is_busy and self.link.is_idle()

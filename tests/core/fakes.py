"""Fakes for the core's interfaces: a clock, a source, a lossy network, targets.

A ``Fabric`` executes the effects of a few nodes in simulated time, with a seeded
random generator. Tests inject each fault by setting a plain attribute.
"""

import heapq
import itertools
import uuid
from random import Random

from balsamdeal.core import events
from balsamdeal.core.key_records import KeyPolicy
from balsamdeal.core.node import Node
from balsamdeal.core.replies import ANSWERED, Reply
from balsamdeal.documents import CONFIG, VMS, build_document
from balsamdeal.snapshots import Vm
from standins.platform import make_vms_document

EPOCH_S = 1_700_000_000.0
TICK_S = 0.1
LATENCY_S = (0.001, 0.02)
WORK_S = 0.02
SERVICE = "slots: 2\nconnections: 10\nclasses: {lookup: {weight: 4, timeout_s: 1.0}, "
SERVICE += "charge: {weight: 1, timeout_s: 1.0}}\n"
TEMPLATE = """routes:
  - {path: "{{ path }}", methods: [GET], reach: desk, class: lookup}
  - {path: /charges, methods: [POST], reach: desk, class: charge}
"""
BAD_TEMPLATE = "routes: [{path: /x, methods: [GET], reach: nowhere, class: lookup}]"


def make_parts(path="/tickets", template=TEMPLATE):
    """Return the parts of a small configuration, by name."""
    return {
        "services/desk.yaml": SERVICE,
        "templates/counter.yaml.j2": template,
        "workspaces/members.yaml": (
            f"templates: [counter]\nparameters: {{path: {path}}}\n"
        ),
    }


def make_vm(number, domain="duluth", leaving=False):
    """Return a VM whose name and addresses are derived from a number."""
    address = f"10.0.0.{number}"
    return Vm(
        f"vm-{number}",
        "great-lakes",
        domain,
        "desk",
        f"{address}:7002",
        f"{address}:7003",
        leaving,
    )


def make_key(wall_s, number):
    """Return a UUIDv7 with the timestamp ``wall_s``, in seconds since the epoch."""
    value = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


class Fabric:
    """Nodes, network, source and targets in simulated time.

    An incarnation is the number of one process of a node; events and timers of an
    earlier process are dropped. ``incarnations`` holds the running one by address.

    Faults: ``paused`` nodes handle no events; messages from a sender to a receiver in
    ``cut`` are lost; ``isolated_peers`` nodes exchange no views and cannot read the
    source.

    :param vms: the VMs that the nodes run on.
    :param seed: the seed of latencies, losses and the nodes.
    :param variant: the distribution variant.
    """

    def __init__(self, vms, seed=1, variant="tree"):
        self.random = Random(seed)
        self.variant = variant
        self.now_s = 0.0
        self.queue = []
        self.numbers = itertools.count()
        self.vms = {vm.peer_address: vm for vm in vms}
        self.nodes = {}
        self.incarnations = {}
        self.paused = set()
        self.cut = set()
        self.isolated_peers = set()
        self.source_down = False
        self.sources = {CONFIG: [], VMS: []}
        self.newest_seen = {}
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.reads = []
        self.runs = {}
        self.answers = {}
        self.changes = []
        self.cancelled = []
        self.hung_targets = set()
        self.down_targets = set()
        self.pending_watches = []
        self.versions_back = 0
        self.exchanges = {}
        self.attempts = {}

    # Time and network

    def after(self, delay_s, function):
        """Schedule a function after a delay in seconds."""
        entry = (self.now_s + delay_s, next(self.numbers), function)
        heapq.heappush(self.queue, entry)

    def run(self, duration_s):
        """Advance simulated time, and call the functions that become due."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            at_s, _, function = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, at_s)
            function()
        self.now_s = end_s

    def draw_latency(self):
        """Return a random delay of one message, in seconds."""
        return self.random.uniform(*LATENCY_S)

    def is_open(self, sender, receiver):
        """Return whether messages from the sender reach the receiver."""
        return (sender, receiver) not in self.cut

    def partition(self, side, others):
        """Partition two groups of addresses from each other, in both directions."""
        for one in side:
            for other in others:
                self.cut |= {(one, other), (other, one)}

    # Nodes

    def start(self, address):
        """Start a node, or replace its process by a new one with empty state."""
        incarnation = next(self.numbers)
        self.incarnations[address] = incarnation
        seeds = [item for item in self.vms if item != address][:3]
        node = Node(
            self.vms[address],
            seeds,
            self.variant,
            len(self.vms),
            self.random.getrandbits(30),
            KeyPolicy(),
        )
        self.nodes[address] = node
        self.newest_seen[address] = {}
        self.deliver(
            address, incarnation, events.Started(EPOCH_S + self.now_s, self.now_s)
        )
        self.tick(address, incarnation)

    def kill(self, address):
        """Stop a node's process; its VM then refuses connections."""
        self.nodes.pop(address, None)
        self.incarnations.pop(address, None)

    def tick(self, address, incarnation):
        """Fire the periodic timer of one incarnation of a node."""
        if self.incarnations.get(address) != incarnation:
            return
        if address not in self.paused:
            self.deliver(address, incarnation, events.Ticked(self.now_s))
        self.after(TICK_S, lambda: self.tick(address, incarnation))

    def deliver(self, address, incarnation, event):
        """Deliver an event if that incarnation still runs; delay it during a pause."""
        if self.incarnations.get(address) != incarnation:
            return
        if address in self.paused:
            self.after(TICK_S, lambda: self.deliver_late(address, incarnation, event))
            return
        node = self.nodes[address]
        for effect in node.reduce(event):
            self.execute_effect(address, incarnation, effect)
        self.check_versions(address, node)

    def deliver_late(self, address, incarnation, event):
        """Deliver a delayed event, with ``now_s`` set to the time of delivery."""
        fields = {name: getattr(event, name) for name in event.__slots__}
        fields["now_s"] = self.now_s
        self.deliver(address, incarnation, type(event)(**fields))

    def check_versions(self, address, node):
        """Check the versions of a node after an event.

        Counts versions older than one that this incarnation held before, and asserts
        that the snapshot matches the version held and refers to its own services.
        """
        for channel, state in node.distribution.channels.items():
            seen = self.newest_seen[address].get(channel, state.version)
            self.versions_back += state.version < seen
            self.newest_seen[address][channel] = state.version
        snapshot = node.distribution.snapshot
        if snapshot is not None:
            held = node.distribution.channels[CONFIG].version
            assert snapshot.version == held, "the snapshot is not the version held"
            for routes in snapshot.routes.values():
                for route in routes:
                    assert snapshot.services[route.service.name] is route.service

    # Effects

    def execute_effect(self, address, incarnation, effect):
        """Execute an effect of one incarnation of a node."""
        name = "do_" + type(effect).__name__
        getattr(self, name)(address, incarnation, effect)

    def exchange(self, address, incarnation, peer, serve, succeed, fail):
        """Send a request to a peer and its answer back, through the fake network.

        :param serve: a function that returns the peer's answer, or None without one.
        :param succeed: a function that makes the event of an answer.
        :param fail: a function that makes the event of a failure at a step.
        """
        if not self.is_open(address, peer):
            self.after(0.5, lambda: self.deliver(address, incarnation, fail("timeout")))
            return
        if peer not in self.nodes:
            delay_s = self.draw_latency()
            self.after(
                delay_s, lambda: self.deliver(address, incarnation, fail("refused"))
            )
            return
        if self.random.random() < self.loss_rate:
            self.after(0.5, lambda: self.deliver(address, incarnation, fail("timeout")))
            return

        def arrive():
            if peer not in self.nodes or peer in self.paused:
                self.after(
                    0.5, lambda: self.deliver(address, incarnation, fail("timeout"))
                )
                return
            answer = serve()
            if answer is None or not self.is_open(peer, address):
                self.after(
                    0.4, lambda: self.deliver(address, incarnation, fail("read"))
                )
                return
            delay_s = self.draw_latency()
            self.after(
                delay_s, lambda: self.deliver(address, incarnation, succeed(answer))
            )

        self.after(self.draw_latency(), arrive)
        if self.random.random() < self.duplicate_rate:
            self.after(self.draw_latency() * 20, lambda: peer in self.nodes and serve())

    def ask_peer(self, peer, make_event):
        """Deliver an event that a peer answers at once; return its answer or None."""
        exchange_id = f"x{next(self.numbers)}"
        self.deliver(peer, self.incarnations[peer], make_event(exchange_id))
        return self.exchanges.pop(exchange_id, None)

    def do_SetTimer(self, address, incarnation, effect):  # noqa: N802
        def fire():
            event = events.TimerFired(effect.kind, effect.subject, self.now_s)
            self.deliver(address, incarnation, event)

        self.after(max(0.0, effect.at_s - self.now_s), fire)

    def do_ReportChange(self, address, incarnation, effect):  # noqa: N802
        self.changes.append((address, effect.change, effect.fields))

    def do_AnswerView(self, address, incarnation, effect):  # noqa: N802
        self.exchanges[effect.exchange_id] = effect.view

    def do_AnswerInquiry(self, address, incarnation, effect):  # noqa: N802
        self.exchanges[effect.exchange_id] = effect.finding

    def do_SendView(self, address, incarnation, effect):  # noqa: N802
        if self.isolated_peers & {address, effect.address}:
            return
        self.exchange(
            address,
            incarnation,
            effect.address,
            lambda: self.ask_peer(
                effect.address,
                lambda number: events.PeerViewReceived(number, effect.view, self.now_s),
            ),
            lambda view: events.PeerAnswered(view, self.now_s),
            lambda step: events.PeerFailed(
                effect.address, step, effect.purpose, self.now_s
            ),
        )

    def do_PullDelta(self, address, incarnation, effect):  # noqa: N802
        def serve():
            distribution = self.nodes[effect.address].distribution
            return distribution.answer_pull(effect.channel, effect.base)

        self.exchange(
            address,
            incarnation,
            effect.address,
            serve,
            lambda delta: events.DeltaPulled(
                effect.address, effect.channel, delta, self.now_s
            ),
            lambda step: events.PeerFailed(
                effect.address, step, effect.channel, self.now_s
            ),
        )

    def do_SendInquiry(self, address, incarnation, effect):  # noqa: N802
        def fail(step):
            state = "ended" if step == "refused" else "lost"
            finding = events.Finding(effect.vm, state, 0.0, 0)
            return events.InquiryAnswered(effect.subject, finding, self.now_s)

        self.exchange(
            address,
            incarnation,
            effect.address,
            lambda: self.ask_peer(
                effect.address,
                lambda number: events.InquiryReceived(
                    number, effect.key, effect.asker, self.now_s
                ),
            ),
            lambda finding: events.InquiryAnswered(effect.subject, finding, self.now_s),
            fail,
        )

    # Source

    def publish(self, document):
        """Publish a document in the channel that its parts belong to."""
        channel = CONFIG if "services/desk.yaml" in document.parts else VMS
        self.sources[channel].append(document)
        waiting, self.pending_watches = self.pending_watches, []
        for answer in waiting:
            answer()

    def publish_config(self, revision, **options):
        """Publish a small configuration and return its document."""
        document = build_document(revision, make_parts(**options))
        self.publish(document)
        return document

    def do_ReadSource(self, address, incarnation, effect):  # noqa: N802
        self.reads.append((self.now_s, address))
        deadline_s = self.now_s + effect.wait_s
        channel = effect.channel

        def fail():
            event = events.SourceFailed(channel, "connect", "down", self.now_s)
            self.deliver(address, incarnation, event)

        def answer():
            silent = (address, "source") in self.cut or address in self.isolated_peers
            if self.source_down or silent:
                return self.after(0.1, fail)
            published = self.sources[channel]
            revision = published[-1].version.revision if published else 0
            if not published:
                return self.after(0.1, fail)
            document = published[-1]
            if effect.wait_s and revision == effect.after_revision:
                document = None
                if self.now_s < deadline_s:
                    return self.pending_watches.append(answer)
            if document is not None:
                # A new document takes two reads: its pointer, then its content.
                self.reads.append((self.now_s, address))
            event = events.SourceAnswered(channel, revision, document, self.now_s)
            return self.after(
                self.draw_latency(),
                lambda: self.deliver_late(address, incarnation, event),
            )

        self.after(self.draw_latency(), answer)
        if effect.wait_s:
            self.after(effect.wait_s, lambda: self.expire_watch(answer))

    def expire_watch(self, answer):
        """Answer a watch that is still pending at the end of its wait."""
        if answer in self.pending_watches:
            self.pending_watches.remove(answer)
            answer()

    # Requests

    def call(
        self,
        address,
        request_id,
        key="",
        method="POST",
        path="/charges",
        workspace="members",
    ):
        """Deliver a caller's request to a node."""
        event = events.RequestReceived(
            request_id,
            workspace,
            method,
            path,
            key,
            f"{method} {path}",
            None,
            True,
            self.now_s,
        )
        self.deliver(address, self.incarnations[address], event)

    def do_AnswerCaller(self, address, incarnation, effect):  # noqa: N802
        assert effect.request_id not in self.answers, "a second answer to one call"
        self.answers[effect.request_id] = effect.reply

    def do_SendAttempt(self, address, incarnation, effect):  # noqa: N802
        attempt_id = effect.attempt_id

        def fail(step, written):
            event = events.AttemptFailed(
                attempt_id, step, effect.address, written, self.now_s
            )
            self.deliver(address, incarnation, event)

        if effect.address not in self.nodes:
            return self.after(self.draw_latency(), lambda: fail("refused", False))
        if not self.is_open(address, effect.address):
            return self.after(0.5, lambda: fail("connect", False))
        work_id = f"{attempt_id}@{incarnation}"
        peer_incarnation = self.incarnations[effect.address]
        self.attempts[work_id] = (address, incarnation, attempt_id)

        def arrive():
            event = events.WorkReceived(
                work_id,
                effect.service,
                effect.flow,
                effect.weight,
                effect.key,
                effect.fingerprint,
                effect.fresh,
                effect.idempotent,
                effect.timeout_s,
                effect.received_s,
                self.now_s,
            )
            self.deliver(effect.address, peer_incarnation, event)

        def give_up():
            fail("timeout", True)

        self.after(self.draw_latency(), arrive)
        self.after(effect.timeout_s + 0.05, give_up)

    def do_CancelAttempt(self, address, incarnation, effect):  # noqa: N802
        self.cancelled.append(type(effect).__name__)

    def do_CancelTarget(self, address, incarnation, effect):  # noqa: N802
        pass

    def do_ReplyWork(self, address, incarnation, effect):  # noqa: N802
        ingress, ingress_incarnation, attempt_id = self.attempts[effect.work_id]
        if not self.is_open(address, ingress):
            return
        event = events.AttemptAnswered(attempt_id, effect.reply, self.now_s)
        self.after(
            self.draw_latency(),
            lambda: self.deliver(ingress, ingress_incarnation, event),
        )

    def do_RunOnTarget(self, address, incarnation, effect):  # noqa: N802
        job = self.nodes[address].work.jobs[effect.work_id]
        work_id = effect.work_id
        if address in self.down_targets:
            event = events.TargetFailed(work_id, "refused", False, self.now_s)
            self.after(0.001, lambda: self.deliver(address, incarnation, event))
            return
        key = job.event.key
        self.runs[key] = self.runs.get(key, 0) + 1
        if address in self.hung_targets:
            event = events.TargetFailed(work_id, "timeout", True, self.now_s)
            self.after(
                effect.timeout_s, lambda: self.deliver_late(address, incarnation, event)
            )
            return
        reply = Reply(ANSWERED, 200, (), f"ran {key}".encode())
        event = events.TargetAnswered(work_id, reply, False, False, self.now_s)
        self.after(WORK_S, lambda: self.deliver_late(address, incarnation, event))


def start_fabric(count=3, seed=1, variant="tree", domains=("duluth",)):
    """Return a fabric that has run for 5 s, in which all nodes hold revision 1."""
    vms = [make_vm(n + 1, domains[n % len(domains)]) for n in range(count)]
    fabric = Fabric(vms, seed, variant)
    fabric.publish_config(1)
    fabric.publish(make_vms_document(1, vms))
    for address in fabric.vms:
        fabric.start(address)
    fabric.run(5.0)
    return fabric

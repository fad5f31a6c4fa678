"""Fakes at the core's interfaces: a clock, a source, a lossy network, targets.

A ``Fabric`` carries out the effects of a few nodes in simulated time with a seeded
generator. Each fault is a plain attribute that a test sets.
"""

import heapq
import itertools
import uuid
from random import Random

from balsamdeal.core import events
from balsamdeal.core.node import Node
from balsamdeal.core.outcomes import KeyPolicy
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
    """Return the parts of a small configuration."""
    return {
        "services/desk.yaml": SERVICE,
        "templates/counter.yaml.j2": template,
        "workspaces/members.yaml": (
            f"templates: [counter]\nparameters: {{path: {path}}}\n"
        ),
    }


def make_vm(number, domain="duluth", leaving=False):
    """Return the VM with a number."""
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
    """Return a UUIDv7 that was made at ``wall_s``."""
    value = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


class Fabric:
    """Nodes, network, source and targets in simulated time.

    :param vms: the VMs to start.
    :param seed: the seed of latencies, losses and of the nodes.
    :param variant: the variant of distribution.
    """

    def __init__(self, vms, seed=1, variant="tree"):
        self.random = Random(seed)
        self.variant = variant
        self.now_s = 0.0
        self.queue = []
        self.numbers = itertools.count()
        self.vms = {vm.peer_address: vm for vm in vms}
        self.nodes = {}
        self.lives = {}
        self.paused = set()
        self.cut = set()
        self.deaf = set()
        self.source_down = False
        self.sources = {CONFIG: [], VMS: []}
        self.views_by_node = {}
        self.loss = 0.0
        self.doubled = 0.0
        self.reads = []
        self.runs = {}
        self.answers = {}
        self.changes = []
        self.cancelled = []
        self.hung_targets = set()
        self.down_targets = set()
        self.watchers = []
        self.versions_back = 0
        self.exchanges = {}
        self.attempts = {}

    # Time and network

    def after(self, delay_s, function):
        """Call a function after a delay."""
        entry = (self.now_s + delay_s, next(self.numbers), function)
        heapq.heappush(self.queue, entry)

    def run(self, duration_s):
        """Let simulated time pass."""
        end_s = self.now_s + duration_s
        while self.queue and self.queue[0][0] <= end_s:
            at_s, _, function = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, at_s)
            function()
        self.now_s = end_s

    def draw_latency(self):
        """Return the delay of one message."""
        return self.random.uniform(*LATENCY_S)

    def is_open(self, sender, receiver):
        """Return whether messages pass between two addresses."""
        return (sender, receiver) not in self.cut

    def separate(self, side, others):
        """Cut two groups of addresses off from each other."""
        for one in side:
            for other in others:
                self.cut |= {(one, other), (other, one)}

    # Nodes

    def start(self, address):
        """Start a node, or replace it by a new process without memory."""
        life = next(self.numbers)
        self.lives[address] = life
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
        self.views_by_node[address] = {}
        self.hand(address, life, events.Started(EPOCH_S + self.now_s, self.now_s))
        self.tick(address, life)

    def kill(self, address):
        """End a node's process; its VM then refuses connections."""
        self.nodes.pop(address, None)
        self.lives.pop(address, None)

    def tick(self, address, life):
        """Fire the periodic timer of one life of a node."""
        if self.lives.get(address) != life:
            return
        if address not in self.paused:
            self.hand(address, life, events.Ticked(self.now_s))
        self.after(TICK_S, lambda: self.tick(address, life))

    def hand(self, address, life, event):
        """Hand an event to a node if that life still runs; a paused one waits."""
        if self.lives.get(address) != life:
            return
        if address in self.paused:
            self.after(TICK_S, lambda: self.hand_late(address, life, event))
            return
        node = self.nodes[address]
        for effect in node.reduce(event):
            self.carry_out(address, life, effect)
        self.check_versions(address, node)

    def hand_late(self, address, life, event):
        """Hand over an event that waited, with the time at which it is read."""
        fields = {name: getattr(event, name) for name in event.__slots__}
        fields["now_s"] = self.now_s
        self.hand(address, life, type(event)(**fields))

    def check_versions(self, address, node):
        """Count moves back, and partial or dangling snapshots, in this life."""
        for channel, state in node.distribution.channels.items():
            seen = self.views_by_node[address].get(channel, state.version)
            self.versions_back += state.version < seen
            self.views_by_node[address][channel] = state.version
        snapshot = node.distribution.snapshot
        if snapshot is not None:
            held = node.distribution.channels[CONFIG].version
            assert snapshot.version == held, "the snapshot is not the version held"
            for routes in snapshot.routes.values():
                for route in routes:
                    assert snapshot.services[route.service.name] is route.service

    # Effects

    def carry_out(self, address, life, effect):
        """Carry out one effect of one life of a node."""
        name = "do_" + type(effect).__name__
        getattr(self, name)(address, life, effect)

    def exchange(self, address, life, peer, serve, succeed, fail):
        """Run a request and its answer over the network.

        :param serve: a function that returns the answer at the peer, or None.
        :param succeed: a function of the answer that returns an event.
        :param fail: a function of the step that returns an event.
        """
        if not self.is_open(address, peer):
            self.after(0.5, lambda: self.hand(address, life, fail("timeout")))
            return
        if peer not in self.nodes:
            delay_s = self.draw_latency()
            self.after(delay_s, lambda: self.hand(address, life, fail("refused")))
            return
        if self.random.random() < self.loss:
            self.after(0.5, lambda: self.hand(address, life, fail("timeout")))
            return

        def arrive():
            if peer not in self.nodes or peer in self.paused:
                self.after(0.5, lambda: self.hand(address, life, fail("timeout")))
                return
            answer = serve()
            if answer is None or not self.is_open(peer, address):
                self.after(0.4, lambda: self.hand(address, life, fail("read")))
                return
            delay_s = self.draw_latency()
            self.after(delay_s, lambda: self.hand(address, life, succeed(answer)))

        self.after(self.draw_latency(), arrive)
        if self.random.random() < self.doubled:
            self.after(self.draw_latency() * 20, lambda: peer in self.nodes and serve())

    def ask_peer(self, peer, make_event):
        """Hand a peer an event that it answers at once; return its answer."""
        exchange_id = f"x{next(self.numbers)}"
        self.hand(peer, self.lives[peer], make_event(exchange_id))
        return self.exchanges.pop(exchange_id, None)

    def do_SetTimer(self, address, life, effect):  # noqa: N802
        def fire():
            event = events.TimerFired(effect.kind, effect.subject, self.now_s)
            self.hand(address, life, event)

        self.after(max(0.0, effect.at_s - self.now_s), fire)

    def do_ReportChange(self, address, life, effect):  # noqa: N802
        self.changes.append((address, effect.change, effect.fields))

    def do_AnswerView(self, address, life, effect):  # noqa: N802
        self.exchanges[effect.exchange_id] = effect.view

    def do_AnswerInquiry(self, address, life, effect):  # noqa: N802
        self.exchanges[effect.exchange_id] = effect.finding

    def do_SendView(self, address, life, effect):  # noqa: N802
        if self.deaf & {address, effect.address}:
            return
        self.exchange(
            address,
            life,
            effect.address,
            lambda: self.ask_peer(
                effect.address,
                lambda number: events.PeerHeard(number, effect.view, self.now_s),
            ),
            lambda view: events.PeerAnswered(view, self.now_s),
            lambda step: events.PeerFailed(
                effect.address, step, effect.purpose, self.now_s
            ),
        )

    def do_PullDelta(self, address, life, effect):  # noqa: N802
        def serve():
            distribution = self.nodes[effect.address].distribution
            return distribution.answer_pull(effect.channel, effect.base)

        self.exchange(
            address,
            life,
            effect.address,
            serve,
            lambda delta: events.DeltaPulled(
                effect.address, effect.channel, delta, self.now_s
            ),
            lambda step: events.PeerFailed(
                effect.address, step, effect.channel, self.now_s
            ),
        )

    def do_SendInquiry(self, address, life, effect):  # noqa: N802
        def fail(step):
            state = "ended" if step == "refused" else "lost"
            finding = events.Finding(effect.vm, state, 0.0, 0)
            return events.InquiryAnswered(effect.subject, finding, self.now_s)

        self.exchange(
            address,
            life,
            effect.address,
            lambda: self.ask_peer(
                effect.address,
                lambda number: events.KeyInquired(
                    number, effect.key, effect.asker, self.now_s
                ),
            ),
            lambda finding: events.InquiryAnswered(effect.subject, finding, self.now_s),
            fail,
        )

    # Source

    def publish(self, document):
        """Publish a document of the channel that its parts belong to."""
        channel = CONFIG if "services/desk.yaml" in document.parts else VMS
        self.sources[channel].append(document)
        waiting, self.watchers = self.watchers, []
        for answer in waiting:
            answer()

    def publish_config(self, revision, **options):
        """Publish a small configuration and return its document."""
        document = build_document(revision, make_parts(**options))
        self.publish(document)
        return document

    def do_ReadSource(self, address, life, effect):  # noqa: N802
        self.reads.append((self.now_s, address))
        deadline_s = self.now_s + effect.wait_s
        channel = effect.channel

        def fail():
            event = events.SourceFailed(channel, "connect", "down", self.now_s)
            self.hand(address, life, event)

        def answer():
            silent = (address, "source") in self.cut or address in self.deaf
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
                    return self.watchers.append(answer)
            if document is not None:
                self.reads.append((self.now_s, address))  # pointer, then content
            event = events.SourceAnswered(channel, revision, document, self.now_s)
            return self.after(
                self.draw_latency(), lambda: self.hand_late(address, life, event)
            )

        self.after(self.draw_latency(), answer)
        if effect.wait_s:
            self.after(effect.wait_s, lambda: self.expire_watch(answer))

    def expire_watch(self, answer):
        """Answer a watch whose wait is over."""
        if answer in self.watchers:
            self.watchers.remove(answer)
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
        """Send a caller's request to a node."""
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
        self.hand(address, self.lives[address], event)

    def do_AnswerCaller(self, address, life, effect):  # noqa: N802
        assert effect.request_id not in self.answers, "a second answer to one call"
        self.answers[effect.request_id] = effect.reply

    def do_SendAttempt(self, address, life, effect):  # noqa: N802
        attempt_id = effect.attempt_id

        def fail(step, written):
            event = events.AttemptFailed(
                attempt_id, step, effect.address, written, self.now_s
            )
            self.hand(address, life, event)

        if effect.address not in self.nodes:
            return self.after(self.draw_latency(), lambda: fail("refused", False))
        if not self.is_open(address, effect.address):
            return self.after(0.5, lambda: fail("connect", False))
        work_id = f"{attempt_id}@{life}"
        peer_life = self.lives[effect.address]
        self.attempts[work_id] = (address, life, attempt_id)

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
            self.hand(effect.address, peer_life, event)

        def give_up():
            fail("timeout", True)

        self.after(self.draw_latency(), arrive)
        self.after(effect.timeout_s + 0.05, give_up)

    def do_CancelAttempt(self, address, life, effect):  # noqa: N802
        self.cancelled.append(type(effect).__name__)

    def do_CancelTarget(self, address, life, effect):  # noqa: N802
        pass

    def do_ReplyWork(self, address, life, effect):  # noqa: N802
        ingress, ingress_life, attempt_id = self.attempts[effect.work_id]
        if not self.is_open(address, ingress):
            return
        event = events.AttemptAnswered(attempt_id, effect.reply, self.now_s)
        self.after(self.draw_latency(), lambda: self.hand(ingress, ingress_life, event))

    def do_RunOnTarget(self, address, life, effect):  # noqa: N802
        job = self.nodes[address].work.jobs[effect.work_id]
        work_id = effect.work_id
        if address in self.down_targets:
            event = events.TargetFailed(work_id, "refused", False, self.now_s)
            self.after(0.001, lambda: self.hand(address, life, event))
            return
        key = job.event.key
        self.runs[key] = self.runs.get(key, 0) + 1
        if address in self.hung_targets:
            event = events.TargetFailed(work_id, "timeout", True, self.now_s)
            self.after(effect.timeout_s, lambda: self.hand_late(address, life, event))
            return
        reply = Reply(ANSWERED, 200, (), f"ran {key}".encode())
        event = events.TargetAnswered(work_id, reply, False, False, self.now_s)
        self.after(WORK_S, lambda: self.hand_late(address, life, event))


def start_fabric(count=3, seed=1, variant="tree", domains=("duluth",)):
    """Return a fabric whose nodes all run revision 1 of a small configuration."""
    vms = [make_vm(n + 1, domains[n % len(domains)]) for n in range(count)]
    fabric = Fabric(vms, seed, variant)
    fabric.publish_config(1)
    fabric.publish(make_vms_document(1, vms))
    for address in fabric.vms:
        fabric.start(address)
    fabric.run(5.0)
    return fabric

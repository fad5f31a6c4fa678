"""Model-based test: hypothesis interleaves requests and faults in any order.

The guarantees to callers and of distribution are checked after each step.
"""

import inspect

from hypothesis import HealthCheck, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamdeal.core import events
from balsamdeal.core.key_records import scope_key
from standins.platform import make_vms_document
from tests.core.fakes import (
    EPOCH_S,
    make_key,
    make_vm,
    start_fabric,
)

NODES = 3
STEPS = (
    *["call"] * 6,
    *["wait"] * 6,
    *["kill_or_start"] * 3,
    "renew",
    "ask",
    "pause_or_wake",
    "separate_or_join",
    "publish",
    "change_list",
)
NUMBERS = strategies.integers(0, NODES - 1)
KEYS = strategies.integers(0, 2)


class RequestsAndFaults(RuleBasedStateMachine):
    """Drives the reducers of three nodes through interleaved requests and faults."""

    def __init__(self):
        super().__init__()
        self.fabric = start_fabric(NODES)
        self.fabric.run(35)
        self.addresses = list(self.fabric.vms)
        self.revision = 1
        self.calls = {}
        self.queries = {}
        self.keys = [self.make_key(number) for number in range(3)]
        self.not_run_keys = set()

    def make_key(self, number):
        wall_s = EPOCH_S + self.fabric.now_s
        key = make_key(wall_s, 1000 + number)
        return key if number % 2 else f"undated-{key}"

    @rule(
        name=strategies.sampled_from(STEPS),
        number=NUMBERS,
        key=KEYS,
        duration_s=strategies.sampled_from([0.005, 0.03, 0.3, 2.5]),
        leaving=strategies.booleans(),
    )
    def take_step(self, name, **arguments):
        """Take one step of STEPS.

        There is a single rule, so that every example contains calls.
        """
        function = getattr(self, name)
        names = inspect.signature(function).parameters
        function(**{item: arguments[item] for item in names})

    def call(self, number, key):
        """Send a call with a key, unless an answer for the key was not-run."""
        address = self.addresses[number]
        key = self.keys[key]
        if key in self.not_run_keys or address not in self.fabric.nodes:
            return
        request_id = f"r{len(self.calls)}"
        self.calls[request_id] = key
        self.fabric.call(address, request_id, key)

    def renew(self, key):
        """Replace a key by a new one."""
        self.keys[key] = self.make_key(len(self.calls) * 3 + key + 3)

    def ask(self, number, key):
        """Query the outcome of a key."""
        address = self.addresses[number]
        if address in self.fabric.nodes:
            request_id = f"q{len(self.queries)}"
            self.queries[request_id] = self.keys[key]
            event = events.OutcomeQueried(
                request_id,
                "desk",
                scope_key("members", self.keys[key]),
                self.fabric.now_s,
            )
            self.fabric.deliver(address, self.fabric.incarnations[address], event)

    def wait(self, duration_s):
        """Advance simulated time."""
        self.fabric.run(duration_s)

    def kill_or_start(self, number):
        """Stop a node's process, or start a new one."""
        address = self.addresses[number]
        self.fabric.paused.discard(address)
        if address in self.fabric.nodes:
            self.fabric.kill(address)
        else:
            self.fabric.start(address)

    def pause_or_wake(self, number):
        """Pause a node, or resume it."""
        self.fabric.paused ^= {self.addresses[number]}

    def separate_or_join(self, number):
        """Partition a node from the others and the source, or end all partitions."""
        if self.fabric.cut:
            self.fabric.cut.clear()
            return
        address = self.addresses[number]
        others = [item for item in self.addresses if item != address]
        self.fabric.partition([address], [*others, "source"])

    def publish(self):
        """Publish a new configuration."""
        self.revision += 1
        self.fabric.publish_config(self.revision, path=f"/tickets/{self.revision}")

    def change_list(self, number, leaving):
        """Publish a VM list in which one VM is leaving, or from which it is removed."""
        self.revision += 1
        vms = [make_vm(n + 1, leaving=leaving and n == number) for n in range(NODES)]
        if not leaving:
            self.fabric.kill(self.addresses[number])
            del vms[number]
        self.fabric.publish(make_vms_document(self.revision, vms))

    @invariant()
    def guarantees_hold(self):
        """Check the guarantees.

        A key runs at most once; no key that was reported as not run has run; answers
        belong to their key; no node goes back to an older version.
        """
        runs = self.fabric.runs
        assert all(count <= 1 for count in runs.values()), runs
        assert self.fabric.versions_back == 0
        for request_id, reply in self.fabric.answers.items():
            if request_id in self.queries:
                if b'"not-run"' in reply.body:
                    self.not_run_keys.add(self.queries[request_id])
                continue
            key = self.calls[request_id]
            if reply.outcome == "not-run":
                self.not_run_keys.add(key)
            if reply.outcome == "answered":
                assert reply.body == f"ran members/{key}".encode()
        scoped_keys = {scope_key("members", key) for key in self.not_run_keys}
        assert not scoped_keys & set(runs), "a key reported as not run has run"


RequestsAndFaultsTest = RequestsAndFaults.TestCase
RequestsAndFaultsTest.settings = settings(
    max_examples=150,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)

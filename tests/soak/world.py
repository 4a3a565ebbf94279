"""One run: the store, the targets, the nodes, their callers and the faults."""

import asyncio
import json
import signal
import time

from bounds import *  # pylint: disable=wildcard-import
from callers import Caller, TargetCalls
from fleet import BUILD
from ledger import Disturbances, Ledger
from links import Proxy
from meshfleet import APP_PORT, INNER_PORTS, STORE_PORT, MeshFleet, MeshVm
from store import Store
from targets import Target
from versions import SERVICES, VersionTable

ZONES = ("a", "b", "c")

# Requests a second of all callers, and callers beside each node at most.
RATE = 150
CALLERS = 3
PRESSURE = 4

START_LIMIT = 20.0

# Time between two looks at processes and budgets, in seconds.
WATCH_STEP = 0.25

# Time over which the recovery is looked at.
RECOVERY_SPAN = 2.0

# Time between the last request and the stop of everything.
STOP_PAUSE = 3.0

# The queue of a node, as its settings have it at first.
QUEUE = 64


class Node(MeshVm):
    """A node as the soak knows it."""

    def __init__(self, number, address, zone, service):
        super().__init__(number, address, zone, service)
        self.index = number - 1
        self.disturbances = Disturbances()
        self.life = 0
        self.incarnation = 0

        # Faults that keep the process from running.
        self.down = 0

        # The target is being replaced.
        self.changing = False


class World:
    """Everything of one run, with one clock."""

    def __init__(self, net, count):
        self.table = VersionTable()
        self.ledger = Ledger(self.table)
        self.fleet = MeshFleet(net, [], keep_logs=True)
        self.nodes = [Node(number + 1, f"127.{net}.0.{number + 1}",
                           ZONES[number % 3], SERVICES[number % 2])
                      for number in range(count)]
        self.fleet.vms = self.nodes
        self.store = Store()
        self.proxy = Proxy(net, count, (self.fleet.store_address, STORE_PORT))
        self.calls = TargetCalls(self)
        self.tasks = []
        self.callers_on = False
        self.giving_up = 0
        self.pressing = 0
        self.over = False
        self.stalled = 0.0

    @property
    def pressure(self):
        return PRESSURE if self.pressing else 1

    def now(self):
        return time.monotonic()

    def note(self, what):
        print(f"{self.now():.3f} {what}", flush=True)

    # Starts.

    async def start(self):
        self.proxy.servers.append(await asyncio.start_server(
            self.store.serve, self.fleet.store_address, STORE_PORT,
            limit=2 ** 24))
        await self.proxy.start(INNER_PORTS, INNER_PORTS[1])
        await self.publish()
        for node in self.nodes:
            await self.start_target(node)
            self.start_node(node)
        self.tasks.append(asyncio.create_task(self.watch()))
        await self.wait_in_force(START_LIMIT)
        pause = len(self.nodes) * CALLERS / RATE
        for node in self.nodes:
            for number in range(CALLERS):
                caller = Caller(f"c{node.number}-{number}", node, self, pause)
                self.tasks.append(asyncio.create_task(caller.run()))
        self.callers_on = True

    async def start_target(self, node):
        node.incarnation += 1
        node.instance = f"i-{node.number}-{node.incarnation}"
        node.target = Target(node, node.service, node.instance, self.ledger,
                             self.calls)
        await node.target.start(node.address, APP_PORT)
        await self.write_entry(node)

    async def write_entry(self, node, state="ready"):
        entry = self.fleet.entry(node, state,
                                 born=1000 * node.number + node.incarnation)
        await self.write(f"servers/{node.instance}",
                         json.dumps(entry).encode())

    def start_node(self, node):
        node.settings_path = self.fleet.directory / f"node-{node.number}.ini"
        node.settings_path.write_text(self.settings_text(node))
        node.life += 1
        node.node = self.fleet.spawn(f"node-{node.number}",
                                     BUILD / "bluebellbarrow", "node",
                                     "--settings", node.settings_path)
        node.disturbances.add(self.now(), self.now())

    def settings_text(self, node, queue=QUEUE):
        place = f"{self.proxy.store_address(node.index)}:{STORE_PORT}"
        text = self.fleet.settings_text(node, platform={"address": place})
        text = text.replace(f"queue = {QUEUE}", f"queue = {queue}")
        return text.replace("[listen]\n", "[listen]\nbind-address = "
                            f"{self.proxy.bound(node.index)}\n")

    async def store_up(self):
        while self.store.knobs["outage"]:
            await asyncio.sleep(0.05)

    async def write(self, key, value):
        """Writes to the store as soon as it is up; returns when it has."""
        await self.store_up()
        await self.store.change(key, value)

    async def publish(self):
        """Writes the next version."""
        await self.store_up()
        version = self.table.add()
        document = json.dumps(version.document()).encode()
        version.sent = self.now()
        await self.write("op/config", document)
        version.acknowledged = self.now()

    # What runs beside the faults.

    async def wait_in_force(self, limit):
        begin = self.now()
        while self.now() < begin + limit:
            behind = await asyncio.to_thread(self.behind)
            if not behind:
                return True
            await asyncio.sleep(0.1)
        self.ledger.break_promise(
            "CONFIG", f"r{self.table.newest.number} not in force at nodes "
            f"{behind} after {limit} s")
        return False

    def behind(self):
        """Returns the numbers of the nodes without the newest version."""
        def lacks(node):
            status = self.fleet.status(node)
            return (status.get("version", 0) < self.table.newest.number or
                    not self.fleet.ready(node))
        return [node.number for node in self.nodes
                if not node.down and lacks(node)]

    async def watch(self):
        """Looks for ended processes, overspent budgets and own stalls."""
        while not self.over:
            begin = self.now()
            await asyncio.sleep(WATCH_STEP)
            late = self.now() - begin - WATCH_STEP
            if late > OWN_STALL:
                self.stalled += late
                self.ledger.everywhere.add(begin, self.now())
                self.note(f"the soak itself stalled for {late:.3f} s")
            self.ledger.check_budgets()
            for node in self.nodes:
                if not node.down and node.node.poll() is not None:
                    self.ledger.break_promise(
                        "FAULT", f"node {node.number} ended by itself, code "
                        f"{node.node.returncode}")
                    self.start_node(node)

    async def finish(self):
        """Looks at the recovery, then ends everything."""
        await asyncio.sleep(RECOVERY_TIME)
        since = self.now()
        await asyncio.sleep(RECOVERY_SPAN)
        good, owed = self.ledger.check_recovery(since)
        self.note(f"recovered: {good} of {owed} requests served")
        await self.wait_in_force(0.5)
        self.callers_on = False
        await asyncio.sleep(STOP_PAUSE)
        self.over = True
        for node in self.nodes:
            node.down += 1
            node.node.send_signal(signal.SIGTERM)
        await asyncio.gather(*[self.expect_end(node) for node in self.nodes])

    async def expect_end(self, node):
        """Waits for the end of a process that got SIGTERM."""
        process, begin = node.node, self.now()
        while process.poll() is None and self.now() < begin + GRACE_PERIOD:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            if self.ledger.calm_links(node, begin, planned=True):
                self.ledger.break_promise(
                    "STOP", f"node {node.number} still runs after "
                    f"{GRACE_PERIOD} s")
            process.kill()
        await asyncio.to_thread(process.wait)

    def end(self):
        for task in self.tasks:
            task.cancel()
        self.fleet.end()
        self.proxy.end()
        for node in self.nodes:
            if node.target:
                node.target.server.close()

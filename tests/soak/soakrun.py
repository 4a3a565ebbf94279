"""A run of the soak: the store, targets, nodes and callers."""

import asyncio
import json
import signal
import time

from bounds import *  # pylint: disable=wildcard-import
from callers import Caller, TargetCalls
from fleet import BUILD
from checker import Disturbances, Checker
from links import Proxy
from meshfleet import APP_PORT, INTERNAL_PORTS, STORE_PORT, MeshFleet, MeshVm
from store import Store
from targets import Target
from versions import SERVICES, VersionTable

ZONES = ("a", "b", "c")

# Requests per second of all callers together, and number of callers beside each
# node.
RATE = 150
CALLERS = 3

# Factor on the request rate during an overload fault.
OVERLOAD_FACTOR = 4

START_TIMEOUT = 20.0

# Time between two checks of processes and retry budgets, in seconds.
WATCH_INTERVAL = 0.25

# Time over which requests are counted to check the recovery.
RECOVERY_WINDOW = 2.0

# Time between the last request and the stop of all nodes.
STOP_PAUSE = 3.0

# Queue length in the initial settings of a node.
QUEUE = 64


class Node(MeshVm):
    """A VM of the run, with the disturbances of its node."""

    def __init__(self, number, address, zone, service):
        super().__init__(number, address, zone, service)
        self.index = number - 1
        self.disturbances = Disturbances()
        self.incarnation = 0
        self.target_incarnation = 0

        # Number of faults that keep the process from running.
        self.down = 0

        # Whether the target is being replaced.
        self.replacing = False


class SoakRun:
    """Owns everything of one run."""

    def __init__(self, net, count):
        self.table = VersionTable()
        self.checker = Checker(self.table)
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

        # Numbers of give-up and overload faults that last.
        self.abandoning = 0
        self.overloading = 0

        self.finished = False
        self.stall_time = 0.0

    @property
    def load_factor(self):
        return OVERLOAD_FACTOR if self.overloading else 1

    def now(self):
        return time.monotonic()

    def log(self, text):
        print(f"{self.now():.3f} {text}", flush=True)

    # Start of the run, its targets and nodes.

    async def start(self):
        self.proxy.servers.append(await asyncio.start_server(
            self.store.serve, self.fleet.store_address, STORE_PORT,
            limit=2 ** 24))
        await self.proxy.start(INTERNAL_PORTS, INTERNAL_PORTS[1])
        await self.publish()
        for node in self.nodes:
            await self.start_target(node)
            self.start_node(node)
        self.tasks.append(asyncio.create_task(self.watch()))
        await self.wait_in_force(START_TIMEOUT)
        mean_pause = len(self.nodes) * CALLERS / RATE
        for node in self.nodes:
            for number in range(CALLERS):
                caller = Caller(f"c{node.number}-{number}", node, self,
                                mean_pause)
                self.tasks.append(asyncio.create_task(caller.run()))
        self.callers_on = True

    async def start_target(self, node):
        node.target_incarnation += 1
        node.instance = f"i-{node.number}-{node.target_incarnation}"
        node.target = Target(node, node.service, node.instance, self.checker,
                             self.calls)
        await node.target.start(node.address, APP_PORT)
        await self.write_entry(node)

    async def write_entry(self, node, state="ready"):
        entry = self.fleet.entry(
            node, state, born=1000 * node.number + node.target_incarnation)
        await self.write(f"servers/{node.instance}",
                         json.dumps(entry).encode())

    def start_node(self, node):
        node.settings_path = self.fleet.directory / f"node-{node.number}.ini"
        node.settings_path.write_text(self.settings_text(node))
        node.incarnation += 1
        node.node = self.fleet.spawn(f"node-{node.number}",
                                     BUILD / "bluebellbarrow", "node",
                                     "--settings", node.settings_path)
        node.disturbances.add(self.now(), self.now())

    def settings_text(self, node, queue=QUEUE):
        endpoint = f"{self.proxy.store_address(node.index)}:{STORE_PORT}"
        text = self.fleet.settings_text(node, platform={"address": endpoint})
        text = text.replace(f"queue = {QUEUE}", f"queue = {queue}")
        return text.replace("[listen]\n", "[listen]\nbind-address = "
                            f"{self.proxy.bound_address(node.index)}\n")

    async def wait_store_up(self):
        while self.store.knobs["outage"]:
            await asyncio.sleep(0.05)

    async def write(self, key, value):
        """Writes to the store, after an outage if there is one."""
        await self.wait_store_up()
        await self.store.change(key, value)

    async def publish(self):
        """Publishes the next version."""
        await self.wait_store_up()
        version = self.table.add()
        document = json.dumps(version.document()).encode()
        version.sent = self.now()
        await self.write("op/config", document)
        version.acknowledged = self.now()

    # Checks during the faults.

    async def wait_in_force(self, timeout):
        begin = self.now()
        while self.now() < begin + timeout:
            lagging = await asyncio.to_thread(self.lagging_nodes)
            if not lagging:
                return True
            await asyncio.sleep(0.1)
        self.checker.report_violation(
            "CONFIG", f"r{self.table.newest.number} not in force at nodes "
            f"{lagging} after {timeout} s")
        return False

    def lagging_nodes(self):
        """Returns the numbers of the nodes without the newest version."""
        def lags(node):
            status = self.fleet.status(node)
            return (status.get("version", 0) < self.table.newest.number or
                    not self.fleet.ready(node))
        return [node.number for node in self.nodes
                if not node.down and lags(node)]

    async def watch(self):
        """Checks for ended processes, exceeded budgets and loop stalls."""
        while not self.finished:
            begin = self.now()
            await asyncio.sleep(WATCH_INTERVAL)
            stall = self.now() - begin - WATCH_INTERVAL
            if stall > LOOP_STALL:
                self.stall_time += stall
                self.checker.everywhere.add(begin, self.now())
                self.log(f"the soak itself stalled for {stall:.3f} s")
            self.checker.check_budgets()
            for node in self.nodes:
                if not node.down and node.node.poll() is not None:
                    self.checker.report_violation(
                        "FAULT", f"node {node.number} ended by itself, code "
                        f"{node.node.returncode}")
                    self.start_node(node)

    async def finish(self):
        """Checks the recovery, then stops all nodes."""
        await asyncio.sleep(RECOVERY_TIME)
        since = self.now()
        await asyncio.sleep(RECOVERY_WINDOW)
        served, total = self.checker.check_recovery(since)
        self.log(f"recovered: {served} of {total} requests served")
        await self.wait_in_force(0.5)
        self.callers_on = False
        await asyncio.sleep(STOP_PAUSE)
        self.finished = True
        for node in self.nodes:
            node.down += 1
            node.node.send_signal(signal.SIGTERM)
        await asyncio.gather(*[self.wait_for_exit(node) for node in self.nodes])

    async def wait_for_exit(self, node):
        """Waits for a node that got SIGTERM; kills it after GRACE_PERIOD."""
        process, begin = node.node, self.now()
        while process.poll() is None and self.now() < begin + GRACE_PERIOD:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            if self.checker.links_undisturbed(node, begin, ignore_planned=True):
                self.checker.report_violation(
                    "STOP", f"node {node.number} still runs after "
                    f"{GRACE_PERIOD} s")
            process.kill()
        await asyncio.to_thread(process.wait)

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.fleet.end()
        self.proxy.close()
        for node in self.nodes:
            if node.target:
                node.target.server.close()

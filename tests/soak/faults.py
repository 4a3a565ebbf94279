"""Injects the faults of a plan."""

import asyncio
import random
import signal

from bounds import DRAIN_LIMIT
from versions import SERVICES
from soakrun import QUEUE

# Time after which the lease of an unresponsive target expires.
LEASE_TIME = 2.6

# Time after which an address may be reused for another service.
REUSE_TIME = 2.2

# Time span over which nodes that were killed together are restarted.
RESTART_SPAN = 0.3

# Number of unused routes in a small version.
MIN_UNUSED_ROUTES = 20

# Number of targets that each service always keeps.
MIN_TARGETS = 1


class FaultInjector:
    """Injects faults into a run; each kind of fault is a method."""

    def __init__(self, soak_run, seed):
        self.soak_run = soak_run
        self.checker = soak_run.checker
        self.store = soak_run.store
        self.rng = random.Random(seed)

    async def inject(self, plan):
        """Injects all faults; returns when the last one has ended."""
        begin = self.soak_run.now()
        running = []
        for fault in plan:
            await asyncio.sleep(begin + fault.begin - self.soak_run.now())
            self.soak_run.log(f"fault {fault}")
            action = getattr(self, fault.kind.replace("-", "_"))
            running.append(asyncio.create_task(action(fault)))
        await asyncio.gather(*running)

    def nodes(self, fault):
        return [self.soak_run.nodes[index] for index in fault.nodes]

    async def for_each_node(self, fault, action):
        await asyncio.gather(*[action(node, fault)
                               for node in self.nodes(fault)])

    async def disturb(self, fault, disturbances, begin, end):
        """Calls begin, and end after the duration of the fault."""
        spans = [disturbance.begin() for disturbance in disturbances]
        begin()
        await asyncio.sleep(fault.duration)
        end()
        for span in spans:
            span[1] = self.soak_run.now()

    # Processes.

    async def restart(self, node, delay):
        """Starts a process after a delay, unless a fault still keeps it down.
        """
        await asyncio.sleep(delay)
        node.down -= 1
        if node.down == 0:
            self.soak_run.start_node(node)

    async def kill(self, fault):
        async def kill_node(node, fault):
            span = node.disturbances.begin()
            node.down += 1
            node.node.kill()
            await asyncio.to_thread(node.node.wait)
            await self.restart(node, fault.duration)
            span[1] = self.soak_run.now()
        await self.for_each_node(fault, kill_node)

    async def stop(self, fault):
        async def stop_node(node, fault):
            span = node.disturbances.begin(planned=True)
            node.down += 1
            node.node.send_signal(signal.SIGTERM)
            await self.soak_run.wait_for_exit(node)
            await self.restart(node, fault.duration)
            span[1] = self.soak_run.now()
        await self.for_each_node(fault, stop_node)

    async def freeze(self, fault):
        async def freeze_node(node, fault):
            process = node.node
            await self.disturb(
                fault, [node.disturbances],
                lambda: process.send_signal(signal.SIGSTOP),
                lambda: process.send_signal(signal.SIGCONT))
        await self.for_each_node(fault, freeze_node)

    async def herd(self, fault):
        """Kills all nodes at once; they restart at almost the same time."""
        span = self.checker.everywhere.begin()
        for node in self.soak_run.nodes:
            node.down += 1
            node.node.kill()
        await asyncio.gather(*[
            self.restart(node, fault.duration +
                         self.rng.uniform(0, RESTART_SPAN))
            for node in self.soak_run.nodes])
        span[1] = self.soak_run.now()

    async def settings(self, fault):
        for node in self.nodes(fault):
            if node.down:
                continue
            queue = self.rng.randint(QUEUE // 2, QUEUE)
            node.settings_path.write_text(
                self.soak_run.settings_text(node, queue))
            if fault.variant == "hup":
                node.node.send_signal(signal.SIGHUP)

    # Links.

    async def change_paths(self, fault, paths_of, begin, end):
        """Changes the paths of the affected nodes while the fault lasts."""
        paths = [path for node in self.nodes(fault)
                 for path in paths_of(self.soak_run.proxy.links[node.index])]
        await self.disturb(
            fault, [node.disturbances for node in self.nodes(fault)],
            lambda: [begin(path) for path in paths],
            lambda: [end(path) for path in paths])

    async def delay(self, fault):
        def change(path, delay):
            path.delay = delay
        await self.change_paths(
            fault, lambda links: (links.inward, links.outward),
            lambda path: change(path, float(fault.variant)),
            lambda path: change(path, 0.0))

    async def loss(self, fault):
        def change(path, loss):
            path.loss = loss
        await self.change_paths(
            fault, lambda links: (links.inward, links.outward),
            lambda path: change(path, float(fault.variant)),
            lambda path: change(path, 0.0))

    async def cut(self, fault):
        def affected_paths(links):
            return {"in": [links.inward], "out": [links.outward],
                    "both": [links.inward, links.outward]}[fault.variant]
        await self.change_paths(fault, affected_paths,
                                lambda path: path.cut(True),
                                lambda path: path.cut(False))

    async def store_cut(self, fault):
        def affected_paths(links):
            return {"in": [links.from_store], "out": [links.to_store],
                    "both": [links.from_store, links.to_store]}[fault.variant]
        await self.change_paths(fault, affected_paths,
                                lambda path: path.cut(True),
                                lambda path: path.cut(False))

    def connections(self, fault):
        return [connection for node in self.nodes(fault)
                for connection in self.soak_run.proxy.connections_of(
                    node.index)]

    async def reset(self, fault):
        await self.disturb(
            fault, [self.checker.everywhere],
            lambda: [connection.reset()
                     for connection in self.connections(fault)],
            lambda: None)

    async def mute(self, fault):
        """Open connections carry no bytes any more; new ones work."""
        await self.disturb(
            fault, [self.checker.everywhere],
            lambda: [connection.muted.set()
                     for connection in self.connections(fault)],
            lambda: None)

    # The store.

    async def change_knob(self, fault, name, value, default):
        await self.disturb(
            fault, [self.checker.store],
            lambda: self.store.knobs.update({name: value}),
            lambda: self.store.knobs.update({name: default}))

    async def store_down(self, fault):
        await self.change_knob(fault, "outage", fault.variant, "")

    async def store_slow(self, fault):
        await self.change_knob(fault, "slow_ms", fault.variant, 0)

    async def store_lossy(self, fault):
        await self.change_knob(fault, "lose", fault.variant, 0)

    async def store_refuse(self, fault):
        refused = ",".join(self.soak_run.proxy.bound_address(node.index)
                           for node in self.nodes(fault))
        await self.disturb(
            fault, [node.disturbances for node in self.nodes(fault)],
            lambda: self.store.knobs.update(refuse=refused),
            lambda: self.store.knobs.update(refuse=""))

    async def store_compact(self, fault):
        del fault
        self.store.compacted_revision = self.store.revision

    # Versions and load.

    async def versions(self, fault):
        count = int(fault.variant)
        for _ in range(count):
            await self.soak_run.publish()
            await asyncio.sleep(fault.duration / count)

    async def routes(self, fault):
        """Publishes a version with many unused routes, or with few again."""
        table = self.soak_run.table
        table.unused = MIN_UNUSED_ROUTES if table.unused > MIN_UNUSED_ROUTES \
            else int(fault.variant)
        await self.soak_run.publish()

    async def give_up(self, fault):
        self.soak_run.abandoning += 1
        await asyncio.sleep(fault.duration)
        self.soak_run.abandoning -= 1

    async def overload(self, fault):
        self.soak_run.overloading += 1
        await asyncio.sleep(fault.duration)
        self.soak_run.overloading -= 1

    # Targets.

    def may_leave(self, node):
        """Returns whether enough other targets of the service stay."""
        staying = [other for other in self.soak_run.nodes
                   if other is not node and not other.replacing and
                   other.service == node.service]
        return not node.replacing and len(staying) >= MIN_TARGETS

    async def leave(self, node, announced):
        """Makes a target leave: its entry says draining or is removed.

        The target serves for longer than DRAIN_LIMIT before it ends.
        """
        target, key = node.target, f"servers/{node.instance}"
        if announced:
            await self.soak_run.write_entry(node, "draining")
        else:
            await self.soak_run.write(key, None)
        target.leaving = self.soak_run.now()
        await asyncio.sleep(DRAIN_LIMIT + self.rng.uniform(0.1, 2.0))
        if announced:
            await self.soak_run.write(key, None)
        target.terminate(self.soak_run.now())

    async def replace_target(self, node, announced, delay, service):
        """Replaces a target and restarts its node."""
        if not self.may_leave(node):
            self.soak_run.log(f"node {node.number} keeps its target")
            return
        node.replacing = True
        await self.leave(node, announced)
        span = node.disturbances.begin(planned=True)
        node.down += 1
        node.node.send_signal(signal.SIGTERM)
        await self.soak_run.wait_for_exit(node)
        if service != node.service:
            await asyncio.sleep(REUSE_TIME)
        node.service = service
        await self.soak_run.start_target(node)
        await self.restart(node, delay)
        span[1] = self.soak_run.now()
        node.replacing = False

    async def drain(self, fault):
        async def replace_with_same_service(node, fault):
            await self.replace_target(node, fault.variant == "announced",
                                      fault.duration, node.service)
        await self.for_each_node(fault, replace_with_same_service)

    async def replace(self, fault):
        async def replace_with_other_service(node, fault):
            other = SERVICES[1 - SERVICES.index(node.service)]
            await self.replace_target(node, True, fault.duration, other)
        await self.for_each_node(fault, replace_with_other_service)

    async def crash(self, fault):
        """A target ends unannounced; a new incarnation replaces it."""
        async def crash_target(node, fault):
            if not self.may_leave(node):
                return
            node.replacing = True
            key = f"servers/{node.instance}"
            span = node.disturbances.begin()
            node.target.terminate(self.soak_run.now())
            await asyncio.sleep(fault.duration)
            await self.soak_run.start_target(node)
            node.replacing = False
            await asyncio.sleep(LEASE_TIME - fault.duration)
            await self.soak_run.write(key, None)
            span[1] = self.soak_run.now()
        await self.for_each_node(fault, crash_target)

    async def change_targets(self, fault, begin, end):
        """Changes the affected targets while the fault lasts."""
        targets = [node.target for node in self.nodes(fault)]
        now = self.soak_run.now()
        for target in targets:
            target.faulty_spans.append([now, None])
            begin(target)
        await asyncio.sleep(fault.duration)
        for target in targets:
            end(target)
            target.faulty_spans[-1][1] = self.soak_run.now()

    async def slow(self, fault):
        def change(target, slowdown):
            target.slowdown = slowdown
        await self.change_targets(
            fault, lambda target: change(target, float(fault.variant)),
            lambda target: change(target, 1.0))

    async def faulty(self, fault):
        def change(target, mode):
            target.fault = mode
        await self.change_targets(
            fault, lambda target: change(target, fault.variant),
            lambda target: change(target, ""))

"""Carries out the faults of a plan."""

import asyncio
import random
import signal

from bounds import DRAIN_LIMIT
from versions import SERVICES
from world import QUEUE

# Time after which the entry of a silent target lapses.
LAPSE_TIME = 2.6

# Time after which an address may go to another service.
REUSE_TIME = 2.2

# Most time between the restarts of nodes that were killed together.
RESTART_SPREAD = 0.3

# Routes beside those in use, in a small version.
FEW_ROUTES = 20

# Targets of a service that always stay.
KEPT_TARGETS = 1


class Faults:
    """Injects faults into one world; each kind has a member of its name."""

    def __init__(self, world, seed):
        self.world = world
        self.ledger = world.ledger
        self.store = world.store
        self.chance = random.Random(seed)

    async def play(self, plan):
        """Carries out all faults; returns when the last one has ended."""
        begin = self.world.now()
        running = []
        for fault in plan:
            await asyncio.sleep(begin + fault.begin - self.world.now())
            self.world.note(f"fault {fault}")
            action = getattr(self, fault.kind.replace("-", "_"))
            running.append(asyncio.create_task(action(fault)))
        await asyncio.gather(*running)

    def nodes(self, fault):
        return [self.world.nodes[index] for index in fault.nodes]

    async def each(self, fault, action):
        await asyncio.gather(*[action(node, fault)
                               for node in self.nodes(fault)])

    async def disturb(self, fault, disturbances, begin, end):
        """Calls begin and end around the fault's time."""
        spans = [each.begin() for each in disturbances]
        begin()
        await asyncio.sleep(fault.length)
        end()
        for span in spans:
            span[1] = self.world.now()

    # Processes.

    async def restart(self, node, length):
        """Starts a process that is down, unless another fault holds it."""
        await asyncio.sleep(length)
        node.down -= 1
        if node.down == 0:
            self.world.start_node(node)

    async def kill(self, fault):
        async def act(node, fault):
            span = node.disturbances.begin()
            node.down += 1
            node.node.kill()
            await asyncio.to_thread(node.node.wait)
            await self.restart(node, fault.length)
            span[1] = self.world.now()
        await self.each(fault, act)

    async def stop(self, fault):
        async def act(node, fault):
            span = node.disturbances.begin(planned=True)
            node.down += 1
            node.node.send_signal(signal.SIGTERM)
            await self.world.expect_end(node)
            await self.restart(node, fault.length)
            span[1] = self.world.now()
        await self.each(fault, act)

    async def freeze(self, fault):
        async def act(node, fault):
            process = node.node
            await self.disturb(
                fault, [node.disturbances],
                lambda: process.send_signal(signal.SIGSTOP),
                lambda: process.send_signal(signal.SIGCONT))
        await self.each(fault, act)

    async def herd(self, fault):
        span = self.ledger.everywhere.begin()
        for node in self.world.nodes:
            node.down += 1
            node.node.kill()
        await asyncio.gather(*[
            self.restart(node, fault.length +
                         self.chance.uniform(0, RESTART_SPREAD))
            for node in self.world.nodes])
        span[1] = self.world.now()

    async def settings(self, fault):
        for node in self.nodes(fault):
            if node.down:
                continue
            queue = self.chance.randint(QUEUE // 2, QUEUE)
            node.settings_path.write_text(
                self.world.settings_text(node, queue))
            if fault.how == "hup":
                node.node.send_signal(signal.SIGHUP)

    # Links.

    async def paths(self, fault, paths_of, begin, end):
        """Changes the paths of the fault's nodes for its time."""
        paths = [path for node in self.nodes(fault)
                 for path in paths_of(self.world.proxy.links[node.index])]
        await self.disturb(
            fault, [node.disturbances for node in self.nodes(fault)],
            lambda: [begin(path) for path in paths],
            lambda: [end(path) for path in paths])

    async def delay(self, fault):
        def change(path, delay):
            path.delay = delay
        await self.paths(fault, lambda links: (links.inward, links.outward),
                         lambda path: change(path, float(fault.how)),
                         lambda path: change(path, 0.0))

    async def loss(self, fault):
        def change(path, loss):
            path.loss = loss
        await self.paths(fault, lambda links: (links.inward, links.outward),
                         lambda path: change(path, float(fault.how)),
                         lambda path: change(path, 0.0))

    async def cut(self, fault):
        def chosen(links):
            return {"in": [links.inward], "out": [links.outward],
                    "both": [links.inward, links.outward]}[fault.how]
        await self.paths(fault, chosen, lambda path: path.cut(True),
                         lambda path: path.cut(False))

    async def store_cut(self, fault):
        def chosen(links):
            return {"in": [links.from_store], "out": [links.to_store],
                    "both": [links.from_store, links.to_store]}[fault.how]
        await self.paths(fault, chosen, lambda path: path.cut(True),
                         lambda path: path.cut(False))

    def streams(self, fault):
        return [stream for node in self.nodes(fault)
                for stream in self.world.proxy.streams_of(node.index)]

    async def reset(self, fault):
        await self.disturb(
            fault, [self.ledger.everywhere],
            lambda: [stream.reset() for stream in self.streams(fault)],
            lambda: None)

    async def mute(self, fault):
        """Open connections never carry a byte again; new ones work."""
        await self.disturb(
            fault, [self.ledger.everywhere],
            lambda: [stream.muted.set() for stream in self.streams(fault)],
            lambda: None)

    # The store.

    async def knob(self, fault, name, value, usual):
        await self.disturb(
            fault, [self.ledger.store],
            lambda: self.store.knobs.update({name: value}),
            lambda: self.store.knobs.update({name: usual}))

    async def store_down(self, fault):
        await self.knob(fault, "outage", fault.how, "")

    async def store_slow(self, fault):
        await self.knob(fault, "slow_ms", fault.how, 0)

    async def store_lossy(self, fault):
        await self.knob(fault, "lose", fault.how, 0)

    async def store_refuse(self, fault):
        refused = ",".join(self.world.proxy.bound(node.index)
                           for node in self.nodes(fault))
        await self.disturb(
            fault, [node.disturbances for node in self.nodes(fault)],
            lambda: self.store.knobs.update(refuse=refused),
            lambda: self.store.knobs.update(refuse=""))

    async def store_compact(self, fault):
        del fault
        self.store.first_kept = self.store.revision

    # Versions and load.

    async def versions(self, fault):
        count = int(fault.how)
        for _ in range(count):
            await self.world.publish()
            await asyncio.sleep(fault.length / count)

    async def routes(self, fault):
        """A version with many more routes, or with few again."""
        table = self.world.table
        table.unused = FEW_ROUTES if table.unused > FEW_ROUTES \
            else int(fault.how)
        await self.world.publish()

    async def give_up(self, fault):
        self.world.giving_up += 1
        await asyncio.sleep(fault.length)
        self.world.giving_up -= 1

    async def press(self, fault):
        self.world.pressing += 1
        await asyncio.sleep(fault.length)
        self.world.pressing -= 1

    # Targets.

    def may_leave(self, node):
        """Is another target of the service there to stay?"""
        staying = [each for each in self.world.nodes
                   if each is not node and not each.changing and
                   each.service == node.service]
        return not node.changing and len(staying) >= KEPT_TARGETS

    async def leave(self, node, told):
        """A planned end of a target: announced, served on, ended."""
        target, key = node.target, f"servers/{node.instance}"
        if told:
            await self.world.write_entry(node, "draining")
        else:
            await self.world.write(key, None)
        target.leaving = self.world.now()
        await asyncio.sleep(DRAIN_LIMIT + self.chance.uniform(0.1, 2.0))
        if told:
            await self.world.write(key, None)
        target.end(self.world.now())

    async def replace_target(self, node, told, length, service):
        """Replaces a target, and the process beside it."""
        if not self.may_leave(node):
            self.world.note(f"node {node.number} keeps its target")
            return
        node.changing = True
        await self.leave(node, told)
        span = node.disturbances.begin(planned=True)
        node.down += 1
        node.node.send_signal(signal.SIGTERM)
        await self.world.expect_end(node)
        if service != node.service:
            await asyncio.sleep(REUSE_TIME)
        node.service = service
        await self.world.start_target(node)
        await self.restart(node, length)
        span[1] = self.world.now()
        node.changing = False

    async def drain(self, fault):
        async def act(node, fault):
            await self.replace_target(node, fault.how == "told", fault.length,
                                      node.service)
        await self.each(fault, act)

    async def replace(self, fault):
        async def act(node, fault):
            other = SERVICES[1 - SERVICES.index(node.service)]
            await self.replace_target(node, True, fault.length, other)
        await self.each(fault, act)

    async def crash(self, fault):
        """A target ends without a word and comes back as another one."""
        async def act(node, fault):
            if not self.may_leave(node):
                return
            node.changing = True
            key = f"servers/{node.instance}"
            span = node.disturbances.begin()
            node.target.end(self.world.now())
            await asyncio.sleep(fault.length)
            await self.world.start_target(node)
            node.changing = False
            await asyncio.sleep(LAPSE_TIME - fault.length)
            await self.world.write(key, None)
            span[1] = self.world.now()
        await self.each(fault, act)

    async def ill(self, fault, begin, end):
        """Makes targets ill for the fault's time."""
        targets = [node.target for node in self.nodes(fault)]
        now = self.world.now()
        for target in targets:
            target.faulty_spans.append([now, None])
            begin(target)
        await asyncio.sleep(fault.length)
        for target in targets:
            end(target)
            target.faulty_spans[-1][1] = self.world.now()

    async def slow(self, fault):
        def change(target, slowness):
            target.slowness = slowness
        await self.ill(fault, lambda each: change(each, float(fault.how)),
                       lambda each: change(each, 1.0))

    async def faulty(self, fault):
        def change(target, kind):
            target.fault = kind
        await self.ill(fault, lambda each: change(each, fault.how),
                       lambda each: change(each, ""))

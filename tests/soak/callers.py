"""Callers that keep their connections, and look at each answer."""

import asyncio
import random

from httpio import read_body, read_head
from ledger import Request
from meshfleet import HOST, OUTBOUND_PORT
from versions import CALLED

# A connection is used again after so long at most, in seconds.
LONGEST_IDLE = 4.0

CONNECT_LIMIT = 1.0
MAX_BODY = 8000
RETRIES = 2

# Share of the requests that give up early while the fault lasts.
GIVE_UP_SHARE = 0.2


class Caller:
    """One caller beside one node; sends one request after another."""

    def __init__(self, name, node, world, pause):
        self.node = node
        self.world = world
        self.ledger = world.ledger
        self.pause = pause
        self.chance = random.Random(name)
        self.name = name
        self.number = 0
        self.inherited = False
        self.reader = None
        self.writer = None

    async def run(self):
        while not self.world.over:
            pause = self.chance.expovariate(1 / self.pause)
            await asyncio.sleep(min(pause / self.world.pressure, LONGEST_IDLE))
            if self.world.callers_on:
                await self.serve_one()
        self.close()

    async def serve_one(self):
        """Sends one request, and again as its answers allow."""
        route = self.chance.choice(self.world.table.routes())
        deadline = route.timeout + self.chance.uniform(0, 1.0)
        body = b""
        if not route.idempotent:
            body = b"b" * self.chance.randint(1, MAX_BODY)
        for _ in range(1 + RETRIES):
            request = await self.attempt(route, body, deadline)
            again = request.status in (429, 503) or (
                route.idempotent and request.status != 200 and
                request.end != "given up")
            if not again:
                return
            await asyncio.sleep(min(request.retry_after, deadline / 3))

    async def attempt(self, route, body, deadline):
        """Sends one attempt and waits for its end."""
        self.number += 1
        request = Request(f"{self.name}-{self.number}", self.node, route,
                          "POST" if body else "GET",
                          f"{route.prefix}{self.number}%2f?q={self.number}",
                          body, deadline)
        request.inherited = self.inherited
        self.ledger.sent(request)
        if self.chance.random() < 0.3:
            self.close()
        limit = deadline
        if self.world.giving_up and self.chance.random() < GIVE_UP_SHARE:
            limit = self.chance.uniform(0.01, 0.3)
        try:
            await asyncio.wait_for(self.exchange(request, body), limit)
        except asyncio.TimeoutError:
            self.close()
            self.ledger.given_up(request)
        return request

    async def exchange(self, request, body):
        if not await self.connect():
            self.ledger.unsent(request)
            return
        head = (f"{request.method} {request.path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: {request.id}\r\nDeadline-Remaining: "
                f"{int(request.deadline * 1000)}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            self.ledger.sent_whole(request)
            await self.receive(request)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
            self.ledger.closed(request)

    async def connect(self):
        """Opens a connection unless one is kept and still good."""
        if self.writer is not None and self.reader.at_eof():
            self.close()
        if self.writer is not None:
            return True
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.node.address, OUTBOUND_PORT,
                                        limit=2 ** 20), CONNECT_LIMIT)
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    async def receive(self, request):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        names = {key.lower(): value for key, value in head[1]}
        status = int(head[0].split(" ")[1])
        if "content-length" in names or "transfer-encoding" in names:
            body = await read_body(self.reader, head[1])
        else:
            body = await self.reader.read(-1)
        request.retry_after = float(names.get("retry-after", 0.05))
        if names.get("attempt-id", request.id) != request.id:
            self.ledger.break_promise("MIXED", f"{names}: {request}")
        self.ledger.answered(request, status, names.get("server-signature"),
                             body)
        if names.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class TargetCalls:
    """Makes the calls of targets, as requests of their own."""

    def __init__(self, world):
        self.world = world
        self.number = 0

    async def __call__(self, parent):
        """Returns whether the call of a running request was answered well."""
        self.number += 1
        left = parent.sent + parent.deadline - self.world.now()
        if left <= 0:
            return False
        node = parent.arrivals[-1].target.node
        caller = Caller(f"call-{self.number}", node, self.world, 1.0)
        caller.inherited = len(parent.arrivals) > 1
        request = await caller.attempt(CALLED, b"", left)
        caller.close()
        return request.status == 200

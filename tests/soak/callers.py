"""Callers that keep their connections and check each response."""

import asyncio
import random

from httpio import read_body, read_head
from checker import Request
from meshfleet import HOST, OUTBOUND_PORT
from versions import CALLED

# Longest pause of a caller, during which its connection is idle, in seconds.
MAX_IDLE = 4.0

CONNECT_TIMEOUT = 1.0
MAX_BODY = 8000
MAX_RETRIES = 2

# Share of the requests that callers abandon early during a give-up fault.
ABANDON_SHARE = 0.2


class Caller:
    """One caller beside one node; sends one request after another."""

    def __init__(self, name, node, soak_run, mean_pause):
        self.node = node
        self.soak_run = soak_run
        self.checker = soak_run.checker
        self.mean_pause = mean_pause
        self.rng = random.Random(name)
        self.name = name
        self.number = 0
        self.caused_by_retry = False
        self.reader = None
        self.writer = None

    async def run(self):
        while not self.soak_run.finished:
            pause = self.rng.expovariate(1 / self.mean_pause)
            await asyncio.sleep(min(pause / self.soak_run.load_factor,
                                    MAX_IDLE))
            if self.soak_run.callers_on:
                await self.call_with_retries()
        self.close()

    async def call_with_retries(self):
        """Sends one request, and retries it if the response allows it."""
        route = self.rng.choice(self.soak_run.table.routes())
        deadline = route.timeout + self.rng.uniform(0, 1.0)
        body = b""
        if not route.idempotent:
            body = b"b" * self.rng.randint(1, MAX_BODY)
        for _ in range(1 + MAX_RETRIES):
            request = await self.attempt(route, body, deadline)
            retry = request.status in (429, 503) or (
                route.idempotent and request.status != 200 and
                request.outcome != "abandoned")
            if not retry:
                return
            await asyncio.sleep(min(request.retry_after, deadline / 3))

    async def attempt(self, route, body, deadline):
        """Sends one attempt, waits for its outcome and returns it."""
        self.number += 1
        request = Request(f"{self.name}-{self.number}", self.node, route,
                          "POST" if body else "GET",
                          f"{route.prefix}{self.number}%2f?q={self.number}",
                          body, deadline)
        request.caused_by_retry = self.caused_by_retry
        self.checker.on_created(request)
        if self.rng.random() < 0.3:
            self.close()
        timeout = deadline
        if self.soak_run.abandoning and self.rng.random() < ABANDON_SHARE:
            timeout = self.rng.uniform(0.01, 0.3)
        try:
            await asyncio.wait_for(self.exchange(request, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            self.checker.on_abandoned(request)
        return request

    async def exchange(self, request, body):
        if not await self.connect():
            self.checker.on_unsent(request)
            return
        head = (f"{request.method} {request.path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Attempt-Id: {request.id}\r\nDeadline-Remaining: "
                f"{int(request.deadline * 1000)}\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await self.writer.drain()
            self.checker.on_sent(request)
            await self.receive(request)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.close()
            self.checker.on_closed(request)

    async def connect(self):
        """Opens a connection unless a usable one is kept; returns success."""
        if self.writer is not None and self.reader.at_eof():
            self.close()
        if self.writer is not None:
            return True
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(self.node.address, OUTBOUND_PORT,
                                        limit=2 ** 20), CONNECT_TIMEOUT)
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    async def receive(self, request):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        headers = {key.lower(): value for key, value in head[1]}
        status = int(head[0].split(" ")[1])
        if "content-length" in headers or "transfer-encoding" in headers:
            body = await read_body(self.reader, head[1])
        else:
            body = await self.reader.read(-1)
        request.retry_after = float(headers.get("retry-after", 0.05))
        if headers.get("attempt-id", request.id) != request.id:
            self.checker.report_violation("MIXED", f"{headers}: {request}")
        self.checker.on_answered(request, status,
                                 headers.get("server-signature"), body)
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class TargetCalls:
    """Makes the calls of targets, as separate requests."""

    def __init__(self, soak_run):
        self.soak_run = soak_run
        self.number = 0

    async def __call__(self, parent):
        """Makes the call of a running request; returns whether it succeeded."""
        self.number += 1
        remaining = parent.sent + parent.deadline - self.soak_run.now()
        if remaining <= 0:
            return False
        node = parent.arrivals[-1].target.node
        caller = Caller(f"call-{self.number}", node, self.soak_run, 1.0)
        caller.caused_by_retry = len(parent.arrivals) > 1
        request = await caller.attempt(CALLED, b"", remaining)
        caller.close()
        return request.status == 200

"""The targets of a run: slots, a queue, calls of their own, and faults."""

import asyncio
import random

from httpio import answer_bytes, read_body, read_head, reset

SLOTS = 6
QUEUE = 12

# Time that a request works, in seconds; a few take much longer.
WORK = (0.005, 0.04)
LONG_WORK = 0.5
LONG_SHARE = 0.02

# Share of the requests that an ill target answers badly.
FAULT_SHARE = 0.3

MAX_BODY = 20000
ERROR_SHARE = 0.005


class Target:
    """One incarnation of the target beside a node."""

    def __init__(self, node, service, instance, ledger, call):
        self.node = node
        self.service = service
        self.instance = instance
        self.ledger = ledger
        self.call = call
        self.chance = random.Random(instance)
        self.running = 0
        self.room = asyncio.Semaphore(SLOTS)
        self.waiting = 0
        self.fault = ""
        self.slowness = 1.0
        self.faulty_spans = []
        self.leaving = None
        self.ended = None
        self.server = None
        self.writers = set()
        self.answers = 0

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.serve, address, port,
                                                 limit=2 ** 20)

    def end(self, now):
        """Ends at once, as a crash does; the address is free afterwards."""
        self.ended = now
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def disturbed(self, begin, end):
        """Was it, or the node beside it, ill or gone in this time?"""
        ill = any(first < end and (last or end) > begin
                  for first, last in self.faulty_spans)
        return ill or (self.ended or end) < end or \
            not self.node.disturbances.calm(begin, end, planned=True)

    def take_fault(self):
        return self.fault if self.chance.random() < FAULT_SHARE else ""

    def headers(self, request_id, signature):
        return [("Attempt-Id", request_id), ("Server-Signature", signature),
                ("Server-Load", f"{self.running},{self.waiting},{SLOTS}"),
                ("Keep-Alive", "timeout=10")]

    def refusal(self, request_id, status=503):
        return answer_bytes(status, [("Attempt-Id", request_id),
                                     ("Instance-Id", self.instance),
                                     ("Not-Executed", "1")])

    async def work(self, reader):
        """Works off one request; False if its caller went away."""
        length = self.chance.uniform(*WORK)
        if self.chance.random() < LONG_SHARE:
            length = LONG_WORK
        try:
            await asyncio.wait_for(reader.read(1), length * self.slowness)
            return False
        except asyncio.TimeoutError:
            return True
        except ConnectionError:
            return False

    def answer(self, request, request_id):
        """Returns the status, signature and body of a new answer."""
        self.answers += 1
        signature = f"{self.instance}.{self.answers}"
        status = 500 if self.chance.random() < ERROR_SHARE else 200
        body = f"{signature} {request_id} ".encode()
        body += b"x" * self.chance.randint(0, MAX_BODY)
        if request is not None:
            self.ledger.made(request, status, signature, body)
        return status, signature, body

    async def reply(self, fault, request, request_id, writer):
        """Writes the answer; returns False when the connection ends."""
        status, signature, body = self.answer(request, request_id)
        headers = self.headers(request_id, signature)
        good = answer_bytes(status, headers, body)
        if fault == "reset":
            reset(writer)
            return False
        if fault == "truncated":
            writer.write(good[:-5])
            return False
        if fault == "extra":
            extra = self.answer(None, "another")
            writer.write(good + answer_bytes(
                extra[0], self.headers("another", extra[1]), extra[2]))
            return True
        if fault == "late":
            await asyncio.sleep(self.chance.uniform(0.5, 3.0))
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
            return False
        if fault == "unframed":
            head, _, _ = good.rpartition(b"Content-Length")
            writer.write(head + b"Connection: close\r\n\r\n" + body)
            return False
        if fault == "wrong-id":
            good = good.replace(request_id.encode(), b"another", 1)
        if fault == "error":
            self.ledger.made(request, 500, signature, b"no")
            good = answer_bytes(500, headers, b"no")
        writer.write(good)
        return True

    async def run(self, head, reader, writer):
        """Takes one request; returns False when the connection ends."""
        line, headers = head
        names = {key.lower(): value for key, value in headers}
        request_id = names.get("attempt-id", "")
        body = await read_body(reader, headers)
        fault = self.take_fault()
        if names.get("expected-instance", self.instance) != self.instance:
            writer.write(self.refusal(request_id, 421))
            return True
        if self.waiting >= QUEUE or fault == "full":
            self.ledger.arrived(self, (line, names), body, False)
            writer.write(self.refusal(request_id))
            return True
        if fault == "silent":
            self.ledger.arrived(self, (line, names), body, True)
            await asyncio.sleep(3600)
        self.waiting += 1
        try:
            await self.room.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            request = self.ledger.arrived(self, (line, names), body, True)
            good = await self.work(reader)
            if good and request is not None and request.route.calls:
                good = await self.call(request)
        finally:
            self.running -= 1
            self.room.release()
        return good and await self.reply(fault, request, request_id, writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if head[0].startswith("GET /health"):
                    writer.write(answer_bytes(
                        503 if self.leaving else 200,
                        [("Instance-Id", self.instance)]))
                elif not await self.run(head, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

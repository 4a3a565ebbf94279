"""Targets with slots, a queue, calls to other services, and faults."""

import asyncio
import random

from httpio import response_bytes, read_body, read_head, reset

SLOTS = 6
QUEUE = 12

# Service time of a request, in seconds; a small share takes much longer.
SERVICE_TIME = (0.005, 0.04)
LONG_SERVICE_TIME = 0.5
LONG_SHARE = 0.02

# Share of the requests that a faulty target answers with its fault.
FAULT_SHARE = 0.3

MAX_BODY = 20000
ERROR_SHARE = 0.005


class Target:
    """One incarnation of the target beside a node."""

    def __init__(self, node, service, instance, checker, make_call):
        self.node = node
        self.service = service
        self.instance = instance
        self.checker = checker
        self.make_call = make_call
        self.rng = random.Random(instance)
        self.running = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.queued = 0
        self.fault = ""
        self.slowdown = 1.0
        self.faulty_spans = []
        self.leaving = None
        self.ended = None
        self.server = None
        self.writers = set()
        self.response_count = 0

    async def start(self, address, port):
        self.server = await asyncio.start_server(
            self.handle_connection, address, port, limit=2 ** 20)

    def terminate(self, now):
        """Resets all connections, as a crash does, and frees the address."""
        self.ended = now
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def disturbed(self, begin, end):
        """Returns whether the target or its node was faulty or down then."""
        faulty = any(first < end and (last or end) > begin
                     for first, last in self.faulty_spans)
        return faulty or (self.ended or end) < end or \
            not self.node.disturbances.undisturbed(
                begin, end, ignore_planned=True)

    def draw_fault(self):
        return self.fault if self.rng.random() < FAULT_SHARE else ""

    def headers(self, request_id, signature):
        return [("Attempt-Id", request_id), ("Server-Signature", signature),
                ("Server-Load", f"{self.running},{self.queued},{SLOTS}"),
                ("Keep-Alive", "timeout=10")]

    def refusal(self, request_id, status=503):
        return response_bytes(status, [("Attempt-Id", request_id),
                                     ("Instance-Id", self.instance),
                                     ("Not-Executed", "1")])

    async def execute(self, reader):
        """Waits for the service time; returns False on a disconnect."""
        service_time = self.rng.uniform(*SERVICE_TIME)
        if self.rng.random() < LONG_SHARE:
            service_time = LONG_SERVICE_TIME
        try:
            await asyncio.wait_for(reader.read(1), service_time * self.slowdown)
            return False
        except asyncio.TimeoutError:
            return True
        except ConnectionError:
            return False

    def make_response(self, request, request_id):
        """Returns the status, signature and body of a new response."""
        self.response_count += 1
        signature = f"{self.instance}.{self.response_count}"
        status = 500 if self.rng.random() < ERROR_SHARE else 200
        body = f"{signature} {request_id} ".encode()
        body += b"x" * self.rng.randint(0, MAX_BODY)
        if request is not None:
            self.checker.on_response_created(request, status, signature, body)
        return status, signature, body

    async def respond(self, fault, request, request_id, writer):
        """Writes the response; returns False if the connection must close."""
        status, signature, body = self.make_response(request, request_id)
        headers = self.headers(request_id, signature)
        response = response_bytes(status, headers, body)
        if fault == "reset":
            reset(writer)
            return False
        if fault == "truncated":
            writer.write(response[:-5])
            return False
        if fault == "extra":
            extra = self.make_response(None, "another")
            writer.write(response + response_bytes(
                extra[0], self.headers("another", extra[1]), extra[2]))
            return True
        if fault == "late":
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
            return False
        if fault == "unframed":
            head, _, _ = response.rpartition(b"Content-Length")
            writer.write(head + b"Connection: close\r\n\r\n" + body)
            return False
        if fault == "wrong-id":
            response = response.replace(request_id.encode(), b"another", 1)
        if fault == "error":
            self.checker.on_response_created(request, 500, signature, b"no")
            response = response_bytes(500, headers, b"no")
        writer.write(response)
        return True

    async def handle_request(self, head, reader, writer):
        """Serves one request; returns False if the connection must close."""
        line, headers = head
        headers_by_name = {key.lower(): value for key, value in headers}
        request_id = headers_by_name.get("attempt-id", "")
        body = await read_body(reader, headers)
        fault = self.draw_fault()
        if headers_by_name.get("expected-instance",
                               self.instance) != self.instance:
            writer.write(self.refusal(request_id, 421))
            return True
        if self.queued >= QUEUE or fault == "full":
            self.checker.on_arrival(self, (line, headers_by_name), body, False)
            writer.write(self.refusal(request_id))
            return True
        if fault == "silent":
            self.checker.on_arrival(self, (line, headers_by_name), body, True)
            await asyncio.sleep(3600)
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.running += 1
        try:
            request = self.checker.on_arrival(self, (line, headers_by_name),
                                              body, True)
            succeeded = await self.execute(reader)
            if succeeded and request is not None and request.route.calls:
                succeeded = await self.make_call(request)
        finally:
            self.running -= 1
            self.slots.release()
        return succeeded and await self.respond(fault, request, request_id,
                                                writer)

    async def handle_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                if head[0].startswith("GET /health"):
                    writer.write(response_bytes(
                        503 if self.leaving else 200,
                        [("Instance-Id", self.instance)]))
                elif not await self.handle_request(head, reader, writer):
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

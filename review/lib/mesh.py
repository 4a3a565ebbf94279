"""A small deployment for the review's cases: store, upstreams and nodes.

The store is the project's own stand-in (tests/standins/store.py) and runs in
this process, as do the upstreams and the clients. Each node is a process of
its own, started with the command of deploy/system.toml and settings that are
rendered from deploy/node.ini.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/standins"))

from httpio import read_body, read_head, response_bytes  # noqa: E402
from meshfleet import render  # noqa: E402
from store import Store  # noqa: E402

STORE_PORT = 16000
APP_PORT = 16001
OUTBOUND_PORT = 16002
READY_PORT = 16003
INTERNAL_PORTS = ("16010", "16011")
ADMIN_PORT = 15004

# Bounds of a small deployment (kit/more/system/SYSTEM.md).
GRACE_PERIOD = 6.0
CONFIG_APPLY = 2.0
DRAIN_TIMEOUT = 2.0
STABLE_WINDOW = 3.0

HOST = "desk.example"

LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864,
          "headerTimeout": "3000ms", "idleTimeout": "15000ms"}

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def trouble():
    """Returns whether the case is to include its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, prefix, service, kind="idempotent", **fields):
    """Returns a route as the operator writes it."""
    specification = {"hostname": HOST, "prefix": prefix, "routeKind": kind,
                     "timeout": "4000ms", "targetLatency": "600ms",
                     "priority": 1, "maxAttempts": 2, "service": service,
                     **fields}
    if "weightedServices" in fields:
        del specification["service"]
    return {"resourceType": "routes", "metadata": {"name": name},
            "specification": specification}


def config(version, routes, services):
    """Returns a configuration as the operator writes it."""
    resources = list(routes)
    resources += [{"resourceType": "services", "metadata": {"name": name},
                   "specification": {"healthCheckPath": "/health",
                                     "maxConnections": 130, "protocol": "h1",
                                     "tls": False}} for name in services]
    resources.append({"resourceType": "limits", "metadata": {},
                      "specification": LIMITS})
    return {"version": f"r{version}", "resources": resources}


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w",
                         encoding="utf-8")
        self.start = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        """Writes a line to the record and to standard output."""
        self.write(text)
        print(text, flush=True)


class Upstream:
    """A sound upstream: queues, runs, answers, and obeys Deadline-Remaining."""

    def __init__(self, vm, record, slots=6, queue=24):
        self.vm = vm
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue_length = queue
        self.work = 0.02
        self.body = b"the upstream's bytes"
        self.bodies = {}
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.vm.address, APP_PORT, limit=2 ** 20)

    def stop(self):
        """Ends the upstream: closes its port and all of its connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def headers(self, attempt):
        return [("Attempt-Id", attempt),
                ("Server-Signature", f"signed.{self.vm.instance}.{attempt}"),
                ("Server-Load",
                 f"{self.running},{self.waiting},{self.slot_count}"),
                ("Keep-Alive", "timeout=10")]

    async def run(self, attempt, start_line, deadline):
        """Runs one request; returns the response."""
        if self.running + self.waiting >= self.slot_count + self.queue_length:
            return response_bytes(503, [("Attempt-Id", attempt),
                                        ("Not-Executed", "1")])
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if time.monotonic() >= deadline:
                return response_bytes(503, [("Attempt-Id", attempt),
                                            ("Not-Executed", "1")])
            self.running += 1
            self.runs.append((time.monotonic(), attempt, start_line))
            self.record.write(f"{self.vm.instance} runs {attempt}")
            work = self.work() if callable(self.work) else self.work
            try:
                await asyncio.sleep(min(work, deadline - time.monotonic()))
            finally:
                self.running -= 1
        if time.monotonic() >= deadline:
            return response_bytes(504, self.headers(attempt), b"too late")
        path = start_line.split(" ")[1]
        body = next((body for prefix, body in self.bodies.items()
                     if path.startswith(prefix)), self.body)
        return response_bytes(200, self.headers(attempt), body)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError,
                                 asyncio.CancelledError):
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                values = {key.lower(): value for key, value in head[1]}
                await read_body(reader, head[1])
                attempt = values.get("attempt-id", "")
                if values.get("expected-instance",
                              self.vm.instance) != self.vm.instance:
                    writer.write(response_bytes(
                        421, [("Attempt-Id", attempt),
                              ("Instance-Id", self.vm.instance)]))
                    continue
                deadline = time.monotonic() + int(
                    values.get("deadline-remaining", 4000)) / 1000
                writer.write(await self.run(attempt, head[0], deadline))
                await writer.drain()
        self.writers.discard(writer)
        with contextlib.suppress(RuntimeError):
            writer.close()


class Vm:
    """One machine: an upstream and the node beside it."""

    def __init__(self, number, address, zone, service):
        self.number = number
        self.address = address
        self.zone = zone
        self.service = service
        self.instance = f"i-{number:04d}"
        self.born = int(time.time() * 1000) - 60000 + number
        self.node = None
        self.upstream = None
        self.settings_path = None

    @property
    def outbound(self):
        return (self.address, OUTBOUND_PORT)


def free_network():
    """Returns the second byte of loopback addresses that nothing uses."""
    for net in random.sample(range(201, 250), 49):
        with contextlib.ExitStack() as sockets:
            try:
                for host, port in (("255.1", STORE_PORT), ("0.1", APP_PORT),
                                   ("0.1", OUTBOUND_PORT),
                                   ("0.1", ADMIN_PORT)):
                    probe = sockets.enter_context(socket.socket())
                    probe.bind((f"127.{net}.{host}", port))
                return net
            except OSError:
                continue
    raise RuntimeError("no free loopback addresses")


class Mesh:
    """A store, upstreams and nodes; end() stops all of them."""

    def __init__(self, folder, places):
        net = free_network()
        self.record = Record(folder)
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store_address = f"127.{net}.255.1"
        self.store = Store()
        self.store_server = None
        self.vms = [Vm(number + 1, f"127.{net}.0.{number + 1}", zone, service)
                    for number, (zone, service) in enumerate(places)]

    async def publish(self, value):
        await self.store.change("op/config", json.dumps(value).encode())
        self.record.write(f"operator: {value['version']} acknowledged")

    def entry(self, vm, state="ready", **fields):
        return {"address": f"{vm.address}:{APP_PORT}", "born": vm.born,
                "information": {"service": vm.service, "version": "v1",
                                "zone": vm.zone,
                                "slots": vm.upstream.slot_count},
                "status": {"state": state, "sequenceNumber": 1,
                           "coldRemaining": "0ms"}, **fields}

    async def register(self, vm, state="ready", **fields):
        await self.store.change(
            f"servers/{vm.instance}",
            json.dumps(self.entry(vm, state, **fields)).encode())
        self.record.write(f"{vm.instance} reports {state}, acknowledged")

    def settings_text(self, vm, **changes):
        fields = {"ipAddress": vm.address, "zone": vm.zone,
                  "limits": {"cpuShare": 0.2, "linkMbps": 1000.0},
                  "service": vm.service,
                  "platform": {"address":
                               f"{self.store_address}:{STORE_PORT}"},
                  "applicationAddress": f"{vm.address}:{APP_PORT}",
                  "listenAddresses": {
                      "outbound": f"{vm.address}:{OUTBOUND_PORT}",
                      "readyAddress": f"{vm.address}:{READY_PORT}"},
                  "internalPortRange": list(INTERNAL_PORTS),
                  "seedNodes": [f"{seed.address}:1" for seed in self.vms[:3]],
                  "bounds": {"gracePeriod": f"{GRACE_PERIOD:g}s",
                             "retryBudgetRatio": 0.2, "retryBudgetSlack": 62}}
        fields.update(changes)
        return render((ROOT / "deploy/node.ini").read_text(), fields)

    async def start_node(self, vm):
        vm.settings_path = self.directory / f"node-{vm.number}.ini"
        vm.settings_path.write_text(self.settings_text(vm))
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["BLUEBELLBARROW_SETTINGS"] = str(vm.settings_path)
        with open(self.directory / f"node-{vm.number}.log", "ab") as log:
            vm.node = await asyncio.create_subprocess_exec(
                os.environ.get("NODE_PROGRAM", "target/bluebellbarrow"), "node",
                cwd=ROOT, env=environment,
                stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def signal_node(self, vm, number):
        vm.node.send_signal(number)
        self.record.write(f"node {vm.number}: {signal.Signals(number).name}")

    async def ready(self, vm):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(vm.address,
                                                           READY_PORT)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        return False

    async def wait_ready(self, vms, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            if all([await self.ready(vm) for vm in vms]):
                return True
            await asyncio.sleep(0.05)
        return False

    async def start(self, value, slots=6):
        """Starts all; returns once every node is ready and in touch."""
        self.store_server = await asyncio.start_server(
            self.store.serve, self.store_address, STORE_PORT, limit=2 ** 24)
        await self.publish(value)
        for vm in self.vms:
            vm.upstream = Upstream(vm, self.record, slots)
            await vm.upstream.start()
            await self.register(vm)
        for vm in self.vms:
            await self.start_node(vm)
        if not await self.wait_ready(self.vms, 15):
            raise NotRun("the nodes did not become ready")
        await asyncio.sleep(STABLE_WINDOW + 0.5)

    async def end(self):
        for vm in self.vms:
            if vm.node is not None and vm.node.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    vm.node.send_signal(signal.SIGCONT)
                    vm.node.kill()
        for vm in self.vms:
            if vm.node is not None:
                await vm.node.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class NotRun(Exception):
    """The case could not run."""


def request_bytes(path, attempt, method="GET", remaining=4000, body=b"",
                  headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"Attempt-Id: {attempt}", f"Deadline-Remaining: {remaining}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Answer:
    """What a client received for one request."""

    def __init__(self):
        self.received = bytearray()
        self.ended = "open"

    @property
    def status(self):
        parts = bytes(self.received[:16]).split(b" ")
        return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0

    def header(self, name):
        head = bytes(self.received).split(b"\r\n\r\n")[0].decode("latin-1")
        for line in head.split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return ""

    @property
    def body(self):
        return bytes(self.received).partition(b"\r\n\r\n")[2]

    @property
    def length(self):
        """The length that the head announces."""
        return int(self.header("Content-Length") or 0)

    @property
    def complete(self):
        return bool(self.received) and len(self.body) == self.length


class Client:
    """One connection of a client to the node of its machine."""

    def __init__(self, endpoint, receive_buffer=0):
        self.endpoint = endpoint
        self.receive_buffer = receive_buffer
        self.socket = None
        self.unread = bytearray()

    async def connect(self):
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if self.receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                   self.receive_buffer)
        await asyncio.get_running_loop().sock_connect(self.socket,
                                                      self.endpoint)

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self.socket, data)

    async def receive(self, seconds, rate=0):
        """Reads one answer, at no more than rate bytes a second if given."""
        return (await self.receive_all(1, seconds, rate))[0]

    async def receive_all(self, count, seconds, rate=0):
        """Reads the answers to count requests that were sent together."""
        answers = [Answer() for _ in range(count)]
        start = time.monotonic()
        received = 0
        for answer in answers:
            while not answer.complete:
                if rate:
                    allowed = int((time.monotonic() - start) * rate)
                    size = min(16384, allowed - received)
                    if size < 2048:
                        await asyncio.sleep(0.01)
                        continue
                else:
                    size = 65536
                ended, part = await self.receive_part(
                    size, start + seconds - time.monotonic())
                if ended:
                    for unanswered in answers[answers.index(answer):]:
                        unanswered.ended = ended
                    return answers
                received += len(part)
                self.unread += part
                self.move_bytes(answer)
            answer.ended = "complete"
            if answer is not answers[-1]:
                self.move_bytes(answers[answers.index(answer) + 1])
        return answers

    async def receive_part(self, size, seconds):
        """Returns why there are no more bytes, or "", and the next bytes."""
        try:
            part = await asyncio.wait_for(
                asyncio.get_running_loop().sock_recv(self.socket, size),
                max(0, seconds))
        except asyncio.TimeoutError:
            return "no whole answer in time", b""
        except ConnectionError as error:
            return f"connection reset ({error.strerror})", b""
        return ("" if part else "connection closed"), part

    def move_bytes(self, answer):
        """Moves the bytes that belong to an answer out of the unread ones."""
        end = self.unread.find(b"\r\n\r\n")
        if not answer.received:
            if end < 0:
                return
            answer.received += self.unread[:end + 4]
            del self.unread[:end + 4]
        missing = answer.length - len(answer.body)
        answer.received += self.unread[:missing]
        del self.unread[:missing]

    def close(self):
        if self.socket is not None:
            self.socket.close()


async def fetch(vm, path, attempt, method="GET", remaining=4000, body=b""):
    """Sends one request on a connection of its own; returns the answer."""
    client = Client(vm.outbound)
    try:
        await client.connect()
        await client.send(request_bytes(path, attempt, method, remaining, body))
        return await client.receive(remaining / 1000 + 1)
    except OSError as error:
        answer = Answer()
        answer.ended = f"no connection ({error.strerror})"
        return answer
    finally:
        client.close()


async def end_tasks():
    """Ends the connections of the stand-ins that are still open."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    # Most end by themselves, once the nodes' connections are closed.
    if tasks:
        await asyncio.wait(tasks, timeout=1.5)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0.05)


def main(case, folder, places):
    """Runs a case: case(mesh) returns the faults that it saw."""
    async def play():
        this_task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number,
                                                          this_task.cancel)
        mesh = Mesh(folder, places)
        try:
            faults = await asyncio.wait_for(case(mesh), 110)
        finally:
            await mesh.end()
            await end_tasks()
        for fault in faults:
            mesh.record.say(f"broken: {fault}")
        mesh.record.say("rule broken" if faults else "rule held")
        return EXIT_BROKEN if faults else EXIT_HELD

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        print(f"not run: {type(error).__name__}: {error}")
        code = EXIT_NOT_RUN
    sys.exit(code)

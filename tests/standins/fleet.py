"""Runs stand-ins and nodes on loopback addresses, for tests and benchmarks."""

import atexit
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build"))

CALLER_PORT = 15001
PEER_PORT = 15002
CONTROL_PORT = 15003
ADMIN_PORT = 15004
TARGET_PORT = 8080

DEPLOYMENTS = {
    "shirakaba": {
        "domains": ["sapporo-a", "sapporo-b", "asahikawa", "hakodate"],
        "services": {"seating": 5, "roster": 4},
        "get": "/seating/charts",
        "post": "/seating/assignments",
        "calls": {"seating": "/roster/labels"},
    },
    "agencia": {
        "domains": ["manta-dc", "chone-dc", "pasaje-dc"],
        "services": {"permisos": 7, "visitas": 4},
        "get": "/permisos/checks",
        "post": "/permisos/declarations",
        "calls": {},
    },
}


def http(method, address, port, path, body=None, timeout=5.0, headers=None):
    """Makes one request; returns (status, body, headers) of the response."""
    request = urllib.request.Request(
        f"http://{address}:{port}{path}", method=method,
        data=body.encode() if body is not None else None,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode(), dict(
                response.headers)
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(), dict(error.headers)


def wait_until(condition, timeout, interval=0.02):
    """Polls until condition() is true.

    Returns the seconds that passed, or None after the timeout.
    """
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        if condition():
            return time.monotonic() - start
        time.sleep(interval)
    return None


class Vm:
    """One VM: its node, its target and its entry in the VM list."""

    def __init__(self, name, address, domain, service):
        self.name = name
        self.address = address
        self.domain = domain
        self.service = service
        self.state = "live"
        self.node = None
        self.target = None


class Fleet:
    """A platform, targets and nodes; the end of its with-block kills them.

    net is the second byte of all its loopback addresses.
    """

    def __init__(self, mesh, net, keep_logs=False):
        self.mesh = mesh
        self.net = net
        self.platform_address = f"127.{net}.255.1"
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        self.keep_logs = keep_logs
        self.processes = []
        self.vms = []
        self.settings = {}
        # A test may fail before its with-block begins.
        atexit.register(self.end)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.end()

    def end(self):
        """Kills all processes; removes their files unless keep_logs is set.

        May be called again.
        """
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if not self.keep_logs:
            shutil.rmtree(self.directory, ignore_errors=True)

    def spawn(self, name, *command):
        log = open(self.directory / f"{name}.log", "ab")
        process = subprocess.Popen([str(argument) for argument in command],
                                   stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        return process

    def log(self, name):
        return (self.directory / f"{name}.log").read_text(errors="replace")

    def start_platform(self):
        self.platform = self.spawn(
            "platform", BUILD / "tests/standin-platform",
            "--address", self.platform_address)
        assert wait_until(self.platform_answers, 5) is not None

    def platform_answers(self):
        try:
            return http("GET", self.platform_address, 8500,
                        "/control/counts")[0] == 200
        except OSError:
            return False

    def counts(self):
        return json.loads(http("GET", self.platform_address, 8500,
                               "/control/counts")[1])

    def platform_knobs(self, **knobs):
        query = "&".join(f"{key.replace('_', '-')}={value}"
                         for key, value in knobs.items())
        http("POST", self.platform_address, 8500,
             f"/control/knobs?{query}", "")

    def pack(self, tree, version, parent=0):
        out = self.directory / f"packed-{version}-{time.monotonic_ns()}"
        subprocess.run([BUILD / "bluebellbarrow", "pack", tree, "--version",
                        str(version), "--parent", str(parent), "--out", out],
                       check=True, stdout=subprocess.DEVNULL)
        return out

    def publish_packed(self, packed, omit_values=0):
        """Publishes a packed version; only its manifest if omit_values is 1."""
        http("POST", self.platform_address, 8500,
             f"/control/publish?hold={omit_values}", str(packed))

    def publish(self, tree, version, parent=0):
        self.publish_packed(self.pack(tree, version, parent))

    def copy_tree(self, tree, name="tree"):
        copy = self.directory / name
        shutil.copytree(tree, copy, dirs_exist_ok=True)
        return copy

    def publish_vms(self):
        entries = [{"name": vm.name, "address": vm.address,
                    "domain": vm.domain, "service": vm.service,
                    "state": vm.state}
                   for vm in self.vms if vm.state != "gone"]
        http("PUT", self.platform_address, 8500, "/v1/vms",
             json.dumps({"vms": entries}))

    def add_deployment(self, name):
        spec = DEPLOYMENTS[name]
        number = 0
        for service, count in spec["services"].items():
            for index in range(count):
                domain = spec["domains"][index % len(spec["domains"])]
                self.vms.append(Vm(f"{service}-{index + 1}",
                                   f"127.{self.net}.0.{number + 1}",
                                   domain, service))
                number += 1
        return self.vms

    def start_target(self, vm, **flags):
        spec = DEPLOYMENTS.get(self.mesh, {"calls": {}})
        command = [BUILD / "tests/standin-target", "--address", vm.address,
                   "--name", vm.name, "--node_port", CALLER_PORT]
        if vm.service in spec["calls"]:
            command += ["--calls", spec["calls"][vm.service]]
        for key, value in flags.items():
            command += [f"--{key}", value]
        vm.target = self.spawn(f"target-{vm.name}", *command)

    def start_node(self, vm, **sections):
        lines = ["[node]", f"mesh = {self.mesh}", f"name = {vm.name}",
                 f"address = {vm.address}", f"domain = {vm.domain}",
                 f"service = {vm.service}", "[platform]",
                 f"address = {self.platform_address}", "[target]",
                 f"address = {vm.address}", f"port = {TARGET_PORT}",
                 "[listen]", f"admin-address = {vm.address}"]
        for section, values in {**self.settings, **sections}.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        path = self.directory / f"{vm.name}.ini"
        path.write_text("\n".join(lines) + "\n")
        vm.node = self.spawn(f"node-{vm.name}", BUILD / "bluebellbarrow",
                             "node", "--settings", path)

    def start_all(self, **target_flags):
        for vm in self.vms:
            self.start_target(vm, **target_flags)
        for vm in self.vms:
            self.start_node(vm)

    def status(self, vm):
        try:
            return json.loads(http("GET", vm.address, ADMIN_PORT,
                                   "/status")[1])
        except OSError:
            return {}

    def audit(self, vm):
        return json.loads(http("GET", vm.address, ADMIN_PORT, "/audit")[1])

    def metrics(self, vm):
        values = {}
        text = http("GET", vm.address, ADMIN_PORT, "/metrics")[1]
        for line in text.splitlines():
            if not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                values[key] = float(value)
        return values

    def runs(self, vm):
        return json.loads(http("GET", vm.address, TARGET_PORT,
                               "/control/runs")[1])

    def target_knobs(self, vm, **knobs):
        query = "&".join(f"{key.replace('_', '-')}={value}"
                         for key, value in knobs.items())
        http("POST", vm.address, TARGET_PORT, f"/control/knobs?{query}", "")

    def live(self):
        return [vm for vm in self.vms
                if vm.node is not None and vm.node.poll() is None]

    def behind(self, version):
        """Returns the names of VMs whose live node has an older version."""
        return [vm.name for vm in self.live()
                if self.status(vm).get("version", 0) < version]

    def wait_version(self, version, timeout=10):
        """Waits until the version is in force on every live node."""
        return wait_until(lambda: not self.behind(version), timeout)

    def wait_serving(self, timeout=15):
        return wait_until(lambda: all(
            self.status(vm).get("state") == "serving"
            for vm in self.live()), timeout)

    def start_caller(self, nodes, **flags):
        addresses = ",".join(f"{vm.address}:{CALLER_PORT}" for vm in nodes)
        command = [BUILD / "tests/standin-caller", "--nodes", addresses]
        for key, value in flags.items():
            command += [f"--{key}", value]
        return subprocess.Popen([str(argument) for argument in command],
                                stdout=subprocess.PIPE, text=True)

    def call(self, nodes, **flags):
        """Runs a caller stand-in until it ends; returns its summary."""
        return finish(self.start_caller(nodes, **flags))


def finish(caller):
    """Waits for a caller of start_caller() and returns its summary."""
    output, _ = caller.communicate()
    return json.loads(output)

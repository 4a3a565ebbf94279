"""Measurements shared by bench/fleet, bench/requests and bench/state."""

import pathlib
import statistics
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "tests/standins"))

from fleet import *  # pylint: disable=wildcard-import,wrong-import-position

# Values of the section [spread], by the name of the profile.
PROFILES = {
    "time": {"digest-period": "500 ms", "digest-peers": 2, "fan-out": 4,
             "readers": 2, "push-content": "yes"},
    "bytes": {"digest-period": "2 s", "digest-peers": 1, "fan-out": 3,
              "readers": 1, "push-content": "yes"},
    "direct": {"strategy": "direct", "digest-peers": 0},
    "gossip": {"strategy": "gossip", "digest-period": "500 ms",
               "digest-peers": 2, "readers": 2},
    "gossip 2 s": {"strategy": "gossip", "digest-period": "2 s",
                   "digest-peers": 1, "readers": 1},
}

# Profiles from fast dissemination to few bytes.
CURVE_PROFILES = [
    {**PROFILES["time"], "digest-period": period, "digest-peers": peers,
     "push-content": push}
    for period, peers, push in (
        ("250 ms", 2, "yes"), ("500 ms", 2, "yes"), ("500 ms", 2, "no"),
        ("1 s", 1, "yes"), ("2 s", 1, "yes"), ("2 s", 1, "no"),
        ("5 s", 1, "yes"))]

COLUMNS = ("nodes", "domains", "services", "profile", "p50 ms", "p99 ms",
           "all ms", "idle B/s", "B/change", "idle req/s", "req/change",
           "ctl cpu %", "all cpu %", "rss MB")


def write_tree(directory, mesh, services, profile, serial=0):
    """Writes a settings tree of services with two routes each.

    serial selects the service that carries a change.
    """
    (directory / "service").mkdir(parents=True, exist_ok=True)
    lines = [f"{key} = {value}" for key, value in profile.items()]
    (directory / "mesh.ini").write_text(
        f"[mesh]\nname = {mesh}\n[spread]\n" + "\n".join(lines) + "\n")
    for number in range(services):
        about = f"change {serial}" if number == serial % services else "x"
        (directory / "service" / f"s{number}.ini").write_text(
            f"[service]\nabout = {about}\n\n[policy]\ndeadline = 1 s\n\n"
            f"[route read]\nmatch = GET /s{number}/read\nidempotent = yes\n\n"
            f"[route write]\nmatch = POST /s{number}/write\n")


def thread_seconds(pid, thread_name=None):
    """Returns the processor seconds of a process, or of its named threads."""
    ticks = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        text = (task / "stat").read_text()
        name = text[text.index("(") + 1:text.rindex(")")]
        fields = text[text.rindex(")") + 2:].split()
        if thread_name is None or name == thread_name:
            ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


class Run:
    """A fleet of a given size, domains, services and [spread] profile."""

    def __init__(self, net, nodes, domains, services, profile):
        self.fleet = Fleet("bench", net)
        self.domains, self.services, self.profile = domains, services, profile
        self.tree = self.fleet.directory / "tree"
        self.version = 1
        self.fleet.start_platform()
        for number in range(nodes):
            self.fleet.vms.append(Vm(
                f"n{number}", f"127.{net}.{number // 250}.{number % 250 + 1}",
                f"d{number % domains}", f"s{number % services}"))
        self.fleet.publish_vms()
        write_tree(self.tree, "bench", services, profile)
        self.fleet.publish(self.tree, 1)
        self.fleet.settings = {"log": {"level": "warning"}}
        start = time.monotonic()
        for vm in self.fleet.vms:
            self.fleet.start_node(vm)
        assert self.fleet.wait_version(1, 60) is not None
        self.start_seconds = time.monotonic() - start

    def control_bytes(self):
        """Returns the control bytes of all nodes, by cause.

        These are the bytes sent, and those received from the platform.
        """
        causes = {}
        for vm in self.fleet.live():
            for key, value in self.fleet.metrics(vm).items():
                if key.startswith("bluebellbarrow_control_sent"):
                    cause = key.split('"')[1]
                    causes[cause] = causes.get(cause, 0) + value
                if key.startswith("bluebellbarrow_control_received") and \
                        '"platform"' in key:
                    causes["platform"] = causes.get("platform", 0) + value
        return causes

    def publish_change(self):
        """Publishes a change.

        Returns the milliseconds until it was in force, for each node.
        """
        self.version += 1
        write_tree(self.tree, "bench", self.services, self.profile,
                   self.version)
        packed = self.fleet.pack(self.tree, self.version, self.version - 1)
        published = time.time()
        self.fleet.publish_packed(packed)
        time.sleep(1)
        assert self.fleet.wait_version(self.version, 60) is not None
        return [self.fleet.status(vm)["applied_us"] / 1000 - published * 1000
                for vm in self.fleet.live()]

    def measure(self, name, idle_seconds=20, changes=3):
        """Measures the idle fleet, then changes; prints and returns a row."""
        fleet, node_count = self.fleet, len(self.fleet.vms)
        time.sleep(3)
        before, reads_before = self.control_bytes(), fleet.counts()["requests"]
        control_cpu = sum(thread_seconds(vm.node.pid, "control")
                          for vm in fleet.live())
        total_cpu = sum(thread_seconds(vm.node.pid) for vm in fleet.live())
        start = time.monotonic()
        time.sleep(idle_seconds)
        elapsed = time.monotonic() - start
        control_cpu = (sum(thread_seconds(vm.node.pid, "control")
                           for vm in fleet.live()) -
                       control_cpu) / elapsed / node_count
        total_cpu = (sum(thread_seconds(vm.node.pid) for vm in fleet.live()) -
                     total_cpu) / elapsed / node_count
        idle_reads = (fleet.counts()["requests"] - reads_before) / elapsed
        after = self.control_bytes()
        idle_bytes = (sum(after.values()) -
                      sum(before.values())) / elapsed / node_count

        delays, reads_before = [], fleet.counts()["requests"]
        start = time.monotonic()
        for _ in range(changes):
            delays += self.publish_change()
        elapsed = time.monotonic() - start
        reads_per_change = (fleet.counts()["requests"] - reads_before -
                            idle_reads * elapsed) / changes
        final = self.control_bytes()
        change_bytes = {
            cause: (final[cause] - after.get(cause, 0)) / changes / node_count
            for cause in final if cause != "digest"}
        delays.sort()
        rss = statistics.mean(resident_mb(vm.node.pid) for vm in fleet.live())
        row = (node_count, self.domains, self.services, name,
               f"{delays[len(delays) // 2]:.0f}",
               f"{delays[int(len(delays) * 0.99)]:.0f}", f"{delays[-1]:.0f}",
               f"{idle_bytes:.0f}", f"{sum(change_bytes.values()):.0f}",
               f"{idle_reads:.1f}", f"{reads_per_change:.1f}",
               f"{control_cpu * 100:.2f}", f"{total_cpu * 100:.2f}",
               f"{rss:.1f}")
        print("| " + " | ".join(str(cell) for cell in row) + " |", flush=True)
        return row

    def measure_outage(self, seconds=15):
        """Returns the nodes' requests per second to a platform that is down."""
        self.fleet.platform_knobs(outage=1)
        time.sleep(2)
        before = self.fleet.counts()["requests"]
        time.sleep(seconds)
        rate = (self.fleet.counts()["requests"] - before) / seconds
        self.fleet.platform_knobs(outage=0)
        return rate

    def measure_restart(self, share=1.0, limit=2000):
        """Kills a share of the nodes at once and restarts them.

        The platform accepts at most limit reads per second. Returns a summary.
        """
        fleet = self.fleet
        fleet.platform_knobs(limit=limit)
        killed = fleet.vms[:int(len(fleet.vms) * share)]
        for vm in killed:
            vm.node.kill()
        for vm in killed:
            vm.node.wait()
        before, start = fleet.counts(), time.monotonic()
        for vm in killed:
            fleet.start_node(vm)
        start_seconds = time.monotonic() - start
        delay = fleet.wait_version(self.version, 60)
        after = fleet.counts()
        fleet.platform_knobs(limit=0)
        return (f"{len(killed)} of {len(fleet.vms)} killed and started "
                f"(which took {start_seconds:.1f} s): in force "
                f"{'never' if delay is None else f'{delay:.1f} s'} later, "
                f"{after['requests'] - before['requests']} requests, "
                f"{after['refused'] - before['refused']} refused")

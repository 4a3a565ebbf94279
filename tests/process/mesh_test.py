"""Guarantees on real processes: calls, versions, shutdown, malformed input."""

import sys

import harness
from fleet import *  # pylint: disable=wildcard-import

SHIRAKABA = ROOT / "examples/shirakaba/tree"

# A version that the platform accepted is in force everywhere within this time.
CONVERGENCE_LIMIT = 3.0

# A leaving target receives no new request after this time.
DRAIN_LIMIT = 3.0


def shirakaba(net, **target_flags):
    """Starts the deployment, and returns it with version 1 in force."""
    fleet = Fleet("shirakaba", net)
    fleet.settings = {"stop": {"leave-time": "1 s"}}
    fleet.start_platform()
    fleet.add_deployment("shirakaba")
    fleet.publish_vms()
    fleet.publish(SHIRAKABA, 1)
    fleet.start_all(**target_flags)
    assert fleet.wait_version(1) is not None, fleet.behind(1)
    assert fleet.wait_serving() is not None
    return fleet


def load(fleet, nodes, seconds, log=None, rate=300):
    flags = {"rate": rate, "seconds": seconds, "get": "/seating/charts",
             "post": "/seating/assignments", "post_percent": 50}
    if log is not None:
        flags["log"] = log
    return fleet.start_caller(nodes, **flags)


def runs_of(fleet):
    """Returns how often each non-idempotent request ran at any target."""
    total = {}
    for vm in fleet.vms:
        for body, count in fleet.runs(vm)["runs"].items():
            total[body] = total.get(body, 0) + count
    return total


def check_guarantees(fleet, log):
    """Checks that no request ran twice, or ran although reported as not run."""
    runs = runs_of(fleet)
    assert all(count == 1 for count in runs.values()), runs
    lines = [line.rsplit(" ", 1) for line in log.read_text().splitlines()]
    assert lines
    for body, outcome in lines:
        if outcome in ("not-run", "refused"):
            assert body not in runs, f"{body} ran although {outcome}"
        if outcome == "good":
            assert runs.get(body) == 1, f"{body} was answered but never ran"


def test_serves_calls_and_versions():
    with shirakaba(20) as fleet:
        summary = fleet.call(fleet.vms, rate=300, seconds=2,
                             get="/seating/charts",
                             post="/seating/assignments", post_percent=30)
        assert summary["good"] == summary["sent"], summary
        fleet.publish(SHIRAKABA, 2, 1)
        elapsed = fleet.wait_version(2, CONVERGENCE_LIMIT)
        assert elapsed is not None, fleet.behind(2)
        command = [BUILD / "bluebellbarrow", "watch", "--mesh", "shirakaba",
                   "--peer", fleet.vms[0].address, "--format", "json"]
        result = subprocess.run(command + ["--version", "2", "--wait", "5"],
                                stdout=subprocess.PIPE, text=True)
        assert result.returncode == 0, result.stdout
        assert json.loads(result.stdout.splitlines()[-1])["live"] == 9
        result = subprocess.run(command + ["--version", "3", "--wait", "1"],
                                stdout=subprocess.PIPE, text=True)
        assert result.returncode == 1
        assert len(json.loads(result.stdout.splitlines()[-1])["behind"]) == 9


def test_killed_node_runs_nothing_twice():
    with shirakaba(21, service_ms=100) as fleet:
        log = fleet.directory / "posts.log"
        # The VMs of roster have no seating target: every POST is forwarded.
        caller = load(fleet, fleet.vms[5:], 4, log, rate=200)
        for vm in fleet.vms[:4]:
            time.sleep(0.7)
            vm.node.kill()
        summary = finish(caller)
        assert summary["wrong"] == 0 and summary["good"] > 0, summary
        check_guarantees(fleet, log)


def test_frozen_nodes_run_nothing_twice():
    with shirakaba(22, service_ms=30) as fleet:
        log = fleet.directory / "posts.log"
        caller = load(fleet, fleet.vms[:2], 7, log)
        for vm, duration in ((fleet.vms[2], 0.1), (fleet.vms[3], 2.5),
                             (fleet.vms[0], 2.5)):
            time.sleep(0.3)
            vm.node.send_signal(signal.SIGSTOP)
            time.sleep(duration)
            vm.node.send_signal(signal.SIGCONT)
        summary = finish(caller)
        assert summary["wrong"] == 0 and summary["good"] > 0, summary
        time.sleep(0.5)
        check_guarantees(fleet, log)


def test_a_short_freeze_breaks_no_call():
    with shirakaba(33, service_ms=30) as fleet:
        log = fleet.directory / "posts.log"
        # The VMs of roster have no seating target: every POST is forwarded.
        caller = load(fleet, fleet.vms[5:], 4, log, rate=200)
        for vm in fleet.vms[:3]:
            time.sleep(0.5)
            vm.node.send_signal(signal.SIGSTOP)
            time.sleep(0.9)
            vm.node.send_signal(signal.SIGCONT)
        summary = finish(caller)
        assert summary["unknown"] == 0, summary
        assert summary["good"] > 0 and summary["wrong"] == 0, summary
        check_guarantees(fleet, log)


def test_planned_stops_cut_nothing():
    with shirakaba(23, service_ms=30) as fleet:
        log = fleet.directory / "posts.log"
        leaving = [fleet.vms[1], fleet.vms[2], fleet.vms[6]]
        staying = [vm for vm in fleet.vms if vm not in leaving]
        leaving_caller = load(fleet, leaving, 2, fleet.directory / "direct.log")
        caller = load(fleet, staying, 8, log)
        time.sleep(1.5)
        for vm in leaving:
            vm.node.send_signal(signal.SIGTERM)
            assert vm.node.wait(timeout=10) == 0, fleet.log(f"node-{vm.name}")
        for summary in (finish(leaving_caller), finish(caller)):
            for failure in ("broken", "refused", "unknown", "wrong"):
                assert summary[failure] == 0, summary
        check_guarantees(fleet, log)


def test_draining_target_gets_no_new_work():
    with shirakaba(24) as fleet:
        # One node is frozen during the update; its callers wait until it
        # continues.
        frozen, target = fleet.vms[6], fleet.vms[1]
        others = [vm for vm in fleet.vms if vm is not frozen]
        caller = load(fleet, others, 8)
        frozen_caller = load(fleet, [frozen], 8, rate=100)
        time.sleep(1)
        frozen.node.send_signal(signal.SIGSTOP)
        fleet.target_knobs(target, draining=1)
        time.sleep(DRAIN_LIMIT)
        before = fleet.runs(target)["after_drain"]
        frozen.node.send_signal(signal.SIGCONT)
        for summary in (finish(caller), finish(frozen_caller)):
            assert summary["good"] > 0 and summary["wrong"] == 0, summary
        assert fleet.runs(target)["after_drain"] == before


def test_vm_listed_as_leaving_gets_no_new_work():
    with shirakaba(30) as fleet:
        target = fleet.vms[1]
        caller = load(fleet, fleet.vms, 6)
        time.sleep(1)
        target.state = "leaving"
        fleet.publish_vms()
        time.sleep(DRAIN_LIMIT)
        before = fleet.runs(target)["count"]
        summary = finish(caller)
        assert fleet.runs(target)["count"] == before
        assert summary["good"] == summary["sent"], summary


def test_restart_against_a_stale_platform():
    with shirakaba(25) as fleet:
        fleet.platform_knobs(capture=1)
        fleet.publish(SHIRAKABA, 2, 1)
        assert fleet.wait_version(2, CONVERGENCE_LIMIT) is not None
        fleet.platform_knobs(stale=1)
        for vm in fleet.vms[:5]:
            vm.node.kill()
            vm.node.wait()
            fleet.start_node(vm)
        assert fleet.wait_version(2, 10) is not None, fleet.behind(2)
        for vm in fleet.vms:
            applied = [event["version"] for event in fleet.audit(vm)
                       if event["event"] == "applied" and
                       event["kind"] == "config"]
            numbers = [int(version.split("-")[0]) for version in applied]
            assert numbers == sorted(numbers), (vm.name, applied)
            assert numbers[0] == 2 or vm not in fleet.vms[:5], applied


def test_all_nodes_die_and_return():
    with shirakaba(26) as fleet:
        for vm in fleet.vms:
            vm.node.kill()
        fleet.publish(SHIRAKABA, 2, 1)
        before = fleet.counts()["requests"]
        for vm in fleet.vms:
            vm.node.wait()
            fleet.start_node(vm)
        assert fleet.wait_version(2, 10) is not None
        assert fleet.wait_serving() is not None
        # The bound covers one listing per node, two watches per reader and the
        # parts of the version.
        assert fleet.counts()["requests"] - before < 15 * len(fleet.vms)


def test_bad_version_is_refused():
    with shirakaba(27) as fleet:
        invalid = fleet.directory / "bad"
        packed = fleet.pack(SHIRAKABA, 2, 1)
        shutil.copytree(packed, invalid)
        manifest = json.loads((invalid / "manifest").read_text())
        manifest["branches"] = [branch for branch in manifest["branches"]
                                if branch["path"] != "service/roster"]
        (invalid / "manifest").write_text(json.dumps(
            manifest, separators=(",", ":"), sort_keys=True))
        fleet.publish_packed(invalid)
        time.sleep(2)
        assert not [vm.name for vm in fleet.vms
                    if fleet.status(vm)["version"] != 1]
        refused = [fleet.status(vm)["refused"] for vm in fleet.vms]
        assert any(refused) and all(
            "unknown service" in entry["reason"]
            for entries in refused for entry in entries), refused
        fleet.publish(SHIRAKABA, 3, 1)
        assert fleet.wait_version(3, CONVERGENCE_LIMIT) is not None


def test_idempotency_key_runs_once_on_any_node():
    with shirakaba(28, service_ms=200) as fleet:
        def post(vm, key, body):
            return http("POST", vm.address, CALLER_PORT,
                        "/seating/assignments", body,
                        headers={"idempotency-key": key})
        caller = fleet.start_caller(fleet.vms[:1], rate=1, seconds=1,
                                    post="/seating/assignments",
                                    post_percent=100, keys="true")
        first = post(fleet.vms[0], "k1", "chair 1")
        repeats = [post(vm, "k1", "chair 1") for vm in fleet.vms[:4]]
        assert first[0] == 200 and \
            all(repeat[1] == first[1] for repeat in repeats)
        other = post(fleet.vms[2], "k1", "chair 2")
        assert other[0] == 503 and "another request" in other[1], other
        finish(caller)
        assert runs_of(fleet)["chair 1"] == 1
        assert "chair 2" not in runs_of(fleet)


def test_bad_input_costs_only_its_connection():
    with shirakaba(29) as fleet:
        vm = fleet.vms[0]
        caller = load(fleet, [vm], 3)
        invalid_hello = struct.pack("<IB", 9, 0xf0) + b"otherone"
        inputs = [b"\0\xff garbage \r\n\r\n" * 20,
                  b"GET / HTTP/1.1\r\nx: " + b"y" * 70000,
                  struct.pack("<I", 0xffffffff) + b"x",
                  struct.pack("<I", 100) + b"half", invalid_hello,
                  b"POST /seating/assignments HTTP/1.1\r\n"
                  b"transfer-encoding: chunked\r\n\r\n"]
        for port in (CALLER_PORT, PEER_PORT, CONTROL_PORT, ADMIN_PORT):
            for data in inputs:
                with socket.create_connection((vm.address, port), 2) as peer:
                    peer.settimeout(0.2)
                    try:
                        peer.sendall(data)
                        peer.recv(4096)
                    except OSError:
                        pass
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            for data in inputs[:1] + [b"", b"\xff" * 300]:
                peer.sendto(data, (vm.address, CONTROL_PORT))
        summary = finish(caller)
        assert summary["good"] == summary["sent"], summary
        assert vm.node.poll() is None
        metrics = fleet.metrics(vm)
        for listener in ("peers", "control", "callers"):
            key = f'bluebellbarrow_malformed_total{{listener="{listener}"}}'
            assert metrics.get(key, 0) > 0, (listener, metrics)


if __name__ == "__main__":
    harness.main(sys.modules[__name__])

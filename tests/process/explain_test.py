"""What lines and metrics tell of a failed request, on real processes."""

import sys

import harness
from meshfleet import *  # pylint: disable=wildcard-import

ADMIN_PORT = 15004

# Time in which a line is written, also when nothing else happens.
LOG_LIMIT = 2.0


def mesh(net):
    """A target of "shop" on the first VM; the second one only passes on."""
    fleet = MeshFleet(net, [("north", "shop"), ("south", "stock")])
    fleet.start(config(1, [
        route("r-get", "/shop/", "shop", timeout="300ms"),
        route("r-put", "/order/", "shop", "non_idempotent")]))
    assert fleet.wait_listed(2) is not None
    return fleet


def lines(fleet, vm, **wanted):
    """Returns the node's log lines that have all the wanted values."""
    path = fleet.directory / f"node-{vm.number}.log"
    found = [json.loads(line) for line in path.read_text().splitlines()
             if line.startswith("{")]
    return [line for line in found
            if all(line.get(key) == value for key, value in wanted.items())]


def wait_lines(fleet, vm, **wanted):
    wait_until(lambda: lines(fleet, vm, **wanted), LOG_LIMIT)
    return lines(fleet, vm, **wanted)


def call(fleet, target, method, request_id, **more):
    return exchange(fleet.vms[1].outbound, request_bytes(
        method, target, [("Connection", "close")], request_id=request_id,
        **more))


def metric(vm, name):
    """Returns {labels: value} of a metric."""
    text = http("GET", vm.address, ADMIN_PORT, "/metrics")[1]
    rows = [line.rsplit(" ", 1) for line in text.splitlines()
            if re.match(rf"bluebellbarrow_{name}[{{ ]", line)]
    return {labels: float(value) for labels, value in rows}


def test_a_broken_answer_is_found_at_both_nodes():
    with mesh(64) as fleet:
        upstream, caller = fleet.vms
        fleet.knobs(upstream, mode="reset", count=1)
        answer = call(fleet, "/order/x", "POST", "broken-1", body=b"x")
        assert status_of(answer) == 502, answer
        failed, = wait_lines(fleet, caller, request="broken-1")
        assert failed["event"] == "call failed"
        assert failed["outcome"] == "unknown" and failed["status"] == 502
        assert failed["upstream"] == upstream.address
        assert failed["attempts"] == 1
        cause, = wait_lines(fleet, upstream, request="broken-1")
        assert cause["event"] == "target failed"
        assert cause["origin"] == caller.address
        assert cause["target"] == "i-1" and cause["run_us"] > 0


def test_an_overdue_answer_tells_how_long_the_target_took():
    with mesh(65) as fleet:
        upstream, caller = fleet.vms
        fleet.knobs(upstream, work_ms=2000)
        assert status_of(call(fleet, "/shop/x", "GET", "late-1")) == 504
        failed, = wait_lines(fleet, caller, request="late-1")
        cause, = wait_lines(fleet, upstream, request="late-1")
        assert cause["reason"] == "target: no answer in time"
        assert 290_000 <= cause["run_us"] <= failed["took_us"]
        assert failed["version"].startswith("1-")
        times = metric(caller, "request_seconds_count")
        assert times['bluebellbarrow_request_seconds_count'
                     '{outcome="unknown"}'] == 1, times
        runs = metric(upstream, "run_seconds_bucket")
        bounds = {labels for labels, value in runs.items() if value == 1}
        assert any('le="0.5"' in each for each in bounds), runs
        assert not any('le="0.25"' in each for each in bounds), runs


def test_a_refusal_tells_what_waited():
    with mesh(66) as fleet:
        upstream, caller = fleet.vms
        fleet.knobs(upstream, mode="full", count=-1)
        assert status_of(call(fleet, "/order/x", "POST", "full-1",
                              body=b"x")) == 503
        failed, = wait_lines(fleet, caller, request="full-1")
        assert failed["outcome"] == "not-run"
        assert wait_lines(fleet, upstream, request="full-1",
                          reason="target refused")
        assert sum(metric(upstream, "refused_total").values()) >= 1


def test_served_requests_are_sampled():
    with mesh(67) as fleet:
        for number in range(60):
            assert status_of(call(fleet, "/shop/x", "GET", f"s{number}")) == 200
        served = wait_lines(fleet, fleet.vms[1], event="call answered")
        assert 1 <= len(served) < 60, len(served)
        count = metric(fleet.vms[1], "request_seconds_count")
        assert count['bluebellbarrow_request_seconds_count'
                     '{outcome="answered"}'] == 60, count


def test_a_lost_platform_and_its_return_are_logged():
    with mesh(68) as fleet:
        fleet.store("knobs", outage="reset")
        assert wait_until(lambda: lines(fleet, fleet.vms[0],
                                        event="platform is away"),
                          10) is not None
        fleet.store("knobs", outage="")
        assert wait_until(lambda: lines(fleet, fleet.vms[0],
                                        event="platform is back"),
                          10) is not None


if __name__ == "__main__":
    harness.main(sys.modules[__name__])

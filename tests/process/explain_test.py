"""Log lines and metrics about failed requests, on real processes."""

import sys

import harness
from meshfleet import *  # pylint: disable=wildcard-import

ADMIN_PORT = 15004

# A log line is written within this time, also on an idle node.
LOG_LIMIT = 2.0


def mesh(net):
    """A target of "shop" on the first VM; the second VM only forwards."""
    fleet = MeshFleet(net, [("north", "shop"), ("south", "stock")])
    fleet.start(config(1, [
        route("r-get", "/shop/", "shop", timeout="300ms"),
        route("r-put", "/order/", "shop", "non_idempotent")]))
    assert fleet.wait_listed(2) is not None
    return fleet


def log_lines(fleet, vm, **expected):
    """Returns the log lines of a node that have all the given values."""
    path = fleet.directory / f"node-{vm.number}.log"
    records = [json.loads(line) for line in path.read_text().splitlines()
               if line.startswith("{")]
    return [record for record in records
            if all(record.get(key) == value for key, value in expected.items())]


def wait_log_lines(fleet, vm, **expected):
    wait_until(lambda: log_lines(fleet, vm, **expected), LOG_LIMIT)
    return log_lines(fleet, vm, **expected)


def call(fleet, path, method, request_id, **options):
    return exchange(fleet.vms[1].outbound, request_bytes(
        method, path, [("Connection", "close")], request_id=request_id,
        **options))


def metric(vm, name):
    """Returns {labels: value} of a metric."""
    text = http("GET", vm.address, ADMIN_PORT, "/metrics")[1]
    rows = [line.rsplit(" ", 1) for line in text.splitlines()
            if re.match(rf"bluebellbarrow_{name}[{{ ]", line)]
    return {labels: float(value) for labels, value in rows}


def test_a_broken_response_is_logged_at_both_nodes():
    with mesh(64) as fleet:
        upstream, caller = fleet.vms
        fleet.knobs(upstream, mode="reset", count=1)
        response = call(fleet, "/order/x", "POST", "broken-1", body=b"x")
        assert status_of(response) == 502, response
        failed, = wait_log_lines(fleet, caller, request="broken-1")
        assert failed["event"] == "call failed"
        assert failed["outcome"] == "unknown" and failed["status"] == 502
        assert failed["upstream"] == upstream.address
        assert failed["attempts"] == 1
        cause, = wait_log_lines(fleet, upstream, request="broken-1")
        assert cause["event"] == "target failed"
        assert cause["origin"] == caller.address
        assert cause["target"] == "i-1" and cause["run_us"] > 0


def test_a_timeout_is_logged_with_the_service_time():
    with mesh(65) as fleet:
        upstream, caller = fleet.vms
        fleet.knobs(upstream, work_ms=2000)
        assert status_of(call(fleet, "/shop/x", "GET", "late-1")) == 504
        failed, = wait_log_lines(fleet, caller, request="late-1")
        cause, = wait_log_lines(fleet, upstream, request="late-1")
        assert cause["reason"] == "target: no answer in time"
        assert 290_000 <= cause["run_us"] <= failed["took_us"]
        assert failed["version"].startswith("1-")
        counts = metric(caller, "request_seconds_count")
        assert counts['bluebellbarrow_request_seconds_count'
                      '{outcome="unknown"}'] == 1, counts
        runs = metric(upstream, "run_seconds_bucket")
        bounds = {labels for labels, value in runs.items() if value == 1}
        assert any('le="0.5"' in bound for bound in bounds), runs
        assert not any('le="0.25"' in bound for bound in bounds), runs


def test_a_refusal_by_the_target_is_logged_at_both_nodes():
    with mesh(66) as fleet:
        upstream, caller = fleet.vms
        fleet.knobs(upstream, mode="full", count=-1)
        assert status_of(call(fleet, "/order/x", "POST", "full-1",
                              body=b"x")) == 503
        failed, = wait_log_lines(fleet, caller, request="full-1")
        assert failed["outcome"] == "not-run"
        assert wait_log_lines(fleet, upstream, request="full-1",
                              reason="target refused")
        assert sum(metric(upstream, "refused_total").values()) >= 1


def test_served_requests_are_logged_as_samples():
    with mesh(67) as fleet:
        for number in range(60):
            assert status_of(call(fleet, "/shop/x", "GET", f"s{number}")) == 200
        served = wait_log_lines(fleet, fleet.vms[1], event="call answered")
        assert 1 <= len(served) < 60, len(served)
        counts = metric(fleet.vms[1], "request_seconds_count")
        assert counts['bluebellbarrow_request_seconds_count'
                      '{outcome="answered"}'] == 60, counts


def test_platform_outage_and_recovery_are_logged():
    with mesh(68) as fleet:
        fleet.store("knobs", outage="reset")
        assert wait_until(lambda: log_lines(fleet, fleet.vms[0],
                                            event="platform is away"),
                          10) is not None
        fleet.store("knobs", outage="")
        assert wait_until(lambda: log_lines(fleet, fleet.vms[0],
                                            event="platform is back"),
                          10) is not None


if __name__ == "__main__":
    harness.main(sys.modules[__name__])

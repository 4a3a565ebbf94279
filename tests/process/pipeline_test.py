"""Pipelined requests through real nodes."""

import signal
import sys
import threading

import harness
from meshfleet import *  # pylint: disable=wildcard-import

# The target sees the cancellation within this time of a disconnect.
CANCEL_LIMIT = 0.5

# Time of one request at the target, and the bound for several that run at once.
WORK_MS = 400
TOGETHER = 0.75


def mesh(net):
    """A target of "shop" on the first VM; the second VM only forwards."""
    fleet = MeshFleet(net, [("north", "shop"), ("south", "stock")])
    fleet.start(config(1, [route("r-get", "/shop/", "shop"),
                           route("r-put", "/order/", "shop",
                                 "non_idempotent")]))
    assert fleet.wait_listed(2) is not None
    fleet.knobs(fleet.vms[0], work_ms=WORK_MS)
    return fleet


def get(number, *headers):
    return request_bytes("GET", f"/shop/{number}", headers,
                         request_id=f"p{number}")


def put(number):
    return request_bytes("PUT", f"/order/{number}", request_id=f"p{number}",
                         body=b"body")


def ids(received):
    """Returns the request ids of responses, in their order."""
    return [line.split(b": ")[1].decode() for line in received.split(b"\r\n")
            if line.startswith(b"Attempt-Id")]


def paths(runs):
    return [run["line"].split(" ")[1] for run in runs]


def test_idempotent_requests_run_together():
    with mesh(46) as fleet:
        for vm in fleet.vms:
            start = time.monotonic()
            received = exchange(vm.outbound, get(1) + get(2) +
                                get(3, ("Connection", "close")))
            assert time.monotonic() - start < TOGETHER
            assert ids(received) == ["p1", "p2", "p3"], received
            assert received.count(b"the target's bytes") == 3
            assert received.count(b"Connection: close") == 1


def test_a_request_that_may_run_once_waits_for_the_responses_before_it():
    with mesh(47) as fleet:
        with socket.create_connection(fleet.vms[1].outbound, 3) as peer:
            peer.settimeout(3)
            peer.sendall(get(1) + get(2) + put(3) + get(4))
            time.sleep(0.6 * WORK_MS / 1000)
            assert sorted(paths(fleet.runs(fleet.vms[0]))) == [
                "/shop/1", "/shop/2"]
            received = b""
            while len(ids(received)) < 4:
                received += peer.recv(65536)
        assert ids(received) == ["p1", "p2", "p3", "p4"], received
        runs = fleet.runs(fleet.vms[0])
        assert paths(runs).count("/order/3") == 1
        # Its deadline counts from its arrival, not from its start.
        headers = dict(next(run for run in runs if
                            "/order/3" in run["line"])["headers"])
        assert int(headers["Deadline-Remaining"]) <= 2000 - WORK_MS


def test_nothing_runs_behind_a_response_that_closes():
    with mesh(48) as fleet:
        received = exchange(fleet.vms[1].outbound, get(1) + get(
            2, ("Connection", "close")) + put(3) + get(4))
        assert ids(received) == ["p1", "p2"], received
        time.sleep(0.3)
        assert sorted(paths(fleet.runs(fleet.vms[0]))) == ["/shop/1", "/shop/2"]


def test_a_malformed_request_ends_the_connection_in_its_turn():
    with mesh(49) as fleet:
        received = exchange(
            fleet.vms[1].outbound, get(1) + get(2) +
            b"POST /order/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" +
            put(3) + get(4))
        assert ids(received) == ["p1", "p2"], received
        assert received.count(b"the target's bytes") == 2
        assert received.split(b"the target's bytes")[2].startswith(
            b"HTTP/1.1 400 "), received
        assert received.count(b"HTTP/1.1 ") == 3
        assert sorted(paths(fleet.runs(fleet.vms[0]))) == ["/shop/1", "/shop/2"]


def test_a_disconnect_cancels_every_open_request():
    with mesh(50) as fleet:
        fleet.knobs(fleet.vms[0], work_ms=1900)
        for vm in fleet.vms:
            before = fleet.arrived(fleet.vms[0])["aborted"]
            with socket.create_connection(vm.outbound, 3) as peer:
                peer.sendall(get(1) + get(2) + get(3))
                time.sleep(0.4)
            assert wait_until(
                lambda: fleet.arrived(fleet.vms[0])["aborted"] == before + 3,
                CANCEL_LIMIT) is not None


def test_a_stopping_node_answers_what_has_started():
    with mesh(51) as fleet:
        node = fleet.vms[1]
        received = []
        caller = threading.Thread(target=lambda: received.append(exchange(
            node.outbound, get(1) + get(2) + put(3) + get(4))))
        caller.start()
        time.sleep(WORK_MS / 2000)
        node.node.send_signal(signal.SIGTERM)
        caller.join()
        assert ids(received[0]) == ["p1", "p2"], received
        assert received[0].count(b"the target's bytes") == 2
        assert received[0].split(b"HTTP/1.1 ")[2].count(
            b"Connection: close") == 1, received
        assert node.node.wait(6) == 0
        assert sorted(paths(fleet.runs(fleet.vms[0]))) == ["/shop/1", "/shop/2"]


def test_a_timed_out_request_is_answered_in_its_turn():
    with mesh(52) as fleet:
        fleet.knobs(fleet.vms[0], work_ms=1000)
        impatient = request_bytes("GET", "/shop/2", request_id="p2",
                                  remaining=300)
        start = time.monotonic()
        received = exchange(fleet.vms[1].outbound, get(1) + impatient +
                            get(3, ("Connection", "close")))
        assert time.monotonic() - start < 1.5
        statuses = [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [200, 504, 200], received
        start = time.monotonic()
        first = exchange(fleet.vms[1].outbound, request_bytes(
            "GET", "/shop/5", request_id="p5", remaining=300), wait=0.6)
        assert status_of(first) == 504, first


def test_responses_of_other_requests_stay_out_of_a_pipeline():
    with mesh(53) as fleet:
        fleet.knobs(fleet.vms[0], work_ms=20)
        for mode in ("extra", "late", "wrong_id", "close", "chunked"):
            for vm in fleet.vms:
                fleet.knobs(fleet.vms[0], mode=mode, count=3)
                before = len(fleet.runs(fleet.vms[0]))
                received = exchange(vm.outbound, b"".join(
                    get(number) for number in range(6)) +
                    get(6, ("Connection", "close")))
                parts = received.split(b"HTTP/1.1 ")[1:]
                assert len(parts) == 7, (mode, received)
                ran = paths(fleet.runs(fleet.vms[0])[before:])
                for number, part in enumerate(parts):
                    if part.startswith(b"200 "):
                        assert f"Attempt-Id: p{number}\r\n".encode() in part
                        assert part.endswith(b"the target's bytes"), part
                    elif part.startswith(b"503 "):
                        assert f"/shop/{number}" not in ran, (mode, part)
                    else:
                        assert part[:4] in (b"502 ", b"504 "), (mode, part)
                assert b"another" not in received, (mode, received)


if __name__ == "__main__":
    harness.main(sys.modules[__name__])

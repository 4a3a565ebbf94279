"""Callers that read their responses slowly, or not at all."""

import signal
import sys
import threading

import harness
from meshfleet import *  # pylint: disable=wildcard-import

BODY_BYTES = 400000
RECEIVE_BUFFER_BYTES = 32768

# Longer than the 3 s after which unacknowledged bytes end a connection between
# nodes.
READ_SECONDS = 5.0


def mesh(net, **limits):
    fleet = MeshFleet(net, [("north", "shop"), ("south", "shop")])
    fleet.start(config(1, [route("r-get", "/shop/", "shop")], **limits))
    assert fleet.wait_listed(2) is not None
    for vm in fleet.vms:
        fleet.knobs(vm, work_ms=50, body_bytes=BODY_BYTES)
    return fleet


def connect(vm):
    """Connects with a small receive buffer, so that the sender has to wait."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                      RECEIVE_BUFFER_BYTES)
    caller.settimeout(5)
    caller.connect(vm.outbound)
    return caller


def receive_slowly(caller, length, seconds):
    """Reads up to length bytes, spread evenly over a time; returns them."""
    received = b""
    start = time.monotonic()
    while len(received) < length:
        allowed = int((time.monotonic() - start) / seconds * length)
        if allowed - len(received) < 2048 and allowed < length:
            time.sleep(0.01)
            continue
        part = caller.recv(min(16384, max(1, allowed - len(received))))
        if not part:
            break
        received += part
    return received


def body_of(received):
    return received.partition(b"\r\n\r\n")[2]


def expected_body():
    return bytes(index % 251 for index in range(BODY_BYTES))


def read_in_threads(fleet, count, seconds, *headers):
    """Starts slow callers of the first VM; returns threads and responses."""
    responses = {}

    def read(number):
        with connect(fleet.vms[0]) as caller:
            caller.sendall(request_bytes("GET", "/shop/x", headers,
                                         request_id=f"r-{number}",
                                         remaining=9000))
            try:
                responses[number] = receive_slowly(caller, BODY_BYTES + 300,
                                                   seconds)
            except OSError as error:
                responses[number] = str(error).encode()
    threads = [threading.Thread(target=read, args=(number,))
               for number in range(count)]
    for thread in threads:
        thread.start()
    return threads, responses


# Guards against a time limit that resets the connection of a caller that reads
# slowly but steadily, with the response it is reading.
def test_a_steady_reader_gets_everything_however_slow():
    with mesh(71) as fleet:
        threads, responses = read_in_threads(fleet, 4, READ_SECONDS,
                                             ("Connection", "close"))
        with connect(fleet.vms[0]) as caller:
            caller.sendall(request_bytes("GET", "/shop/x", request_id="kept"))
            kept = receive_slowly(caller, BODY_BYTES + 200, READ_SECONDS)
        for thread in threads:
            thread.join()
        for number in range(4):
            assert body_of(responses[number]) == expected_body(), \
                len(responses[number])
        assert len(body_of(kept)) > BODY_BYTES - 300, len(kept)


# Guards against a planned stop that resets connections whose callers have not
# received their whole response.
def test_a_planned_stop_waits_for_readers():
    with mesh(72) as fleet:
        vm = fleet.vms[0]
        for headers in ((), (("Connection", "close"),)):
            # The responses are read until 4.1 s after the signal; the node
            # may stay for 5.2 s.
            threads, responses = read_in_threads(fleet, 4, 4.5, *headers)
            time.sleep(0.4)
            start = time.monotonic()
            vm.node.send_signal(signal.SIGTERM)
            code = vm.node.wait(timeout=6)
            elapsed = time.monotonic() - start
            for thread in threads:
                thread.join()
            for number in range(4):
                assert body_of(responses[number]) == expected_body(), \
                    (headers, len(responses[number]))
            assert code == 0 and elapsed < 5, (code, elapsed)
            fleet.start_node(vm)
            assert fleet.wait_in_force(1, 5) is not None


# Guards against readers that have stalled and take the node's memory, or keep
# it from serving others.
def test_held_responses_are_bounded_and_short_ones_still_served():
    long_bytes = 4 * 1024 * 1024
    with mesh(74) as fleet:
        vm = fleet.vms[0]
        fleet.publish_config(config(2, [
            route("r-get", "/shop/", "shop"),
            route("r-short", "/stock/", "stock")]))
        fleet.vms[1].service = "stock"
        fleet.vms[1].settings_path.write_text(
            fleet.settings_text(fleet.vms[1]))
        fleet.publish_entry(fleet.vms[1])
        fleet.knobs(fleet.vms[1], body_bytes=0)
        fleet.knobs(vm, body_bytes=long_bytes)

        def get(path):
            return status_of(exchange(vm.outbound, request_bytes(
                "GET", path, [("Connection", "close")])))
        assert wait_until(lambda: get("/stock/x") == 200, 5) is not None
        stalled = [connect(vm) for _ in range(16)]
        statuses = {"/shop/x": set(), "/stock/x": set()}
        for number, caller in enumerate(stalled):
            caller.sendall(request_bytes("GET", "/shop/x",
                                         request_id=f"s-{number}",
                                         remaining=9000))
        end = time.monotonic() + 4
        while time.monotonic() < end:
            for path, seen in statuses.items():
                seen.add(get(path))
        for caller in stalled:
            caller.close()
        assert statuses["/stock/x"] == {200}, statuses
        assert 503 in statuses["/shop/x"] and \
            statuses["/shop/x"] <= {200, 503}, statuses
        metrics = http("GET", vm.address, 15004, "/metrics")[1]
        assert 'stalled_callers_total{limit="max-held"}' in metrics


def test_a_stalled_reader_does_not_hold_up_a_stop():
    with mesh(73) as fleet:
        vm = fleet.vms[0]
        with connect(vm) as caller:
            caller.sendall(request_bytes("GET", "/shop/x"))
            time.sleep(0.4)
            start = time.monotonic()
            vm.node.send_signal(signal.SIGTERM)
            vm.node.wait(timeout=6)
            elapsed = time.monotonic() - start
        # Callers have 2.3 s to leave; a stall is noticed meanwhile.
        assert elapsed < 3.5, elapsed


if __name__ == "__main__":
    harness.main(sys.modules[__name__])

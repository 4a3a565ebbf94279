"""One entry of another writer stops every change of the list of upstreams."""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import mesh as review  # noqa: E402

PLACES = [("muscat-a", "desk"), ("muscat-b", "desk"), ("muscat-c", "desk")]
REQUESTS_PER_SECOND = 60
WORK = 0.15

# The leaving upstream serves this long after its report was acknowledged.
SERVES_FOR = review.DRAIN_TIMEOUT + 3.0

# The bound `recovery`.
RECOVERY = 15.0


async def call(mesh, number, outcomes):
    vm = mesh.vms[number % len(mesh.vms)]
    attempt = f"file-{time.monotonic_ns():x}"
    sent = time.monotonic()
    mesh.record.write(f"client of node {vm.number} sent {attempt}")
    answer = await review.fetch(vm, "/filing/x", attempt, "POST", 1500, b"{}")
    outcomes[attempt] = (sent, answer.status, answer.ended)
    mesh.record.write(f"{attempt}: status {answer.status}, {answer.ended}")


async def send_requests(mesh, seconds, outcomes):
    calls = []
    start = time.monotonic()
    while time.monotonic() - start < seconds:
        calls.append(asyncio.create_task(
            call(mesh, len(outcomes) + len(calls), outcomes)))
    
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    await asyncio.gather(*calls)


async def put_foreign_entry(mesh):
    """Writes an entry whose service is not named in any configuration."""
    net = mesh.vms[0].address.split(".")[1]
    value = {"address": f"127.{net}.0.200:{review.APP_PORT}", "born": 1000,
             "information": {"service": "legacy billing", "version": "v1",
                             "zone": "muscat-a", "slots": 4},
             "status": {"state": "ready", "sequenceNumber": 1,
                        "coldRemaining": "0ms"}}
    await mesh.store.change("servers/legacy-7", json.dumps(value).encode())
    mesh.record.write("another writer: servers/legacy-7 acknowledged")


async def kill_all(mesh):
    """Kills all nodes; returns which share of later requests is served."""
    for vm in mesh.vms:
        mesh.signal_node(vm, signal.SIGKILL)
    for vm in mesh.vms:
        await vm.node.wait()
    await asyncio.sleep(1)
    for vm in mesh.vms:
        await mesh.start_node(vm)
    mesh.record.write("the nodes are started again")
    await asyncio.sleep(RECOVERY)
    outcomes = {}
    await send_requests(mesh, 2, outcomes)
    served = [call for call in outcomes.values() if call[1] == 200]
    mesh.record.say(
        f"{len(served)} of {len(outcomes)} requests were served "
        f"{RECOVERY:g} s after a restart of all nodes; ready: "
        f"{[await mesh.ready(vm) for vm in mesh.vms]}")
    return len(served) / len(outcomes)


async def case(mesh):
    await mesh.start(review.config(1, [review.route(
        "r-filing", "/filing/", "desk", kind="non_idempotent",
        timeout="1500ms")], ["desk"]))
    leaving = mesh.vms[0]
    for vm in mesh.vms:
        vm.upstream.work = WORK
    if review.trouble():
        await put_foreign_entry(mesh)
    await asyncio.sleep(1)
    outcomes = {}
    load = asyncio.create_task(
        send_requests(mesh, SERVES_FOR + 3, outcomes))
    await asyncio.sleep(1)
    await mesh.register(leaving, "draining")
    acknowledged = time.monotonic()
    await asyncio.sleep(SERVES_FOR)
    await mesh.store.change(f"servers/{leaving.instance}", None)
    leaving.upstream.stop()
    mesh.record.write(f"{leaving.instance} has ended, its entry is removed")
    await load
    late = [(at - acknowledged, attempt)
            for at, attempt, _ in leaving.upstream.runs
            if at > acknowledged + review.DRAIN_TIMEOUT]
    calls = list(outcomes.values())
    mesh.record.say(f"{len(calls)} requests, answers by status: " + str(
        {status: sum(call[1] == status for call in calls)
         for status in sorted({call[1] for call in calls})}))
    faults = []
    if late:
        faults.append(
            f"DRAIN: {len(late)} requests ran at {leaving.instance} from "
            f"{late[0][0]:.2f} to {late[-1][0]:.2f} s after its report was "
            f"acknowledged (drainTimeout {review.DRAIN_TIMEOUT:g} s)")
    share = await kill_all(mesh)
    if share < 0.25:
        faults.append(f"RECOVER: a share of {share:.2f} is served")
    return faults

if __name__ == "__main__":
    review.main(case, FOLDER, PLACES)

"""After a rolling restart a node never again uses the restarted upstreams."""

import asyncio
import itertools
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import mesh as review  # noqa: E402

PLACES = [("sapporo-a", "seating"), ("asahikawa", "roster"),
          ("hakodate", "roster")]
SERVICES = ["seating", "roster"]

# Every tenth request takes long: a mean of 0.47 s. `partlist-read` of the site
# file has a mean of 0.88 s and takes 5.3 s at most.
LONG_WORK = 2.9
SHORT_WORK = 0.2
LONG_EVERY = 10
REQUESTS_PER_SECOND = 30

# Requests on each route in steady state.
COUNT = 40


def work_times():
    """Returns a function that returns the work of the next request."""
    numbers = itertools.count(1)
    return lambda: (SHORT_WORK if next(numbers) % LONG_EVERY else LONG_WORK)


def version(number, with_new_route):
    routes = [review.route("r-lookup", "/lookup/", "seating"),
              review.route("r-browse", "/browse/", "roster",
                           timeout="6000ms")]
    if with_new_route:
        routes.append(review.route("r-catalogue", "/catalogue/", "roster"))
    return review.config(number, routes, SERVICES)


async def get(mesh, path, attempt, remaining=4000):
    mesh.record.write(f"client of node 1 sent {attempt}")
    answer = await review.fetch(mesh.vms[0], path, attempt,
                                remaining=remaining)
    mesh.record.write(f"{attempt}: status {answer.status}, {answer.ended}")
    return answer.status


async def browse(mesh, stop, statuses):
    """Sends requests that take long to the roster until told to stop."""
    calls = []
    while not stop.is_set():
        calls.append(asyncio.create_task(
            get(mesh, "/browse/x", f"browse-{len(calls)}", 6000)))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)
    statuses += await asyncio.gather(*calls)


async def restart(mesh, vm):
    """Stops a node as planned and starts it again."""
    mesh.signal_node(vm, signal.SIGTERM)
    await vm.node.wait()
    await mesh.start_node(vm)
    mesh.record.write(f"node {vm.number}: started again")
    if not await mesh.wait_ready([vm], 10):
        raise review.NotRun(f"node {vm.number} did not become ready")


async def served(mesh, path, name):
    statuses = [await get(mesh, path, f"{name}-{number}")
                for number in range(COUNT)]
    share = statuses.count(200) / COUNT
    mesh.record.say(f"{path}: {statuses.count(200)} of {COUNT} served, "
                    f"statuses {sorted(set(statuses))}")
    return share


async def case(mesh):
    await mesh.start(version(1, False), slots=12)
    for vm in mesh.vms[1:]:
        vm.upstream.work = work_times()
    stop = asyncio.Event()
    statuses = []
    load = asyncio.create_task(browse(mesh, stop, statuses))
    await asyncio.sleep(3)
    for vm in mesh.vms[1:]:
        if review.trouble():
            await restart(mesh, vm)
        await asyncio.sleep(review.STABLE_WINDOW)
    stop.set()
    await load
    mesh.record.say("answers meanwhile by status: " + str(
        {status: statuses.count(status) for status in set(statuses)}))
    for vm in mesh.vms[1:]:
        vm.upstream.work = 0.05
    await mesh.publish(version(2, True))
    # The bound `recovery` after the last restart has passed by then.
    await asyncio.sleep(15)
    lookup = await served(mesh, "/lookup/x", "lookup")
    browsed = await served(mesh, "/browse/x", "browse-late")
    added = await served(mesh, "/catalogue/x", "catalogue")
    direct = (await review.fetch(mesh.vms[1], "/catalogue/x", "other")).status
    mesh.record.say(f"the same route at node 2 answers {direct}")
    first = (lookup + browsed) / 2
    if added < first / 4:
        return [f"CONFIG: a share of {added:.2f} is served on the route that "
                f"was added, of {first:.2f} on the first ones"]
    return []

if __name__ == "__main__":
    review.main(case, FOLDER, PLACES)

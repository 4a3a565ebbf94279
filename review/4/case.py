"""A version with one long path prefix is never in force, nor any after it."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import mesh as review  # noqa: E402

PLACES = [("muscat-a", "desk"), ("muscat-b", "library"), ("muscat-c", "desk")]
SERVICES = ["desk", "library"]

SHORT_PREFIX = "/api/v2/plates/"
LONG_PREFIX = ("/api/v2/organisations/surveyors-and-mapping-houses/collections/"
               "historical-observation-records/plates/registrations/"
               "submissions/attachments/high-resolution-previews/")

# Seconds for which requests are sent after the bound has passed.
WATCH = 6.0


def version(number, service, new_prefix=None):
    """Returns a version in which /filing/ goes to a service."""
    routes = [review.route("r-filing", "/filing/", service,
                           kind="non_idempotent")]
    if new_prefix is not None:
        routes.append(review.route("r-preview", new_prefix, "library"))
    return review.config(number, routes, SERVICES)


async def post(mesh, number):
    vm = mesh.vms[number % len(mesh.vms)]
    attempt = f"file-{number}"
    mesh.record.write(f"client of node {vm.number} sent {attempt}")
    answer = await review.fetch(vm, "/filing/x", attempt, "POST", body=b"{}")
    mesh.record.write(f"{attempt}: status {answer.status}, {answer.ended}")


async def send_requests(mesh, first, seconds):
    start = time.monotonic()
    number = first
    while time.monotonic() - start < seconds:
        await post(mesh, number)
        number += 1
        await asyncio.sleep(0.05)
    return number


async def case(mesh):
    await mesh.start(version(1, "desk"))
    number = await send_requests(mesh, 0, 1)
    prefix = LONG_PREFIX if review.trouble() else SHORT_PREFIX
    mesh.record.say(f"version r3 moves /filing/ from desk to library and adds "
                    f"a prefix of {len(prefix)} characters")
    await mesh.publish(version(3, "library", prefix))
    await send_requests(mesh, number, review.CONFIG_APPLY)
    bound = time.monotonic()
    await send_requests(mesh, number + 1000, WATCH / 2)
    mesh.record.say("version r4 sets the new route's timeout")
    later = version(4, "library", prefix)
    later["resources"][1]["specification"]["timeout"] = "3000ms"
    await mesh.publish(later)
    await send_requests(mesh, number + 2000, WATCH / 2)
    runs = [(at, vm.service) for vm in mesh.vms
            for at, _, _ in vm.upstream.runs if at > bound]
    old = [at for at, service in runs if service == "desk"]
    preview = await review.fetch(mesh.vms[0], prefix + "x", "preview-1")
    mesh.record.say(f"{len(runs)} requests ran after the bound, {len(old)} of "
                    f"them by desk; the new route answers {preview.status}")
    faults = []
    if old:
        faults.append(
            f"CONFIG: {len(old)} of {len(runs)} requests ran by the old "
            f"service, up to {max(old) - bound:.2f} s after configApply")
    if preview.status == 404:
        faults.append("CONFIG: 404 though the route is there")
    return faults

if __name__ == "__main__":
    review.main(case, FOLDER, PLACES)

"""The versions of the operator, and what each of them allows."""

import time

from bounds import APPLY_LIMIT
from meshfleet import config, route

SERVICES = ("shop", "stock")

# Routes that only make versions large are never called.
UNUSED_TIMEOUT = "500ms"


class Route:
    """A route as callers use it; service is None where it moves."""

    def __init__(self, name, kind, service, timeout, attempts=2, calls=False):
        self.name = name
        self.prefix = f"/{name}/"
        self.idempotent = kind == "idempotent"
        self.kind = kind
        self.service = service
        self.timeout = timeout
        self.attempts = attempts
        self.calls = calls

    def written(self, service, weights=None):
        more = {"timeout": f"{int(self.timeout * 1000)}ms",
                "maxAttempts": self.attempts}
        if weights:
            more["weightedServices"] = [
                {"service": name, "weight": weight} for name, weight in weights]
        return route(self.name, self.prefix, service, self.kind, **more)


FIXED = [Route("charts", "idempotent", "shop", 1.5),
         Route("orders", "non_idempotent", "shop", 2.0),
         Route("stock", "idempotent", "stock", 1.0, attempts=3),
         Route("moves", "non_idempotent", "stock", 2.0),
         Route("chain", "idempotent", "shop", 1.8, calls=True)]
CALLED = FIXED[2]
MOVING = Route("moving", "idempotent", None, 1.5)
SPLIT = Route("split", "idempotent", None, 1.5)
WEIGHTS = [("shop", 3), ("stock", 1)]


class Version:
    """One version: which service each moving route has, and when it came."""

    def __init__(self, number, unused):
        self.number = number
        self.unused = unused
        self.moving_to = SERVICES[number % 2]
        self.added = Route(f"added-{number}", "idempotent", self.moving_to, 1.5)
        self.sent = None
        self.acknowledged = None

    def document(self):
        routes = [each.written(each.service) for each in FIXED]
        routes.append(MOVING.written(self.moving_to))
        routes.append(SPLIT.written(None, WEIGHTS))
        routes.append(self.added.written(self.moving_to))
        routes += [route(f"unused-{n}", f"/unused-{n}/", "shop",
                         timeout=UNUSED_TIMEOUT) for n in range(self.unused)]
        return config(self.number, routes, SERVICES)

    def services(self, of):
        if of is MOVING:
            return {self.moving_to}
        if of is SPLIT:
            return set(SERVICES)
        if of in FIXED or of is self.added:
            return {of.service}
        return set()


class VersionTable:
    """All versions that the operator wrote, in order."""

    def __init__(self):
        self.versions = []
        self.unused = 20

    @property
    def newest(self):
        return self.versions[-1]

    def routes(self):
        """Returns what callers may ask for now."""
        return FIXED + [MOVING, SPLIT, self.newest.added]

    def add(self):
        number = len(self.versions) + 1
        self.versions.append(Version(number, self.unused))
        return self.newest

    def always_known(self, of):
        return all(each.services(of) for each in self.versions)

    def ever_allowed(self, of, service):
        return any(service in each.services(of) for each in self.versions)

    def may_hold(self, sent):
        """Returns the versions that may still be in force for a request."""
        oldest = 0
        for index, each in enumerate(self.versions):
            if each.acknowledged and each.acknowledged + APPLY_LIMIT < sent:
                oldest = index
        return self.versions[oldest:]

    def allowed(self, of, service, sent):
        return any(service in each.services(of) for each in self.may_hold(sent))

    def in_force(self, of, sent):
        return all(each.services(of) for each in self.may_hold(sent))

    def age(self, sent):
        return sent - (self.newest.acknowledged or sent)

    def newest_with(self, of, service):
        return max(each.number for each in self.versions
                   if service in each.services(of))

    def oldest_with(self, of, service):
        return min(each.number for each in self.versions
                   if service in each.services(of))

    def settled(self):
        """Has the newest version been in force long enough everywhere?"""
        done = self.newest.acknowledged
        return done and time.monotonic() > done + APPLY_LIMIT

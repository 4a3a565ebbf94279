"""The configurations that are published, and what each of them allows."""

import time

from bounds import APPLY_LIMIT
from meshfleet import config, route

SERVICES = ("shop", "stock")

# Timeout of routes that only enlarge a version and are never called.
UNUSED_TIMEOUT = "500ms"


class Route:
    """A route that callers use.

    The service is None if versions or weights choose it.
    """

    def __init__(self, name, kind, service, timeout, attempts=2, calls=False):
        self.name = name
        self.prefix = f"/{name}/"
        self.idempotent = kind == "idempotent"
        self.kind = kind
        self.service = service
        self.timeout = timeout
        self.attempts = attempts
        self.calls = calls

    def resource(self, service, weights=None):
        """Returns the route as a resource of a configuration."""
        fields = {"timeout": f"{int(self.timeout * 1000)}ms",
                  "maxAttempts": self.attempts}
        if weights:
            fields["weightedServices"] = [
                {"service": name, "weight": weight} for name, weight in weights]
        return route(self.name, self.prefix, service, self.kind, **fields)


FIXED = [Route("charts", "idempotent", "shop", 1.5),
         Route("orders", "non_idempotent", "shop", 2.0),
         Route("stock", "idempotent", "stock", 1.0, attempts=3),
         Route("moves", "non_idempotent", "stock", 2.0),
         Route("chain", "idempotent", "shop", 1.8, calls=True)]

# The route that targets call, one whose service changes with each version, and
# one that divides its requests over both services.
CALLED = FIXED[2]
MOVING = Route("moving", "idempotent", None, 1.5)
SPLIT = Route("split", "idempotent", None, 1.5)
WEIGHTS = [("shop", 3), ("stock", 1)]


class Version:
    """A version: the services of its routes, and when it was published."""

    def __init__(self, number, unused):
        self.number = number
        self.unused = unused
        self.moving_to = SERVICES[number % 2]
        self.added = Route(f"added-{number}", "idempotent", self.moving_to, 1.5)
        self.sent = None
        self.acknowledged = None

    def document(self):
        routes = [fixed.resource(fixed.service) for fixed in FIXED]
        routes.append(MOVING.resource(self.moving_to))
        routes.append(SPLIT.resource(None, WEIGHTS))
        routes.append(self.added.resource(self.moving_to))
        routes += [route(f"unused-{n}", f"/unused-{n}/", "shop",
                         timeout=UNUSED_TIMEOUT) for n in range(self.unused)]
        return config(self.number, routes, SERVICES)

    def services(self, called_route):
        """Returns the services of a route; none if the version lacks it."""
        if called_route is MOVING:
            return {self.moving_to}
        if called_route is SPLIT:
            return set(SERVICES)
        if called_route in FIXED or called_route is self.added:
            return {called_route.service}
        return set()


class VersionTable:
    """All published versions, in order."""

    def __init__(self):
        self.versions = []
        self.unused = 20

    @property
    def newest(self):
        return self.versions[-1]

    def routes(self):
        """Returns the routes that callers may use now."""
        return FIXED + [MOVING, SPLIT, self.newest.added]

    def add(self):
        number = len(self.versions) + 1
        self.versions.append(Version(number, self.unused))
        return self.newest

    def always_known(self, called_route):
        return all(version.services(called_route) for version in self.versions)

    def ever_allowed(self, called_route, service):
        return any(service in version.services(called_route)
                   for version in self.versions)

    def possible_versions(self, sent):
        """Returns the versions that may be in force for a request."""
        oldest = 0
        for index, version in enumerate(self.versions):
            if version.acknowledged and \
                    version.acknowledged + APPLY_LIMIT < sent:
                oldest = index
        return self.versions[oldest:]

    def allowed(self, called_route, service, sent):
        return any(service in version.services(called_route)
                   for version in self.possible_versions(sent))

    def in_force(self, called_route, sent):
        """Returns whether all versions that may be in force have the route."""
        return all(version.services(called_route)
                   for version in self.possible_versions(sent))

    def age(self, sent):
        """Returns the age of the newest version when a request was sent."""
        return sent - (self.newest.acknowledged or sent)

    def newest_with(self, called_route, service):
        return max(version.number for version in self.versions
                   if service in version.services(called_route))

    def oldest_with(self, called_route, service):
        return min(version.number for version in self.versions
                   if service in version.services(called_route))

    def settled(self):
        """Returns whether the newest version must be in force everywhere."""
        done = self.newest.acknowledged
        return done and time.monotonic() > done + APPLY_LIMIT

"""Holds what callers and targets saw, and finds the broken promises."""

import hashlib
import time

from bounds import *  # pylint: disable=wildcard-import

# Statuses that say that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


class Arrival:
    """A request at a target."""

    def __init__(self, at, target, ran):
        self.at = at
        self.target = target
        self.ran = ran


class Request:
    """One attempt of a caller."""

    def __init__(self, request_id, node, route, method, path, body, deadline):
        self.id = request_id
        self.node = node
        self.route = route
        self.method = method
        self.path = path
        self.body = digest(body)
        self.deadline = deadline
        self.service = node.service
        self.sent = time.monotonic()
        self.status = None
        self.ended = None
        self.end = ""
        self.arrivals = []
        self.answers = {}
        self.retry_after = 0.05

        # Made by a run that was itself a repeat.
        self.inherited = False

    @property
    def runs(self):
        return [each for each in self.arrivals if each.ran]

    def __str__(self):
        came = ", ".join(f"{each.target.instance} at {each.at:.3f}"
                         f"{'' if each.ran else ' (not run)'}"
                         for each in self.arrivals)
        return (f"{self.id} {self.method} {self.path} from node "
                f"{self.node.number} at {self.sent:.3f}, {self.end or 'open'} "
                f"{self.status or ''} {self.ended or 0:.3f}; arrived: {came}")


class Disturbances:
    """Times in which something was done to a node, or to all."""

    def __init__(self):
        self.spans = []

    def begin(self, planned=False):
        span = [time.monotonic(), None, planned]
        self.spans.append(span)
        return span

    def add(self, begin, end):
        self.spans.append([begin, end, False])

    def calm(self, begin, end, planned=False):
        """Was there nothing from CALM_TIME before begin to end?

        Planned work is passed over with planned=True.
        """
        return not any(first < end and (last or end) > begin - CALM_TIME
                       for first, last, work in self.spans
                       if not (planned and work))


class Ledger:
    """All requests of a run, and the promises."""

    def __init__(self, table):
        self.table = table
        self.requests = {}
        self.everywhere = Disturbances()
        self.store = Disturbances()
        self.broken = []
        self.counts = {"calm": 0, "abandoned": 0, "overdue": 0,
                       "reached timeout": 0}
        self.repeats = {}
        self.firsts = {}
        self.shown = {}

    def break_promise(self, rule, what):
        line = f"{time.monotonic():.3f} {rule}: {what}"
        self.broken.append(line)
        print(f"BROKEN {line}", flush=True)

    def calm(self, node, begin, end=None, planned=False):
        """Was the node bound by the limits in all this time?"""
        end = end or time.monotonic()
        return (node.disturbances.calm(begin, end, planned) and
                self.everywhere.calm(begin, end) and
                self.store.calm(begin, end))

    def calm_links(self, node, begin, end=None, planned=False):
        """As calm(); a disturbed store is no excuse."""
        end = end or time.monotonic()
        return (node.disturbances.calm(begin, end, planned) and
                self.everywhere.calm(begin, end))

    # What callers do and see.

    def sent(self, request):
        self.requests[request.id] = request
        for service in self.table.newest.services(request.route):
            if not request.inherited:
                self.firsts.setdefault(service, []).append(request.sent)

    def sent_whole(self, request):
        request.sent = time.monotonic()

    def answered(self, request, status, signature, body):
        request.status, request.ended = status, time.monotonic()
        request.end = "answered"
        if signature:
            self.check_answer(request, status, signature, body)
        elif 200 <= status < 300:
            self.break_promise("MIXED", f"success without signature: {request}")
        elif 300 <= status < 500 and status not in NOT_RUN:
            self.check_denied(request, status)
        if status in NOT_RUN and not request.route.idempotent and request.runs:
            self.break_promise("REFUSED", f"had run: {request}")
        self.counts["calm"] += self.calm(request.node, request.sent)
        self.check_timeout(request)

    def check_answer(self, request, status, signature, body):
        made = request.answers.get(signature)
        if made is None:
            self.break_promise("MIXED", f"answer of another request: {request}")
        elif made[0] != status:
            self.break_promise("MIXED", f"target said {made[0]}: {request}")
        elif 200 <= status < 300 and made[1] != digest(body):
            self.break_promise("MIXED", f"changed body: {request}")

    def check_denied(self, request, status):
        known = self.table.always_known(request.route)
        if known or (status == 404 and
                     self.table.in_force(request.route, request.sent) and
                     self.calm(request.node, request.sent)):
            self.break_promise("DENIED", f"{status}: {request}")

    def closed(self, request):
        """The connection ended without a complete answer."""
        request.ended, request.end = time.monotonic(), "closed"
        late = request.ended - request.sent > LOSS_SLACK
        excused = any(each.target.disturbed(request.sent, request.ended)
                      for each in request.arrivals)
        if (request.arrivals or late) and not excused and self.calm_links(
                request.node, request.sent, planned=True):
            self.break_promise("LOST", f"no answer: {request}")

    def unsent(self, request):
        """No connection, or it ended before the request was read."""
        request.ended, request.end = time.monotonic(), "unsent"

    def given_up(self, request):
        request.ended, request.end = time.monotonic(), "given up"
        self.check_timeout(request)

    def check_timeout(self, request):
        limit = request.route.timeout
        if request.ended - request.sent < limit or not self.calm(
                request.node, request.sent):
            return
        self.counts["reached timeout"] += 1
        if request.ended - request.sent > limit + TIMEOUT_SLACK:
            self.counts["overdue"] += 1
        late, all_of = self.counts["overdue"], self.counts["reached timeout"]
        if late >= TIMEOUT_REQUESTS and late > TIMEOUT_SHARE * all_of:
            self.break_promise("CONFIG", f"held past its timeout: {request}")

    # What targets see.

    def arrived(self, target, head, body, ran):
        """A request at a target; returns it, or None for an unknown one."""
        line, names = head
        now = time.monotonic()
        request = self.requests.get(names.get("attempt-id"))
        if request is None:
            self.break_promise("UNASKED", f"nobody sent {line} {names}")
            return None
        method, path = line.split(" ")[:2]
        if (method, path) != (request.method, request.path) or \
                digest(body) != request.body:
            self.break_promise("UNASKED", f"changed to {line}: {request}")
        if names.get("caller-service") != request.service:
            self.break_promise("UNASKED", "from service "
                               f"{names.get('caller-service')}: {request}")
        self.count_repeat(target.service, request, now)
        self.check_arrival(request, target, names, now)
        request.arrivals.append(Arrival(now, target, ran))
        if ran:
            self.check_run(request, target)
        return request

    def count_repeat(self, service, request, now):
        if request.arrivals or request.inherited:
            self.repeats.setdefault(service, []).append(now)

    def check_arrival(self, request, target, names, now):
        calm = self.calm(request.node, request.sent) and \
            self.calm(target.node, request.sent)
        left = request.sent + request.deadline - now
        said = float(names.get("deadline-remaining", 1e9)) / 1000
        if calm and said > left + DEADLINE_SLACK:
            self.break_promise("BUDGET", f"{said} s left: {request}")
        if target.leaving is not None and calm and \
                self.calm(request.node, target.leaving) and \
                now > target.leaving + DRAIN_LIMIT:
            self.break_promise("DRAIN", f"{now - target.leaving:.3f} s after "
                               f"{target.instance} left: {request}")
        gone = request.end == "given up" and \
            now > request.ended + ABANDON_LIMIT
        if gone and calm:
            self.counts["abandoned"] += 1
            if self.counts["abandoned"] > ABANDONED_REQUESTS:
                self.break_promise("GONE", f"abandoned: {request}")

    def check_run(self, request, target):
        runs = request.runs
        if not request.route.idempotent:
            if len(runs) > 1:
                self.break_promise("TWICE", str(request))
            if request.status in NOT_RUN:
                self.break_promise("REFUSED", f"ran later: {request}")
        if len({each.target.instance for each in runs}) > request.route.attempts:
            self.break_promise("BUDGET", f"too many targets: {request}")
        self.check_route(request, target)

    def check_route(self, request, target):
        route, node = request.route, request.node
        if not self.table.ever_allowed(route, target.service):
            self.break_promise("ROUTE", f"at {target.service}: {request}")
            return
        if not self.table.allowed(route, target.service, request.sent) and \
                self.calm(node, request.sent):
            self.break_promise("CONFIG", f"old version at {target.service}, "
                               f"{self.table.age(request.sent):.3f} s after "
                               f"the new one: {request}")
        version = self.table.newest_with(route, target.service)
        shown = self.shown.get(node.number)
        if shown and shown[0] == node.life and version < shown[1] and \
                request.sent > shown[2] + ROLLBACK_LIMIT and \
                self.calm(node, shown[2]):
            self.break_promise("CONFIG", f"went back behind r{shown[1]}: "
                               f"{request}")
        version = self.table.oldest_with(route, target.service)
        if not shown or shown[0] != node.life or version > shown[1]:
            self.shown[node.number] = (node.life, version, time.monotonic())

    def made(self, request, status, signature, body):
        """A target is about to send this answer."""
        request.answers[signature] = (status, digest(body))

    # What is looked at from time to time.

    def check_budgets(self):
        now = time.monotonic()
        for service, repeats in self.repeats.items():
            def within(times, begin, end):
                return sum(begin < each <= end for each in times)
            count = within(repeats, now - BUDGET_WINDOW, now)
            most = max(within(self.firsts.get(service, []),
                              now - BUDGET_WINDOW - back, now - back)
                       for back in (0, BUDGET_WINDOW / 2, BUDGET_WINDOW))
            if count > BUDGET_RATIO * most + BUDGET_SLACK:
                self.break_promise("BUDGET", f"{service} got {count} repeats "
                                   f"beside {most} first requests")

    def check_recovery(self, since):
        """Looks at the requests sent after the moment of the recovery."""
        owed = [each for each in self.requests.values()
                if each.sent > since and each.ended is not None]
        good = sum(each.end == "answered" and each.status == 200
                   for each in owed)
        if not owed or good < RECOVERY_SHARE * len(owed):
            self.break_promise("RECOVER", f"{good} of {len(owed)} served")
        return good, len(owed)

    def summary(self):
        ends = {}
        for each in self.requests.values():
            name = f"{each.status}" if each.end == "answered" else each.end
            ends[name or "open"] = ends.get(name or "open", 0) + 1
        repeats = sum(len(each) for each in self.repeats.values())
        return (f"{len(self.requests)} requests: " +
                ", ".join(f"{count} {name}"
                          for name, count in sorted(ends.items())) +
                f"; {repeats} repeats, {self.counts['calm']} in calm")

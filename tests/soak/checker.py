"""Records what callers and targets observe, and checks the guarantees."""

import hashlib
import time

from bounds import *  # pylint: disable=wildcard-import

# Statuses that say that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


class Arrival:
    """The arrival of a request at a target."""

    def __init__(self, arrived_at, target, ran):
        self.arrived_at = arrived_at
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
        self.body_digest = digest(body)
        self.deadline = deadline
        self.service = node.service
        self.sent = time.monotonic()
        self.status = None
        self.ended = None
        self.outcome = ""
        self.arrivals = []
        self.responses = {}
        self.retry_after = 0.05

        # Sent by a target while it ran a retry.
        self.caused_by_retry = False

    @property
    def runs(self):
        return [arrival for arrival in self.arrivals if arrival.ran]

    def __str__(self):
        arrivals = ", ".join(
            f"{arrival.target.instance} at {arrival.arrived_at:.3f}"
            f"{'' if arrival.ran else ' (not run)'}"
            for arrival in self.arrivals)
        return (f"{self.id} {self.method} {self.path} from node "
                f"{self.node.number} at {self.sent:.3f}, "
                f"{self.outcome or 'open'} "
                f"{self.status or ''} {self.ended or 0:.3f}; "
                f"arrived: {arrivals}")


class Disturbances:
    """Time spans in which one node, or all of them, were disturbed."""

    def __init__(self):
        self.spans = []

    def begin(self, planned=False):
        span = [time.monotonic(), None, planned]
        self.spans.append(span)
        return span

    def add(self, begin, end):
        self.spans.append([begin, end, False])

    def undisturbed(self, begin, end, ignore_planned=False):
        """Returns whether nothing happened from SETTLING_TIME before begin
        until end, apart from planned maintenance with ignore_planned.
        """
        return not any(first < end and (last or end) > begin - SETTLING_TIME
                       for first, last, planned in self.spans
                       if not (ignore_planned and planned))


class Checker:
    """Holds all requests of a run, and checks the guarantees."""

    def __init__(self, table):
        self.table = table
        self.requests = {}
        self.everywhere = Disturbances()
        self.store = Disturbances()
        self.violations = []
        self.counts = {"undisturbed": 0, "abandoned": 0, "overdue": 0,
                       "reached timeout": 0}

        # Times of the retries and first attempts, by service.
        self.retries = {}
        self.first_attempts = {}

        # By node number: incarnation, highest version observed at it, and when.
        self.observed_versions = {}

    def report_violation(self, rule, details):
        line = f"{time.monotonic():.3f} {rule}: {details}"
        self.violations.append(line)
        print(f"VIOLATION {line}", flush=True)

    def undisturbed(self, node, begin, end=None, ignore_planned=False):
        """Returns whether the limits apply to the node in all this time."""
        end = end or time.monotonic()
        return (node.disturbances.undisturbed(begin, end, ignore_planned) and
                self.everywhere.undisturbed(begin, end) and
                self.store.undisturbed(begin, end))

    def links_undisturbed(self, node, begin, end=None, ignore_planned=False):
        """As undisturbed(), for limits that also hold without the store."""
        end = end or time.monotonic()
        return (node.disturbances.undisturbed(begin, end, ignore_planned) and
                self.everywhere.undisturbed(begin, end))

    # Events at callers.

    def on_created(self, request):
        self.requests[request.id] = request
        for service in self.table.newest.services(request.route):
            if not request.caused_by_retry:
                self.first_attempts.setdefault(service, []).append(
                    request.sent)

    def on_sent(self, request):
        """The request was written completely."""
        request.sent = time.monotonic()

    def on_answered(self, request, status, signature, body):
        request.status, request.ended = status, time.monotonic()
        request.outcome = "answered"
        if signature:
            self.check_response(request, status, signature, body)
        elif 200 <= status < 300:
            self.report_violation("MIXED",
                                  f"success without signature: {request}")
        elif 300 <= status < 500 and status not in NOT_RUN:
            self.check_denied(request, status)
        if status in NOT_RUN and not request.route.idempotent and request.runs:
            self.report_violation("REFUSED", f"had run: {request}")
        self.counts["undisturbed"] += self.undisturbed(request.node,
                                                       request.sent)
        self.check_timeout(request)

    def check_response(self, request, status, signature, body):
        expected = request.responses.get(signature)
        if expected is None:
            self.report_violation("MIXED",
                                  f"response to another request: {request}")
        elif expected[0] != status:
            self.report_violation(
                "MIXED", f"target answered {expected[0]}: {request}")
        elif 200 <= status < 300 and expected[1] != digest(body):
            self.report_violation("MIXED", f"changed body: {request}")

    def check_denied(self, request, status):
        known = self.table.always_known(request.route)
        if known or (status == 404 and
                     self.table.in_force(request.route, request.sent) and
                     self.undisturbed(request.node, request.sent)):
            self.report_violation("DENIED", f"{status}: {request}")

    def on_closed(self, request):
        """The connection closed without a complete response."""
        request.ended, request.outcome = time.monotonic(), "closed"
        past_slack = request.ended - request.sent > LOSS_SLACK
        excused = any(
            arrival.target.disturbed(request.sent, request.ended)
            for arrival in request.arrivals)
        if (request.arrivals or past_slack) and not excused and \
                self.links_undisturbed(
                request.node, request.sent, ignore_planned=True):
            self.report_violation("LOST", f"no answer: {request}")

    def on_unsent(self, request):
        """No connection was made, so the request was not sent."""
        request.ended, request.outcome = time.monotonic(), "unsent"

    def on_abandoned(self, request):
        request.ended, request.outcome = time.monotonic(), "abandoned"
        self.check_timeout(request)

    def check_timeout(self, request):
        timeout = request.route.timeout
        if request.ended - request.sent < timeout or not self.undisturbed(
                request.node, request.sent):
            return
        self.counts["reached timeout"] += 1
        if request.ended - request.sent > timeout + TIMEOUT_SLACK:
            self.counts["overdue"] += 1
        overdue, reached = \
            self.counts["overdue"], self.counts["reached timeout"]
        if overdue >= MIN_OVERDUE_REQUESTS and \
                overdue > MAX_OVERDUE_SHARE * reached:
            self.report_violation("CONFIG",
                                  f"exceeded its timeout: {request}")

    # Events at targets.

    def on_arrival(self, target, head, body, ran):
        """Returns the request that arrived, or None for an unknown one."""
        line, headers = head
        now = time.monotonic()
        request = self.requests.get(headers.get("attempt-id"))
        if request is None:
            self.report_violation("UNASKED",
                                  f"no caller sent {line} {headers}")
            return None
        method, path = line.split(" ")[:2]
        if (method, path) != (request.method, request.path) or \
                digest(body) != request.body_digest:
            self.report_violation("UNASKED", f"changed to {line}: {request}")
        if headers.get("caller-service") != request.service:
            self.report_violation(
                "UNASKED", "from service "
                f"{headers.get('caller-service')}: {request}")
        self.count_retry(target.service, request, now)
        self.check_arrival(request, target, headers, now)
        request.arrivals.append(Arrival(now, target, ran))
        if ran:
            self.check_run(request, target)
        return request

    def count_retry(self, service, request, now):
        if request.arrivals or request.caused_by_retry:
            self.retries.setdefault(service, []).append(now)

    def check_arrival(self, request, target, headers, now):
        undisturbed = self.undisturbed(request.node, request.sent) and \
            self.undisturbed(target.node, request.sent)
        remaining = request.sent + request.deadline - now
        forwarded = float(headers.get("deadline-remaining", 1e9)) / 1000
        if undisturbed and forwarded > remaining + DEADLINE_SLACK:
            self.report_violation("BUDGET",
                                  f"forwarded {forwarded} s: {request}")
        if target.leaving is not None and undisturbed and \
                self.undisturbed(request.node, target.leaving) and \
                now > target.leaving + DRAIN_LIMIT:
            self.report_violation("DRAIN",
                                  f"{now - target.leaving:.3f} s after "
                                  f"{target.instance} left: {request}")
        abandoned = request.outcome == "abandoned" and \
            now > request.ended + ABANDON_LIMIT
        if abandoned and undisturbed:
            self.counts["abandoned"] += 1
            if self.counts["abandoned"] > MAX_ABANDONED_ARRIVALS:
                self.report_violation("GONE", f"abandoned: {request}")

    def check_run(self, request, target):
        runs = request.runs
        if not request.route.idempotent:
            if len(runs) > 1:
                self.report_violation("TWICE", str(request))
            if request.status in NOT_RUN:
                self.report_violation("REFUSED", f"ran later: {request}")
        if len({run.target.instance for run in runs}) > request.route.attempts:
            self.report_violation("BUDGET", f"too many targets: {request}")
        self.check_route(request, target)

    def check_route(self, request, target):
        route, node = request.route, request.node
        if not self.table.ever_allowed(route, target.service):
            self.report_violation("ROUTE", f"at {target.service}: {request}")
            return
        if not self.table.allowed(route, target.service, request.sent) and \
                self.undisturbed(node, request.sent):
            self.report_violation("CONFIG",
                                  f"old version at {target.service}, "
                                  f"{self.table.age(request.sent):.3f} s after "
                                  f"the new one: {request}")
        version = self.table.newest_with(route, target.service)
        observed = self.observed_versions.get(node.number)
        if observed and observed[0] == node.incarnation and \
                version < observed[1] and \
                request.sent > observed[2] + ROLLBACK_LIMIT and \
                self.undisturbed(node, observed[2]):
            self.report_violation("CONFIG",
                                  f"rolled back from r{observed[1]}: "
                                  f"{request}")
        version = self.table.oldest_with(route, target.service)
        if not observed or observed[0] != node.incarnation or \
                version > observed[1]:
            self.observed_versions[node.number] = (node.incarnation, version,
                                                   time.monotonic())

    def on_response_created(self, request, status, signature, body):
        """A target is about to send this response."""
        request.responses[signature] = (status, digest(body))

    # Periodic checks, and the end of a run.

    def check_budgets(self):
        now = time.monotonic()
        for service, retries in self.retries.items():
            def count_within(times, begin, end):
                return sum(begin < moment <= end for moment in times)
            count = count_within(retries, now - BUDGET_WINDOW, now)
            attempts = max(
                count_within(self.first_attempts.get(service, []),
                             now - BUDGET_WINDOW - shift, now - shift)
                for shift in (0, BUDGET_WINDOW / 2, BUDGET_WINDOW))
            if count > BUDGET_RATIO * attempts + BUDGET_SLACK:
                self.report_violation("BUDGET",
                                      f"{service} received {count} retries "
                                      f"for {attempts} first attempts")

    def check_recovery(self, since):
        """Checks which share of the requests sent after a time was served."""
        finished = [request for request in self.requests.values()
                    if request.sent > since and request.ended is not None]
        served = sum(request.outcome == "answered" and request.status == 200
                     for request in finished)
        if not finished or served < RECOVERY_SHARE * len(finished):
            self.report_violation("RECOVER",
                                  f"{served} of {len(finished)} served")
        return served, len(finished)

    def summary(self):
        outcomes = {}
        for request in self.requests.values():
            name = f"{request.status}" if request.outcome == "answered" \
                else request.outcome
            outcomes[name or "open"] = outcomes.get(name or "open", 0) + 1
        retries = sum(len(times) for times in self.retries.values())
        return (f"{len(self.requests)} requests: " +
                ", ".join(f"{count} {name}"
                          for name, count in sorted(outcomes.items())) +
                f"; {retries} retries, {self.counts['undisturbed']} "
                "undisturbed")

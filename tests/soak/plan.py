"""Draws the faults of a run from a seed; the same seed gives the same plan."""

import random


class Fault:
    """A fault: its kind, begin, duration, nodes, and a variant of the kind."""

    def __init__(self, kind, begin, duration, nodes, variant=""):
        self.kind = kind
        self.begin = begin
        self.duration = duration
        self.nodes = nodes
        self.variant = variant

    def __str__(self):
        nodes = ",".join(str(node) for node in self.nodes) or "-"
        return (f"{self.begin:7.2f} s  {self.kind:<14} for "
                f"{self.duration:4.2f} s"
                f"  nodes {nodes:<12} {self.variant}").rstrip()


class FaultKind:
    """Distribution of the faults of one kind."""

    def __init__(self, weight, durations, max_nodes, variants=("",)):
        self.weight = weight
        self.durations = durations
        self.max_nodes = max_nodes
        self.variants = variants


# Durations in seconds. Kinds without nodes affect the store or all nodes.
KINDS = {
    "kill": FaultKind(3, (0.2, 1.5), 3),
    "stop": FaultKind(4, (0.2, 1.5), 3),
    "freeze": FaultKind(3, (0.2, 4.0), 3),
    "herd": FaultKind(0.5, (0.3, 1.0), 0),
    "delay": FaultKind(2, (1.0, 4.0), 3, ("0.05", "0.2", "0.6")),
    "reset": FaultKind(2, (0.1, 0.5), 3),
    "cut": FaultKind(3, (0.5, 5.0), 2, ("in", "out", "both")),
    "mute": FaultKind(2, (0.5, 4.0), 2),
    "loss": FaultKind(1, (1.0, 4.0), 4, ("0.1", "0.5")),
    "store-cut": FaultKind(2, (1.0, 5.0), 4, ("in", "out", "both")),
    "store-refuse": FaultKind(2, (1.0, 5.0), 5),
    "store-down": FaultKind(2, (0.5, 5.0), 0, ("busy", "reset", "silent")),
    "store-slow": FaultKind(1, (1.0, 4.0), 0, ("200", "900")),
    "store-lossy": FaultKind(1, (1.0, 4.0), 0, ("20", "60")),
    "store-compact": FaultKind(1, (0.0, 0.0), 0),
    "versions": FaultKind(4, (0.0, 2.0), 0, ("1", "1", "6", "12")),
    "routes": FaultKind(1, (0.0, 0.0), 0, ("300", "1000")),
    "settings": FaultKind(2, (0.0, 0.0), 3, ("hup", "no-signal")),
    "drain": FaultKind(4, (0.1, 1.5), 2, ("announced", "unannounced")),
    "crash": FaultKind(2, (0.5, 2.0), 2),
    "replace": FaultKind(2, (0.5, 1.5), 1),
    "slow": FaultKind(2, (1.0, 4.0), 2, ("3", "8")),
    "faulty": FaultKind(4, (1.0, 4.0), 3,
                        ("reset", "truncated", "extra", "late", "silent",
                         "garbage", "unframed", "wrong-id", "full", "error")),
    "give-up": FaultKind(2, (1.0, 3.0), 0),
    "overload": FaultKind(2, (1.0, 4.0), 0),
}

# Time without faults after a series of faults, in seconds.
FAULT_FREE_TIME = (4.5, 7.0)

# Mean time between the starts of consecutive faults of a series, in seconds.
MEAN_INTERVAL = 0.9

MAX_SERIES = 5


def draw_fault(rng, begin, node_count):
    name = rng.choices(list(KINDS), [kind.weight for kind in KINDS.values()])[0]
    kind = KINDS[name]
    count = rng.randint(1, min(kind.max_nodes, node_count)) \
        if kind.max_nodes else 0
    return Fault(name, begin, rng.uniform(*kind.durations),
                 sorted(rng.sample(range(node_count), count)),
                 rng.choice(kind.variants))


def draw(seed, seconds, node_count):
    """Returns the faults in order; all end before seconds have passed."""
    rng = random.Random(seed)
    faults = []
    now = rng.uniform(0.5, 2.0)
    while now < seconds:
        for _ in range(rng.randint(1, MAX_SERIES)):
            faults.append(draw_fault(rng, now, node_count))
            now += rng.expovariate(1 / MEAN_INTERVAL)
        ends = [fault.begin + fault.duration for fault in faults]
        now = max([now] + ends) + rng.choice(
            (0.3, rng.uniform(*FAULT_FREE_TIME)))
    return [fault for fault in faults
            if fault.begin + fault.duration < seconds]

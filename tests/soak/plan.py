"""Draws the faults of one run from a seed; the same seed gives the same plan."""

import random


class Fault:
    """One fault: from when, for how long, on which nodes, how."""

    def __init__(self, kind, begin, length, nodes, how=""):
        self.kind = kind
        self.begin = begin
        self.length = length
        self.nodes = nodes
        self.how = how

    def __str__(self):
        nodes = ",".join(str(each) for each in self.nodes) or "-"
        return (f"{self.begin:7.2f} s  {self.kind:<14} for {self.length:4.2f} s"
                f"  nodes {nodes:<12} {self.how}").rstrip()


class Kind:
    """How faults of one kind are drawn."""

    def __init__(self, weight, lengths, most_nodes, hows=("",)):
        self.weight = weight
        self.lengths = lengths
        self.most_nodes = most_nodes
        self.hows = hows


# Lengths in seconds. Kinds without nodes concern the store or all nodes.
KINDS = {
    "kill": Kind(3, (0.2, 1.5), 3),
    "stop": Kind(4, (0.2, 1.5), 3),
    "freeze": Kind(3, (0.2, 4.0), 3),
    "herd": Kind(0.5, (0.3, 1.0), 0),
    "delay": Kind(2, (1.0, 4.0), 3, ("0.05", "0.2", "0.6")),
    "reset": Kind(2, (0.1, 0.5), 3),
    "cut": Kind(3, (0.5, 5.0), 2, ("in", "out", "both")),
    "mute": Kind(2, (0.5, 4.0), 2),
    "loss": Kind(1, (1.0, 4.0), 4, ("0.1", "0.5")),
    "store-cut": Kind(2, (1.0, 5.0), 4, ("in", "out", "both")),
    "store-refuse": Kind(2, (1.0, 5.0), 5),
    "store-down": Kind(2, (0.5, 5.0), 0, ("busy", "reset", "silent")),
    "store-slow": Kind(1, (1.0, 4.0), 0, ("200", "900")),
    "store-lossy": Kind(1, (1.0, 4.0), 0, ("20", "60")),
    "store-compact": Kind(1, (0.0, 0.0), 0),
    "versions": Kind(4, (0.0, 2.0), 0, ("1", "1", "6", "12")),
    "routes": Kind(1, (0.0, 0.0), 0, ("300", "1000")),
    "settings": Kind(2, (0.0, 0.0), 3, ("hup", "quiet")),
    "drain": Kind(4, (0.1, 1.5), 2, ("told", "untold")),
    "crash": Kind(2, (0.5, 2.0), 2),
    "replace": Kind(2, (0.5, 1.5), 1),
    "slow": Kind(2, (1.0, 4.0), 2, ("3", "8")),
    "faulty": Kind(4, (1.0, 4.0), 3,
                   ("reset", "truncated", "extra", "late", "silent",
                    "garbage", "unframed", "wrong-id", "full", "error")),
    "give-up": Kind(2, (1.0, 3.0), 0),
    "press": Kind(2, (1.0, 4.0), 0),
}

# A series of faults is followed by a calm of this length, in seconds.
CALM = (4.5, 7.0)

# Mean time between two faults of one series, in seconds.
MEAN_GAP = 0.9

LONGEST_SERIES = 5


def draw_fault(chance, begin, nodes):
    name = chance.choices(list(KINDS), [k.weight for k in KINDS.values()])[0]
    kind = KINDS[name]
    count = chance.randint(1, min(kind.most_nodes, nodes)) \
        if kind.most_nodes else 0
    return Fault(name, begin, chance.uniform(*kind.lengths),
                 sorted(chance.sample(range(nodes), count)),
                 chance.choice(kind.hows))


def draw(seed, seconds, nodes):
    """Returns the faults in order; all have ended after so many seconds."""
    chance = random.Random(seed)
    faults = []
    now = chance.uniform(0.5, 2.0)
    while now < seconds:
        for _ in range(chance.randint(1, LONGEST_SERIES)):
            faults.append(draw_fault(chance, now, nodes))
            now += chance.expovariate(1 / MEAN_GAP)
        ends = [each.begin + each.length for each in faults]
        now = max([now] + ends) + chance.choice((0.3, chance.uniform(*CALM)))
    return [each for each in faults if each.begin + each.length < seconds]

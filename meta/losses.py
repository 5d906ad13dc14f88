#!/usr/bin/env python3
"""Splits the losses of a run into those from lack of target capacity and those from routing decisions.

  meta/losses.py REPORT --hosts 14 --slots 4 --work 58.4 [--other 0.06]
                 [--down 9-15:0.3] [--slow 8-16:0.3x5]

REPORT is the JSON file of a run (--report). The overloaded service has --hosts hosts with --slots slots
each, and its requests take --work milliseconds; --other is the share of all requests that go to other
services and are always served. --down and --slow may be repeated; each gives a time span and the share
of hosts that did not respond, or whose requests took the given multiple of the time, during it.

For each window: requests sent, answered within the objective (in aim), late and failed; the capacity of
the slots; of the requests not answered within the objective, those that exceeded the capacity (no slot)
and the rest (the gap). Host starts, warm-up and the network are not counted, so the gap is an upper
bound for the losses from routing decisions.
"""
import argparse
import json
import re


def span(text):
    """Parses 9-15:0.3 or 8-16:0.3x5 into (from, to, share, factor); factor 0: hosts do not respond."""
    match = re.fullmatch(r"([\d.]+)-([\d.]+):([\d.]+)(?:x([\d.]+))?", text)
    if match is None:
        raise argparse.ArgumentTypeError(f"not FROM-TO:SHARE[xFACTOR]: {text}")
    begin, end, share, factor = match.groups()
    return float(begin), float(end), float(share), float(factor or 0)


def hosts_at(second, hosts, spans):
    """Capacity of the hosts in that second, as a number of healthy hosts."""
    lost = 0.0
    for begin, end, share, factor in spans:
        if begin <= second < end:
            lost += share * (1 - (1 / factor if factor else 0))
    return hosts * max(0.0, 1 - lost)


def capacity(begin, end, options):
    """Requests that the slots can process between two points in time, summed over 0.1 s steps."""
    step = 0.1
    steps = round((end - begin) / step)
    each_second = options.slots * 1000 / options.work
    spans = options.down + options.slow
    return sum(hosts_at(begin + i * step, options.hosts, spans) * each_second * step
               for i in range(steps))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("report")
    parser.add_argument("--hosts", type=int, required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--work", type=float, required=True, help="milliseconds")
    parser.add_argument("--other", type=float, default=0.0, help="share of requests that go elsewhere")
    parser.add_argument("--down", type=span, action="append", default=[])
    parser.add_argument("--slow", type=span, action="append", default=[])
    options = parser.parse_args()
    with open(options.report, encoding="utf-8") as file:
        report = json.load(file)
    windows = report["windows"]
    starts = [float(each["name"]) for each in windows]
    width = starts[1] - starts[0]
    print(f"{'second':>6} {'asked':>6} {'in aim':>6} {'late':>6} {'failed':>6} {'slots do':>8} "
          f"{'no slot':>7} {'gap':>6}")
    no_slot = gap = asked = 0.0
    for begin, each in zip(starts, windows):
        elsewhere = options.other * each["n"]
        able = capacity(begin, begin + width, options) + elsewhere
        lost = each["n"] - each["in_aim"]
        beyond = min(lost, max(0.0, each["n"] - able))
        no_slot += beyond
        gap += lost - beyond
        asked += each["n"]
        if lost > 0:
            print(f"{begin:6.0f} {each['n']:6d} {each['in_aim']:6d} {each['late']:6d} "
                  f"{each['failed']:6d} {able:8.0f} {beyond:7.0f} {lost - beyond:6.0f}")
    prices = sum(price[2] for price in report["prices"])
    print(f"of {asked:.0f}: no slot {no_slot / asked:.3f}, gap {gap / asked:.3f}; "
          f"worth {report['G']:.3f}, prices {prices:.3f}")
    for zone in report["zones"]:
        print(f"callers of {zone['name']}: worth {zone['worth']:.3f}, "
              f"failed {zone['failed'] / max(1, zone['n']):.3f}")


if __name__ == "__main__":
    main()

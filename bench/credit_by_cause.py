#!/usr/bin/env python3
"""Attributes the credit lost in a `fleetbench` run to causes, from its report and the instances' logs.

    bench/credit_by_cause.py REPORT.json LOG SITE.toml

LOG is the standard error of `fleetbench run ... --log all`. The latency up to which a response earns its full credit is
that of the service's first class in the site file, less the round trip to the caller; the report tells the names that the
services have on that day. The cause of a late response is a cold execution if it is the
first for its affinity key at its target, else a retry if it took several attempts, else queueing. Lost credit is a
fraction of that of all requests in the log; late responses lose 0.8 of their credit.
"""
import collections
import json
import re
import sys
import tomllib

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
LATE_LOSS = 0.8


def requests(path):
    """Returns the fields of each request-ended line (BR-8001), ordered by time."""
    lines = []
    with open(path, errors="replace") as log:
        for line in log:
            if "BR-8001" in line:
                fields = dict(FIELD.findall(line))
                if fields.get("object", "-") != "-":
                    lines.append((float(line.split(None, 1)[0]), fields))
    lines.sort(key=lambda entry: entry[0])
    return [fields for _, fields in lines]


def aims_by_service(report, site_path):
    """Returns the latency up to which a response earns its full credit, by the service's name on that day."""
    with open(site_path, "rb") as site_file:
        site = tomllib.load(site_file)
    caller_round_trip = 2 * site["net"]["client_ms"]
    aims = {}
    for kind in site["classes"]:
        aims.setdefault(kind["service"], kind["aim_ms"] - caller_round_trip)
    return {service["told"]: aims[service["name"]] for service in report["services"] if service["name"] in aims}


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    with open(sys.argv[1]) as report_file:
        report = json.load(report_file)
    aims = aims_by_service(report, sys.argv[3])
    seen = set()
    count = collections.Counter()
    lost = collections.Counter()
    for request in requests(sys.argv[2]):
        service = request["service"]
        if service not in aims:
            continue
        count["all"] += 1
        pair = (request["target"], request["object"])
        first = pair not in seen
        outcome = request["outcome"]
        if outcome == "answered":
            seen.add(pair)
            if float(request["ms"]) <= aims[service]:
                continue
            cause = "cold execution" if first else "retry" if request["sends"] != "1" else "queueing"
            lost[cause] += LATE_LOSS
        else:
            cause = {"refused": "refused", "dropped": "caller disconnected"}.get(outcome, "interrupted or failed")
            lost[cause] += 1
        count[cause] += 1
    total = max(1, count["all"])
    print(f"{count['all']} requests; worth {report.get('G', 0):.3f}, whole day {report['all']['worth']:.3f}")
    for cause, credit in lost.most_common():
        print(f"  {cause:22} {count[cause]:7} requests  {credit / total:7.4f} of the credit")
    for price in report.get("prices", []):
        print("  price", price)


if __name__ == "__main__":
    main()

"""Checks the specifications; prints states explored, properties and verdict."""

import sys

from spec import distribution, requests


def report(name, verdict):
    """Print one verdict; return whether every property holds."""
    for formula, holds in verdict.properties.items():
        state = "holds" if holds else "FAILS"
        print(f"{name}: {verdict.states} states: {formula}: {state}", flush=True)
    return all(verdict.properties.values())


def main(argv=None):
    """Check the whole protocols, then each without one guard."""
    whole = [
        report("distribution", distribution.check_distribution()),
        report("requests", requests.check_requests()),
        report("requests, calm", requests.check_calm_requests()),
    ]
    mutants = []
    for guard in distribution.GUARDS:
        name = f"distribution without {guard}"
        mutants.append(not report(name, distribution.check_distribution(guard)))
    for guard in requests.GUARDS:
        trace = requests.find_violation(guard)
        calm = requests.check_calm_requests(guard)
        broken = bool(trace) or not all(calm.properties.values())
        steps = f"broken after {len(trace) - 1} steps" if trace else "safe"
        print(f"requests without {guard}: {steps}, calm {calm.properties}", flush=True)
        mutants.append(broken)
    print(f"{sum(whole)} of {len(whole)} protocols hold; ", end="")
    print(f"{sum(mutants)} of {len(mutants)} guards proved necessary")
    return 0 if all(whole) and all(mutants) else 1


if __name__ == "__main__":
    sys.exit(main())

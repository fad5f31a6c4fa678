"""Checks the models in ``spec``; prints states explored and each property's result."""

import sys

from spec import distribution, requests


def print_verdict(name, verdict):
    """Print the result of each property; return whether all of them hold."""
    for formula, holds in verdict.properties.items():
        state = "holds" if holds else "FAILS"
        print(f"{name}: {verdict.states} states: {formula}: {state}", flush=True)
    return all(verdict.properties.values())


def main(argv=None):
    """Check the complete protocols, then each with one of its guards removed.

    Returns 0 if the complete protocols hold and every removal violates a property.
    """
    protocol_results = [
        print_verdict("distribution", distribution.check_distribution()),
        print_verdict("requests", requests.check_requests()),
        print_verdict("requests, calm", requests.check_calm_requests()),
    ]
    mutant_results = []
    for guard in distribution.GUARDS:
        name = f"distribution without {guard}"
        mutant_results.append(
            not print_verdict(name, distribution.check_distribution(guard))
        )
    for guard in requests.GUARDS:
        trace = requests.find_violation(guard)
        calm = requests.check_calm_requests(guard)
        is_violated = bool(trace) or not all(calm.properties.values())
        steps = f"broken after {len(trace) - 1} steps" if trace else "safe"
        print(f"requests without {guard}: {steps}, calm {calm.properties}", flush=True)
        mutant_results.append(is_violated)
    print(
        f"{sum(protocol_results)} of {len(protocol_results)} protocols hold; ", end=""
    )
    print(f"{sum(mutant_results)} of {len(mutant_results)} guards proved necessary")
    return 0 if all(protocol_results) and all(mutant_results) else 1


if __name__ == "__main__":
    sys.exit(main())

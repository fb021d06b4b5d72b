"""Behave's hooks: what a scenario started is stopped after it."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
for path in (ROOT, ROOT / "src", ROOT / "features"):
    if str(path) not in sys.path:
        sys.path.insert(0, str(path))


def after_feature(context, feature):
    """Stop the fleet that a feature's scenarios shared."""
    fleet = getattr(feature, "fleet", None)
    if fleet is not None:
        fleet.stop()


def after_scenario(context, scenario):
    """Stop the fleet of one scenario."""
    fleet = getattr(scenario, "fleet", None)
    if fleet is not None:
        fleet.stop()

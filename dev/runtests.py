"""Runs all features, several files at a time, and counts what passed.

A scenario listed in KNOWN-RED.txt (a line ``test: <feature file>: <name>``)
may fail: it is printed and doesn't fail the run.
"""

from __future__ import annotations

import concurrent.futures
import json
import pathlib
import subprocess
import sys
import tempfile

import attrs
import cyclopts

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FEATURE_LIMIT_S = 900
MARK = "test: "


@attrs.frozen(kw_only=True)
class Outcome:
    """How one scenario ended."""

    feature: str
    name: str
    passed: bool


def known_red() -> set[tuple[str, str]]:
    """Return the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    found = set()
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith(MARK):
            feature, _, name = line[len(MARK) :].partition(": ")
            found.add((feature.strip(), name.strip()))
    return found


def run_feature(path: pathlib.Path) -> tuple[list[Outcome], str]:
    """Return the outcomes of one feature file and what it printed."""
    with tempfile.NamedTemporaryFile(suffix=".json") as results:
        command = [sys.executable, "-m", "behave", "--no-capture", "--no-color"]
        command += ["--format", "json", "--outfile", results.name]
        command += ["--format", "plain", str(path)]
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=FEATURE_LIMIT_S,
            )
            printed = done.stdout + done.stderr
            read = json.loads(pathlib.Path(results.name).read_text() or "[]")
        except (subprocess.TimeoutExpired, ValueError) as error:
            return [Outcome(feature=path.name, name="(file)", passed=False)], str(error)
    outcomes = [
        Outcome(
            feature=path.name,
            name=element["name"].strip(),
            passed=element.get("status") == "passed",
        )
        for feature in read
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]
    if not outcomes or (done.returncode and all(each.passed for each in outcomes)):
        outcomes.append(Outcome(feature=path.name, name="(file)", passed=False))
    return outcomes, printed


app = cyclopts.App(name="runtests")


@app.default
def run(*files: pathlib.Path, jobs: int = 4) -> int:
    """Run feature files, all of them where none is named."""
    paths = sorted(files) or sorted((ROOT / "features").glob("**/*.feature"))
    red = known_red()
    outcomes: list[Outcome] = []
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = zip(paths, pool.map(run_feature, paths), strict=True)
        for path, (found, printed) in results:
            outcomes.extend(found)
            bad = [each for each in found if not each.passed]
            print(f"{path.name}: {len(found) - len(bad)} passed, {len(bad)} failed")
            if bad:
                print(printed)
                print("".join(f"  failed: {each.name}\n" for each in bad), end="")
    failed = [each for each in outcomes if not each.passed]
    excused = [each for each in failed if (each.feature, each.name) in red]
    for each in excused:
        print(f"known red: {each.feature}: {each.name}")
    bad_count = len(failed) - len(excused)
    print(f"{len(outcomes) - len(failed)} passed, {bad_count} failed")
    return 1 if bad_count else 0


if __name__ == "__main__":
    sys.exit(app())

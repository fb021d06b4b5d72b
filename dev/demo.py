"""Shows the system at work against embedded fakes: ``make demo``."""

from __future__ import annotations

import json
import sys
import urllib.request

from dev.deployments import HERD
from dev.fleet import Fleet


def post(url: str, key: str, body: dict, headers: dict[str, str] | None = None) -> str:
    """Return the text of an answer."""
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {key}", **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=30) as answer:
        return answer.read().decode()


def main() -> int:
    """Run the demo and return its exit code."""
    with Fleet(deployment=HERD, hosts=3, engines=2, workers=2) as fleet:
        body = {"model": "rumia", "prompt": "[tag=summary length=40]", "stream": True}
        text = post(fleet.entry(0) + "/v1/completions", "key-herders-north", body)
        print(f"streamed {text.count('data: {') - 1} tokens of a season summary")
        for number in (0, 1):
            url = fleet.entry(number) + "/v1/services/corral/tally"
            answer = post(
                url, "key-clerks", {"tag": "calf"}, {"Idempotency-Key": "demo-1"}
            )
            print(f"tally correction at entry {number}: {answer}")
        ran = sum(
            fleet.counts(name)["ran"].get("calf", 0)
            for name in ("corral-1", "corral-2")
        )
        print(f"the tally correction ran {ran} time(s)")
    return 0 if ran == 1 else 1


if __name__ == "__main__":
    sys.exit(main())

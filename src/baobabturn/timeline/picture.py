"""Draws a time line as one static HTML page, a lane for each process."""

from __future__ import annotations

import html
import zlib

from baobabturn.timeline.merge import Line

LANE_PX = 190
ROW_PX = 22
LEFT_PX = 110
TOP_PX = 44
DOT_PX = 5
HUES = 360
TEXT_PX = 12
STYLE = f"""
body {{ font: {TEXT_PX}px sans-serif; margin: 16px; }}
text {{ font: {TEXT_PX}px sans-serif; }}
.lane {{ stroke: #ccc; }}
.step {{ stroke-width: 1.5; fill: none; opacity: 0.6; }}
.time {{ fill: #777; }}
"""


def colour(request: str) -> str:
    """Return the colour of a request, the same on each page."""
    if not request:
        return "#888"
    return f"hsl({zlib.crc32(request.encode()) % HUES} 70% 40%)"


def lanes_of(lines: list[Line]) -> dict[str, int]:
    """Return each process's lane, in the order of first events."""
    lanes: dict[str, int] = {}
    for line in lines:
        lanes.setdefault(line.process, len(lanes))
    return lanes


def centre(lane: int) -> int:
    """Return the horizontal place of a lane."""
    return LEFT_PX + lane * LANE_PX + DOT_PX


def lane_parts(lanes: dict[str, int], height: int) -> list[str]:
    """Return the drawing of the lanes with their names."""
    parts = []
    for name, lane in lanes.items():
        x = centre(lane)
        parts.append(f'<text x="{x}" y="{TOP_PX - 20}">{html.escape(name)}</text>')
        parts.append(
            f'<line class="lane" x1="{x}" y1="{TOP_PX - 12}" x2="{x}" y2="{height}"/>'
        )
    return parts


def event_parts(line: Line, x: int, y: int, since_ms: int) -> list[str]:
    """Return the drawing of one event."""
    name = html.escape(line.fields["event"])
    tip = html.escape(f"{line.fields['hlc']} {line.process} {line.rest}")
    fill = colour(line.fields.get("request", ""))
    baseline = y + TEXT_PX // 3
    return [
        f'<text class="time" x="0" y="{baseline}">+{since_ms} ms</text>',
        f'<circle cx="{x}" cy="{y}" r="{DOT_PX}" fill="{fill}">'
        f"<title>{name} {tip}</title></circle>",
        f'<text x="{x + 2 * DOT_PX}" y="{baseline}">{name}</text>',
    ]


def picture(lines: list[Line]) -> str:
    """Return the page; each row is an event, in causal order from the top."""
    lanes = lanes_of(lines)
    height = TOP_PX + len(lines) * ROW_PX
    width = centre(len(lanes)) + LANE_PX
    parts = lane_parts(lanes, height)
    before: dict[str, tuple[int, int]] = {}
    for row, line in enumerate(lines):
        x, y = centre(lanes[line.process]), TOP_PX + row * ROW_PX
        request = line.fields.get("request", "")
        if request in before:
            x0, y0 = before[request]
            parts.append(
                f'<path class="step" stroke="{colour(request)}" '
                f'd="M{x0} {y0} L{x} {y}"/>'
            )
        if request:
            before[request] = (x, y)
        parts.extend(event_parts(line, x, y, line.stamp[0] - lines[0].stamp[0]))
    drawing = "\n".join(parts)
    return (
        "<!DOCTYPE html>\n"
        '<html lang="en"><head><meta charset="utf-8"><title>Time line</title>'
        f"<style>{STYLE}</style></head><body>\n"
        f"<p>{len(lines)} events of {len(lanes)} processes, in causal order.</p>\n"
        f'<svg width="{width}" height="{height}">\n{drawing}\n</svg>\n'
        "</body></html>\n"
    )

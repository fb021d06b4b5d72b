"""Lays a partial view of the members over the view held before."""

from __future__ import annotations

from collections.abc import Iterable

from baobabturn.wire.messages import Member, MemberView


def told_key(member: Member) -> tuple[object, ...]:
    """Return what entries and schedulers act on in a member's record."""
    return (
        member.incarnation,
        member.state,
        member.address,
        member.entry_port,
        member.scheduler_port,
        member.entry_down,
        member.scheduler_down,
    )


def merged(members: Iterable[Member], view: MemberView) -> tuple[list[Member], bool]:
    """Return the members after a view, and whether any differ in what counts."""
    held = {member.name: member for member in members}
    if not view.partial:
        fresh = {member.name: member for member in view.members}
        changed = {n: told_key(m) for n, m in held.items()} != {
            n: told_key(m) for n, m in fresh.items()
        }
        return list(fresh.values()), changed
    changed = bool(view.removed)
    for name in view.removed:
        held.pop(name, None)
    for member in view.members:
        before = held.get(member.name)
        changed |= before is None or told_key(before) != told_key(member)
        held[member.name] = member
    return list(held.values()), changed

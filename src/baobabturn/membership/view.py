"""Merges the member views that a controller pushes to its entry and scheduler."""

from __future__ import annotations

from collections.abc import Iterable

from baobabturn.wire.messages import Member, MemberView


def significant_fields(member: Member) -> tuple[object, ...]:
    """Return the fields of a member on which entries and schedulers act."""
    return (
        member.incarnation,
        member.state,
        member.address,
        member.entry_port,
        member.scheduler_port,
        member.entry_down,
        member.scheduler_down,
    )


def merge_view(
    members: Iterable[Member], view: MemberView
) -> tuple[list[Member], bool]:
    """Return the members after a view, and whether any significant field changed.

    A full view replaces all members, a partial one only those that it names.
    """
    by_name = {member.name: member for member in members}
    if not view.partial:
        replaced = {member.name: member for member in view.members}
        changed = {n: significant_fields(m) for n, m in by_name.items()} != {
            n: significant_fields(m) for n, m in replaced.items()
        }
        return list(replaced.values()), changed
    changed = bool(view.removed)
    for name in view.removed:
        by_name.pop(name, None)
    for member in view.members:
        previous = by_name.get(member.name)
        changed |= previous is None or significant_fields(
            previous
        ) != significant_fields(member)
        by_name[member.name] = member
    return list(by_name.values()), changed

"""The hosts that this one knows, and which of them are hubs."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from hemlockhall_router.membership.message import Contact

if TYPE_CHECKING:
    from hemlockhall_router.process.timing import Timing

# Hubs of a data centre: one may fail without anybody waiting for the next.
HUBS = 2
# Seconds for which a look at who lives is good: each message needs one.
VIEW_S = 0.05
# Seconds after which a host that nobody hears is no longer tried.
FORGET_S = 30.0


@dataclass(slots=True)
class Member:
    """A host, as known here; times are monotonic.

    ``heard_at`` is when it was known to live, by whomever; ``asked_at`` the time of
    the first message to it that it has not answered, or None.
    """

    contact: Contact
    heard_at: float
    added_at: float
    asked_at: float | None = None


class Roster:
    """All hosts by name; this one is none of them.

    Parameters
    ----------
    own : Contact
        This host.
    timing : Timing
        From when on a silent host counts as dead.
    """

    def __init__(self, own: Contact, timing: Timing) -> None:
        self.own = own
        self._timing = timing
        self.members: dict[str, Member] = {}
        self._view: dict[str, list[Member]] = {}
        self._hubs: dict[str, list[Contact]] = {}
        self._view_deadline = float("-inf")

    def tell(self, *, leaving: bool, cut: bool) -> None:
        """Note what changed about this host; another one takes its part then."""
        if (leaving, cut) == (self.own.leaving, self.own.store_unreachable):
            return
        self.own = msgspec.structs.replace(
            self.own, leaving=leaving, store_unreachable=cut
        )
        self._view_deadline = float("-inf")

    def direct(self, contact: Contact, now: float) -> bool:
        """Note a message from a host; return whether this run of it is new."""
        known = self.members.get(contact.name)
        fresh = known is None or known.contact.boot != contact.boot
        member = self._note(contact, now, now)
        if member is None:
            return False
        member.asked_at = None
        return fresh

    def relayed(self, contact: Contact, now: float) -> None:
        """Note what another host says of one."""
        self._note(contact, now - contact.age_ms / 1000, now)

    def _note(self, contact: Contact, heard_at: float, now: float) -> Member | None:
        if contact.name == self.own.name:
            return None
        member = self.members.get(contact.name)
        if member is None:
            if now - heard_at > FORGET_S:
                return None
            member = Member(contact, heard_at, now)
            self.members[contact.name] = member
            self._view_deadline = float("-inf")
            return member
        # Of two runs of a host, or two addresses, the one heard last counts.
        if heard_at > member.heard_at:
            if member.contact.boot != contact.boot:
                member.asked_at = None
                self._view_deadline = float("-inf")
            member.contact = contact
            member.heard_at = heard_at
        return member

    def asked(self, name: str, now: float) -> None:
        """Note a message to a host that should be answered."""
        member = self.members.get(name)
        if member is not None and member.asked_at is None:
            member.asked_at = now

    def live(self, now: float) -> list[Member]:
        """Return the hosts that were known to live a moment ago."""
        return [m for members in self._by_place(now).values() for m in members]

    def places(self, now: float) -> list[str]:
        """Return the data centres of the live hosts."""
        return list(self._by_place(now))

    def hubs(self, place: str, now: float) -> list[Contact]:
        """Return the hubs of a data centre, this host among them if it is one.

        A host that does not answer this one is no hub to it, whoever else
        hears it.
        """
        members = self._by_place(now).get(place, [])
        if place in self._hubs:
            return self._hubs[place]
        found = []
        for member in members:
            asked_at = member.asked_at
            if asked_at is None or now - asked_at <= self._timing.host_timeout_s:
                found.append(member.contact)
        if place == self.own.data_centre:
            found.append(self.own)
        self._hubs[place] = sorted(found, key=_rank)[:HUBS]
        return self._hubs[place]

    def followers(self, count: int, now: float) -> list[str]:
        """Return which hosts of this data centre follow the store, by name.

        One that the store turns away hands over to the next; if it turns all
        away, the first ones go on trying.
        """
        contacts = [
            m.contact for m in self._by_place(now).get(self.own.data_centre, [])
        ]
        contacts.append(self.own)
        ordered = sorted(contacts, key=_rank)
        sound = [contact for contact in ordered if not contact.store_unreachable]
        return [contact.name for contact in (sound or ordered)[:count]]

    def is_hub(self, now: float) -> bool:
        """Return whether this host is a hub of its data centre."""
        hubs = self.hubs(self.own.data_centre, now)
        return any(contact.name == self.own.name for contact in hubs)

    def lost(self, now: float) -> list[Member]:
        """Return the hosts that are not heard, but may be back."""
        dead_s = self._timing.host_timeout_s
        return [m for m in self.members.values() if now - m.heard_at >= dead_s]

    def contacts(self, place: str, now: float) -> list[Contact]:
        """Return whom a host of a data centre should know.

        All live hosts of its own, as it chooses the next hub among them, and
        the hubs of the others.
        """
        found = []
        for name, members in self._by_place(now).items():
            hubs = {contact.name for contact in self.hubs(name, now)}
            for member in members:
                if name == place or member.contact.name in hubs:
                    found.append(_aged(member, now))
        return found

    def _by_place(self, now: float) -> dict[str, list[Member]]:
        """Return the live hosts by data centre, as of a moment ago."""
        if now < self._view_deadline:
            return self._view
        self._view_deadline = now + VIEW_S
        self._view = {}
        self._hubs = {}
        dead_s = self._timing.host_timeout_s
        for member in self.members.values():
            if now - member.heard_at < dead_s:
                self._view.setdefault(member.contact.data_centre, []).append(member)
        return self._view

    def forget(self, now: float) -> list[Contact]:
        """Drop the hosts that were not heard for long, and return them."""
        gone = []
        for name, member in list(self.members.items()):
            if now - max(member.heard_at, member.added_at) > FORGET_S:
                gone.append(self.members.pop(name).contact)
        return gone


def _rank(contact: Contact) -> tuple[bool, int, int, str]:
    # The name's checksum spreads hubs over hosts of equal power.
    spread = zlib.crc32(contact.name.encode())
    return (contact.leaving, -contact.capacity, spread, contact.name)


def _aged(member: Member, now: float) -> Contact:
    age_ms = max(0, int((now - member.heard_at) * 1000))
    return msgspec.structs.replace(member.contact, age_ms=age_ms)


__all__ = [
    "HUBS",
    "Member",
    "Roster",
]

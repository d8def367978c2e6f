"""How a shared fleet speaks through SASP without changing it: a group that only clients which know it name.

A load balancer registers the group `.owner/NUMBER/PLEA` before its own ones: the number of its question, and 1 if whom
it was sent to could not be reached. A service that shares nothing refuses that group, which is no harm. One that does
sends, ahead of its weights, one entry of the group `.owner`, quiesced and of weight 0, so that no RPC could ever go
there: its address carries the fencing number (`fd`, seven bytes of zero, eight of the number) and its port the lease in
tenths of a second, or else it is the address of another service that should be asked. From then on the load balancer
says Set LB State a few times a lease: its answer is the service's sign of life, and it is the load balancer's.
"""

from __future__ import annotations

from typing import NamedTuple, Union

from hollyridge.sasp import codec
from hollyridge.sasp.codec import Group, Member, Told, Weight

NAME = ".owner"
MARK = b"\xfd" + b"\0" * 7


class Owned(NamedTuple):
    """`lease` in seconds."""

    fence: int
    lease: float
    by: str = ""


class Redirected(NamedTuple):
    to: str


OwnershipReply = Union[Owned, Redirected]


def question(uid: str, asked: int, plea: bool) -> codec.Register:
    return codec.Register(True, (codec.MembersOf(Group(uid, f"{NAME}/{asked}/{int(plea)}"), ()),))


def question_in(name: str) -> tuple[int, bool] | None:
    """
    >>> question_in(question("gw", 7, True).groups[0].group.name), question_in("read"), question_in(".owner/x/1")
    ((7, True), None, None)
    """
    words = name.split("/")
    if len(words) != 3 or words[0] != NAME or not words[1].isdigit() or words[2] not in ("0", "1"):
        return None
    asked = int(words[1])
    return (asked, words[2] == "1") if 0 < asked < 1 << 63 else None


def entry(uid: str, word: OwnershipReply) -> codec.WeightsOf:
    """
    >>> told = entry("gw", Owned(9, 3.0, "a"))
    >>> word_in((told,))
    Owned(fence=9, lease=3.0, by='a')
    >>> word_in((entry("gw", Redirected("127.0.0.1:3861")),))
    Redirected(to='127.0.0.1:3861')
    """
    if isinstance(word, Owned):
        member = Member(MARK + word.fence.to_bytes(8, "big"), min(round(word.lease * 10), 65535), 0, word.by[:64])
    else:
        host, _, port = word.to.rpartition(":")
        member = Member.at(host.strip("[]"), int(port), protocol=0)
    return codec.WeightsOf(Group(uid, NAME), (Weight(member, 0, int(Told.QUIESCE)),))


def word_in(groups: tuple[codec.WeightsOf, ...]) -> OwnershipReply | None:
    for group, weights in groups:
        if group.name == NAME and weights:
            member = weights[0].member
            if member.address.startswith(MARK):
                return Owned(int.from_bytes(member.address[8:], "big"), member.port / 10, member.label)
            return Redirected(f"{member.host}:{member.port}")
    return None

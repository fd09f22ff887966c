"""What a deployment weighs more when not everybody can be served well."""

import typing

__all__ = ["GOODPUT", "WEIGHINGS", "WORST_SERVED", "Weighing", "find_weighing"]


class Weighing:
    """The two ways in which the decisions differ by deployment.

    :param name: the value of the setting ``policy.weighing``
    :param slack_tokens: how far, in tokens by weight, an account may be
        served ahead of the fairest order so that a cheaper prompt goes
        first; it also bounds how far an account can fall behind
    :param yields: whether a free slot is left to another router's job whose
        account was given less
    """

    __slots__ = ("name", "slack_tokens", "yields")

    def __init__(self, name: str, slack_tokens: int, yields: bool) -> None:
        self.name = name
        self.slack_tokens = slack_tokens
        self.yields = yields


# The strict order: the account that was given least goes next, over all
# routers, even when its prompt is the dearest.
WORST_SERVED: typing.Final = Weighing("worst_served", 0, True)
# Cheaper prompts first within about twenty ordinary requests of 400 tokens;
# a slot is never left free for another router.
GOODPUT: typing.Final = Weighing("goodput", 8_000, False)
WEIGHINGS = (WORST_SERVED, GOODPUT)


def find_weighing(name: str) -> Weighing:
    """Return the weighing that a settings file names.

    :param name: ``worst_served`` or ``goodput``
    :returns: the weighing
    :raises ValueError: for another name
    """
    found = next((one for one in WEIGHINGS if one.name == name), None)
    if found is None:
        raise ValueError(f"unknown weighing: {name}")
    return found

"""Defines how a deployment trades fairness against goodput."""

import typing

__all__ = [
    "GOODPUT",
    "FAIRNESS_MODES",
    "WORST_SERVED",
    "FairnessMode",
    "find_fairness_mode",
]


class FairnessMode:
    """A mode of fairness that a deployment can configure.

    :param name: the value of the setting ``policy.weighing``
    :param slack_tokens: how far, in tokens divided by weight, an account may
        be served ahead of the fair order in favour of a cheaper prompt; also
        bounds how far an account can fall behind
    """

    __slots__ = ("name", "slack_tokens")

    def __init__(self, name: str, slack_tokens: int) -> None:
        self.name = name
        self.slack_tokens = slack_tokens


# Strict fair order: the account with the least service over all routers is
# next, even if its prompt is the most expensive.
WORST_SERVED: typing.Final = FairnessMode("worst_served", 0)
# Cheaper prompts first within about twenty ordinary requests of 400 tokens.
GOODPUT: typing.Final = FairnessMode("goodput", 3_000)
FAIRNESS_MODES = (WORST_SERVED, GOODPUT)


def find_fairness_mode(name: str) -> FairnessMode:
    """Return the fairness mode of a settings value.

    :param name: ``worst_served`` or ``goodput``
    :returns: the fairness mode
    :raises ValueError: for another name
    """
    mode = next((item for item in FAIRNESS_MODES if item.name == name), None)
    if mode is None:
        raise ValueError(f"unknown fairness mode: {name}")
    return mode

"""What a deployment weighs more when not everybody can be served well."""

import typing

__all__ = [
    "GOODPUT",
    "FAIRNESS_MODES",
    "WORST_SERVED",
    "FairnessMode",
    "find_fairness_mode",
]


class FairnessMode:
    """How the decisions differ by deployment.

    :param name: the value of the setting ``policy.weighing``
    :param slack_tokens: how far, in tokens by weight, an account may be
        served ahead of the fairest order so that a cheaper prompt goes
        first; it also bounds how far an account can fall behind
    """

    __slots__ = ("name", "slack_tokens")

    def __init__(self, name: str, slack_tokens: int) -> None:
        self.name = name
        self.slack_tokens = slack_tokens


# The strict order: the account that was given least goes next, over all
# routers, even when its prompt is the dearest.
WORST_SERVED: typing.Final = FairnessMode("worst_served", 0)
# Cheaper prompts first within about twenty ordinary requests of 400 tokens.
GOODPUT: typing.Final = FairnessMode("goodput", 3_000)
FAIRNESS_MODES = (WORST_SERVED, GOODPUT)


def find_fairness_mode(name: str) -> FairnessMode:
    """Return the weighing that a settings file names.

    :param name: ``worst_served`` or ``goodput``
    :returns: the weighing
    :raises ValueError: for another name
    """
    found = next((one for one in FAIRNESS_MODES if one.name == name), None)
    if found is None:
        raise ValueError(f"unknown weighing: {name}")
    return found

"""What VMs tell each other about their mirrors."""

from mulberryway.objects import position

__all__ = ["MirrorSummary"]


class MirrorSummary:
    """The state of one VM's mirror of one kind.

    :param changed: position of the last change; of era 0 also if the VM runs
        a version that knows no eras
    :param carried: digest of the objects that the VM uses in place of the
        store's; 0 if there are none
    """

    __slots__ = ("changed", "carried")

    def __init__(self, changed: position.Position, carried: int = 0) -> None:
        self.changed = changed
        self.carried = carried

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, MirrorSummary):
            return NotImplemented
        return (self.changed, self.carried) == (other.changed, other.carried)

    def __hash__(self) -> int:
        return hash((self.changed, self.carried))

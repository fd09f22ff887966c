"""Interface through which other modules read the active tables."""

import abc
import collections.abc

from mulberryway.tables import model

__all__ = ["TableSource"]


class TableSource(abc.ABC):
    """Provides the newest accepted tables."""

    @abc.abstractmethod
    def get_tables(self) -> model.Tables | None:
        """Return the active tables, or none before the first were received.

        Without tables a process rejects requests and gives that reason; it
        does not fall back to defaults.
        """

    @abc.abstractmethod
    def subscribe(
        self, on_change: collections.abc.Callable[[model.Tables], None]
    ) -> None:
        """Register a function to be called after each change.

        It is called on the thread that makes the change.

        :param on_change: receives the new tables; must return quickly
        """

"""Where the rest of the program reads the tables that are in force."""

import abc
import collections.abc

from mulberryway.tables import model

__all__ = ["TableSource"]


class TableSource(abc.ABC):
    """Holds the newest accepted tables."""

    @abc.abstractmethod
    def read_tables(self) -> model.Tables | None:
        """Return the tables in force, or none before the first are known.

        A process without tables refuses requests and says so; it does not
        guess.
        """

    @abc.abstractmethod
    def subscribe(
        self, on_change: collections.abc.Callable[[model.Tables], None]
    ) -> None:
        """Call a function after each change, on the changing thread.

        :param on_change: gets the new tables; must return quickly
        """

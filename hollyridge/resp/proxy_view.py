"""State of one proxy as derived from the updates that it was sent. No I/O."""

from __future__ import annotations

from hollyridge.store.table_versions import Table


class ProxyView:
    """State of a proxy after the updates written on its connection.

    Attributes:
        table_by_method: Number of the table that each method uses.
        sent_tables: Last value sent of each table, by table number.
    """

    __slots__ = ("sent_tables", "table_by_method")

    def __init__(self) -> None:
        self.table_by_method: dict[int, int] = {}
        self.sent_tables: dict[int, Table] = {}

    def bind(self, table: int, method_mask: int, method_count: int) -> list[int]:
        """Bind the methods of a mask to a table and return them."""
        methods = [method for method in range(method_count) if method_mask >> method & 1]
        for method in methods:
            self.table_by_method[method] = table
        return methods

    def methods_using(self, table: int) -> list[int]:
        """Return the methods that use a table, in the order in which they were first bound."""
        return [method for method, bound in self.table_by_method.items() if bound == table]

    def line_count(self) -> int:
        """Return the number of lines of all sent tables, with one more line per table for its overhead."""
        return sum(1 + len(table) for table in self.sent_tables.values())

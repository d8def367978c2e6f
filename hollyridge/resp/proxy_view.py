"""What one proxy holds, as far as its connection's messages tell. No I/O."""

from __future__ import annotations

from hollyridge.store.table_versions import Table


class ProxyView:
    """What a proxy holds by what was written on its connection.

    Attributes:
        table_by_method: The table that each method uses.
        sent_tables: The value of each table that was written last.
    """

    __slots__ = ("sent_tables", "table_by_method")

    def __init__(self) -> None:
        self.table_by_method: dict[int, int] = {}
        self.sent_tables: dict[int, Table] = {}

    def bind(self, table: int, method_mask: int, method_count: int) -> list[int]:
        """Have the methods of a mask use a table; returns them."""
        methods = [method for method in range(method_count) if method_mask >> method & 1]
        for method in methods:
            self.table_by_method[method] = table
        return methods

    def methods_of(self, table: int) -> list[int]:
        """The methods that use a table, in the order in which they were first bound."""
        return [method for method, bound in self.table_by_method.items() if bound == table]

    def line_count(self) -> int:
        """Lines of all tables that were written, with a head for each."""
        return sum(1 + len(table) for table in self.sent_tables.values())

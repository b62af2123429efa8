"""Classification of SQL text with the parser of PostgreSQL.

The proxy routes a statement by its class. Only statements that the parse tree
proves to be reads may run on a replica; all others count as writes. Parsing is
expensive, so results are cached under the text with its literals replaced by a
placeholder (its shape). Literals are replaced only in texts where a regular
expression is certain to find them.
"""

import dataclasses
import functools
import re

import pglast
from pglast import ast
from pglast import enums
from pglast import visitors

CACHE_ENTRIES = 8192
MAX_CACHED_CHARS = 4096
PROXY_SETTING_PREFIX = "bronzehold."


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Read:
    """A statement that changes nothing and locks nothing."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """A statement that is not proved to be a read.

    Attributes:
        ends: Whether it may end a transaction block in the middle of its
            text.
    """

    ends: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Begin:
    """A statement that starts a transaction block.

    Attributes:
        read_only: Whether the block was declared read-only.
        default_options: Whether the statement has no options but READ ONLY,
            READ WRITE and READ COMMITTED, so that the proxy may choose the
            endpoint at the block's first statement.
    """

    read_only: bool
    default_options: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """A statement that commits a transaction block."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rollback:
    """A statement that rolls a transaction block back."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetVar:
    """A statement that sets a variable.

    Attributes:
        name: The variable's name.
        value: The variable's value as text.
        local: Whether the value lasts only until the end of the transaction.
        sql: The whole statement, for repetition on other connections.
    """

    name: str
    value: str
    local: bool
    sql: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShowVar:
    """A statement that shows a variable.

    Attributes:
        name: The variable's name.
    """

    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResetVars:
    """A statement that resets one or all variables of the session.

    Attributes:
        tag: The command tag of its answer: DISCARD ALL or RESET.
        name: The variable's name, "" for all variables.
    """

    tag: str
    name: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """A statement that needs state which a shared connection cannot keep.

    Attributes:
        what: The unsupported feature, for the error message.
    """

    what: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Empty:
    """A text without any statement: blank or only comments."""


Statement = (
    Read
    | Write
    | Begin
    | Commit
    | Rollback
    | SetVar
    | ShowVar
    | ResetVars
    | Refused
    | Empty
)

# Built-in functions that neither write nor lock. Calls of any other function
# make a statement a write.
_READ_FUNCTIONS = frozenset(
    (
        "abs",
        "array_agg",
        "array_length",
        "avg",
        "bit_length",
        "btrim",
        "ceil",
        "ceiling",
        "char_length",
        "coalesce",
        "concat",
        "concat_ws",
        "count",
        "current_database",
        "current_schema",
        "date_part",
        "date_trunc",
        "dense_rank",
        "exp",
        "extract",
        "first_value",
        "floor",
        "format",
        "greatest",
        "json_agg",
        "json_build_object",
        "jsonb_agg",
        "jsonb_build_object",
        "lag",
        "last_value",
        "lead",
        "least",
        "left",
        "length",
        "ln",
        "log",
        "lower",
        "lpad",
        "ltrim",
        "max",
        "md5",
        "min",
        "mod",
        "now",
        "nullif",
        "pg_sleep",
        "position",
        "power",
        "rank",
        "regexp_replace",
        "repeat",
        "replace",
        "reverse",
        "right",
        "round",
        "row_number",
        "rpad",
        "rtrim",
        "sign",
        "split_part",
        "sqrt",
        "string_agg",
        "strpos",
        "substr",
        "substring",
        "sum",
        "timezone",
        "to_char",
        "to_date",
        "to_number",
        "to_timestamp",
        "translate",
        "trim",
        "trunc",
        "unnest",
        "upper",
        "version",
    )
)
# Built-in functions that change the state of the session.
_SESSION_FUNCTIONS = frozenset(
    (
        "set_config",
        "pg_advisory_lock",
        "pg_advisory_lock_shared",
        "pg_try_advisory_lock",
        "pg_try_advisory_lock_shared",
        "pg_advisory_unlock",
        "pg_advisory_unlock_all",
        "pg_advisory_unlock_shared",
    )
)
# Matches syntax in which _LITERAL could match something other than a literal.
_AMBIGUOUS_QUOTING = re.compile(r"""[\\$"]|--|/\*""")
_LITERAL = re.compile(r"'[^']*'|\b\d+(?:\.\d+)?\b")


def classify(text: str) -> Statement:
    """Classifies a text; several statements get one combined class."""
    if len(text) > MAX_CACHED_CHARS:
        return _parse(text)
    if not _has_plain_literals(text):
        return _parse_cached(text)
    return _parse_cached_shape(shape_of(text), _UnkeyedText(text))


def _has_plain_literals(text: str) -> bool:
    return not _AMBIGUOUS_QUOTING.search(text) and text[:7].upper().startswith(
        ("SELECT", "INSERT", "UPDATE", "DELETE")
    )


def shape_of(text: str) -> str:
    """Returns a text with its literals replaced by 0.

    The text is returned unchanged if its literals cannot be found for certain.
    """
    return _LITERAL.sub("0", text) if _has_plain_literals(text) else text


class _UnkeyedText(str):
    """A string that equals every other of its type.

    As an argument of a cached function it does not affect the cache's key.
    """

    __slots__ = ()

    def __eq__(self, other):
        return isinstance(other, _UnkeyedText)

    def __hash__(self):
        return 0


@functools.lru_cache(CACHE_ENTRIES)
def _parse_cached_shape(_shape: str, text: _UnkeyedText) -> Statement:
    return _parse(str(text))


@functools.lru_cache(CACHE_ENTRIES)
def _parse_cached(text: str) -> Statement:
    return _parse(text)


def _parse(text: str) -> Statement:
    try:
        nodes = [raw.stmt for raw in pglast.parse_sql(text)]
    except pglast.parser.ParseError:
        # The endpoint reports the syntax error to the caller.
        return Write()
    if not nodes:
        return Empty()
    found = [_statement(node, text) for node in nodes]
    if len(found) == 1:
        return found[0]
    return _combine(found)


def _combine(found: list[Statement]) -> Statement:
    for item in found:
        match item:
            case Refused():
                return item
            case SetVar(local=False) | ResetVars():
                return Refused(what="SET among several statements")
    if all(isinstance(item, Read | Empty) for item in found):
        return Read()
    ends = any(isinstance(item, Commit) for item in found)
    return Write(ends=ends)


def _statement(node: ast.Node, text: str) -> Statement:
    match node:
        case ast.SelectStmt():
            return _select(node)
        case ast.TransactionStmt():
            return _transaction(node)
        case ast.VariableSetStmt():
            return _variable(node, text)
        case ast.VariableShowStmt():
            return ShowVar(name=node.name)
        case ast.DiscardStmt():
            return ResetVars(tag="DISCARD ALL")
        case ast.PrepareStmt() | ast.ExecuteStmt() | ast.DeallocateStmt():
            return Refused(what="PREPARE as a statement")
        case ast.ListenStmt() | ast.UnlistenStmt():
            return Refused(what="LISTEN")
        case ast.DeclareCursorStmt() if node.options & _CURSOR_OPT_HOLD:
            return Refused(what="a cursor WITH HOLD")
        case ast.CopyStmt():
            return Refused(what="COPY")
        case ast.LoadStmt():
            return Refused(what="LOAD")
        case ast.LockStmt() | ast.CreateTableAsStmt():
            return _write_unless_temporary(getattr(node, "into", None), "rel")
        case ast.CreateStmt() | ast.ViewStmt() | ast.CreateSeqStmt():
            name = {
                ast.CreateStmt: "relation",
                ast.ViewStmt: "view",
                ast.CreateSeqStmt: "sequence",
            }[type(node)]
            return _write_unless_temporary(node, name)
        case _:
            return _write_unless_session_state(node)


_CURSOR_OPT_HOLD = (
    enums.CURSOR_OPT_HOLD if hasattr(enums, "CURSOR_OPT_HOLD") else 0x20
)


def _write_unless_temporary(node, name: str) -> Statement:
    rel = getattr(node, name, None) if node is not None else None
    if rel is not None and rel.relpersistence == "t":
        return Refused(what="a temporary table")
    return Write()


class _WriteFinder(visitors.Visitor):
    """Finds the parts of a statement that keep it from being a read.

    Attributes:
        writes: Whether the statement may write or lock rows.
        refused: The unsupported feature that it uses, "" for none.
    """

    def __init__(self):
        super().__init__()
        self.writes = False
        self.refused: str = ""

    def visit_SelectStmt(self, _ancestors, node):
        if node.lockingClause or node.intoClause:
            self.writes = True
        into = node.intoClause
        if into is not None and into.rel.relpersistence == "t":
            self.refused = "a temporary table"

    def visit_InsertStmt(self, _ancestors, _node):
        self.writes = True

    def visit_UpdateStmt(self, _ancestors, _node):
        self.writes = True

    def visit_DeleteStmt(self, _ancestors, _node):
        self.writes = True

    def visit_MergeStmt(self, _ancestors, _node):
        self.writes = True

    def visit_FuncCall(self, _ancestors, node):
        name = node.funcname[-1].sval.lower()
        if name in _SESSION_FUNCTIONS:
            self.refused = name
        built_in = (
            len(node.funcname) == 1 or node.funcname[0].sval == "pg_catalog"
        )
        if not built_in or name not in _READ_FUNCTIONS:
            self.writes = True


def _select(node: ast.SelectStmt) -> Statement:
    finder = _WriteFinder()
    finder(node)
    if finder.refused:
        return Refused(what=finder.refused)
    return Write() if finder.writes else Read()


def _write_unless_session_state(node: ast.Node) -> Statement:
    finder = _WriteFinder()
    finder(node)
    return Refused(what=finder.refused) if finder.refused else Write()


def _transaction(node: ast.TransactionStmt) -> Statement:
    kind = enums.TransactionStmtKind
    match node.kind:
        case kind.TRANS_STMT_BEGIN | kind.TRANS_STMT_START:
            return _begin(node)
        case kind.TRANS_STMT_COMMIT if not node.chain:
            return Commit()
        case kind.TRANS_STMT_ROLLBACK if not node.chain:
            return Rollback()
        case kind.TRANS_STMT_PREPARE:
            return Refused(what="PREPARE TRANSACTION")
        case _:
            return Write(ends=True)


def _begin(node: ast.TransactionStmt) -> Statement:
    read_only = False
    default_options = True
    for option in node.options or ():
        value = getattr(option.arg, "val", None)
        match option.defname:
            case "transaction_read_only":
                read_only = bool(getattr(value, "ival", 0))
            case "transaction_isolation":
                default_options = (
                    default_options and value.sval == "read committed"
                )
            case _:
                default_options = False
    return Begin(read_only=read_only, default_options=default_options)


def _variable(node: ast.VariableSetStmt, text: str) -> Statement:
    kind = enums.VariableSetKind
    match node.kind:
        case kind.VAR_SET_VALUE:
            value = ", ".join(_constant(arg) for arg in node.args)
            sql = text.strip().rstrip(";")
            return SetVar(
                name=node.name,
                value=value,
                local=bool(node.is_local),
                sql=sql,
            )
        case kind.VAR_RESET | kind.VAR_SET_DEFAULT:
            return ResetVars(tag="RESET", name=node.name)
        case kind.VAR_RESET_ALL:
            return ResetVars(tag="RESET")
        case _:
            # SET TRANSACTION and similar statements apply to the current
            # block, so they must run on its connection.
            return Write()


def _constant(arg) -> str:
    value = getattr(arg, "val", arg)
    for field in ("sval", "fval", "ival", "boolval"):
        found = getattr(value, field, None)
        if found is not None:
            return str(found)
    return ""

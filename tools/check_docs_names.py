#!/usr/bin/env python3
"""Checks that every name in backquotes in the documentation exists in the repository.

The script reads README.md and docs/**/*.md, without fenced and indented code blocks. It treats as names:

    folder/file.cpp, folder/     a path that begins with a folder of the repository or of src/, has one of the
                                 extensions in FILE_EXTENSION, or ends in a slash; `*`, `{a,b}` and a line
                                 number are allowed
    file.cpp                     a file name without a folder, with one of the extensions in FILE_NAME
    Type                         a word in CamelCase: a type or a test suite
    Type::member, space::name    a qualified name; template arguments and an argument list are allowed
    function(), member_          a function or macro; a private member
    snake_case                   a word with an underscore inside: a declaration, a string literal of src/, a
                                 trace, or one of EXTERNAL_IDENTIFIERS
    Suite.Test, Prefix/Suite.Test

It ignores text that does not refer to the repository:

    - names in the namespaces of libraries (`std::`, ...);
    - words in CamelCase that are a string literal of src/ (names on the wire), and paths ending in a slash
      whose first folder begins such a literal (key prefixes in the store);
    - paths that begin with a slash (HTTP) or lie under target/ (build output), and .toml, .json and .txt
      files without a folder (files of the reader);
    - everything else: commands, settings, log lines and plain words in lower case.

    tools/check_docs_names.py               prints page:line: name for each missing name; exits with 1 if any
    tools/check_docs_names.py --self-test   checks these rules on examples
"""
import collections
import pathlib
import re
import sys
import tempfile

CODE_FOLDERS = ("src", "tests")
NAME_FOLDERS = ("src", "tests", "docs", "deploy", "tools", "journal", ".ci")
# Folders that a path may omit at its start, as #include lines do.
PATH_ROOTS = ("", "src", "tests", "docs", "deploy")
# Incident reports and the history of measured runs name the code as it was when they were written.
SKIPPED_PAGES = ("docs/incidents/", "docs/results.md")
LIBRARY_NAMESPACES = {"std", "boost", "asio", "beast", "json", "spdlog", "testing", "toml", "CLI", "icl", "chrono"}
# Words with an underscore that are not declared in this repository: C++ keywords, names of libraries, and
# rules of the users' benchmark.
EXTERNAL_IDENTIFIERS = {"co_await", "co_return", "co_spawn", "lru_cache", "ran_twice", "ran_cancelled",
                        "wrong_place", "not_done", "went_back"}
FILE_NAME = re.compile(r"[\w.-]+\.(?:cpp|hpp|md|py|sh|trace)")
FILE_EXTENSION = re.compile(r"\.(?:cpp|hpp|md|py|sh|trace|toml|json|txt)$")
CAMEL_CASE = re.compile(r"[A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*")
TEST_MACROS = {"TEST", "TEST_F", "TEST_P", "TYPED_TEST", "TYPED_TEST_P"}
KEYWORDS = {"if", "for", "while", "switch", "catch", "return", "sizeof", "alignof", "decltype", "noexcept", "do",
            "else", "new", "delete", "throw", "case", "default", "operator", "co_await", "co_return", "co_yield",
            "const", "constexpr", "static", "inline", "void", "bool", "int", "double", "auto", "char", "true",
            "false", "nullptr", "this", "typename", "template", "requires", "public", "private", "protected"}
TOKEN = re.compile(r"[A-Za-z_]\w*|::|[{}()\[\];,=<>:]|[^\s\w]|\d[\w.']*")
LITERAL_OR_COMMENT = re.compile(
    r'R"(?P<delimiter>[^\s()\\]*)\((?P<raw>.*?)\)(?P=delimiter)"|"(?P<plain>(?:\\.|[^"\\\n])*)"'
    r"|'(?:\\.|[^'\\\n])+'(?!\w)|//[^\n]*|/\*.*?\*/", re.S)


class CodeIndex:
    """Index of the names declared in the sources by scope, and of tests, functions and string literals."""

    def __init__(self):
        self.members = collections.defaultdict(set)  # qualified scope (tuple) -> names declared in it
        self.bases = collections.defaultdict(set)  # type or alias -> its base or aliased types
        self.types = set()
        self.callables = set()
        self.tests = set()  # "Suite.Test"
        self.suites = set()
        self.prefixes = collections.defaultdict(set)  # suite -> prefixes of INSTANTIATE_TEST_SUITE_P
        self.literals = set()

    def add_source(self, text, is_src):
        def blank_out(match):
            literal = match["plain"] if match["plain"] is not None else match["raw"]
            if literal is not None and is_src:
                self.literals.add(literal)
            return "\n" * match[0].count("\n") if literal is None else '""'

        text = LITERAL_OR_COMMENT.sub(blank_out, text)
        for macro in re.findall(r"^\s*#\s*define\s+(\w+)\(", text, re.M):
            self.callables.add(macro)
        text = re.sub(r"^[ \t]*#(?:\\\n|[^\n])*", "", text, flags=re.M)
        self.add_tests(text)
        self.add_scopes(TOKEN.findall(text))

    def add_tests(self, text):
        for macro, suite, test in re.findall(r"\b(\w+)\(\s*(\w+)\s*,\s*(\w+)\s*\)\s*\{", text):
            if macro in TEST_MACROS:
                self.suites.add(suite)
                self.tests.add(f"{suite}.{test}")
        for prefix, suite in re.findall(r"\bINSTANTIATE_TEST_SUITE_P\(\s*(\w+)\s*,\s*(\w+)", text):
            self.prefixes[suite].add(prefix)

    def add_scopes(self, tokens):
        """Tracks braces and records the names declared directly in a namespace, class or enumeration."""
        stack = []  # for each open brace: kind, names added to the scope, depth and statement to resume
        scope = ()
        statement = []  # tokens since the last ";", "{" or "}" of this scope
        depth = 0  # nesting of "(" and "[" within the statement

        for token in tokens:
            kind = stack[-1][0] if stack else "namespace"
            if token == "{":
                new_kind, names = self.classify_brace(statement, kind) if depth == 0 else ("code", ())
                if kind != "code" and new_kind != "namespace":
                    self.add_declarations(scope, statement)
                # The statement continues after a braced argument or initializer, but not after a body.
                statement_continues = new_kind == "code" and (depth > 0 or "(" not in statement)
                stack.append((new_kind, names, depth, statement if statement_continues else []))
                scope += names
                statement, depth = [], 0
            elif token == "}":
                if not stack:
                    continue
                if kind == "enum":
                    self.add_enumerators(scope, statement)
                _, names, depth, statement = stack.pop()
                scope = scope[:len(scope) - len(names)]
            elif token == ";" and depth == 0:
                if kind not in ("code", "enum"):
                    self.add_declarations(scope, statement)
                statement = []
            elif kind == "class" and token == ":" and statement in (["public"], ["private"], ["protected"]):
                statement = []
            else:
                depth += (token in "([") - (token in ")]")
                statement.append(token)

    def classify_brace(self, statement, kind):
        """Returns the kind of block that a brace after these tokens opens, and the names it adds."""
        if kind == "code":
            return "code", ()
        head = self.strip_template_head(statement)
        if "namespace" in head[:2]:
            return "namespace", tuple(t for t in head[head.index("namespace") + 1:] if re.match(r"[A-Za-z_]", t))
        if head[:1] == ["extern"]:
            return "namespace", ()
        for keyword in ("enum", "class", "struct", "union"):
            if keyword in head and "(" not in head[:head.index(keyword)] and "=" not in head:
                names = [t for t in self.strip_base_clause(head) if re.match(r"[A-Za-z_]", t)
                         and t not in ("enum", "class", "struct", "union", "final", "static", "const", "friend",
                                       "typedef")]
                if "(" in self.strip_base_clause(head):
                    break  # a function that returns a struct
                self.add_bases(head, names)
                return ("enum" if "enum" in head else "class"), tuple(names)
        return "code", ()

    @staticmethod
    def strip_template_head(statement):
        while statement[:1] == ["template"]:
            depth = 0
            for index, token in enumerate(statement[1:], 1):
                depth += (token == "<") - (token == ">")
                if depth == 0:
                    statement = statement[index + 1:]
                    break
            else:
                return []
        return statement

    @staticmethod
    def strip_base_clause(head):
        return head[:head.index(":")] if ":" in head else head

    def add_bases(self, head, names):
        if not names:
            return
        self.types.add(names[-1])
        if ":" in head and "enum" not in head:
            self.bases[names[-1]].update(t for t in head[head.index(":") + 1:] if re.match(r"[A-Za-z_]", t))

    def add_enumerators(self, scope, tokens):
        expects_name = True
        for token in tokens:
            if expects_name and re.match(r"[A-Za-z_]", token):
                self.members[scope].add(token)
            expects_name = token == ","

    def add_declarations(self, scope, statement):
        """Records the names that a statement of a namespace or class declares."""
        statement = self.strip_template_head(statement)
        if not statement:
            return
        if statement[0] in ("class", "struct", "union", "enum") and "(" not in statement:
            names = [t for t in self.strip_base_clause(statement) if re.match(r"[A-Za-z_]", t)]
            self.types.add(names[-1])
            self.members[scope].add(names[-1])
            return
        if statement[0] in ("using", "concept", "namespace", "typedef"):
            if statement[0] == "using" and "=" not in statement:
                self.members[scope].add(statement[-1])
                return
            name = statement[-1] if statement[0] == "typedef" else statement[1]
            self.types.add(name)
            self.members[scope].add(name)
            self.bases[name].update(t for t in statement[2:] if re.match(r"[A-Za-z_]", t))
            return
        # A declared name is followed by one of the tokens tested below; the type before it is not. Scanning
        # stops at the arguments or the initializer.
        depth = angle_depth = 0
        for index, token in enumerate(statement):
            next_token = statement[index + 1] if index + 1 < len(statement) else ";"
            if re.match(r"[A-Za-z_]", token) and depth == 0 and token not in KEYWORDS:
                if next_token == "(" and angle_depth == 0:
                    self.callables.add(token)
                    qualifiers = self.preceding_qualifiers(statement, index)
                    self.members[scope + qualifiers].add(token)
                    return  # arguments and initializers declare nothing in this scope
                if next_token in (";", "=", ",", "[", ":", "{") and angle_depth == 0:
                    self.members[scope + self.preceding_qualifiers(statement, index)].add(token)
            if token == "=" and depth == 0 and statement[index - 1] != "operator":
                return
            depth += (token in "([") - (token in ")]")
            angle_depth += (token == "<") - (token == ">")

    @staticmethod
    def preceding_qualifiers(statement, index):
        qualifiers = ()
        while index >= 2 and statement[index - 1] == "::" and re.match(r"[A-Za-z_]", statement[index - 2]):
            qualifiers = (statement[index - 2],) + qualifiers
            index -= 2
        return qualifiers

    def has_qualified_name(self, parts, visited=frozenset()):
        """Returns whether parts[-1] is declared in the scope parts[:-1], or in its base or aliased types."""
        scope, name = tuple(parts[:-1]), parts[-1]
        if any(name in names for declared, names in self.members.items() if declared[-len(scope):] == scope):
            return True
        if any(declared[-len(parts):] == tuple(parts) for declared in self.members):
            return True
        related_types = self.bases.get(scope[-1], set()) - visited
        return any(self.has_qualified_name([related_type, name], visited | {scope[-1]})
                   for related_type in related_types)

    def has_test(self, name):
        prefix, _, test = name.rpartition("/")
        return test in self.tests and (not prefix or prefix in self.prefixes[test.split(".")[0]])


class Checker:
    """Decides whether a text in backquotes is a name, and whether the repository has it."""

    def __init__(self, root):
        self.root = pathlib.Path(root)
        self.index = CodeIndex()
        for folder in CODE_FOLDERS:
            for path in sorted((self.root / folder).rglob("*.[ch]pp")):
                self.index.add_source(path.read_text(), folder == "src")
        self.declared = self.index.callables.union(*self.index.members.values())
        self.traces = {path.stem for path in (self.root / "tests").rglob("*.trace")}
        self.file_names = {path.name for folder in NAME_FOLDERS for path in (self.root / folder).rglob("*")}
        self.file_names.update(path.name for path in self.root.iterdir())
        self.folders = {path.name for parent in ("", "src") for path in (self.root / parent).glob("*")
                        if path.is_dir() and path.name != "target"} | set(NAME_FOLDERS)

    def is_missing(self, text):
        """Returns whether the text has the form of a name but nothing with that name exists."""
        if re.fullmatch(r"(?:\w+/)?[A-Z]\w*\.[A-Z]\w*", text):
            return not self.index.has_test(text)
        if FILE_NAME.fullmatch(text):
            return text not in self.file_names
        if re.fullmatch(r"[\w.*{},-]+(?:/[\w.*{},-]+)*/?(?::\d+)?", text) and "/" in text:
            return self.path_is_missing(text)
        return self.code_name_is_missing(text)

    def path_is_missing(self, text):
        text = re.sub(r":\d+$", "", text)
        first_folder = text.split("/")[0]
        if first_folder == "target":
            return False
        if text.endswith("/") and any(literal.startswith(first_folder + "/") for literal in self.index.literals):
            return False  # a key prefix in the store
        if not (first_folder in self.folders or text.endswith("/") or FILE_EXTENSION.search(text)):
            return False
        return not all(self.path_exists(path) for path in expand_braces(text.rstrip("/")))

    def path_exists(self, path):
        return any(next((self.root / path_root).glob(path), None) for path_root in PATH_ROOTS)

    def code_name_is_missing(self, text):
        name = re.sub(r"<.*>", "", text)
        call_match = re.fullmatch(r"([\w:~]+)\(.*\)", name)
        name = call_match[1] if call_match else name
        if re.fullmatch(r"[A-Za-z_]\w*(?:::~?[A-Za-z_]\w*)+", name):
            parts = name.split("::")
            return parts[0] not in LIBRARY_NAMESPACES and not self.index.has_qualified_name(parts)
        if call_match:
            return re.fullmatch(r"\w+", name) is not None and name not in self.index.callables | self.index.types
        if re.fullmatch(r"[a-z][a-z0-9]*_", name):
            return name not in self.declared
        if re.fullmatch(r"[a-z][a-z0-9]*(?:_[a-z0-9]+)+_?", name):
            return name not in self.declared | self.index.literals | self.traces | EXTERNAL_IDENTIFIERS
        if CAMEL_CASE.fullmatch(name):
            return name not in self.index.types | self.index.suites | self.index.literals
        return False


def expand_braces(text):
    braces = re.search(r"\{([^{}]*)\}", text)
    if not braces:
        return [text]
    return [path for alternative in braces[1].split(",")
            for path in expand_braces(text[:braces.start()] + alternative + text[braces.end():])]


def code_spans(text):
    """Yields (line, text) for each text in backquotes outside code blocks; a text may span several lines."""
    prose_lines, fence, previous_blank = [], None, True
    for line in text.split("\n"):
        opening = re.match(r"\s*(```+|~~~+)", line)
        indented = re.match(r"(?: {4}|\t)", line) and (previous_blank or prose_lines[-1] is None)
        if fence or opening or indented:
            if opening:
                fence = None if fence and opening[1].startswith(fence) else fence or opening[1]
            prose_lines.append(None)
        else:
            prose_lines.append(line)
        previous_blank = not line.strip()
    prose = "\n".join(line or "" for line in prose_lines)
    for match in re.finditer(r"(?<!`)(`+)(?!`)((?:[^\n]|\n(?!\n))+?)(?<!`)\1(?!`)", prose):
        yield prose.count("\n", 0, match.start()) + 1, " ".join(match[2].split())


def find_missing_names(root):
    checker = Checker(root)
    pages = [pathlib.Path(root) / "README.md", *sorted((pathlib.Path(root) / "docs").rglob("*.md"))]
    for page in pages:
        page_path = page.relative_to(root).as_posix()
        if not page_path.startswith(SKIPPED_PAGES):
            for line, name in code_spans(page.read_text()):
                if checker.is_missing(name):
                    yield f"{page_path}:{line}: {name}"


EXAMPLE_SOURCES = {
    "src/cluster/job_table.hpp": """
        // class OnlyInAComment {};
        namespace pineroad::cluster {
        enum class JobState : int { pending, running = 2 };
        struct Base { int inherited() const; };
        template <typename Entry>
        class JobTable : public Base {
           public:
            explicit JobTable(int size) : size_(size) { local_in_body(); }
            const Entry& find(const std::string& id) const { return entries_.at(id); }
            struct Row { double width = 1; std::map<std::string, int> counts; };
            using Key = std::string;
            Row first, second;
           private:
            std::map<std::string, Entry> entries_;
            int size_{3};
        };
        using JobMap = JobTable<int>;
        double xfactor(double wait_s, double estimate_s);
        inline constexpr double reserve_s = 4.0;
        }  // namespace pineroad::cluster
        """,
    "src/cluster/job_table.cpp": """
        #include "cluster/job_table.hpp"
        namespace pineroad::cluster {
        namespace { int local_helper(int argument) { const int inner = argument; return inner; } }
        double xfactor(double wait_s, double estimate_s) { return wait_s / estimate_s; }
        const char* key = "WaitsOn"; const char* prefix = "pr/live/"; const char* setting = "write_rps";
        const int digits = 1'000; const char quote = '"'; class AfterAQuote {};
        }
        """,
    "tests/job_table_test.cpp": """
        namespace { class Fixture : public ::testing::Test {}; }
        TEST(JobTableTest, FindsJobs) { EXPECT_EQ(1, 1); }
        TEST_P(Limits, AreKept) {}
        INSTANTIATE_TEST_SUITE_P(Small, Limits, testing::Values(1));
        """,
    "tests/traces/quiet.trace": "",
    "tests/traces/failing_job.trace": "",
    "docs/design.md": "",
    "lint.sh": "",
}
EXISTING_OR_IGNORED = """
    src/cluster/job_table.hpp cluster/job_table.hpp job_table.cpp job_table.cpp:12 src/cluster/ cluster/ tests/traces
    tests/traces/*.trace cluster/job_table.{hpp,cpp} quiet.trace lint.sh docs/design.md design.md
    JobTable JobState JobMap JobTable<int> JobTable::find JobTable::find() JobTable::find(id) JobTable::entries_
    JobTable::size_ JobTable::first JobTable::second JobTable::Row JobTable::Row::width JobTable::Row::counts
    JobTable::Key JobTable::inherited JobMap::find JobState::pending JobState::running cluster::JobTable
    pineroad::cluster::JobTable::find cluster::xfactor xfactor() local_helper() entries_ cluster::reserve_s
    AfterAQuote Fixture JobTableTest JobTableTest.FindsJobs Limits.AreKept Small/Limits.AreKept
    std::string boost::system::result json::value WaitsOn pr/live/ pr/live/term /do target/test target/ settings.toml
    GET POST LOG_LEVEL LOG_LEVEL=debug write_rps failing_job local_helper reserve_s ran_twice
    state.write_rps idle-hold done co_await --tuning j- Retry-After 503
    """.split() + ["GET /up", "term N ended: ...", "pineroad check", "cancel_s - lease_s - 4 s"]
MISSING = """
    src/cluster/other.hpp cluster/other.hpp other.cpp src/other/ other/ tests/traces/loud.trace tests/x*.trace
    cluster/job_table.{hpp,ipp} docs/none.md none.md src/cluster/job_table docs/days/none.toml
    OnlyInAComment NoType JobTable::lose JobTable::lose() JobTable::argument JobTable::inner JobTable::local_in_body
    JobTable::size JobState::done JobTable::Row::height cluster::none none::xfactor cluster::inner xfactors()
    gone_ local_helpers write_rpm failing_jobs lease_until_
    JobTableTest.LosesJobs Limits.AreBroken Large/Limits.AreKept NoSuite.Test JobMap::lose
    """.split()
EXAMPLE_PAGE = """Text `a` and ``b`c``, `over
a line`.

    indented `code`

```
fenced `code`
```
- item

    `still` code
Last `d`.
"""


def self_test():
    failures = []
    with tempfile.TemporaryDirectory() as root:
        for name, text in EXAMPLE_SOURCES.items():
            path = pathlib.Path(root) / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        checker = Checker(root)
        failures += [f"reported, but exists or is not a name: {n}" for n in EXISTING_OR_IGNORED
                     if checker.is_missing(n)]
        failures += [f"not reported: {n}" for n in MISSING if not checker.is_missing(n)]
        (pathlib.Path(root) / "README.md").write_text("One\n`NoType` and `JobTable`\n")
        (pathlib.Path(root) / "docs/results.md").write_text("`NoType`\n")
        (pathlib.Path(root) / "docs/incidents").mkdir()
        (pathlib.Path(root) / "docs/incidents/one.md").write_text("`NoType`\n")
        findings = list(find_missing_names(root))
        if findings != ["README.md:2: NoType"]:
            failures.append(f"unexpected findings on the example pages: {findings}")
    names = list(code_spans(EXAMPLE_PAGE))
    if names != [(1, "a"), (1, "b`c"), (1, "over a line"), (12, "d")]:
        failures.append(f"unexpected names on the example page: {names}")
    print("\n".join(failures) if failures else "self-test passed")
    return 1 if failures else 0


def main():
    if sys.argv[1:] == ["--self-test"]:
        return self_test()
    if sys.argv[1:]:
        print(__doc__)
        return 2
    findings = list(find_missing_names(pathlib.Path(__file__).resolve().parent.parent))
    print("\n".join(findings + ["the documentation contains names that do not exist"]) if findings else
          "all names in the documentation exist")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())

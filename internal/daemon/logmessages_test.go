package daemon

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// repositoryRoot is where the sources and the pages stand, seen from this package.
const repositoryRoot = "../.."

// logKeys are the keys that log lines may have. A new one is added here once none of these fits.
var logKeys = []string{
	"address", "attempt", "class", "controller", "created", "decision", "duration", "epoch", "error", "image",
	"job", "job_count", "key", "later_term", "level", "machine", "machine_count", "machines", "missing", "new_epoch",
	"operation_limit", "operations", "owners", "page_count", "peer", "preemptor", "reason", "refused", "request_id",
	"since_placed", "status", "succeeded", "supported_level", "target_machine", "task", "task_count", "tasks_per_page",
	"term", "tries", "value_limit_kb", "waited", "writes_in_flight",
	// The time that steps took.
	"kind", "count", "mean_us", "p50_us", "p99_us", "max_us",
	// How machines are used.
	"arrays", "booting", "empty", "free", "ordinary", "silent", "unused", "up", "used", "wanted",
	// The load test's.
	"condition", "fault", "size", "timeout", "vary",
}

// logLine is a call in the sources that writes a line of the log, or adds keys to those of a logger.
type logLine struct {
	position token.Position
	level    string // the method: "Info", "Error", ...; "With" writes nothing
	message  string
	keys     []string
}

// TestLogMessages demands that log lines are of one style and that the page for on-call engineers has all of them.
func TestLogMessages(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/operations.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := documentedMessages(string(page))
	style := regexp.MustCompile(`^[a-z][a-z -]*[a-z]$`)
	logged := map[string]bool{}
	for _, line := range findLogLines(t) {
		for _, key := range line.keys {
			if !slices.Contains(logKeys, key) {
				t.Errorf("%s: key %q is not one of logKeys", line.position, key)
			}
		}
		if line.level == "With" {
			continue
		}
		if !style.MatchString(line.message) {
			t.Errorf("%s: message %q is not words in lower case", line.position, line.message)
		}
		if line.level == "Debug" {
			continue
		}
		logged[line.message] = true
		row, ok := documented[line.message]
		if !ok {
			t.Errorf("%s: message %q is not in docs/operations.md", line.position, line.message)
			continue
		}
		for _, key := range line.keys {
			if !strings.Contains(row, "`"+key+"`") {
				t.Errorf("%s: docs/operations.md does not name the key %q of %q", line.position, key, line.message)
			}
		}
	}
	if len(logged) == 0 {
		t.Fatal("no log lines found: the test shows nothing")
	}
	for _, message := range slices.Sorted(maps.Keys(documented)) {
		if !logged[message] {
			t.Errorf("docs/operations.md has the message %q, which nothing logs", message)
		}
	}
}

// documentedMessages returns the second cells, with the keys, of the rows of the page's tables of messages, by the
// message in the first cell. These tables stand between two headings.
func documentedMessages(page string) map[string]string {
	_, section, _ := strings.Cut(page, "## Log messages\n")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string]string{}
	row := regexp.MustCompile("(?m)^\\| `([^`]+)` \\|([^|]*)\\|")
	for _, match := range row.FindAllStringSubmatch(section, -1) {
		rows[match[1]] = match[2]
	}
	return rows
}

// findLogLines returns all log lines of the sources but those of tests.
func findLogLines(t *testing.T) []logLine {
	t.Helper()
	var lines []logLine
	files := token.NewFileSet()
	for _, dir := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok && isLogCall(call) {
					lines = append(lines, readLogLine(t, files, call))
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return lines
}

// isLogCall reports whether a method of a logger is called: of a variable or field of that name.
func isLogCall(call *ast.CallExpr) bool {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error", "With"}, method.Sel.Name) {
		return false
	}
	var receiver string
	switch x := method.X.(type) {
	case *ast.Ident:
		receiver = x.Name
	case *ast.SelectorExpr:
		receiver = x.Sel.Name
	}
	return slices.Contains([]string{"log", "logger", "slog"}, strings.ToLower(receiver))
}

// readLogLine returns the message and the keys of a call, which must be constant.
func readLogLine(t *testing.T, files *token.FileSet, call *ast.CallExpr) logLine {
	t.Helper()
	line := logLine{position: files.Position(call.Pos())}
	if method, ok := call.Fun.(*ast.SelectorExpr); ok {
		line.level = method.Sel.Name
	}
	pairs := call.Args
	if line.level != "With" && len(pairs) > 0 {
		line.message = constantText(t, files, pairs[0])
		pairs = pairs[1:]
	}
	for i := 0; i < len(pairs); i += 2 {
		line.keys = append(line.keys, constantText(t, files, pairs[i]))
	}
	return line
}

// constantText returns the value of a string literal.
func constantText(t *testing.T, files *token.FileSet, x ast.Expr) string {
	t.Helper()
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		t.Errorf("%s: a message or key is not a literal", files.Position(x.Pos()))
		return ""
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

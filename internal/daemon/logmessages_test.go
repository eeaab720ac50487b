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

// repositoryRoot is the path of the repository's root, relative to this package.
const repositoryRoot = "../.."

// logKeys lists the keys allowed in log lines. Add a new one only if none of these fits.
var logKeys = []string{
	"address", "attempt", "class", "connection_wait", "controller", "created", "decision", "duration", "epoch",
	"error", "image", "job", "job_count", "key", "later_term", "level", "machine", "machine_count", "machines",
	"missing", "new_epoch", "operation_limit", "operations", "owners", "page_count", "pages", "peer", "preemptor",
	"reason", "refused", "request_id", "since_placed", "slot_wait", "status", "succeeded", "supported_level",
	"target_machine", "task", "task_count", "tasks_per_page", "term", "tries", "unrecorded_starts", "value_limit_kb",
	"waited", "writes_in_flight",
	// Durations of steps.
	"kind", "count", "mean_us", "p50_us", "p99_us", "max_us",
	// Usage of machines.
	"arrays", "booting", "empty", "free", "ordinary", "silent", "unused", "up", "used", "wanted",
	// Load test.
	"condition", "fault", "size", "timeout", "vary",
}

// logLine is a call in the sources that writes a log line, or that adds keys to a logger.
type logLine struct {
	position token.Position
	level    string // the called method: "Info", "Error", ...; "With" does not write a line
	message  string
	keys     []string
}

// TestLogMessages checks that all log lines have the same style, and that the operations page lists each of them with
// its keys.
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
			t.Errorf("%s: message %q does not consist of lower-case words", line.position, line.message)
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
				t.Errorf("%s: docs/operations.md does not list the key %q of %q", line.position, key, line.message)
			}
		}
	}
	if len(logged) == 0 {
		t.Fatal("no log lines found in the sources")
	}
	for _, message := range slices.Sorted(maps.Keys(documented)) {
		if !logged[message] {
			t.Errorf("docs/operations.md lists the message %q, which is not in the sources", message)
		}
	}
}

// documentedMessages returns the messages that the page documents. It maps the first cell of each table row in the
// section on log messages, the message, to the second cell, which lists the keys.
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

// findLogLines returns all log lines in the sources, except those in tests.
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

// isLogCall reports whether call is a method call on a logger, which is recognised by the name of its variable or
// field.
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

// readLogLine returns the message and the keys of a call, which must be string literals.
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
		t.Errorf("%s: message or key is not a string literal", files.Position(x.Pos()))
		return ""
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

package zonefailover

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
)

func testSettings() *config.Deployment {
	d := &config.Deployment{Teams: []config.Team{{Name: "red"}, {Name: "blue team"}}}
	for _, class := range []string{"a", "b", "c", "d-1", "team"} {
		d.Objectives = append(d.Objectives, config.Objective{Kind: "wait", Class: class})
	}
	return d
}

// TestParseRecoveryOrder checks valid orders, and the errors for invalid ones. Each error must be a single line that
// names the cause.
func TestParseRecoveryOrder(t *testing.T) {
	for _, row := range []struct {
		text, want string
		err        error
	}{
		{"a", "class a", nil},
		{"a > b > c", "class a > class b > class c", nil},
		{"class c>team red ; a > c", "class a > class c > team red", nil},
		{`"d-1" > team "blue team"`, "class d-1 > team blue team", nil},
		{"b > c; a > c; c > d-1", "class b > class a > class c > class d-1", nil},
		{"class team", "class team", nil},
		{"", "", ErrOrderSyntax},
		{"a >", "", ErrOrderSyntax},
		{"a b", "", ErrOrderSyntax},
		{"a & b", "", ErrOrderSyntax},
		{"team", "class team", nil}, // a class named "team"
		{"team red blue", "", ErrOrderSyntax},
		{"a > x", "class x", ErrUnknownOrderItem},
		{"team green", "team green", ErrUnknownOrderItem},
		{"a > b > a", "class a", ErrDuplicateOrderItem},
		{"a > b; b > c; c > a", "class a", ErrOrderCycle},
	} {
		o, err := ParseRecoveryOrder(row.text, testSettings())
		if row.err == nil {
			if want := row.want + " > " + otherWork; err != nil || o.String() != want {
				t.Errorf("%q: order %v, error %v, want %q", row.text, o, err, want)
			}
			continue
		}
		if !errors.Is(err, row.err) || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q: error %v, want %v that names %q", row.text, err, row.err, row.want)
		}
	}
}

// TestRecoveryOrderKeepsAllChains checks that a parsed order respects all of its chains, unless they form a cycle, and
// that parsing the order's own text again gives the same order.
func TestRecoveryOrderKeepsAllChains(t *testing.T) {
	names := []string{"a", "b", "c", "d-1", "team red"}
	rapid.Check(t, func(t *rapid.T) {
		var chains []string
		for range rapid.IntRange(1, 4).Draw(t, "chains") {
			picked := rapid.Permutation(names).Draw(t, "chain")[:rapid.IntRange(1, 3).Draw(t, "length")]
			chains = append(chains, strings.Join(picked, " > "))
		}
		text := strings.Join(chains, "; ")
		o, err := ParseRecoveryOrder(text, testSettings())
		if errors.Is(err, ErrOrderCycle) {
			return
		}
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		position := func(name string) int {
			if team, ok := strings.CutPrefix(name, "team "); ok {
				return o.Position("", team)
			}
			return o.Position(name, "")
		}
		for _, chain := range chains {
			row := strings.Split(chain, " > ")
			for i := range row[1:] {
				if position(row[i]) >= position(row[i+1]) {
					t.Fatalf("%q: %s is not before %s in %s", text, row[i], row[i+1], o)
				}
			}
		}
		again, err := ParseRecoveryOrder(
			strings.TrimSuffix(o.String(), " > "+otherWork),
			testSettings(),
		)
		if err != nil || again.String() != o.String() {
			t.Fatalf("%s parsed again: order %v, error %v", o, again, err)
		}
	})
}

// TestRecoveryOrderPosition checks that a job's class takes precedence over its team, and that unlisted work comes
// last.
func TestRecoveryOrderPosition(t *testing.T) {
	o, err := ParseRecoveryOrder("team red > a", testSettings())
	if err != nil {
		t.Fatal(err)
	}
	if o.Position("a", "red") != 1 || o.Position("b", "red") != 0 || o.Position("b", "blue team") != 2 {
		t.Errorf(
			"positions %d, %d and %d, want 1, 0 and 2",
			o.Position("a", "red"),
			o.Position("b", "red"),
			o.Position("b", "blue team"),
		)
	}
	if d := DefaultRecoveryOrder(); d.Position("a", "red") != 0 || d.Position("b", "blue team") != 0 {
		t.Error("the default order lists items")
	}
}

// FuzzParseRecoveryOrder checks that no input makes the parser panic.
func FuzzParseRecoveryOrder(f *testing.F) {
	f.Add("a > b; team red > c")
	f.Add(`"a`)
	f.Fuzz(func(t *testing.T, text string) {
		if o, err := ParseRecoveryOrder(text, testSettings()); err == nil && o.String() == "" {
			t.Error("parsed order without a description")
		}
	})
}

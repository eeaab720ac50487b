package zonefailover

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pinebay/internal/config"
)

func settings() *config.Deployment {
	d := &config.Deployment{Teams: []config.Team{{Name: "red"}, {Name: "blue team"}}}
	for _, class := range []string{"a", "b", "c", "d-1", "team"} {
		d.Objectives = append(d.Objectives, config.Objective{Kind: "wait", Class: class})
	}
	return d
}

// TestParseRecoveryOrder: orders that are accepted, without the rest, and orders that are refused, each with an error
// in one line that names what is wrong.
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
		{"team", "class team", nil}, // a class of that name
		{"team red blue", "", ErrOrderSyntax},
		{"a > x", "class x", ErrUnknownOrderItem},
		{"team green", "team green", ErrUnknownOrderItem},
		{"a > b > a", "class a", ErrDuplicateOrderItem},
		{"a > b; b > c; c > a", "class a", ErrOrderCycle},
	} {
		o, err := ParseRecoveryOrder(row.text, settings())
		if row.err == nil {
			if want := row.want + " > " + theRest; err != nil || o.String() != want {
				t.Errorf("%q: %v %v, want %q", row.text, o, err, want)
			}
			continue
		}
		if !errors.Is(err, row.err) || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), row.want) {
			t.Errorf("%q: %v, want %v that names %q", row.text, err, row.err, row.want)
		}
	}
}

// TestRecoveryOrderKeepsAllChains: whatever chains are stated without contradiction, the row keeps all
// of them, and reading it again gives the same row.
func TestRecoveryOrderKeepsAllChains(t *testing.T) {
	names := []string{"a", "b", "c", "d-1", "team red"}
	rapid.Check(t, func(t *rapid.T) {
		var chains []string
		for range rapid.IntRange(1, 4).Draw(t, "chains") {
			picked := rapid.Permutation(names).Draw(t, "chain")[:rapid.IntRange(1, 3).Draw(t, "length")]
			chains = append(chains, strings.Join(picked, " > "))
		}
		text := strings.Join(chains, "; ")
		o, err := ParseRecoveryOrder(text, settings())
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
			strings.TrimSuffix(o.String(), " > "+theRest),
			settings(),
		)
		if err != nil || again.String() != o.String() {
			t.Fatalf("%s, read again: %v %v", o, again, err)
		}
	})
}

// TestRecoveryOrderPosition: a class goes before its team, and what is not named comes last.
func TestRecoveryOrderPosition(t *testing.T) {
	o, err := ParseRecoveryOrder("team red > a", settings())
	if err != nil {
		t.Fatal(err)
	}
	if o.Position("a", "red") != 1 || o.Position("b", "red") != 0 || o.Position("b", "blue team") != 2 {
		t.Errorf("%d %d %d", o.Position("a", "red"), o.Position("b", "red"), o.Position("b", "blue team"))
	}
	if d := DefaultRecoveryOrder(); d.Position("a", "red") != 0 || d.Position("b", "blue team") != 0 {
		t.Error("the default order names something")
	}
}

// FuzzParseRecoveryOrder: nothing that an operator types ends the program.
func FuzzParseRecoveryOrder(f *testing.F) {
	f.Add("a > b; team red > c")
	f.Add(`"a`)
	f.Fuzz(func(t *testing.T, text string) {
		if o, err := ParseRecoveryOrder(text, settings()); err == nil && o.String() == "" {
			t.Error("an order without words")
		}
	})
}

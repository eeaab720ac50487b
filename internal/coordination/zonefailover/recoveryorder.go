package zonefailover

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"pinebay/internal/config"
)

// Errors of ParseRecoveryOrder.
var (
	ErrOrderSyntax        = errors.New("malformed recovery order")
	ErrUnknownOrderItem   = errors.New("recovery order names what the settings don't have")
	ErrDuplicateOrderItem = errors.New("recovery order names an item twice in a chain")
	ErrOrderCycle         = errors.New("recovery order contradicts itself")
)

// OrderItem is a class of jobs or a team in a recovery order.
type OrderItem struct{ Class, Team string }

// String returns the item as operators write it.
func (i OrderItem) String() string {
	if i.Team != "" {
		return "team " + i.Team
	}
	return "class " + i.Class
}

// RecoveryOrder is the order in which work recovers when a zone is lost: the named items first, then all other work.
// Within an item, jobs go by priority, their class's start latency objective, and age.
type RecoveryOrder struct {
	items         []OrderItem
	classPosition map[string]int
	teamPosition  map[string]int
}

// DefaultRecoveryOrder returns the order that names no item.
func DefaultRecoveryOrder() *RecoveryOrder { return newRecoveryOrder(nil) }

func newRecoveryOrder(items []OrderItem) *RecoveryOrder {
	o := &RecoveryOrder{items: items, classPosition: map[string]int{}, teamPosition: map[string]int{}}
	for position, item := range items {
		if item.Team != "" {
			o.teamPosition[item.Team] = position
		} else {
			o.classPosition[item.Class] = position
		}
	}
	return o
}

// Position returns the position of a job's item in the order. Where both are named, its class decides, not its team.
func (o *RecoveryOrder) Position(class, team string) int {
	if position, ok := o.classPosition[class]; ok {
		return position
	}
	if position, ok := o.teamPosition[team]; ok {
		return position
	}
	return len(o.items)
}

// String returns the order in a form for logs.
func (o *RecoveryOrder) String() string {
	var b strings.Builder
	for _, item := range o.items {
		b.WriteString(item.String())
		b.WriteString(" > ")
	}
	b.WriteString(theRest)
	return b.String()
}

// theRest stands for all work that an order does not name.
const theRest = "the rest by priority, start latency objective and age"

// orderText is the grammar of an order as operators write it: chains of items, the first to recover first. All of
// several chains, separated by semicolons, must hold.
//
//	cluesmith > team guests ; class vanquery > gridsweep
type orderText struct {
	Chains []*chainText `parser:"@@ ( ';' @@ )*"`
}

type chainText struct {
	Items []*itemText `parser:"@@ ( '>' @@ )*"`
}

type itemText struct {
	Team  string `parser:"  'team' @( Name | Quoted )"`
	Class string `parser:"| 'class'? @( Name | Quoted )"`
}

func (i itemText) item() OrderItem { return OrderItem{Class: i.Class, Team: i.Team} }

// ParseRecoveryOrder parses an order that an operator has stated and checks it against the classes and teams of the
// settings.
func ParseRecoveryOrder(text string, d *config.Deployment) (*RecoveryOrder, error) {
	parsed, err := parseOrderText(text)
	if err != nil {
		return nil, err
	}
	predecessors := map[OrderItem][]OrderItem{} // direct ones
	var items []OrderItem
	for _, chain := range parsed.Chains {
		var previous []OrderItem // in the chain
		for _, itemText := range chain.Items {
			item := itemText.item()
			if !itemExists(item, d) {
				return nil, fmt.Errorf("%w: %s", ErrUnknownOrderItem, item)
			}
			if slices.Contains(previous, item) {
				return nil, fmt.Errorf("%w: %s", ErrDuplicateOrderItem, item)
			}
			if n := len(previous); n > 0 {
				predecessors[item] = append(predecessors[item], previous[n-1])
			}
			previous = append(previous, item)
			if !slices.Contains(items, item) {
				items = append(items, item)
			}
		}
	}
	sorted, err := linearize(items, predecessors)
	if err != nil {
		return nil, err
	}
	return newRecoveryOrder(sorted), nil
}

// parseOrderText parses the text of an order.
func parseOrderText(text string) (*orderText, error) {
	words, err := lexer.NewSimple([]lexer.SimpleRule{
		{Name: "Quoted", Pattern: `"[^"]*"`},
		{Name: "Name", Pattern: `[\pL\pN_][\pL\pN_.\-]*`},
		{Name: "Mark", Pattern: `[>;]`},
		{Name: "Space", Pattern: `\s+`},
	})
	if err != nil {
		return nil, fmt.Errorf("building the lexer of recovery orders: %w", err)
	}
	parser, err := participle.Build[orderText](
		participle.Lexer(words),
		participle.Elide("Space"),
		participle.Unquote("Quoted"),
	)
	if err != nil {
		return nil, fmt.Errorf("building the parser of recovery orders: %w", err)
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOrderSyntax, err)
	}
	return parsed, nil
}

// itemExists reports whether the settings have the team, or an objective for the class, that an item names.
func itemExists(item OrderItem, d *config.Deployment) bool {
	if item.Team != "" {
		return d.Team(item.Team) != nil
	}
	return slices.ContainsFunc(d.Objectives, func(o config.Objective) bool { return o.Class == item.Class })
}

// linearize sorts the items so that each comes after its predecessors. Among those that may come next, the one that
// was written first does.
func linearize(items []OrderItem, predecessors map[OrderItem][]OrderItem) ([]OrderItem, error) {
	var sorted []OrderItem
	for len(sorted) < len(items) {
		next := slices.IndexFunc(items, func(item OrderItem) bool {
			return !slices.Contains(sorted, item) && containsAll(sorted, predecessors[item])
		})
		if next < 0 {
			return nil, fmt.Errorf("%w: among %v", ErrOrderCycle, itemsNotIn(items, sorted))
		}
		sorted = append(sorted, items[next])
	}
	return sorted, nil
}

func containsAll(items, wanted []OrderItem) bool {
	return !slices.ContainsFunc(wanted, func(item OrderItem) bool { return !slices.Contains(items, item) })
}

func itemsNotIn(items, excluded []OrderItem) []OrderItem {
	return slices.DeleteFunc(slices.Clone(items), func(item OrderItem) bool { return slices.Contains(excluded, item) })
}

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

// Errors returned by [ParseRecoveryOrder].
var (
	ErrOrderSyntax        = errors.New("malformed recovery order")
	ErrUnknownOrderItem   = errors.New("recovery order names a class or team that the settings do not contain")
	ErrDuplicateOrderItem = errors.New("recovery order names an item twice in one chain")
	ErrOrderCycle         = errors.New("recovery order contradicts itself")
)

// OrderItem is a job class or a team in a recovery order.
type OrderItem struct{ Class, Team string }

// String returns the item in the syntax that operators use.
func (i OrderItem) String() string {
	if i.Team != "" {
		return "team " + i.Team
	}
	return "class " + i.Class
}

// RecoveryOrder is the order in which work recovers after the loss of a zone: the listed items first, then all other
// work. Within an item, jobs are ordered by priority, start latency objective of their class, and age.
type RecoveryOrder struct {
	items         []OrderItem
	classPosition map[string]int
	teamPosition  map[string]int
}

// DefaultRecoveryOrder returns the order without items.
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

// Position returns the position of a job in the order. If both its class and its team are listed, the class decides.
func (o *RecoveryOrder) Position(class, team string) int {
	if position, ok := o.classPosition[class]; ok {
		return position
	}
	if position, ok := o.teamPosition[team]; ok {
		return position
	}
	return len(o.items)
}

// String returns a description of the order for logs.
func (o *RecoveryOrder) String() string {
	var b strings.Builder
	for _, item := range o.items {
		b.WriteString(item.String())
		b.WriteString(" > ")
	}
	b.WriteString(otherWork)
	return b.String()
}

// otherWork describes all work that is not listed in an order.
const otherWork = "all other work by priority, start latency objective and age"

// orderText is the grammar of a recovery order. An order consists of chains separated by semicolons, which must all
// hold. The first item of a chain recovers first.
//
//	serve > team research ; class train > batch
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

// ParseRecoveryOrder parses an order written by an operator and validates it against the classes and teams in the
// settings.
func ParseRecoveryOrder(text string, d *config.Deployment) (*RecoveryOrder, error) {
	parsed, err := parseOrderText(text)
	if err != nil {
		return nil, err
	}
	predecessors := map[OrderItem][]OrderItem{} // direct predecessors
	var items []OrderItem
	for _, chain := range parsed.Chains {
		var previous []OrderItem // in the chain
		for _, parsedItem := range chain.Items {
			item := parsedItem.item()
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
	sorted, err := topologicalSort(items, predecessors)
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
		return nil, fmt.Errorf("build recovery order lexer: %w", err)
	}
	parser, err := participle.Build[orderText](
		participle.Lexer(words),
		participle.Elide("Space"),
		participle.Unquote("Quoted"),
	)
	if err != nil {
		return nil, fmt.Errorf("build recovery order parser: %w", err)
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOrderSyntax, err)
	}
	return parsed, nil
}

// itemExists reports whether the settings contain the item's team, or an objective for its class.
func itemExists(item OrderItem, d *config.Deployment) bool {
	if item.Team != "" {
		return d.Team(item.Team) != nil
	}
	return slices.ContainsFunc(d.Objectives, func(o config.Objective) bool { return o.Class == item.Class })
}

// topologicalSort sorts the items so that each one follows its predecessors. If several items may come next, the one
// that was written first does.
func topologicalSort(items []OrderItem, predecessors map[OrderItem][]OrderItem) ([]OrderItem, error) {
	var sorted []OrderItem
	for len(sorted) < len(items) {
		next := slices.IndexFunc(items, func(item OrderItem) bool {
			return !slices.Contains(sorted, item) && containsAll(sorted, predecessors[item])
		})
		if next < 0 {
			return nil, fmt.Errorf("%w: cycle among %v", ErrOrderCycle, itemsNotIn(items, sorted))
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

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

// Errors of an order that an operator states.
var (
	ErrOrderSyntax        = errors.New("order of return out of form")
	ErrUnknownOrderItem   = errors.New("order of return names what the settings don't have")
	ErrDuplicateOrderItem = errors.New("order of return names an item twice in a row of items")
	ErrOrderCycle         = errors.New("order of return contradicts itself")
)

// OrderItem is a class of jobs or a team in an order of return.
type OrderItem struct{ Class, Team string }

// String returns the item as it is written.
func (i OrderItem) String() string {
	if i.Team != "" {
		return "team " + i.Team
	}
	return "class " + i.Class
}

// RecoveryOrder is the order in which work returns when a zone is lost. Items that are named come
// first; all that is not named follows, and within an item, by priority, the class's aim
// on waiting, and age.
type RecoveryOrder struct {
	items         []OrderItem
	classPosition map[string]int
	teamPosition  map[string]int
}

// DefaultRecoveryOrder names nothing: work returns by priority, aims and age alone.
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

// Position is the place of a job's item in the order; a class goes before a team.
func (o *RecoveryOrder) Position(class, team string) int {
	if position, ok := o.classPosition[class]; ok {
		return position
	}
	if position, ok := o.teamPosition[team]; ok {
		return position
	}
	return len(o.items)
}

// String returns the order as it is in force.
func (o *RecoveryOrder) String() string {
	var b strings.Builder
	for _, item := range o.items {
		b.WriteString(item.String())
		b.WriteString(" > ")
	}
	b.WriteString("the rest by priority, aim and age")
	return b.String()
}

// orderText is the grammar of a stated order: chains of items, the earlier first. Several
// chains, parted by semicolons, hold together.
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

// ParseRecoveryOrder reads and checks an order that an operator states, against the classes and
// teams of the settings.
func ParseRecoveryOrder(text string, d *config.Deployment) (*RecoveryOrder, error) {
	parsed, err := parseOrderText(text)
	if err != nil {
		return nil, err
	}
	before := map[OrderItem][]OrderItem{} // those that come right before an item
	var items []OrderItem
	for _, chain := range parsed.Chains {
		var row []OrderItem
		for _, written := range chain.Items {
			item := written.item()
			if !itemExists(item, d) {
				return nil, fmt.Errorf("%w: %s", ErrUnknownOrderItem, item)
			}
			if slices.Contains(row, item) {
				return nil, fmt.Errorf("%w: %s", ErrDuplicateOrderItem, item)
			}
			if len(row) > 0 {
				before[item] = append(before[item], row[len(row)-1])
			}
			row = append(row, item)
			if !slices.Contains(items, item) {
				items = append(items, item)
			}
		}
	}
	sorted, err := linearize(items, before)
	if err != nil {
		return nil, err
	}
	return newRecoveryOrder(sorted), nil
}

// parseOrderText reads the text of an order.
func parseOrderText(text string) (*orderText, error) {
	words, err := lexer.NewSimple([]lexer.SimpleRule{
		{Name: "Quoted", Pattern: `"[^"]*"`},
		{Name: "Name", Pattern: `[\pL\pN_][\pL\pN_.\-]*`},
		{Name: "Mark", Pattern: `[>;]`},
		{Name: "Space", Pattern: `\s+`},
	})
	if err != nil {
		return nil, fmt.Errorf("lexer of orders: %w", err)
	}
	parser, err := participle.Build[orderText](
		participle.Lexer(words),
		participle.Elide("Space"),
		participle.Unquote("Quoted"),
	)
	if err != nil {
		return nil, fmt.Errorf("parser of orders: %w", err)
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOrderSyntax, err)
	}
	return parsed, nil
}

// itemExists says whether the settings have what an item names. Classes are known by their aims.
func itemExists(item OrderItem, d *config.Deployment) bool {
	if item.Team != "" {
		return d.Team(item.Team) != nil
	}
	return slices.ContainsFunc(d.Objectives, func(o config.Objective) bool { return o.Class == item.Class })
}

// linearize puts the items into one row in which each comes after those that must be before
// it; among those that may come next, the one that was written first does.
func linearize(items []OrderItem, before map[OrderItem][]OrderItem) ([]OrderItem, error) {
	var row []OrderItem
	for len(row) < len(items) {
		next := slices.IndexFunc(items, func(item OrderItem) bool {
			return !slices.Contains(row, item) && containsAll(row, before[item])
		})
		if next < 0 {
			return nil, fmt.Errorf("%w: among %v", ErrOrderCycle, itemsNotIn(items, row))
		}
		row = append(row, items[next])
	}
	return row, nil
}

func containsAll(row, wanted []OrderItem) bool {
	return !slices.ContainsFunc(wanted, func(item OrderItem) bool { return !slices.Contains(row, item) })
}

func itemsNotIn(items, row []OrderItem) []OrderItem {
	return slices.DeleteFunc(slices.Clone(items), func(item OrderItem) bool { return slices.Contains(row, item) })
}

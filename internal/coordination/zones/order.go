package zones

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
	ErrOrderSyntax  = errors.New("order of return out of form")
	ErrUnknownName  = errors.New("order of return names what the settings don't have")
	ErrNamedTwice   = errors.New("order of return names an item twice in a row of items")
	ErrOrderIsCycle = errors.New("order of return contradicts itself")
)

// Item is a class of jobs or a team in an order of return.
type Item struct{ Class, Team string }

// String returns the item as it is written.
func (i Item) String() string {
	if i.Team != "" {
		return "team " + i.Team
	}
	return "class " + i.Class
}

// Order is the order in which work returns when a zone is lost. Items that are named come
// first; all that is not named follows, and within an item, by priority, the class's aim
// on waiting, and age.
type Order struct {
	items []Item
	class map[string]int
	team  map[string]int
}

// DefaultOrder names nothing: work returns by priority, aims and age alone.
func DefaultOrder() *Order { return newOrder(nil) }

func newOrder(items []Item) *Order {
	o := &Order{items: items, class: map[string]int{}, team: map[string]int{}}
	for position, item := range items {
		if item.Team != "" {
			o.team[item.Team] = position
		} else {
			o.class[item.Class] = position
		}
	}
	return o
}

// Position is the place of a job's item in the order; a class goes before a team.
func (o *Order) Position(class, team string) int {
	if position, ok := o.class[class]; ok {
		return position
	}
	if position, ok := o.team[team]; ok {
		return position
	}
	return len(o.items)
}

// String returns the order as it is in force.
func (o *Order) String() string {
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

func (i itemText) item() Item { return Item{Class: i.Class, Team: i.Team} }

// ParseOrder reads and checks an order that an operator states, against the classes and
// teams of the settings.
func ParseOrder(text string, d *config.Deployment) (*Order, error) {
	parsed, err := parseOrderText(text)
	if err != nil {
		return nil, err
	}
	before := map[Item][]Item{} // those that come right before an item
	var items []Item
	for _, chain := range parsed.Chains {
		var row []Item
		for _, written := range chain.Items {
			item := written.item()
			if !known(item, d) {
				return nil, fmt.Errorf("%w: %s", ErrUnknownName, item)
			}
			if slices.Contains(row, item) {
				return nil, fmt.Errorf("%w: %s", ErrNamedTwice, item)
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
	return newOrder(sorted), nil
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
	parser, err := participle.Build[orderText](participle.Lexer(words), participle.Elide("Space"), participle.Unquote("Quoted"))
	if err != nil {
		return nil, fmt.Errorf("parser of orders: %w", err)
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOrderSyntax, err)
	}
	return parsed, nil
}

// known says whether the settings have what an item names. Classes are known by their aims.
func known(item Item, d *config.Deployment) bool {
	if item.Team != "" {
		return d.Team(item.Team) != nil
	}
	return slices.ContainsFunc(d.Objectives, func(o config.Objective) bool { return o.Class == item.Class })
}

// linearize puts the items into one row in which each comes after those that must be before
// it; among those that may come next, the one that was written first does.
func linearize(items []Item, before map[Item][]Item) ([]Item, error) {
	var row []Item
	for len(row) < len(items) {
		next := slices.IndexFunc(items, func(item Item) bool {
			return !slices.Contains(row, item) && containsAll(row, before[item])
		})
		if next < 0 {
			return nil, fmt.Errorf("%w: among %v", ErrOrderIsCycle, missing(items, row))
		}
		row = append(row, items[next])
	}
	return row, nil
}

func containsAll(row, wanted []Item) bool {
	return !slices.ContainsFunc(wanted, func(item Item) bool { return !slices.Contains(row, item) })
}

func missing(items, row []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return slices.Contains(row, item) })
}

//go:build review2

package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"pinebay/internal/config"
)

// Exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

var errCannotRun = errors.New("the case could not run")

// caseFunc runs a case and returns what broke the rule, or "".
type caseFunc func(folder string, trouble bool) (broken string, err error)

var cases = map[string]caseFunc{
	"flap":   runFlap,
	"spread": runSpread,
	"quota":  runQuota,
	"late":   runLate,
	"bulk":   runBulk,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](os.Args[2], trouble)
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(cannotRun)
	case broken != "":
		fmt.Println("rule broken:", broken)
		os.Exit(ruleBroken)
	}
	fmt.Println("rule held")
	os.Exit(ruleHeld)
}

// crosfhocal returns the options of a small deployment with the settings of crosfhocal-fleet.
func crosfhocal(folder string, machines ...machineSpec) options {
	return options{
		folder: folder, zones: []string{"dublinbay", "shannonside"}, teams: []config.Team{liffeydesk},
		objectives: crosfhocalObjectives, machineType: bogoak, machines: machines, logDir: os.Getenv("LOG_DIR"),
	}
}

// startFleet starts a fleet with its controllers.
func startFleet(o options) (*fleet, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	if err := f.startControllers(); err != nil {
		f.stop()
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	return f, nil
}

// finish stops a fleet and returns what broke a rule, or "".
func (f *fleet) finish(broken string) (string, error) {
	if list := f.violations(); broken == "" && len(list) > 0 {
		broken = list[0]
	}
	if broken != "" {
		f.log("BROKEN: %s", broken)
	}
	f.stop()
	return broken, nil
}

const waitLimit = 90 * time.Second

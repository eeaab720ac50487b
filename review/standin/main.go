//go:build review

// Command standin runs the cases of this review. It starts the project's controllers as processes of their own,
// together with stand-ins for everything that they communicate with. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pinebay/internal/config"
)

// maxRunTime limits how long a case may take.
const maxRunTime = 115 * time.Second

// errBroken matches the errors of cases whose rule was broken.
var errBroken = errors.New("rule broken")

// testCase is a case. It returns an error that matches errBroken if the rule was broken, and any other error if the
// case could not run.
type testCase struct {
	site site
	run  func(l *lab, trouble bool) error
	// announced are the limits that the settings say the key-value store will have later. They are part of the
	// disruption.
	announced config.FutureStoreLimits
}

func main() {
	name := flag.String("case", "", "name of the case")
	run := flag.String("run", "", "command that starts a controller, without the path of its settings")
	path := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "run with the disruption")
	keep := flag.String("keep", "", "folder for settings and logs; a temporary one that is removed if empty")
	flag.Parse()
	os.Exit(runCase(*name, *run, *path, *keep, *trouble))
}

func runCase(name, run, path, keep string, trouble bool) int {
	selected, ok := cases()[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "pinebay-review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	signalled, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(signalled, maxRunTime)
	defer cancel()
	l := newLab(ctx, selected.site, dir, out)
	l.record("case %s, disruption: %t", name, trouble)
	err = l.runAll(selected, run, trouble)
	timedOut := ctx.Err() != nil
	for _, violation := range l.otherRules() {
		l.record("another rule, found by the project's own checkers: %s", violation)
	}
	l.stop(cancel)
	return l.verdict(err, timedOut)
}

// runAll starts everything and runs a case.
func (l *lab) runAll(selected testCase, run string, trouble bool) error {
	if trouble {
		l.site.deployment.Store.Next = selected.announced
	}
	if err := l.start(); err != nil {
		return err
	}
	for _, c := range l.controllers {
		if err := l.startController(c, run); err != nil {
			return err
		}
	}
	if err := l.waitForFleet(); err != nil {
		return err
	}
	return selected.run(l, trouble)
}

// verdict records and returns the exit status.
func (l *lab) verdict(err error, timedOut bool) int {
	l.mu.Lock()
	problems := l.problems
	l.mu.Unlock()
	status, text := 0, "the rule held"
	switch {
	case errors.Is(err, errBroken):
		status, text = 1, err.Error()
	case err != nil:
		status, text = 2, "the case could not run: "+err.Error()
	case timedOut:
		status, text = 2, "the case could not run: it was ended or took too long"
	case len(problems) > 0:
		status, text = 2, "the case could not run: "+problems[0].Error()
	}
	l.record("result %d: %s", status, text)
	fmt.Println(text)
	return status
}

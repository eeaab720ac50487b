package simulation

import (
	"slices"
	"testing"

	"pinebay/internal/config"
)

// defaultControllers is the number of controllers in scenarios that do not set it.
const defaultControllers = 3

// scenario is a sequence of faults and user requests on a cluster.
type scenario struct {
	name        string
	controllers int // 0: defaultControllers
	timings     config.Workers
	steps       []step
	// occurred lists events that must be recorded; without them the scenario does not exercise what it is meant to
	// test.
	occurred []string
	// logged are texts that the log must contain, and notLogged texts that it must not contain.
	logged, notLogged []string
	options           []func(*cluster)
}

// run runs f on a cluster with the settings of the scenario in simulated time.
func (x *scenario) run(t *testing.T, seed uint64, f func(c *cluster), options ...func(*cluster)) {
	t.Helper()
	controllers := x.controllers
	if controllers == 0 {
		controllers = defaultControllers
	}
	runScenario(t, seed, controllers, x.timings, f, slices.Concat(x.options, options)...)
}

// runScenarios runs f for each scenario as a parallel subtest. The seed of scenario i is firstSeed + i.
func runScenarios(
	t *testing.T,
	firstSeed uint64,
	scenarios []scenario,
	f func(c *cluster, x *scenario),
	options ...func(*cluster),
) {
	t.Helper()
	for i := range scenarios {
		x := &scenarios[i]
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			x.run(t, firstSeed+uint64(i), func(c *cluster) { f(c, x) }, options...)
		})
	}
}

// checkLog checks that the log contains all of x.logged and none of x.notLogged.
func (c *cluster) checkLog(x *scenario) {
	c.t.Helper()
	for _, text := range x.logged {
		if c.logCount(text) == 0 {
			c.t.Errorf("the log does not contain %q", text)
		}
	}
	for _, text := range x.notLogged {
		if c.logCount(text) > 0 {
			c.t.Errorf("the log contains %q", text)
		}
	}
}

// Package loadtest runs the built controllers as real processes against models of everything
// around them: a state service and a cloud with the limits of the settings, users, and
// thousands of hollow workers that speak the real protocol over real sockets but run nothing.
// It measures what each role costs at several sizes, fits slopes, and lets the rules' oracles
// judge every start and every answer meanwhile.
package loadtest

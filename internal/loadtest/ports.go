package loadtest

import (
	"fmt"
	"net"
)

// The loopback ports, from Config.Port on. The controllers' follow after the shared ones.
const (
	storePort = iota
	cloudPort
	hollowWorkersPort
	workerProcessesPort
	observerPort
	sharedPorts
)

// portsPerController are one for clients and one for the mesh.
const portsPerController = 2

func (c *Config) storeAddr() string { return c.loopbackAddr(storePort) }

func (c *Config) cloudAddr() string { return c.loopbackAddr(cloudPort) }

func (c *Config) observerAddr() string { return c.loopbackAddr(observerPort) }

func (c *Config) controllerAddr(number int) string {
	return c.loopbackAddr(sharedPorts + portsPerController*number)
}

func (c *Config) meshAddr(number int) string {
	return c.loopbackAddr(sharedPorts + portsPerController*number + 1)
}

func (c *Config) loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", c.Port+port) }

// hollowWorkerAddr is the address of a hollow worker. Each has an IP address of its own, and one
// listener serves them all.
func (c *Config) hollowWorkerAddr(number int) string {
	return fmt.Sprintf("%s:%d", hollowWorkerIP(number), c.Port+hollowWorkersPort)
}

// workerProcessAddr is the address of a worker that is a process of its own.
func (c *Config) workerProcessAddr(number int) string {
	return fmt.Sprintf("127.200.0.%d:%d", number+1, c.Port+workerProcessesPort)
}

// hollowWorkerIP returns an address of the loopback device, 127.1.0.1 and above. Those that end in
// 0 or 255 are left out.
func hollowWorkerIP(number int) net.IP {
	const perOctet = 250
	return net.IPv4(127, 1+byte(number/perOctet/perOctet), byte(number/perOctet%perOctet), byte(1+number%perOctet))
}

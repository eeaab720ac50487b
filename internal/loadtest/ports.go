package loadtest

import (
	"fmt"
	"net"
)

// Offsets of the loopback ports from Config.FirstPort. sharedPorts is the number of ports that do not belong to a
// single controller; the ports of the controllers follow them.
const (
	storePort = iota
	cloudPort
	hollowWorkerPort
	workerProcessPort
	observerPort
	sharedPorts
)

// portsPerController is the number of ports of a controller: one for users and workers, and one for the mesh, the
// connections between controllers.
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

func (c *Config) loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", c.FirstPort+port) }

// hollowWorkerAddr returns the address of a hollow worker. Each hollow worker has its own IP address, and a single
// listener serves all of them.
func (c *Config) hollowWorkerAddr(number int) string {
	return fmt.Sprintf("%s:%d", hollowWorkerIP(number), c.FirstPort+hollowWorkerPort)
}

// workerProcessAddr returns the address of a worker process.
func (c *Config) workerProcessAddr(number int) string {
	return fmt.Sprintf("127.200.0.%d:%d", number+1, c.FirstPort+workerProcessPort)
}

// hollowWorkerIP returns the IP address of a hollow worker on the loopback device, from 127.1.0.1 upwards. Addresses
// that end in 0 or 255 are not used.
func hollowWorkerIP(number int) net.IP {
	const perOctet = 250
	return net.IPv4(127, 1+byte(number/perOctet/perOctet), byte(number/perOctet%perOctet), byte(1+number%perOctet))
}

// Package transport sends and receives the messages of package protocol. Users, workers, the cloud and the key-value
// store are served or called over HTTP with MessagePack bodies; controllers are connected with each other by a [Mesh]
// of long-lived connections.
//
// The package keeps the process within its socket limit: [Listener] limits the accepted connections, and [Client] those
// that it opens.
package transport

// Package transport sends and receives the messages of package protocol: over HTTP with MessagePack bodies to users,
// workers, the cloud and the key-value store, and over long-lived connections between the controllers ([Mesh]). It also
// keeps the process within its socket budget: [Listener] limits the accepted connections, and [Client] those that it
// opens.
package transport

package instance

import (
	"net/http"
	"time"

	"greengageferry/netconn"
)

// maxIdlePeerConns bounds the idle connections to another instance.
const maxIdlePeerConns = 2

// newPeerClient returns a client for calls to many other instances. A call that isn't answered closes
// its own connection alone: the others lead to other instances.
func newPeerClient() *http.Client {
	return newExchangeClient(netconn.NewTransport(maxIdlePeerConns, time.Minute))
}

// newHolderClient returns a client for calls to one other instance at a time. A call that isn't answered
// closes all idle connections: they lead to the same instance.
func newHolderClient() *http.Client {
	return newExchangeClient(netconn.NewIdleClosingTransport(maxIdlePeerConns, time.Minute))
}

// maxExchangeBytes bounds the answer to a call to another instance: many times the state of the largest
// deployment.
const maxExchangeBytes = 8 << 20

// newExchangeClient returns a client for calls over the transport. What answers at another instance's
// address may be something else by now.
func newExchangeClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: netconn.LimitBodies(transport, maxExchangeBytes)}
}

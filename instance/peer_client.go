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
	return &http.Client{Transport: netconn.NewTransport(maxIdlePeerConns, time.Minute)}
}

package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengageferry/infra"
	"greengageferry/netconn"
	"greengageferry/settings"
)

const (
	// dialTimeout bounds the setup of a connection. Round trips take 0.5 ms between
	// failure domains and tens of milliseconds between regions, so a second without an
	// answer means a network partition. Nothing of the request has been sent at that
	// point, so it can safely be retried elsewhere.
	dialTimeout = time.Second
	// TCP keep-alive detects a peer that vanished silently, through a partition or a
	// frozen process, after about 9 s on an idle or waiting connection.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 2
	// The limits on idle connections keep those to the backend servers in use open
	// between two bursts of requests.
	maxIdleConns          = 1024
	maxIdleConnsPerServer = 32
	idleConnTimeout       = 90 * time.Second
)

// Dial opens a connection; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// newTransport returns a transport with this package's timeouts and connection
// limits. A nil dial means TCP.
func newTransport(dial Dial) *netconn.Transport {
	if dial == nil {
		dial = dialTCP
	}
	return netconn.SendOnce(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, addr)
		},
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
	})
}

func dialTCP(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return dialer.DialContext(ctx, network, addr)
}

// httpPlatform returns HTTP clients for the platform addresses in the settings. The clients
// have no timeout of their own: the context of each call has a deadline.
func httpPlatform(s *settings.Settings, dial Dial) Platform {
	transport := newTransport(dial)
	client := &http.Client{Transport: transport}
	return Platform{
		Log:       infra.NewHTTPLog(string(s.Platform.Log), client),
		Instances: infra.NewHTTPInstances(string(s.Platform.Instances), client),
		Store:     infra.NewHTTPStore(string(s.Platform.WeightStore), client),
		Engine:    infra.NewHTTPEngine(client),
		Services:  infra.NewHTTPServices(transport),
	}
}

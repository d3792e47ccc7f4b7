package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"greengageferry/infra"
	"greengageferry/settings"
)

const (
	// dialTime bounds a connection's start. Failure domains are half a
	// millisecond apart and regions some tens, so a second without an answer is
	// a cut; no byte of the request has left then, and it is tried elsewhere.
	dialTime = time.Second
	// A peer that has vanished without a word, in a cut or a freeze of its
	// instance, is noticed on an idle or waiting connection after some 9 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 2
	// idleConns and idleConnsPerServer keep connections to the backend servers
	// that this instance is using, for as long as a burst may come back.
	idleConns          = 1024
	idleConnsPerServer = 32
	idleConnTime       = 90 * time.Second
)

// Dial opens a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// transport returns an HTTP transport with the instance's own limits. A nil
// dial means TCP.
func transport(dial Dial) *http.Transport {
	if dial == nil {
		dial = dialTCP
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTime)
			defer cancel()
			return dial(ctx, network, addr)
		},
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTime,
	}
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

// httpPlatform returns clients for the settings' addresses. Engines and
// services get no timeout of the client's own: each call's context has one.
func httpPlatform(s *settings.Settings, dial Dial) Platform {
	client := &http.Client{Transport: transport(dial)}
	return Platform{
		Log:       infra.NewHTTPLog(string(s.Platform.Log), client),
		Instances: infra.NewHTTPInstances(string(s.Platform.Instances), client),
		Store:     infra.NewHTTPStore(string(s.Platform.WeightStore), client),
		Engine:    infra.NewHTTPEngine(client),
		Services:  infra.NewHTTPServices(client),
	}
}

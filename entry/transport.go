package entry

import (
	"net"
	"net/http"
	"time"

	"greengageferry/platform"
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

// transport returns an HTTP transport with the instance's own limits.
func transport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTime,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        idleConns,
		MaxIdleConnsPerHost: idleConnsPerServer,
		IdleConnTimeout:     idleConnTime,
	}
}

// httpPlatform returns clients for the settings' addresses. Engines and
// services get no timeout of the client's own: each call's context has one.
func httpPlatform(s *settings.Settings) Platform {
	client := &http.Client{Transport: transport()}
	return Platform{
		Log:       platform.NewHTTPLog(string(s.Platform.Log), client),
		Instances: platform.NewHTTPInstances(string(s.Platform.Instances), client),
		Store:     platform.NewHTTPStore(string(s.Platform.WeightStore), client),
		Engine:    platform.NewHTTPEngine(client),
		Services:  platform.NewHTTPServices(client),
	}
}

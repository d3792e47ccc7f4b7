package entry

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/config"
	"greengageferry/decide"
	"greengageferry/demand"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/internal/testmain"
	"greengageferry/replay"
)

func TestMain(m *testing.M) { testmain.Run(m) }

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func TestTableIsRebuiltOnlyWhenInputsChange(t *testing.T) {
	cfg := &config.Config{Services: map[string]config.Service{"campo": {}}}
	list := fleet.NewList(time.Time{}, []infra.Instance{{ID: "c", Role: infra.RoleService, Pool: "campo"}})
	view := &replay.ControlView{Offset: 1, Servers: map[string]*replay.Server{}}
	published := 0
	r := &tableBuilder{
		domain:       "porto-a",
		config:       func() *config.Config { return cfg },
		list:         func() *fleet.List { return list },
		controlViews: func() map[string]*replay.ControlView { return map[string]*replay.ControlView{"porto-a": view} },
		publish:      func(*decide.Table) { published++ },
		log:          quietLog(),
	}
	last := r.refresh(tableInputs{})
	require.Equal(t, 1, published)

	renewed := *view // a lease renewal leaves the map of servers unchanged
	renewed.Offset++
	view = &renewed
	last = r.refresh(last)
	require.Equal(t, 1, published)

	list = fleet.NewList(time.Time{}, nil)
	last = r.refresh(last)
	require.Equal(t, 2, published)

	changed := *view
	changed.Servers = map[string]*replay.Server{"s": {}}
	view = &changed
	r.refresh(last)
	require.Equal(t, 3, published)
}

func TestCapacityRefusalIsMeteredInServingDomains(t *testing.T) {
	table := &decide.Table{
		OwnDomain: "porto-a",
		Servers:   []decide.Server{{ID: "s1", FailureDomain: "pelotas"}, {ID: "s2", FailureDomain: "caxias"}},
		Targets: map[string]*decide.Target{
			"m":        {Replicas: []decide.Replica{{Server: 0}, {Server: 1}, {Server: 1}}},
			"unplaced": {},
		},
	}
	o := &observer{meter: demand.NewMeter(), table: func() *decide.Table { return table }}
	refused := decide.Decision{Action: decide.ActionRefuse, Reason: decide.ReasonDeadline}
	o.Decided("m", refused)
	o.Decided("unplaced", refused)
	o.Decided("m", decide.Decision{Action: decide.ActionRefuse, Reason: decide.ReasonQuarantined})
	now := time.Now()
	require.Len(t, o.meter.Rates(now, "porto-a"), 1)
	require.Contains(t, o.meter.Rates(now, "porto-a"), "unplaced")
	pelotas, caxias := o.meter.Rates(now, "pelotas"), o.meter.Rates(now, "caxias")
	require.InDelta(t, 0.5/demand.DecayTimeConstant.Seconds(), pelotas["m"].Refused, 1e-4)
	require.InDelta(t, 0.5/demand.DecayTimeConstant.Seconds(), caxias["m"].Refused, 1e-4)
}

func TestListenerCompletesInFlightResponse(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	l, err := listen("callers", "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		_, _ = io.WriteString(w, "whole")
	}))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.run(ctx) }()

	answer := make(chan string, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + l.addr())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		answer <- string(body)
	}()
	<-begun
	cancel()
	close(finish)
	require.Equal(t, "whole", <-answer)
	require.NoError(t, <-ended)
}

func TestAddressInUseReturnsListenError(t *testing.T) {
	l, err := listen("callers", "127.0.0.1:0", nil)
	require.NoError(t, err)
	defer l.net.Close()
	_, err = listen("peers", l.addr(), nil)
	var listenErr *ListenError
	require.True(t, errors.As(err, &listenErr))
	require.Equal(t, "peers", listenErr.Name)
}

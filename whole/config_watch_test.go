package whole

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"greengageferry/entry"
	"greengageferry/infra"
	"greengageferry/record"
	"greengageferry/replay"
)

// propose appends a configuration change to the log.
func (d *deployment) propose(change *record.ConfigChange, sequence int) infra.Offset {
	data, err := proto.Marshal(&record.Record{
		Origin:   "whole/" + change.GetPartner() + "/" + change.GetAuthor(),
		Sequence: uint64(sequence + 1),
		Body:     &record.Record_ConfigChange{ConfigChange: change},
	})
	require.NoError(d.t, err)
	offset, err := d.platform.Log.Append(d.t.Context(), infra.StreamConfig, [][]byte{data})
	require.NoError(d.t, err)
	return offset
}

// activeConfig returns the state of the config stream, replayed from the log's records.
func (d *deployment) activeConfig() *replay.ConfigView {
	machine := replay.NewConfig()
	for _, r := range d.platform.Log.Truth().Records[infra.StreamConfig] {
		var rec record.Record
		require.NoError(d.t, proto.Unmarshal(r.Data, &rec))
		machine.Apply(r.Offset, &rec)
	}
	return machine.View()
}

// watchConfig records the accepted versions of the configuration and the version that each
// instance has in force, until ctx ends.
func (d *deployment) watchConfig(ctx context.Context) {
	client := &http.Client{Transport: d.transport("operators"), Timeout: 2 * time.Second}
	var accepted uint64
	for ctx.Err() == nil {
		if changed := uint64(d.activeConfig().LastChange); changed > accepted {
			accepted = changed
			d.mu.Lock()
			d.truth.AcceptedConfig = append(d.truth.AcceptedConfig, AcceptedConfig{Offset: accepted, At: time.Now()})
			d.mu.Unlock()
		}
		for _, n := range d.nodes {
			d.observeConfig(ctx, client, n)
		}
		sleep(ctx, 200*time.Millisecond)
	}
}

// observeConfig records the version of the configuration that an instance has in force.
func (d *deployment) observeConfig(ctx context.Context, client *http.Client, n *node) {
	asked := time.Now()
	status, err := n.status(ctx, client)
	if err != nil || !n.mustHaveConfig(asked) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truth.ObservedConfig = append(d.truth.ObservedConfig, ObservedConfig{Instance: n.id, Offset: status.ConfigOffset, At: asked})
}

func (n *node) status(ctx context.Context, client *http.Client) (entry.Status, error) {
	var status entry.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.entry.OperatorsAddr()+entry.PathStatus, nil)
	if err != nil {
		return status, err
	}
	res, err := client.Do(req)
	if err != nil {
		return status, err
	}
	defer res.Body.Close()
	return status, json.NewDecoder(res.Body).Decode(&status)
}

// mustHaveConfig reports whether the instance must have the newest configuration in force:
// it runs, is not partitioned, and has had time to catch up since a partition.
func (n *node) mustHaveConfig(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.gone && !n.partitioned && now.After(n.catchUpBy)
}

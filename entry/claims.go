package entry

import (
	"strings"

	"greengageferry/claims"
	"greengageferry/infra"
	"greengageferry/logsync"
)

// wireClaims creates the batchers, which write the claims of the shards that this instance
// leads, and the client that sends claims to the batcher of their shard.
func (i *Instance) wireClaims() {
	self := infra.Instance{
		ID:            i.opts.Settings.Instance.ID,
		Role:          infra.RoleEntry,
		State:         infra.StateLive,
		Region:        i.opts.Settings.Instance.Region,
		FailureDomain: i.domain(),
	}
	i.batchers = claims.NewBatchers(claims.Options{
		Log:     i.opts.Platform.Log,
		Writer:  i.writer,
		Self:    self.ID,
		Members: i.members(""),
		Logger:  i.log,
		Metrics: i.vars("claims"),
	})
	i.claimer = claims.NewClient(claims.ClientOptions{
		Local:   i.batchers,
		Remote:  i.peers,
		Self:    self,
		Members: func() []infra.Instance { return i.watcher.List().Entries("") },
		Logger:  i.log,
	})
}

// appendBudget returns this instance's share of the append rate that the log allows.
func (i *Instance) appendBudget() logsync.Budget {
	return logsync.SharedBudget{
		LiveInstances:       func() int { return len(i.watcher.List().Entries("")) },
		SingleWriterStreams: func() int { return claims.Shards + len(*i.controlFollowers.followers.Load()) },
		IsWriter:            i.leads,
	}
}

// leads reports whether this instance is currently the main writer of a stream: as the
// lease holder of its failure domain for control streams, as the shard's batcher for claim
// streams.
func (i *Instance) leads(stream string) bool {
	if strings.HasPrefix(stream, infra.ControlStream("")) {
		controller := i.controller.Load()
		return controller != nil && controller.HoldsLease()
	}
	return i.batchers.Leads(stream)
}

package entry

import (
	"strings"

	"greengageferry/claims"
	"greengageferry/infra"
	"greengageferry/logsync"
)

// wireClaims makes this instance's part in the shards' batchers and the client
// that finds a shard's.
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

// budget is this instance's part of the log's appends.
func (i *Instance) budget() logsync.Budget {
	return logsync.SharedBudget{
		LiveInstances:       func() int { return len(i.watcher.List().Entries("")) },
		SingleWriterStreams: func() int { return claims.Shards + len(*i.domains.followers.Load()) },
		IsWriter:            i.leads,
	}
}

// leads says whether this instance is the one that writes a stream now: its
// failure domain's lease holder, or a shard's batcher.
func (i *Instance) leads(stream string) bool {
	if strings.HasPrefix(stream, infra.ControlStream("")) {
		controller := i.controller.Load()
		return controller != nil && controller.HoldsLease()
	}
	return i.batchers.Leads(stream)
}

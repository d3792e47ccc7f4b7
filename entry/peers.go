package entry

import (
	"context"
	"net/http"

	"greengageferry/caller"
	"greengageferry/infra"
	"greengageferry/peer"
	"greengageferry/record"
	"greengageferry/traffic"
)

// wirePeers makes the client to the other entry instances.
func (i *Instance) wirePeers() {
	i.peerTraffic = traffic.NewCounters(i.vars("peers"))
	i.peers = peer.NewClient(transport(i.opts.Dial), i.opts.Settings.Peers.Token, i.peerTraffic)
	i.states = peer.NewStateFetcher(i.peers, i.peerAddrs)
}

// peerAddrs returns the peers to ask for their state: the own failure domain's,
// which are still there when it is cut off; without any on the list, all that
// it has; without a list, the settings' seeds.
func (i *Instance) peerAddrs() []string {
	list := i.watcher.List()
	for _, domain := range []string{i.domain(), ""} {
		var addrs []string
		for _, entry := range list.Entries(domain) {
			if entry.ID != i.opts.Settings.Instance.ID {
				addrs = append(addrs, entry.Addr)
			}
		}
		if len(addrs) > 0 {
			return addrs
		}
	}
	return append([]string(nil), i.opts.Settings.Peers.Seeds...)
}

// peersHandler serves the peers' address.
func (i *Instance) peersHandler() http.Handler {
	return peer.Handler(peer.HandlerOptions{
		Instance:      i.opts.Settings.Instance.ID,
		FailureDomain: i.domain(),
		State:         i.checkpoint,
		Applied:       i.applied,
		Claims:        i.batchers,
		Answer:        i.answerFor,
		Report:        i.report,
		Missing:       i.tellController,
	}, i.opts.Settings.Peers.Token, i.peerTraffic)
}

// checkpoint returns the replayed state of a stream, or nil for one that isn't
// followed here.
func (i *Instance) checkpoint(stream string) *record.Checkpoint {
	switch stream {
	case i.config.Stream():
		return i.config.Checkpoint()
	case i.quarantined.Stream():
		return i.quarantined.Checkpoint()
	}
	for _, follower := range *i.domains.followers.Load() {
		if follower.Stream() == stream {
			return follower.Checkpoint()
		}
	}
	return nil
}

// applied returns how far the own control stream was read with no order of an
// older assignment under way.
func (i *Instance) applied() infra.Offset {
	if c := i.controller.Load(); c != nil {
		return c.Applied()
	}
	return 0
}

// answerFor returns what was answered to an attempt here.
func (i *Instance) answerFor(attempt string) (peer.Answer, bool, bool) {
	answer, finished, found := i.caller.AnswerFor(attempt)
	return peer.Answer(answer), finished, found
}

// answers implements caller.Answers over the peers.
type answers struct {
	client *peer.Client
	own    string
	local  func(attempt string) (caller.Answer, bool, bool)
	addrOf func(instance string) (string, bool)
}

// Fetch implements caller.Answers. An instance that is no longer listed has no
// answer any more: it kept them in memory.
func (a *answers) Fetch(ctx context.Context, instance, attempt string) (caller.Answer, bool, bool, error) {
	if instance == a.own {
		answer, finished, found := a.local(attempt)
		return answer, finished, found, nil
	}
	addr, listed := a.addrOf(instance)
	if !listed {
		return caller.Answer{}, false, false, nil
	}
	answer, finished, found, err := a.client.Answer(ctx, addr, attempt)
	return caller.Answer(answer), finished, found, err
}

// addrOf returns an entry instance's peers' address.
func (i *Instance) addrOf(instance string) (string, bool) {
	listed, ok := i.watcher.List().Get(instance)
	return listed.Addr, ok
}

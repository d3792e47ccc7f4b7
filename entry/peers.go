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

// wirePeers creates the client to the other entry instances.
func (i *Instance) wirePeers() {
	i.peerTraffic = traffic.NewCounters(i.vars("peers"))
	i.peers = peer.NewClient(newTransport(i.opts.Dial), i.opts.Settings.Peers.Token, i.peerTraffic)
	i.states = peer.NewStateFetcher(i.peers, i.peerAddrs)
}

// peerAddrs returns the addresses of the peers to ask for their state. The peers in the
// instance's own failure domain come first, because they stay reachable when the domain is
// partitioned from the others. If the list has none of these, all listed peers are
// returned; if it has no peers at all, the seeds from the settings.
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

// peersHandler returns the handler for the peers' address.
func (i *Instance) peersHandler() http.Handler {
	return peer.Handler(peer.HandlerOptions{
		Instance:      i.opts.Settings.Instance.ID,
		FailureDomain: i.domain(),
		State:         i.checkpoint,
		Applied:       i.applied,
		Claims:        i.batchers,
		Answer:        i.answerFor,
		Report:        i.demandReport,
		Missing:       i.reportToController,
	}, i.opts.Settings.Peers.Token, i.peerTraffic)
}

// checkpoint returns the replayed state of a stream, or nil if this instance does not
// follow the stream.
func (i *Instance) checkpoint(stream string) *record.Checkpoint {
	switch stream {
	case i.configStream.Stream():
		return i.configStream.Checkpoint()
	case i.quarantineStream.Stream():
		return i.quarantineStream.Checkpoint()
	}
	for _, follower := range *i.controlFollowers.followers.Load() {
		if follower.Stream() == stream {
			return follower.Checkpoint()
		}
	}
	return nil
}

// applied returns the offset up to which this instance has read its own failure domain's
// control stream and has no order of an older assignment in flight; 0 if unknown.
func (i *Instance) applied() infra.Offset {
	if c := i.controller.Load(); c != nil {
		return c.Applied()
	}
	return 0
}

// answerFor returns this instance's answer to an attempt, whether the attempt has finished,
// and whether it was found.
func (i *Instance) answerFor(attempt string) (peer.Answer, bool, bool) {
	answer, finished, found := i.caller.AnswerFor(attempt)
	return peer.Answer(answer), finished, found
}

// answerFetcher implements caller.Answers. It looks up answers locally or asks the peer that
// has them.
type answerFetcher struct {
	client *peer.Client
	ownID  string
	local  func(attempt string) (caller.Answer, bool, bool)
	addrOf func(instance string) (string, bool)
}

// Fetch implements caller.Answers. The answers of an instance that is no longer listed are
// lost, because instances keep answers only in memory.
func (f *answerFetcher) Fetch(ctx context.Context, instance, attempt string) (caller.Answer, bool, bool, error) {
	if instance == f.ownID {
		answer, finished, found := f.local(attempt)
		return answer, finished, found, nil
	}
	addr, listed := f.addrOf(instance)
	if !listed {
		return caller.Answer{}, false, false, nil
	}
	answer, finished, found, err := f.client.Answer(ctx, addr, attempt)
	return caller.Answer(answer), finished, found, err
}

// addrOf returns the address on which an entry instance serves its peers, and whether the
// instance is listed.
func (i *Instance) addrOf(instance string) (string, bool) {
	listed, ok := i.watcher.List().Get(instance)
	return listed.Addr, ok
}

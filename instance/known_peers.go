package instance

import (
	"math/rand/v2"
	"slices"

	"greengageferry/residency"
)

const (
	// maxOtherPeers bounds the instances that are remembered besides the candidates. With
	// a third of all links cut, some of so many are still reached.
	maxOtherPeers = 64
	// maxNamedPeers bounds the instances that an answer names.
	maxNamedPeers = 8
)

// knownPeers returns the addresses of other instances: the candidates, and those that
// notePeers remembers.
func (i *Instance) knownPeers() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := slices.Concat(i.peers, i.otherPeers)
	return slices.DeleteFunc(out, func(addr string) bool { return addr == i.opts.Node.PeerAddr })
}

// somePeers returns up to n known instances, drawn at random.
func (i *Instance) somePeers(n int) []string {
	peers := i.knownPeers()
	n = min(n, len(peers))
	for k := range n {
		drawn := k + rand.IntN(len(peers)-k)
		peers[k], peers[drawn] = peers[drawn], peers[k]
	}
	return peers[:n]
}

// notePeers remembers instances that reported to this one, or that another one named. An
// instance whose candidates know no more, or don't answer, learns from these.
func (i *Instance) notePeers(addrs ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, addr := range addrs {
		if addr == "" || addr == i.opts.Node.PeerAddr || slices.Contains(i.otherPeers, addr) || slices.Contains(i.peers, addr) {
			continue
		}
		if len(i.otherPeers) == maxOtherPeers {
			i.otherPeers = i.otherPeers[1:]
		}
		i.otherPeers = append(i.otherPeers, addr)
	}
}

// setPeers records the candidates for the lease, if they are known, as instances to learn
// from.
func (i *Instance) setPeers(candidates residency.Candidates) {
	if len(candidates) == 0 {
		return
	}
	i.origins.setMembers(candidates)
	addrs := make([]string, len(candidates))
	for n, c := range candidates {
		addrs[n] = c.Addr
	}
	i.mu.Lock()
	former := i.peers
	i.peers, i.candidates = addrs, candidates
	i.otherPeers = slices.DeleteFunc(i.otherPeers, func(addr string) bool { return slices.Contains(addrs, addr) })
	i.mu.Unlock()
	i.notePeers(former...) // one that was only cut off from the holder may still be reached
}

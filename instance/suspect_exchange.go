package instance

import (
	"math"
	"time"

	"greengageferry/exchange"
)

const (
	// suspectExchangeInterval is the least time between two exchanges of whole sets with an
	// instance. They repeat what reports of crashes have told, unless one was lost.
	suspectExchangeInterval = time.Second
	// noExchange is the digest that asks an instance for nothing.
	noExchange = math.MaxUint64
)

// suspectExchange is the exchange of sets by one kind of call.
type suspectExchange struct {
	at     time.Time // of the newest one that brought something either way
	digest uint64    // of the other's set when it last answered
	sent   int       // requests sent by the newest one
}

// begin returns the digest of the set for a call, and the requests unless the instance that is asked
// had the same when it last answered.
func (s *suspects) begin(x *suspectExchange) (uint64, []*exchange.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(x.at) < suspectExchangeInterval {
		return noExchange, nil
	}
	digest := s.set.Digest()
	x.sent = 0
	if digest == x.digest {
		return digest, nil
	}
	out := s.wireRepeated()
	x.sent = len(out)
	return digest, out
}

// end applies the answer to a call that began with the given digest.
func (s *suspects) end(x *suspectExchange, asked, digest uint64, received []*exchange.Suspect) {
	if asked == noExchange {
		return
	}
	s.merge(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	x.digest = digest
	if x.sent+len(received) > 0 {
		x.at = time.Now()
	}
}

// forHolder begins an exchange with the lease holder.
func (s *suspects) forHolder() (uint64, []*exchange.Suspect) { return s.begin(&s.toHolder) }

// onHolderAnswer applies the answer to a call of Sync with the digest asked.
func (s *suspects) onHolderAnswer(asked, digest uint64, received []*exchange.Suspect) {
	s.end(&s.toHolder, asked, digest, received)
}

// forPeer is like forHolder, for a call of State.
func (s *suspects) forPeer() (uint64, []*exchange.Suspect) { return s.begin(&s.toPeer) }

// onPeerAnswer applies the answer to a call of State with the digest asked.
func (s *suspects) onPeerAnswer(asked, digest uint64, received []*exchange.Suspect) {
	s.end(&s.toPeer, asked, digest, received)
}

// exchange merges what another instance sent with its digest, and returns this one's, with
// the requests if they differ.
func (s *suspects) exchange(digest uint64, received []*exchange.Suspect) (uint64, []*exchange.Suspect) {
	s.merge(received)
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.set.Digest()
	if own == digest || digest == noExchange {
		return own, nil
	}
	return own, s.wireRepeated()
}

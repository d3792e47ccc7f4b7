package entry

import (
	"context"
	"net/http"

	"greengageferry/claims"
	"greengageferry/logsync"
	"greengageferry/peer"
	"greengageferry/record"
)

func (i *Instance) budget() logsync.Budget {
	return logsync.Share{
		Live:    func() int { return len(i.watcher.List().Entries("")) },
		Streams: func() int { return claims.Shards + len(*i.domains.followers.Load()) },
		Leads:   func(string) bool { return true },
	}
}

type noClaims struct{}

func (noClaims) Claim(context.Context, *record.Claim) (claims.Standing, error) {
	return claims.Standing{Verdict: claims.NotKept}, http.ErrNotSupported
}
func (noClaims) Result(context.Context, *record.ClaimResult) error { return http.ErrNotSupported }

type noBatchers struct{}

func (noBatchers) Claim(context.Context, uint32, [][]byte) ([]*peer.ClaimStanding, error) {
	return nil, http.ErrNotSupported
}

func (i *Instance) claimer() claims.Claimer       { return noClaims{} }
func (i *Instance) claimServer() peer.ClaimServer { return noBatchers{} }

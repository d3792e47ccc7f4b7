package entry

import (
	"context"
	"net/http"

	"greengageferry/caller"
	"greengageferry/claims"
	"greengageferry/logsync"
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

func (i *Instance) claimer() claims.Claimer { return noClaims{} }

type noAnswers struct{}

func (noAnswers) Fetch(context.Context, string, string) (caller.Answer, bool, bool, error) {
	return caller.Answer{}, false, false, http.ErrNotSupported
}

func (i *Instance) answers() caller.Answers    { return noAnswers{} }
func (i *Instance) peersHandler() http.Handler { return http.NotFoundHandler() }

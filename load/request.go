package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// newRequest returns the nth request of the load, which depends only on the
// options and n.
func (o Options) newRequest(n int) Request {
	rng := rand.New(rand.NewPCG(o.Seed, uint64(n)))
	r := Request{MaxTokens: o.MaxTokens, Timeout: o.Timeout, Streamed: rng.Float64() < o.Streamed}
	draw := rng.Float64()
	r.NonIdempotent = draw < o.Keyed+o.NonIdempotent
	if draw < o.Keyed {
		r.IdempotencyKey = fmt.Sprintf("load-%d-%d", o.Seed, n)
	}
	r.Model = o.Models[rng.IntN(len(o.Models))]
	r.Prompt = o.newPrompt(rng, n)
	return r
}

// newPrompt returns the prompt of the nth request: one of o.Prefixes prefixes
// repeated over about half of the size, the request's number, and padding.
func (o Options) newPrompt(rng *rand.Rand, n int) string {
	size := o.PromptMin + rng.IntN(o.PromptMax-o.PromptMin+1)
	prefix := fmt.Sprintf("instructions %d ", rng.IntN(o.Prefixes))
	shared := strings.Repeat(prefix, size/2/len(prefix)+1)
	text := shared + fmt.Sprintf("request %d ", n)
	return text + strings.Repeat("x", max(0, size-len(text)))
}

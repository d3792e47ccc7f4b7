package relay

import (
	"net/http"
	"time"

	"greengageferry/allowance"
	"greengageferry/topology"
)

// unconfirmedRetryAfter is the Retry-After of an instance that can't tell whether a newer
// configuration allows the request. It takes an instance that lost the store about that
// long to ask others.
const unconfirmedRetryAfter = 500 * time.Millisecond

// admission is the check of a request's route and API key by a configuration.
type admission struct {
	status  int    // 0: the request is allowed; otherwise that of the response
	reason  string // with status
	route   *topology.Route
	account *topology.Account // nil: the request needs no API key and has none that is known
}

// admit checks a request's route and API key by the view's configuration.
func (c *call) admit(v *topology.View) admission {
	a := admission{route: v.Index.Match(c.req.Host, c.path())}
	if a.route == nil {
		return c.deny(http.StatusNotFound, "no_route")
	}
	accounts := v.Config.Accounts
	if accounts == nil {
		return a
	}
	a.account = accounts.ByKey(c.headers.Key)
	if a.route.Public {
		return a
	}
	if a.account == nil {
		return c.deny(http.StatusUnauthorized, "unknown_key")
	}
	if !c.relay.trust().MayAccept {
		return admission{status: http.StatusServiceUnavailable, reason: "key_unconfirmed"}
	}
	return a
}

// deny rejects a request that the configuration doesn't allow. While a newer one may be
// in force that allows it, the request is only refused.
func (c *call) deny(status int, reason string) admission {
	if !c.relay.trust().MayReject {
		return admission{status: http.StatusServiceUnavailable, reason: reason + "_unconfirmed"}
	}
	return admission{status: status, reason: reason}
}

// trust returns what the age of the configuration in force allows.
func (r *Relay) trust() ConfigTrust {
	if r.opts.Trust == nil {
		return ConfigTrust{MayReject: true, MayAccept: true}
	}
	return r.opts.Trust()
}

// respondDenied sends the response to a request that is not allowed, none of whose attempts
// can have run.
func (c *call) respondDenied(a admission) string {
	if a.status == http.StatusServiceUnavailable {
		return c.refuse(a.reason, unconfirmedRetryAfter)
	}
	return c.reject(a.status, a.reason)
}

// setAdmission adopts the result of a check by the view's configuration.
func (c *call) setAdmission(v *topology.View, a admission) {
	c.configVersion = v.Config.Version
	c.route, c.account = a.route, a.account
}

// rank returns the request's priority, 0 is the most urgent.
func (c *call) rank() int {
	if c.account != nil && c.account.HasRank {
		return c.account.Rank
	}
	return c.route.Rank
}

// accountName returns the name of the request's client account, empty if it has none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// endIfKeyRevoked ends a call whose API key a newer configuration has taken away while the
// request waited, before the attempt of the decision begins. It returns the request's
// outcome, or "" if the key still belongs to the same account.
func (c *call) endIfKeyRevoked() string {
	v := c.relay.view.Load()
	if v.Config.Version == c.configVersion || v.Config.Accounts == nil || c.route.Public {
		return ""
	}
	account := v.Config.Accounts.ByKey(c.headers.Key)
	if account != nil && account.Name == c.accountName() {
		return ""
	}
	c.relay.dispatcher.abandon(c)
	switch {
	case c.stream.started:
		c.abort("key_revoked")
		return outcomeBroken
	case c.mayHaveRun:
		return c.fail(http.StatusBadGateway, "key_revoked")
	case account != nil:
		return c.refuse("key_moved", unconfirmedRetryAfter)
	}
	return c.reject(http.StatusUnauthorized, "key_revoked")
}

// charge charges the request to its account's allowance, before it takes a place in any
// queue.
func (c *call) charge() allowance.Decision {
	if c.account == nil || c.relay.opts.Allowances == nil {
		return allowance.Decision{Verdict: allowance.Admitted}
	}
	d := c.relay.opts.Allowances.Admit(c.req.Context(), c.account, c.tokens())
	if d.Verdict == allowance.Admitted {
		c.charged = c.account
	}
	return d
}

// tokens returns the tokens that the request states: those of its prompt and the most of its
// answer.
func (c *call) tokens() int { return c.headers.PromptTokens + c.headers.MaxTokens }

// refuseCharge refuses a request that its account's allowance doesn't admit.
func (c *call) refuseCharge(d allowance.Decision) string {
	if d.Verdict == allowance.Unknown {
		return c.refuse("allowance_unknown", d.RetryAfter)
	}
	c.relay.opts.Headers.SetRetryAfter(c.w.Header(), d.RetryAfter)
	c.writeStatus(http.StatusTooManyRequests, "allowance_exceeded")
	return outcomeRefused
}

// returnCharge gives back the charge of a request that ended with the given outcome, if it
// did not run.
func (c *call) returnCharge(outcome string) {
	if c.charged == nil || c.mayHaveRun || c.stream.started {
		return
	}
	switch outcome {
	case outcomeRefused, outcomeRejected, outcomeCallerLeft:
		c.relay.opts.Allowances.Return(c.charged, c.tokens())
	}
}

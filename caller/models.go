package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"greengageferry/caller/api"
	"greengageferry/decide"
	"greengageferry/infra"
	"greengageferry/internal/digest"
)

// defaultMaxTokens limits an answer if the table sets no limit. It is the
// configuration's default.
const defaultMaxTokens = 1024

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// serveModels lists the models and adapters of the caller's partner.
func (s *Server) serveModels(rw *response, c *call, r *http.Request) *api.Problem {
	if r.Method != http.MethodGet {
		return methodProblem(rw, http.MethodGet)
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for name, t := range s.table.Load().Targets {
		if t.Partner == c.sender.partner && !t.Service {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: t.Partner})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings and integers always have a JSON form
	}
	rw.writeHeader(http.StatusOK, contentJSON)
	_ = rw.write(body) // a disconnected caller needs no answer
	return nil
}

// methodProblem sets the Allow header and returns the problem of a wrong method.
func methodProblem(rw *response, allowed string) *api.Problem {
	rw.w.Header().Set("Allow", allowed)
	return invalid(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "the path takes only "+allowed)
}

// target returns the named model, adapter or service if the caller may use it.
func (s *Server) target(c *call, name string, service bool) (*decide.Target, *api.Problem) {
	t := s.table.Load().Targets[name]
	if t == nil || t.Service != service {
		return nil, unknownTargetProblem(service)
	}
	if t.Partner != c.sender.partner {
		return nil, &api.Problem{
			Status:  http.StatusForbidden,
			Type:    api.TypePermission,
			Code:    CodeOtherPartner,
			Message: "it is another partner's",
			Outcome: api.OutcomeNotRun,
		}
	}
	return t, nil
}

func unknownTargetProblem(service bool) *api.Problem {
	p := &api.Problem{
		Status:  http.StatusNotFound,
		Type:    api.TypeNotFound,
		Code:    CodeUnknownModel,
		Message: "no model or adapter of that name is in force",
		Outcome: api.OutcomeNotRun,
	}
	if service {
		p.Code = CodeUnknownService
		p.Message = "no service of that name is in force"
	}
	return p
}

// serveModel answers a completion or a chat completion.
func (s *Server) serveModel(rw *response, c *call, r *http.Request, kind api.Kind) *api.Problem {
	if r.Method != http.MethodPost {
		return methodProblem(rw, http.MethodPost)
	}
	o, p := s.parseRequestOptions(r.Header)
	if p != nil {
		return p
	}
	body, p := s.readBody(rw, r)
	if p != nil {
		return p
	}
	req, err := api.Parse(kind, body)
	if err != nil {
		return asProblem(err)
	}
	if p := s.prepareModel(c, o, req); p != nil {
		return p
	}
	j := s.newModelJob(rw, c, req)
	if o.key == "" {
		ctx, _, cancel := callContexts(r, c, false)
		defer cancel()
		return s.serveUnclaimed(ctx, c, j)
	}
	canonical, p := canonicalJSON(body)
	if p != nil {
		return p
	}
	ctx, callerCtx, cancel := callContexts(r, c, true)
	defer cancel()
	return s.serveClaimed(ctx, callerCtx, c, rw, j, claimRequest{
		key:         o.key,
		fingerprint: digest.Sum([]byte(c.sender.partner), []byte(r.URL.Path), canonical),
	})
}

// serveUnclaimed runs a request that needs no claim.
func (s *Server) serveUnclaimed(ctx context.Context, c *call, j job) *api.Problem {
	p := s.run(ctx, c, j)
	if p != nil {
		j.fail(p)
	}
	return p
}

// prepareModel sets the call's fields from the request.
func (s *Server) prepareModel(c *call, o requestOptions, req *api.Request) *api.Problem {
	t, p := s.target(c, req.Model, false)
	if p != nil {
		return p
	}
	c.target = t
	c.applyOptions(o, t, s.opts.Limits.MaxTimeout)
	c.promptBytes = len(req.Prompt)
	c.prefix = infra.PrefixHash(req.Prompt)
	limit := t.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	c.maxTokens = limit
	if req.MaxTokens > 0 {
		c.maxTokens = req.MaxTokens
	}
	if c.maxTokens > limit {
		return api.Invalid(api.CodeBadField, "max_tokens is over the model's most, %d", limit)
	}
	c.fingerprint = digest.Sum([]byte(c.sender.partner), []byte(t.Name), []byte(req.Prompt))
	return s.checkQuarantine(c)
}

// checkQuarantine refuses a request that crashes backend servers.
func (s *Server) checkQuarantine(c *call) *api.Problem {
	if !s.opts.Quarantine.Quarantined(c.fingerprint) {
		return nil
	}
	return c.refusalProblem(decide.ReasonQuarantined, 0)
}

// applyOptions sets the call's priority, deadline and idempotency. A request with
// an idempotency key is claimed and counts as non-idempotent here: the instance
// does not dispatch it again after an unknown outcome, but its caller may retry.
func (c *call) applyOptions(o requestOptions, t *decide.Target, limit time.Duration) {
	c.priority = o.priority
	c.idempotent = !o.nonIdempotent && o.key == ""
	timeout := o.timeout
	if timeout == 0 {
		timeout = t.Timeout
	}
	if timeout <= 0 || timeout > limit {
		timeout = limit
	}
	c.deadline = c.arrived.Add(timeout)
}

func (s *Server) newModelJob(rw *response, c *call, req *api.Request) *modelJob {
	j := &modelJob{server: s, call: c, response: rw, prompt: req.Prompt, seed: s.rng.Uint64()}
	if req.Seed != nil {
		j.seed = *req.Seed
	}
	info := api.AnswerInfo{Kind: req.Kind, Request: c.id, Model: req.Model, Created: c.arrived}
	if req.Stream {
		j.encoder = &streamEncoder{response: rw, events: api.NewEventEncoder(&info), includeUsage: req.IncludeUsage}
	} else {
		j.encoder = &bufferedEncoder{response: rw, info: info, maxBytes: s.opts.Limits.BufferedAnswerBytes}
	}
	return j
}

// canonicalJSON returns the body's JSON with sorted members and no whitespace, so
// that a retry that a client library encodes differently is recognized as the same
// request.
func canonicalJSON(body []byte) ([]byte, *api.Problem) {
	canonical, err := api.Canonical(body)
	if err != nil {
		return nil, asProblem(err)
	}
	return canonical, nil
}

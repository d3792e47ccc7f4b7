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
)

// defaultMaxTokens bounds an answer where the table says nothing: the
// configuration's default.
const defaultMaxTokens = 1024

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

// serveModels lists the models and adapters that the caller may ask for.
func (s *Server) serveModels(k *sink, c *call, r *http.Request) *api.Problem {
	if r.Method != http.MethodGet {
		return methodProblem(k, http.MethodGet)
	}
	list := modelList{Object: "list", Data: []modelLine{}}
	for name, t := range s.table.Load().Targets {
		if t.Partner == c.who.partner && !t.Service {
			list.Data = append(list.Data, modelLine{ID: name, Object: "model", OwnedBy: t.Partner})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	body, err := json.Marshal(list)
	if err != nil {
		panic(err) // strings and integers always have a JSON form
	}
	k.start(http.StatusOK, contentJSON)
	_ = k.write(body) // a caller that is gone needs no answer
	return nil
}

func methodProblem(k *sink, allowed string) *api.Problem {
	k.w.Header().Set("Allow", allowed)
	return invalid(http.StatusMethodNotAllowed, CodeMethod, "the path takes only "+allowed)
}

// target returns what the caller asks for by name.
func (s *Server) target(c *call, name string, service bool) (*decide.Target, *api.Problem) {
	t := s.table.Load().Targets[name]
	if t == nil || t.Service != service {
		return nil, unknownTarget(service)
	}
	if t.Partner != c.who.partner {
		return nil, &api.Problem{
			Status:  http.StatusForbidden,
			Type:    api.TypePermission,
			Code:    CodeNotYours,
			Message: "it is another partner's",
			Outcome: api.OutcomeNotRun,
		}
	}
	return t, nil
}

func unknownTarget(service bool) *api.Problem {
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
func (s *Server) serveModel(k *sink, c *call, r *http.Request, kind api.Kind) *api.Problem {
	if r.Method != http.MethodPost {
		return methodProblem(k, http.MethodPost)
	}
	w, p := s.parseWishes(r.Header)
	if p != nil {
		return p
	}
	body, p := s.readBody(k, r)
	if p != nil {
		return p
	}
	req, err := api.Parse(kind, body)
	if err != nil {
		return asProblem(err)
	}
	if p := s.prepareModel(c, w, req); p != nil {
		return p
	}
	j := s.newModelJob(k, c, req)
	if w.key == "" {
		ctx, _, cancel := within(r, c, false)
		defer cancel()
		return s.serveOnce(ctx, c, j)
	}
	canonical, p := canonicalJSON(body)
	if p != nil {
		return p
	}
	ctx, callerCtx, cancel := within(r, c, true)
	defer cancel()
	return s.serveClaimed(ctx, callerCtx, c, k, j, claimed{
		key:         w.key,
		fingerprint: digest([]byte(c.who.partner), []byte(r.URL.Path), canonical),
	})
}

// serveOnce runs a request that needs no claim.
func (s *Server) serveOnce(ctx context.Context, c *call, j job) *api.Problem {
	p := s.run(ctx, c, j)
	if p != nil {
		j.fail(p)
	}
	return p
}

// prepareModel fills in the call from what the request asks for.
func (s *Server) prepareModel(c *call, w wishes, req *api.Request) *api.Problem {
	t, p := s.target(c, req.Model, false)
	if p != nil {
		return p
	}
	c.target = t
	c.setWishes(w, t, s.opts.Limits.MaxTimeout)
	c.promptBytes = len(req.Prompt)
	c.prefix = infra.PrefixHash(req.Prompt)
	most := t.MaxTokens
	if most <= 0 {
		most = defaultMaxTokens
	}
	c.maxTokens = most
	if req.MaxTokens > 0 {
		c.maxTokens = req.MaxTokens
	}
	if c.maxTokens > most {
		return api.Invalid(api.CodeBadField, "max_tokens is over the model's most, %d", most)
	}
	c.fingerprint = digest([]byte(c.who.partner), []byte(t.Name), []byte(req.Prompt))
	return s.quarantined(c)
}

// quarantined refuses a request that crashes backend servers.
func (s *Server) quarantined(c *call) *api.Problem {
	if !s.opts.Quarantine.Quarantined(c.fingerprint) {
		return nil
	}
	return c.refusal(decide.ReasonQuarantined, 0)
}

// setWishes applies what the headers ask for. A keyed request is claimed, and
// so is never dispatched again by itself: its caller may resend it.
func (c *call) setWishes(w wishes, t *decide.Target, most time.Duration) {
	c.priority = w.priority
	c.idempotent = !w.nonIdempotent && w.key == ""
	timeout := w.timeout
	if timeout == 0 {
		timeout = t.Timeout
	}
	if timeout <= 0 || timeout > most {
		timeout = most
	}
	c.deadline = c.arrived.Add(timeout)
}

func (s *Server) newModelJob(k *sink, c *call, req *api.Request) *modelJob {
	j := &modelJob{server: s, call: c, sink: k, prompt: req.Prompt, seed: s.rng.Uint64()}
	if req.Seed != nil {
		j.seed = *req.Seed
	}
	head := api.Head{Kind: req.Kind, Request: c.id, Model: req.Model, Created: c.arrived}
	if req.Stream {
		j.reply = &streamReply{sink: k, events: api.NewEvents(&head), usage: req.IncludeUsage}
	} else {
		j.reply = &wholeReply{sink: k, head: head, most: s.opts.Limits.AnswerBytes}
	}
	return j
}

// canonicalJSON returns the body's JSON with sorted members and no spaces, so
// that a resend that a library encodes anew is known as the same request.
func canonicalJSON(body []byte) ([]byte, *api.Problem) {
	canonical, err := api.Canonical(body)
	if err != nil {
		return nil, asProblem(err)
	}
	return canonical, nil
}

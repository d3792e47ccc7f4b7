package standin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"greengageferry/infra"
)

// DefaultMiBPerSecond is how fast the store gives one load its weights while no
// more are under way than it serves at full speed. A small model takes some
// seconds with it.
const DefaultMiBPerSecond = 4096

// fetchChunk is how often a load's speed is set anew from how many are under
// way.
const fetchChunk = 100 * time.Millisecond

// Fetcher is where an engine gets weights from.
type Fetcher interface {
	// Fetch returns once the weights are there, or an error.
	Fetch(ctx context.Context, partner string, mib int64) error
}

// StoreOptions are a weight store's settings.
type StoreOptions struct {
	Limits       map[string]infra.StoreLimits // by partner
	MiBPerSecond float64                      // of one load at full speed; default DefaultMiBPerSecond
}

// WeightStore is a stand-in for the weight store. Each partner's loads begin at
// a limited rate, and share the speed of its concurrent loads once there are
// more. Its operations are "store.limits" and "store.fetch".
type WeightStore struct {
	Faults Faults

	options  StoreOptions
	mux      *http.ServeMux
	limiters map[string]*rate.Limiter

	mu     sync.Mutex
	slow   float64
	active map[string]int
	truth  StoreTruth
}

// StoreTruth is what a store did.
type StoreTruth struct {
	Fetches map[string]int // begun, by partner
	Peak    map[string]int // most at a time, by partner
}

var (
	_ infra.WeightStore = (*WeightStore)(nil)
	_ Standin           = (*WeightStore)(nil)
	_ Fetcher           = (*WeightStore)(nil)
)

// pathFetch is where engines in other processes fetch.
const pathFetch = "/store/fetch"

// NewWeightStore returns a store.
func NewWeightStore(options StoreOptions) *WeightStore {
	if options.MiBPerSecond == 0 {
		options.MiBPerSecond = DefaultMiBPerSecond
	}
	s := &WeightStore{
		options:  options,
		mux:      http.NewServeMux(),
		limiters: map[string]*rate.Limiter{},
		slow:     1,
		active:   map[string]int{},
		truth:    StoreTruth{Fetches: map[string]int{}, Peak: map[string]int{}},
	}
	for partner, limits := range options.Limits {
		if limits.LoadsPerSecond > 0 {
			s.limiters[partner] = rate.NewLimiter(rate.Limit(limits.LoadsPerSecond), 1)
		}
	}
	s.mux.HandleFunc("GET "+infra.PathStoreLimits, s.serveLimits)
	s.mux.HandleFunc("POST "+pathFetch, s.serveFetch)
	return s
}

// Run implements Standin.
func (s *WeightStore) Run(ctx context.Context) error { return idle(ctx) }

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetSlow makes each load take factor times as long.
func (s *WeightStore) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Limits implements infra.WeightStore.
func (s *WeightStore) Limits(ctx context.Context, partner string) (infra.StoreLimits, error) {
	var limits infra.StoreLimits
	err := s.Faults.do(ctx, "store.limits", "", func() error {
		limits = s.options.Limits[partner]
		return nil
	})
	return limits, err
}

// Fetch implements Fetcher.
func (s *WeightStore) Fetch(ctx context.Context, partner string, mib int64) error {
	return s.Faults.do(ctx, "store.fetch", "", func() error { return s.fetch(ctx, partner, mib) })
}

func (s *WeightStore) fetch(ctx context.Context, partner string, mib int64) error {
	if limiter := s.limiters[partner]; limiter != nil {
		if err := limiter.Wait(ctx); err != nil {
			return refusal("store.fetch", "", infra.ReasonOverloaded)
		}
	}
	s.begin(partner)
	defer s.end(partner)
	left := float64(mib)
	for left > 0 {
		speed := s.speed(partner)
		chunk := min(fetchChunk, time.Duration(left/speed*float64(time.Second))+1)
		if err := sleep(ctx, chunk); err != nil {
			return contextError(ctx, "store.fetch", "", infra.EffectUnknown)
		}
		left -= speed * chunk.Seconds()
	}
	return nil
}

func (s *WeightStore) begin(partner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[partner]++
	s.truth.Fetches[partner]++
	s.truth.Peak[partner] = max(s.truth.Peak[partner], s.active[partner])
}

func (s *WeightStore) end(partner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[partner]--
}

// speed returns how fast one of the partner's loads goes now, in MiB a second.
func (s *WeightStore) speed(partner string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := s.options.MiBPerSecond / s.slow
	full := s.options.Limits[partner].ConcurrentLoads
	if full > 0 && s.active[partner] > full {
		speed *= float64(full) / float64(s.active[partner])
	}
	return speed
}

// Truth returns what the store did.
func (s *WeightStore) Truth() StoreTruth {
	s.mu.Lock()
	defer s.mu.Unlock()
	truth := StoreTruth{Fetches: map[string]int{}, Peak: map[string]int{}}
	for partner, n := range s.truth.Fetches {
		truth.Fetches[partner] = n
		truth.Peak[partner] = s.truth.Peak[partner]
	}
	return truth
}

func (s *WeightStore) serveLimits(w http.ResponseWriter, r *http.Request) {
	limits, err := s.Limits(r.Context(), r.URL.Query().Get("partner"))
	if err != nil {
		writeError(w, err, infra.Batch{})
		return
	}
	writeJSON(w, limits)
}

func (s *WeightStore) serveFetch(w http.ResponseWriter, r *http.Request) {
	mib, err := strconv.ParseInt(r.URL.Query().Get("mib"), 10, 64)
	if err != nil {
		writeError(w, refusal("store.fetch", "", infra.ReasonBadRequest), infra.Batch{})
		return
	}
	answer(w, s.Fetch(r.Context(), r.URL.Query().Get("partner"), mib))
}

// HTTPFetcher fetches from a WeightStore in another process.
type HTTPFetcher struct {
	base   string
	client *http.Client
}

// NewHTTPFetcher returns a Fetcher from the store at the base URL.
func NewHTTPFetcher(base string, client *http.Client) *HTTPFetcher {
	return &HTTPFetcher{base: base, client: client}
}

// Fetch implements Fetcher.
func (f *HTTPFetcher) Fetch(ctx context.Context, partner string, mib int64) error {
	const op = "store.fetch"
	query := url.Values{"partner": {partner}, "mib": {strconv.FormatInt(mib, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.base+pathFetch+"?"+query.Encode(), nil)
	if err != nil {
		return refusal(op, f.base, infra.ReasonBadRequest)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return &infra.Error{Op: op, Addr: f.base, Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return refusal(op, f.base, infra.ReasonUnavailable)
	}
	return nil
}

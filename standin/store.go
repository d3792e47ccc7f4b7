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

// DefaultMiBPerSecond is the rate of one fetch while no more fetches are active than
// the store serves at full speed. A small model takes some seconds to load at this
// rate.
const DefaultMiBPerSecond = 4096

// rateUpdateInterval is how often a fetch's rate is recomputed from the number of
// active fetches.
const rateUpdateInterval = 100 * time.Millisecond

// Fetcher fetches model weights for an engine.
type Fetcher interface {
	// Fetch returns nil once mib MiB of weights have arrived.
	Fetch(ctx context.Context, partner string, mib int64) error
}

// StoreOptions configures a WeightStore.
type StoreOptions struct {
	Limits       map[string]infra.StoreLimits // by partner
	MiBPerSecond float64                      // rate of one fetch at full speed; default DefaultMiBPerSecond
}

// WeightStore is a fake of the platform's weight store. It limits the rate at which
// each partner's fetches start. When a partner has more active fetches than its
// ConcurrentLoads, they share the bandwidth of that many. The operations for Faults
// are "store.limits" and "store.fetch".
type WeightStore struct {
	Faults Faults

	options  StoreOptions
	mux      *http.ServeMux
	limiters map[string]*rate.Limiter

	mu            sync.Mutex
	slowdown      float64
	activeFetches map[string]int
	truth         StoreTruth
}

// StoreTruth is the record of what a store did.
type StoreTruth struct {
	Fetches        map[string]int // number of fetches begun, by partner
	PeakConcurrent map[string]int // peak number of concurrent fetches, by partner
}

var (
	_ infra.WeightStore = (*WeightStore)(nil)
	_ Fake              = (*WeightStore)(nil)
	_ Fetcher           = (*WeightStore)(nil)
)

// pathFetch is the path at which engines in other processes fetch weights.
const pathFetch = "/store/fetch"

// NewWeightStore returns a store with the options.
func NewWeightStore(options StoreOptions) *WeightStore {
	if options.MiBPerSecond == 0 {
		options.MiBPerSecond = DefaultMiBPerSecond
	}
	s := &WeightStore{
		options:       options,
		mux:           http.NewServeMux(),
		limiters:      map[string]*rate.Limiter{},
		slowdown:      1,
		activeFetches: map[string]int{},
		truth:         StoreTruth{Fetches: map[string]int{}, PeakConcurrent: map[string]int{}},
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

// Run implements Fake.
func (s *WeightStore) Run(ctx context.Context) error { return waitDone(ctx) }

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetSlowdown makes each fetch take factor times as long.
func (s *WeightStore) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Limits implements infra.WeightStore.
func (s *WeightStore) Limits(ctx context.Context, partner string) (infra.StoreLimits, error) {
	var limits infra.StoreLimits
	err := s.Faults.inject(ctx, "store.limits", "", func() error {
		limits = s.options.Limits[partner]
		return nil
	})
	return limits, err
}

// Fetch implements Fetcher.
func (s *WeightStore) Fetch(ctx context.Context, partner string, mib int64) error {
	return s.Faults.inject(ctx, "store.fetch", "", func() error { return s.fetch(ctx, partner, mib) })
}

// fetch waits for the partner's rate limit and then for the time that the weights
// take.
func (s *WeightStore) fetch(ctx context.Context, partner string, mib int64) error {
	if limiter := s.limiters[partner]; limiter != nil {
		if err := limiter.Wait(ctx); err != nil {
			return refusalError("store.fetch", "", infra.ReasonOverloaded)
		}
	}
	s.beginFetch(partner)
	defer s.endFetch(partner)
	remaining := float64(mib)
	for remaining > 0 {
		fetchRate := s.fetchRate(partner)
		chunk := min(rateUpdateInterval, time.Duration(remaining/fetchRate*float64(time.Second))+1)
		if err := sleep(ctx, chunk); err != nil {
			return contextError(ctx, "store.fetch", "", infra.EffectUnknown)
		}
		remaining -= fetchRate * chunk.Seconds()
	}
	return nil
}

func (s *WeightStore) beginFetch(partner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFetches[partner]++
	s.truth.Fetches[partner]++
	s.truth.PeakConcurrent[partner] = max(s.truth.PeakConcurrent[partner], s.activeFetches[partner])
}

func (s *WeightStore) endFetch(partner string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeFetches[partner]--
}

// fetchRate returns the current rate of each of the partner's fetches, in MiB per
// second.
func (s *WeightStore) fetchRate(partner string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	fetchRate := s.options.MiBPerSecond / s.slowdown
	fullSpeedFetches := s.options.Limits[partner].ConcurrentLoads
	if fullSpeedFetches > 0 && s.activeFetches[partner] > fullSpeedFetches {
		fetchRate *= float64(fullSpeedFetches) / float64(s.activeFetches[partner])
	}
	return fetchRate
}

// Truth returns the record of what the store did.
func (s *WeightStore) Truth() StoreTruth {
	s.mu.Lock()
	defer s.mu.Unlock()
	truth := StoreTruth{Fetches: map[string]int{}, PeakConcurrent: map[string]int{}}
	for partner, n := range s.truth.Fetches {
		truth.Fetches[partner] = n
		truth.PeakConcurrent[partner] = s.truth.PeakConcurrent[partner]
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
		writeError(w, refusalError("store.fetch", "", infra.ReasonBadRequest), infra.Batch{})
		return
	}
	writeResult(w, s.Fetch(r.Context(), r.URL.Query().Get("partner"), mib))
}

// HTTPFetcher is a Fetcher that uses a WeightStore in another process.
type HTTPFetcher struct {
	base   string
	client *http.Client
}

// NewHTTPFetcher returns an HTTPFetcher for the store at the base URL.
func NewHTTPFetcher(base string, client *http.Client) *HTTPFetcher {
	return &HTTPFetcher{base: base, client: client}
}

// Fetch implements Fetcher.
func (f *HTTPFetcher) Fetch(ctx context.Context, partner string, mib int64) error {
	const op = "store.fetch"
	query := url.Values{"partner": {partner}, "mib": {strconv.FormatInt(mib, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.base+pathFetch+"?"+query.Encode(), nil)
	if err != nil {
		return refusalError(op, f.base, infra.ReasonBadRequest)
	}
	res, err := f.client.Do(req)
	if err != nil {
		return &infra.Error{Op: op, Addr: f.base, Reason: infra.ReasonUnreachable, Effect: infra.EffectUnknown, Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return refusalError(op, f.base, infra.ReasonUnavailable)
	}
	return nil
}

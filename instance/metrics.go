package instance

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"greengageferry/allowance"
	"greengageferry/decide"
	"greengageferry/internal/respbody"
)

// latencyBuckets are the upper bounds of the latency histograms' buckets, in seconds.
// They are dense around the latency goals of some hundred milliseconds, and the same on
// all instances, so that buckets can be added up.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 15}

// namespace is the prefix of all metric names.
const namespace = "greengageferry"

// metrics holds the Prometheus metrics of an instance. It implements relay.Metrics. The
// label values are bounded: outcomes, actions, reasons, results and kinds of
// read are constants.
type metrics struct {
	registry *prometheus.Registry

	requests        *prometheus.CounterVec // by outcome
	decisions       *prometheus.CounterVec // by action and reason
	rankDecisions   *prometheus.CounterVec // by action, rank and whether the request was late
	orders          *prometheus.CounterVec // by result
	sentRateLimited prometheus.Counter
	backlogRefusals *prometheus.CounterVec // by whether there is room when the caller comes back
	storeFailures   prometheus.Counter
	lateAnswers     prometheus.Counter
	storeEras       prometheus.Counter
	peerQuestions   prometheus.Counter
	duration        prometheus.Histogram
	firstByte       prometheus.Histogram
	wait            prometheus.Histogram
	eventGap        prometheus.Histogram
	storeCalls      *prometheus.HistogramVec // by kind of read
	storeResults    *prometheus.CounterVec   // by kind of read and how it ended, see storeResult
	allowances      *prometheus.CounterVec   // by account, see accountLabel, and verdict
	draws           *prometheus.CounterVec   // by result
	crashes         prometheus.Counter
	crashReports    *prometheus.CounterVec // by receiver and result
	admissions      *prometheus.CounterVec // by result
	sendings        *prometheus.CounterVec // by connection: new, kept, or again
	bodies          *prometheus.CounterVec // by framing and end
	connEnds        *prometheus.CounterVec // by what is known of the server
	resumptions     *prometheus.CounterVec // by who took the stream up, by software version and by version of the weights
	eventOrder      *prometheus.CounterVec // by place and fault

	accountsMu sync.Mutex
	accounts   map[string]bool // those with a label of their own
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// newCounters returns counters by the values of the labels.
func newCounters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// newHistogram returns a histogram with latencyBuckets.
func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
}

func newMetrics() *metrics {
	m := &metrics{
		registry:        prometheus.NewRegistry(),
		requests:        newCounters("requests_total", "Requests by the class of their end.", "outcome"),
		decisions:       newCounters("decisions_total", "Decisions about requests.", "action", "reason"),
		rankDecisions:   newCounters("rank_decisions_total", "Decisions about requests that get room by their rank.", "action", "rank", "late"),
		orders:          newCounters("orders_total", "Orders to servers.", "result"),
		sentRateLimited: newCounter("sent_rate_limited_total", "Attempts at servers that name a rate limit."),
		backlogRefusals: newCounters("backlog_refusals_total", "Refusals by what waits at all instances, by whether there will be room when the caller comes back.", "room"),
		storeFailures:   newCounter("store_failures_total", "Reads of the platform's store that failed."),
		lateAnswers:     newCounter("store_late_answers_total", "Answers of the platform's store that came after their read was given up for slow, and were applied."),
		storeEras:       newCounter("store_eras_total", "Times that the platform's store came back from an older copy."),
		peerQuestions:   newCounter("peer_questions_total", "Questions to other instances while this one's knowledge was out of date."),
		crashes:         newCounter("crashed_attempts_total", "Attempts whose server crashed."),
		crashReports:    newCounters("crash_reports_total", "Reports of crashed servers to other instances, by receiver (holder, other) and result (answered, unanswered).", "to", "result"),
		duration:        newHistogram("request_seconds", "From a request's arrival to its end."),
		firstByte:       newHistogram("first_byte_seconds", "From a request's arrival to its answer's first byte."),
		wait:            newHistogram("wait_seconds", "From a request's arrival to its first attempt."),
		eventGap:        newHistogram("event_gap_seconds", "The longest pause of a stream."),
		storeCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "store_call_seconds", Help: "Reads of the platform's store, their waiting included.", Buckets: latencyBuckets,
		}, []string{"read"}),
		storeResults: newCounters("store_reads_total", "Reads of the platform's store by how they ended.", "read", "result"),
		allowances:   newCounters("allowance_decisions_total", "Requests of client accounts with an allowance, by what it allowed.", "account", "verdict"),
		draws:        newCounters("allowance_draws_total", "Calls that asked the lease holder for credit.", "result"),
		sendings:     newCounters("sendings_total", "Sendings of attempts, by their connection: new, kept, or again, one more of the same attempt.", "connection"),
		admissions:   newCounters("gateway_admissions_total", "Attempts at servers that fail by refusing that this instance was asked to send, by what became of them: at_once, waited, full.", "result"),
		bodies:       newCounters("answer_bodies_total", "Bodies of servers' answers, by how the server framed them and how they ended.", "framing", "end"),
		connEnds:     newCounters("answers_ended_by_connection_total", "Answers that looked whole and ended with their connection, by what is known of their server's process.", "server"),
		resumptions:  newCounters("resumed_streams_total", "Streams that went on at another server, by who took them up (answer, caller) whether its software version was that at which they began, and how the version of its model's weights compares to that of their newest event.", "by", "version", "weights"),
		eventOrder:   newCounters("misordered_events_total", "Events of streams whose ids don't follow the ones before, by place (run, resumption) and fault (repeated, back, skipped).", "place", "fault"),
		accounts:     map[string]bool{},
	}
	m.registry.MustRegister(m.requests, m.decisions, m.rankDecisions, m.orders, m.sentRateLimited, m.backlogRefusals, m.storeFailures, m.lateAnswers, m.storeEras, m.peerQuestions, m.duration, m.firstByte, m.wait, m.eventGap, m.storeCalls, m.storeResults, m.allowances, m.draws, m.crashes, m.crashReports, m.sendings, m.admissions, m.bodies, m.connEnds, m.resumptions, m.eventOrder)
	return m
}

// CountSendings implements relay.Metrics.
func (m *metrics) CountSendings(reused bool, again int) {
	connection := "new"
	if reused {
		connection = "kept"
	}
	m.sendings.WithLabelValues(connection).Inc()
	m.sendings.WithLabelValues("again").Add(float64(again))
}

// CountGatewayAdmission implements relay.Metrics.
func (m *metrics) CountGatewayAdmission(result string) { m.admissions.WithLabelValues(result).Inc() }

// CountBody implements relay.Metrics.
func (m *metrics) CountBody(framing respbody.Framing, end respbody.End) {
	m.bodies.WithLabelValues(string(framing), string(end)).Inc()
}

// CountConnectionEnd implements relay.Metrics.
func (m *metrics) CountConnectionEnd(verdict string) { m.connEnds.WithLabelValues(verdict).Inc() }

// CountResumption implements relay.Metrics.
func (m *metrics) CountResumption(by, version, weights string) {
	m.resumptions.WithLabelValues(by, version, weights).Inc()
}

// CountEventOrder implements relay.Metrics.
func (m *metrics) CountEventOrder(place, fault string) {
	m.eventOrder.WithLabelValues(place, fault).Inc()
}

// gauge registers a gauge whose value is computed on each scrape.
func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value))
}

// ObserveRequest implements relay.Metrics.
func (m *metrics) ObserveRequest(outcome string, duration time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.duration.Observe(duration.Seconds())
}

// ObserveFirstByte implements relay.Metrics.
func (m *metrics) ObserveFirstByte(took time.Duration) { m.firstByte.Observe(took.Seconds()) }

// ObserveQueueTime implements relay.Metrics.
func (m *metrics) ObserveQueueTime(took time.Duration) { m.wait.Observe(took.Seconds()) }

// ObserveStreamGap implements relay.Metrics.
func (m *metrics) ObserveStreamGap(longest time.Duration) { m.eventGap.Observe(longest.Seconds()) }

// CountDecision implements relay.Metrics.
func (m *metrics) CountDecision(action, reason string) {
	m.decisions.WithLabelValues(action, reason).Inc()
}

// CountRankDecision implements relay.Metrics. All ranks from decide.Ranks-1 on share a label.
func (m *metrics) CountRankDecision(action string, rank int, late bool) {
	m.rankDecisions.WithLabelValues(action, strconv.Itoa(decide.RankIndex(rank)), strconv.FormatBool(late)).Inc()
}

// CountRateLimitedAttempt implements relay.Metrics.
func (m *metrics) CountRateLimitedAttempt() { m.sentRateLimited.Inc() }

// CountBacklogRefusal implements relay.Metrics.
func (m *metrics) CountBacklogRefusal(room bool) {
	m.backlogRefusals.WithLabelValues(strconv.FormatBool(room)).Inc()
}

// countOrder counts an order to a server by its result.
func (m *metrics) countOrder(result string) { m.orders.WithLabelValues(result).Inc() }

// storeResult returns how a read of the store with this error ended: answered, unanswered
// in time, replaced by a newer read before its time, or failed.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, context.DeadlineExceeded):
		return "unanswered"
	case errors.Is(err, context.Canceled):
		return "replaced"
	}
	return "failed"
}

// observeStoreCall observes the duration of a read of the store, and how it ended.
func (m *metrics) observeStoreCall(read string, began time.Time, err error) {
	m.storeCalls.WithLabelValues(read).Observe(time.Since(began).Seconds())
	m.storeResults.WithLabelValues(read, storeResult(err)).Inc()
}

// maxAccountLabels bounds how many accounts have a label of their own in the metrics.
const maxAccountLabels = 64

// accountLabel returns the label of an account: its name, or "other" for accounts beyond the
// first maxAccountLabels.
func (m *metrics) accountLabel(name string) string {
	m.accountsMu.Lock()
	defer m.accountsMu.Unlock()
	if m.accounts[name] {
		return name
	}
	if len(m.accounts) >= maxAccountLabels {
		return "other"
	}
	m.accounts[name] = true
	return name
}

// countAllowance counts a request by its account and by what the allowance allowed.
func (m *metrics) countAllowance(account string, v allowance.Verdict) {
	m.allowances.WithLabelValues(m.accountLabel(account), v.String()).Inc()
}

// countCrashReport counts a report of crashes to another instance.
func (m *metrics) countCrashReport(to string, answered bool) {
	result := "unanswered"
	if answered {
		result = "answered"
	}
	m.crashReports.WithLabelValues(to, result).Inc()
}

// countDraw counts a call that asked the lease holder for credit.
func (m *metrics) countDraw(err error) { m.draws.WithLabelValues(storeResult(err)).Inc() }

// handler serves the metrics in the Prometheus text format.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// registerGauges registers the gauges of the instance's state and of how old that is.
func (i *Instance) registerGauges() {
	g := i.metrics.gauge
	g("scheduling_delay_seconds", "How long goroutines waited for a processor in the last second, 99th percentile.", i.delay.seconds)
	g("unreachable_servers", "Servers that this instance reaches only through another one.", func() float64 { return float64(i.relay.UnreachableServers()) })
	g("slowest_server_speed", "Work per time of the slowest server relative to the mean of its pool, as all instances measured it; 1: not known.", func() float64 { slowest, _ := i.relay.SpeedRange(); return slowest })
	g("fastest_server_speed", "Work per time of the fastest server relative to the mean of its pool, as all instances measured it; 1: not known.", func() float64 { _, fastest := i.relay.SpeedRange(); return fastest })
	g("suspected_requests", "Requests during which a server crashed, as far as that speaks against them.", func() float64 { n, _ := i.suspects.counts(); return float64(n) })
	g("quarantined_requests", "Requests that are refused because they crash servers.", func() float64 { _, n := i.suspects.counts(); return float64(n) })
	g("config_version", "Version of the configuration in force, 0: none.", func() float64 { return float64(i.configVersion()) })
	g("config_confirmed_age_seconds", "Since the configuration in force was last known to be the newest; -1: never.", func() float64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		return float64(ageMs(i.configConfirmedAt)) / 1000
	})
	g("servers", "Servers listed.", func() float64 { return float64(len(i.currentView().Servers)) })
	g("servers_age_seconds", "Since the store last answered for the list of servers, to this instance or the lease holder; -1: never.", i.servers.ageSeconds)
	g("servers_position", "Offset in the store up to which the list of servers was read, by this instance or the lease holder; -1: to be read in full.", func() float64 { return float64(i.servers.position().Offset) })
	g("servers_without_entry", "Servers used though their entries disappeared, just after an outage of the store.", func() float64 { return float64(i.servers.keptCount()) })
	g("store_answer_age_seconds", "Since the store last answered this instance; -1: never.", func() float64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		return float64(ageMs(i.storeAnsweredAt)) / 1000
	})
	g("store_down", "1 while the store doesn't answer this instance.", func() float64 { return boolToFloat(i.storeIsDown()) })
	g("lease_held", "1 while this instance holds the lease.", func() float64 { return boolToFloat(i.lease.Holds()) })
	g("instances", "Live instances.", func() float64 { return float64(i.instanceCount()) })
	g("servers_rate_limited", "Servers that name a rate limit.", func() float64 { return float64(i.relay.RateLimitedServers()) })
	g("services_refusal_limited", "Services whose servers fail if they have to refuse too many requests.", func() float64 { return float64(len(i.relay.RefusalLimits())) })
	g("known_instances", "Other instances that this one knows and may ask.", func() float64 { return float64(len(i.knownPeers())) })
	g("gateway_members", "Instances that may be gateways of such servers, as far as this one knows.", func() float64 { return float64(len(i.relay.Gateways())) })
	g("servers_paused", "Servers that get no requests from this instance until their Retry-After has passed.", func() float64 { return float64(i.relay.PausedServers()) })
	g("accounts_over_share", "Client accounts of which requests are refused since they have more than their share of servers.", func() float64 { return float64(i.relay.AccountsOverShare()) })
	g("held_bytes", "Memory that requests in hand take, by estimate.", func() float64 { return float64(i.relay.HeldBytes()) })
	g("caller_connections", "Open connections of callers.", func() float64 { open, _ := i.frontend.conns.counts(); return float64(open) })
	g("caller_connections_made_room", "Idle connections of callers that were closed to make room for others.", func() float64 { _, closed := i.frontend.conns.counts(); return float64(closed) })
	g("requests_in_hand", "Requests in hand.", func() float64 { return float64(i.relay.ActiveRequests()) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

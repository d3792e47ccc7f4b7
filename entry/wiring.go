package entry

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"greengageferry/caller"
	"greengageferry/decide"
	"greengageferry/demand"
	"greengageferry/fleet"
	"greengageferry/infra"
	"greengageferry/logsync"
	"greengageferry/replay"
	"greengageferry/supervise"
)

// vars adds an empty expvar map for a component to the instance's metrics and returns the map.
func (i *Instance) vars(name string) *expvar.Map {
	m := new(expvar.Map)
	i.metrics.Set(name, m)
	return m
}

// wireList creates the watcher of the platform's instance list.
func (i *Instance) wireList() {
	every := i.opts.Settings.Timing.ListEvery.Value()
	i.watcher = fleet.NewWatcher(i.opts.Platform.Instances, every, i.log, i.vars("list"))
}

// wireStreams creates the followers and the writer of the log's streams.
func (i *Instance) wireStreams() {
	s := i.opts.Settings
	vars := i.vars("log")
	i.configStream = logsync.NewFollower(logsync.FollowerOptions[replay.ConfigView]{
		Log:     i.opts.Platform.Log,
		Stream:  infra.StreamConfig,
		New:     func(infra.Offset) logsync.ViewMachine[replay.ConfigView] { return replay.NewConfig() },
		Peers:   i.states,
		Logger:  i.log,
		Metrics: vars,
	})
	i.quarantineStream = logsync.NewFollower(logsync.FollowerOptions[replay.QuarantineView]{
		Log:     i.opts.Platform.Log,
		Stream:  infra.StreamQuarantine,
		New:     func(infra.Offset) logsync.ViewMachine[replay.QuarantineView] { return replay.NewQuarantine() },
		Peers:   i.states,
		Logger:  i.log,
		Metrics: vars,
	})
	i.writer = logsync.NewWriter(logsync.WriterOptions{
		Log:     i.opts.Platform.Log,
		Origin:  s.Instance.ID + "/" + uuid.NewString(),
		Budget:  i.appendBudget(),
		Logger:  i.log,
		Metrics: vars,
	})
	i.configTracker = newConfigTracker(i.configStream, i.log)
	i.controlFollowers = newControlFollowers(i.domain(), i.configTracker.Config, i.newControlFollower(vars), supervise.Options{Log: i.log})
}

// otherDomainSpacing is the minimum time between two reads of another failure domain's
// control stream. The lease renewals there, three in 8 s, do not matter to this instance,
// and reading eight streams at each renewal would make 3 reads/s, most of the instance's
// control traffic. The spacing adds to the delay until a change of placement there is seen.
const otherDomainSpacing = 6 * time.Second

// newControlFollower returns a function that creates the follower of a failure domain's
// control stream.
func (i *Instance) newControlFollower(vars *expvar.Map) func(string) *controlFollower {
	return func(domain string) *controlFollower {
		spacing := otherDomainSpacing
		if domain == i.domain() {
			spacing = logsync.DefaultReadInterval
		}
		return logsync.NewFollower(logsync.FollowerOptions[replay.ControlView]{
			Log:          i.opts.Platform.Log,
			Stream:       infra.ControlStream(domain),
			New:          func(infra.Offset) logsync.ViewMachine[replay.ControlView] { return replay.NewControl() },
			Peers:        i.states,
			ReadInterval: spacing,
			Logger:       i.log,
			Metrics:      vars,
		})
	}
}

// domain returns the instance's failure domain.
func (i *Instance) domain() string { return i.opts.Settings.Instance.FailureDomain }

// members returns a function that lists the ids of the live entry instances of a failure
// domain, or of all failure domains if domain is empty. The result always includes this
// instance, even if the list does not have it yet.
func (i *Instance) members(domain string) func() []string {
	return func() []string {
		own := i.opts.Settings.Instance.ID
		ids := []string{own}
		for _, entry := range i.watcher.List().Entries(domain) {
			if entry.ID != own {
				ids = append(ids, entry.ID)
			}
		}
		return ids
	}
}

// configValidator returns the duty that validates configuration changes and writes the
// verdicts to the log.
func (i *Instance) configValidator() *logsync.Judge {
	return logsync.NewJudge(logsync.JudgeOptions{
		Source:  i.configStream,
		Writer:  i.writer,
		Self:    i.opts.Settings.Instance.ID,
		Members: i.members(""),
		Program: i.opts.Version,
		Logger:  i.log,
	})
}

// checkpointer returns the duty that writes a stream's state as a checkpoint before the
// stream's records age out. The entry instances of the failure domain share this work, or
// all entry instances if domain is empty.
func (i *Instance) checkpointer(source logsync.Source, domain string) *logsync.Checkpointer {
	return logsync.NewCheckpointer(logsync.CheckpointerOptions{
		Source:  source,
		Writer:  i.writer,
		Self:    i.opts.Settings.Instance.ID,
		Members: i.members(domain),
		Logger:  i.log,
	})
}

// wireDemand creates the meters of the demand from this instance's callers, and the
// collector of the other instances' demand.
func (i *Instance) wireDemand() {
	entries := func() []infra.Instance { return i.watcher.List().Entries("") }
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	i.meter = demand.NewMeter()
	i.loads = demand.NewLoads()
	i.collector = demand.NewCollector(i.domain(), i.peers, entries, random)
}

// wireMissingReports creates the duty that reports servers that lack an assigned model or
// adapter.
func (i *Instance) wireMissingReports() {
	i.missingReports = &missingReports{
		ownID:   i.opts.Settings.Instance.ID,
		queue:   make(chan string, missingBuffer),
		list:    i.watcher.List,
		views:   i.controlFollowers.views,
		local:   i.reportToController,
		remote:  i.peers.Missing,
		log:     i.log,
		metrics: i.vars("missing"),
	}
}

// reportToController reports a server that lacks an assigned model or adapter to this
// instance's controller, if one runs.
func (i *Instance) reportToController(server string) {
	if c := i.controller.Load(); c != nil {
		c.ReportMissing(server)
	}
}

// wireCaller creates the server that serves callers.
func (i *Instance) wireCaller() error {
	s := i.opts.Settings
	i.cachePoller = &cachePoller{engine: i.opts.Platform.Engine, usedServers: make(chan server, usedServerBuffer), metrics: i.vars("hints")}
	i.quarantine = &logQuarantine{config: i.configTracker.Config, follower: i.quarantineStream, appender: i.writer, log: i.log}
	callers, err := caller.New(caller.Options{
		Instance:      s.Instance.ID,
		FailureDomain: i.domain(),
		Directory:     i.configTracker,
		Engine:        i.opts.Platform.Engine,
		Services:      i.opts.Platform.Services,
		Claimer:       i.claimer,
		Quarantine:    i.quarantine,
		Answers: &answerFetcher{
			client: i.peers,
			ownID:  s.Instance.ID,
			local:  func(attempt string) (caller.Answer, bool, bool) { return i.caller.AnswerFor(attempt) },
			addrOf: i.addrOf,
		},
		Observer: &observer{meter: i.meter, loads: i.loads, domainOf: i.domainOf, table: i.table.Load, missingReports: i.missingReports.enqueue, markUsed: i.cachePoller.markUsed},
		Limits: caller.Limits{
			BodyBytes:          int(s.Limits.MaxBodyBytes),
			ConcurrentRequests: s.Limits.MaxInFlight,
			AnswerCacheBytes:   int(s.Limits.AnswerBytes),
		},
		Log:     i.log,
		Metrics: i.vars("caller"),
		Rand:    i.opts.Rand,
	})
	if err != nil {
		return err
	}
	i.caller = callers
	i.cachePoller.applyEvents = callers.ApplyCacheEvents
	return nil
}

func (i *Instance) wireRouting() {
	i.tableBuilder = &tableBuilder{
		domain:       i.domain(),
		config:       i.configTracker.Config,
		list:         i.watcher.List,
		controlViews: i.controlFollowers.views,
		publish: func(t *decide.Table) {
			i.table.Store(t)
			i.caller.SetTable(t)
		},
		log: i.log,
	}
}

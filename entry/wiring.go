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

// vars names a component's vars within the instance's metrics.
func (i *Instance) vars(name string) *expvar.Map {
	m := new(expvar.Map)
	i.metrics.Set(name, m)
	return m
}

// wireList makes what follows the platform's list.
func (i *Instance) wireList() {
	every := i.opts.Settings.Timing.ListEvery.Value()
	i.watcher = fleet.NewWatcher(i.opts.Platform.Instances, every, i.log, i.vars("list"))
}

// wireStreams makes what follows and writes the log.
func (i *Instance) wireStreams() {
	s := i.opts.Settings
	vars := i.vars("log")
	i.config = logsync.NewFollower(logsync.FollowerOptions[replay.ConfigView]{
		Log:     i.opts.Platform.Log,
		Stream:  infra.StreamConfig,
		New:     func(infra.Offset) logsync.ViewMachine[replay.ConfigView] { return replay.NewConfig() },
		Peers:   i.states,
		Logger:  i.log,
		Metrics: vars,
	})
	i.quarantined = logsync.NewFollower(logsync.FollowerOptions[replay.QuarantineView]{
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
		Budget:  i.budget(),
		Logger:  i.log,
		Metrics: vars,
	})
	i.configuration = newConfiguration(i.config, i.log)
	i.domains = newDomains(i.domain(), i.configuration.Config, i.followControl(vars), supervise.Options{Log: i.log})
}

// otherDomainSpacing is the least time between two reads of another failure
// domain's control stream. Its lease's renewals, three in 8 s, are of no use
// here; eight streams read at each of them would be 3 reads a second, most of a
// node's bytes for control. It adds to how late a move there is seen here.
const otherDomainSpacing = 6 * time.Second

// followControl returns how to follow a failure domain's control stream.
func (i *Instance) followControl(vars *expvar.Map) func(string) *controlFollower {
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

// members returns the ids of the live entry instances of a failure domain, or
// of all where domain is empty. The instance counts itself while the list lags.
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

// judge returns the duty that gives configuration changes their verdicts.
func (i *Instance) judge() *logsync.Judge {
	return logsync.NewJudge(logsync.JudgeOptions{
		Source:  i.config,
		Writer:  i.writer,
		Self:    i.opts.Settings.Instance.ID,
		Members: i.members(""),
		Program: i.opts.Version,
		Logger:  i.log,
	})
}

// checkpointer returns the duty that writes a stream's state again before its
// records age out; the entry instances of the failure domain share it, or all
// where domain is empty.
func (i *Instance) checkpointer(source logsync.Source, domain string) *logsync.Checkpointer {
	return logsync.NewCheckpointer(logsync.CheckpointerOptions{
		Source:  source,
		Writer:  i.writer,
		Self:    i.opts.Settings.Instance.ID,
		Members: i.members(domain),
		Logger:  i.log,
	})
}

// wireDemand makes what meters this instance's callers and asks the others'.
func (i *Instance) wireDemand() {
	entries := func() []infra.Instance { return i.watcher.List().Entries("") }
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	i.meter = demand.NewMeter()
	i.loads = demand.NewLoads()
	i.collector = demand.NewCollector(i.domain(), i.peers, entries, random)
}

// wireMissing makes what passes on which servers lack what they should hold.
func (i *Instance) wireMissing() {
	i.missing = &missing{
		own:     i.opts.Settings.Instance.ID,
		ring:    make(chan string, missingRing),
		list:    i.watcher.List,
		views:   i.domains.views,
		local:   i.tellController,
		tell:    i.peers.Missing,
		log:     i.log,
		metrics: i.vars("missing"),
	}
}

// tellController tells the controller, if one runs, of a server that lacks what
// it should hold.
func (i *Instance) tellController(server string) {
	if c := i.controller.Load(); c != nil {
		c.ReportMissing(server)
	}
}

// wireCaller makes the callers' side.
func (i *Instance) wireCaller() error {
	s := i.opts.Settings
	i.hints = &hints{engine: i.opts.Platform.Engine, ring: make(chan server, hintsRing), metrics: i.vars("hints")}
	i.quarantine = &quarantine{config: i.configuration.Config, follower: i.quarantined, appender: i.writer, log: i.log}
	callers, err := caller.New(caller.Options{
		Instance:      s.Instance.ID,
		FailureDomain: i.domain(),
		Directory:     i.configuration,
		Engine:        i.opts.Platform.Engine,
		Services:      i.opts.Platform.Services,
		Claimer:       i.claimer,
		Quarantine:    i.quarantine,
		Answers: &answers{
			client: i.peers,
			own:    s.Instance.ID,
			local:  func(attempt string) (caller.Answer, bool, bool) { return i.caller.AnswerFor(attempt) },
			addrOf: i.addrOf,
		},
		Observer: &observer{meter: i.meter, loads: i.loads, domainOf: i.domainOf, table: i.table.Load, missing: i.missing.found, used: i.hints.used},
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
	i.hints.cached = callers.ApplyCacheEvents
	return nil
}

func (i *Instance) wireRouting() {
	i.routing = &routing{
		domain:   i.domain(),
		config:   i.configuration.Config,
		list:     i.watcher.List,
		controls: i.domains.views,
		publish: func(t *decide.Table) {
			i.table.Store(t)
			i.caller.SetTable(t)
		},
		log: i.log,
	}
}

package whole

import (
	"time"

	"greengageferry/standin"
)

// GroundTruth holds what really happened, as recorded by the stand-ins and the test.
type GroundTruth struct {
	Engines        []standin.EngineTruth
	Services       map[string][]standin.ServiceRun // by backend server
	Models         []Model                         // the declared models and adapters
	Leaving        map[string]time.Time            // by backend server: when the platform's list began to show it as leaving
	Shutdowns      map[string]time.Time            // by entry instance: when its graceful shutdown began
	AcceptedConfig []AcceptedConfig
	ObservedConfig []ObservedConfig
}

// Model is a name that callers can request, with the model or adapter that engines serve
// for it.
type Model struct {
	Name    string // as in callers' requests
	Model   string
	Adapter string
	Partner string
}

// AcceptedConfig is a version of the configuration that was accepted.
type AcceptedConfig struct {
	Offset uint64 // log offset of the verdict; identifies the version
	At     time.Time
}

// ObservedConfig is the version of the configuration that an entry instance had in force
// when the test queried it.
type ObservedConfig struct {
	Instance string
	Offset   uint64
	At       time.Time
}

// run is one execution of a request on a backend server.
type run struct {
	server  string
	attempt string
	seed    uint64 // only for runs on engines
}

// runs returns all runs, by the hash of the request's prompt or body.
func (t *GroundTruth) runs() map[uint64][]run {
	runs := map[uint64][]run{}
	for _, e := range t.Engines {
		for _, r := range e.Runs {
			runs[r.Prompt] = append(runs[r.Prompt], run{server: e.ID, attempt: r.Attempt, seed: r.Seed})
		}
	}
	for server, calls := range t.Services {
		for _, r := range calls {
			runs[r.Body] = append(runs[r.Body], run{server: server, attempt: r.Attempt})
		}
	}
	return runs
}

// findModel returns the declared model or adapter with the name.
func (t *GroundTruth) findModel(name string) (Model, bool) {
	for _, m := range t.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

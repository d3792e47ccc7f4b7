package whole

import (
	"time"

	"greengageferry/standin"
)

// Truth is what really happened, as the stand-ins and the test know it.
type Truth struct {
	Engines   []standin.EngineTruth
	Services  map[string][]standin.ServiceRun // by backend server
	Models    []Model                         // the declared models and adapters
	Leaving   map[string]time.Time            // by backend server: since when the platform's list says so
	Shutdowns map[string]time.Time            // by entry instance: when its graceful shutdown began
	Accepted  []Accepted
	Seen      []Seen
}

// Model is a name that callers can ask for, and what it stands for at engines.
type Model struct {
	Name    string // as callers ask for it
	Model   string
	Adapter string
	Partner string
}

// Accepted is a version of the configuration that was accepted.
type Accepted struct {
	Offset uint64 // of its verdict
	At     time.Time
}

// Seen is the version of the configuration that an entry instance had in force
// when it was asked.
type Seen struct {
	Instance string
	Offset   uint64
	At       time.Time
}

// run is a run at one of the backend servers.
type run struct {
	server  string
	attempt string
	seed    uint64 // of engines
}

// runs returns all runs, by the hash of their prompts or bodies.
func (t *Truth) runs() map[uint64][]run {
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

// model returns what a name stands for at engines.
func (t *Truth) model(name string) (Model, bool) {
	for _, m := range t.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

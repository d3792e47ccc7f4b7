package entry

import (
	"encoding/json"
	"io"
	"net/http"

	"greengageferry/config"
)

// The operators' paths.
const (
	PathLive    = "/livez"      // 200 while the process runs
	PathReady   = "/readyz"     // 200 while callers may be sent here, else 503 with the reasons
	PathMetrics = "/debug/vars" // expvar's form
	PathStatus  = "/status"     // a Status
	PathExplain = "/explain"    // a config.Explained: each setting with its source
)

// operatorsHandler serves the operators' address.
func (i *Instance) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLive, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // a reader that has gone needs no answer
	})
	mux.HandleFunc("GET "+PathReady, i.serveReady)
	mux.HandleFunc("GET "+PathMetrics, i.serveMetrics)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, i.Status()) })
	mux.HandleFunc("GET "+PathExplain, i.serveExplain)
	return mux
}

// readiness is the answer of PathReady.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	reasons := i.notReady()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

func (i *Instance) serveExplain(w http.ResponseWriter, _ *http.Request) {
	current := i.configuration.current.Load()
	if current == nil {
		writeJSON(w, http.StatusServiceUnavailable, readiness{Reasons: i.notReady()})
		return
	}
	explained := config.Explain(current.config, current.provenance)
	explained.Offset = current.changed
	writeJSON(w, http.StatusOK, explained)
}

func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, i.metrics.String()) // a reader that has gone needs no answer
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a reader that has gone needs no answer
}

// notReady returns why callers shouldn't be sent here; none while they may be.
func (i *Instance) notReady() []string {
	var reasons []string
	if i.leaving.Load() {
		reasons = append(reasons, "shutting down")
	}
	if i.configuration.Config() == nil {
		reasons = append(reasons, "no configuration known")
	}
	if i.watcher.List() == nil {
		reasons = append(reasons, "instance list never read")
	}
	if i.domains.ownFollower().View() == nil {
		reasons = append(reasons, "failure domain's control stream not known")
	}
	if i.table.Load() == nil {
		reasons = append(reasons, "no routing table")
	}
	return reasons
}

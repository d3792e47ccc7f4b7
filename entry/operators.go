package entry

import (
	"encoding/json"
	"io"
	"net/http"

	"greengageferry/config"
)

// Paths on the operators' address.
const (
	PathLive    = "/livez"      // status 200 while the process runs
	PathReady   = "/readyz"     // status 200 while the instance is ready for callers, else 503 with the reasons
	PathMetrics = "/debug/vars" // JSON, as written by package expvar
	PathStatus  = "/status"     // a Status
	PathExplain = "/explain"    // a config.Explanation: each setting with its source
)

// operatorsHandler returns the handler for the operators' address.
func (i *Instance) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathLive, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n") // fails only if the client has disconnected
	})
	mux.HandleFunc("GET "+PathReady, i.serveReady)
	mux.HandleFunc("GET "+PathMetrics, i.serveMetrics)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, i.Status()) })
	mux.HandleFunc("GET "+PathExplain, i.serveExplain)
	return mux
}

// readiness is the JSON response of PathReady.
type readiness struct {
	Ready   bool     `json:"ready"`
	Reasons []string `json:"reasons,omitempty"`
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	reasons := i.notReadyReasons()
	status := http.StatusOK
	if len(reasons) > 0 {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, readiness{Ready: len(reasons) == 0, Reasons: reasons})
}

func (i *Instance) serveExplain(w http.ResponseWriter, _ *http.Request) {
	current := i.configTracker.current.Load()
	if current == nil {
		writeJSON(w, http.StatusServiceUnavailable, readiness{Reasons: i.notReadyReasons()})
		return
	}
	explained := config.Explain(current.config, current.provenance)
	explained.Offset = current.offset
	writeJSON(w, http.StatusOK, explained)
}

func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(w, i.metrics.String()) // fails only if the client has disconnected
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// notReadyReasons returns why callers should not be sent to this instance, or nil if it is
// ready.
func (i *Instance) notReadyReasons() []string {
	var reasons []string
	if i.shuttingDown.Load() {
		reasons = append(reasons, "shutting down")
	}
	if i.configTracker.Config() == nil {
		reasons = append(reasons, "no configuration known")
	}
	if i.watcher.List() == nil {
		reasons = append(reasons, "instance list never read")
	}
	if i.controlFollowers.ownFollower().View() == nil {
		reasons = append(reasons, "failure domain's control stream not known")
	}
	if i.table.Load() == nil {
		reasons = append(reasons, "no routing table")
	}
	return reasons
}

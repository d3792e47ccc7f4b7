package topology

import (
	"slices"
	"strconv"
	"strings"

	"greengageferry/decide"
)

// weightsSeparator separates a target from the version of the model's weights that it is restricted
// to. It can't occur in the name of a model.
const weightsSeparator = " #"

// WeightsTarget returns the name of the target that is another one at servers that hold its model
// at a version of the weights.
func WeightsTarget(target string, weights int64) string {
	return target + weightsSeparator + strconv.FormatInt(weights, 10)
}

// CutWeights returns the name of the target without a restriction to a version of the weights.
func CutWeights(target string) string {
	name, _, _ := strings.Cut(target, weightsSeparator)
	return name
}

// TargetAtWeights returns the name of the target that serves a target of the service's model at a
// version of the weights alone.
func (v *View) TargetAtWeights(service, model, target string, weights int64) string {
	if weights != 0 && v.HasSeveralWeights(service, model) {
		return WeightsTarget(target, weights)
	}
	return target
}

// HasSeveralWeights reports whether servers of the service hold or held several versions of the
// model's weights.
func (v *View) HasSeveralWeights(service, model string) bool {
	return len(v.Weights) > 0 && len(v.Weights[TargetName(service, model, "")]) > 1
}

// HeldWeights returns the versions of the weights at which servers of the service that aren't
// leaving hold a model and, if adapter is not empty, that adapter. An unknown version is 0. If
// software is not empty, only servers of that software version count. Those for
// which excluded returns true don't.
func (v *View) HeldWeights(service, model, adapter, software string, excluded func(s *Server, version int64) bool) []int64 {
	held := v.heldOf(model)
	var out []int64
	for i := range v.Servers {
		s := &v.Servers[i]
		if s.Service != service || s.Leaving || software != "" && s.SoftwareVersion != software {
			continue
		}
		if version, ok := s.weightsOf(model, adapter, held[s.ID]); ok && !slices.Contains(out, version) && !excluded(s, version) {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// WeightsAt returns the version of the weights at which a server holds a model by its entry, 0 if it
// doesn't or isn't listed.
func (v *View) WeightsAt(server, model string) int64 {
	at, found := slices.BinarySearchFunc(v.Servers, server, func(s Server, id string) int { return strings.Compare(s.ID, id) })
	if !found {
		return 0
	}
	if m := v.Servers[at].model(model); m != nil {
		return m.Version
	}
	return 0
}

// heldOf returns the differences in Held that concern a model, by server.
func (v *View) heldOf(model string) map[string]HeldList {
	var out map[string]HeldList
	for _, h := range v.Held {
		if h.Model != model {
			continue
		}
		if out == nil {
			out = map[string]HeldList{}
		}
		out[h.Server] = append(out[h.Server], h)
	}
	return out
}

// weightsOf returns the version of the weights at which the server holds a model and an adapter,
// empty for none, and whether it holds both. held are the differences to its entry.
func (s *Server) weightsOf(model, adapter string, held HeldList) (int64, bool) {
	added := func(adapter string) bool {
		return slices.ContainsFunc(held, func(h Held) bool { return h.Model == model && h.Adapter == adapter && !h.Dropped })
	}
	if held.excludes(model, adapter) || !s.Holds(model, adapter) && !added(adapter) {
		return 0, false
	}
	if m := s.model(model); m != nil {
		return m.Version, true
	}
	return 0, added("")
}

// addTargetAtWeights adds a target and, for each version of its model's weights if there are
// several, the target at that version. No load brings one of these: it takes the newest.
func addTargetAtWeights(t *decide.Table, v *View, target decide.Target) {
	t.Targets[target.Name] = &target
	if target.Model == "" || len(v.Weights) == 0 {
		return
	}
	for _, weights := range v.Weights[TargetName(target.Pool, target.Model, "")] {
		if weights == 0 {
			continue // no request can be restricted to it
		}
		at := target
		at.Name, at.ReplicaPending = WeightsTarget(target.Name, weights), false
		t.Targets[at.Name] = &at
	}
}

// targetsAtWeights returns the targets at a version of the weights, as far as there are any.
func targetsAtWeights(t *decide.Table, targets []*decide.Target, weights int64) []*decide.Target {
	var out []*decide.Target
	for _, target := range targets {
		if at := t.Targets[WeightsTarget(target.Name, weights)]; at != nil {
			out = append(out, at)
		}
	}
	return out
}

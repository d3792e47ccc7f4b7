package soak

import (
	"fmt"
	"time"
)

const (
	// minContended is how many requests of a period must count to compare their shares.
	minContended = 100
	// shareSlack is by how much the share served of urgent requests may be less than that of less
	// urgent ones, and that of an account than that of one that floods.
	shareSlack = 0.05
)

// contendedPeriod is a period in which more was asked for than the servers of models can take.
type contendedPeriod struct {
	from, to time.Time
	urgent   Kind
	flooding string // client account that floods; empty: none
}

func (h *History) addContended(p contendedPeriod) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contended = append(h.contended, p)
}

// servedShare counts requests, and those of them that servers ran.
type servedShare struct{ sent, ran int }

func (s servedShare) String() string { return fmt.Sprintf("%d of %d", s.ran, s.sent) }

// below reports whether the share that ran is less than that of others by more than shareSlack.
func (s servedShare) below(others servedShare) bool {
	if min(s.sent, others.sent) < minContended {
		return false
	}
	return float64(s.ran)/float64(s.sent) < float64(others.ran)/float64(others.sent)-shareSlack
}

// sharesIn returns what was served of a period's new streams of sound prompts, of urgent and less
// urgent ones and by account. What wasn't answered counts only if its caller waited for the answer,
// and what is suspected of crashing servers doesn't count.
func (h *History) sharesIn(p contendedPeriod) (byUrgent map[bool]servedShare, byAccount map[string]servedShare) {
	byUrgent, byAccount = map[bool]servedShare{}, map[string]servedShare{}
	for n := range h.results {
		r := &h.results[n]
		unanswered := r.Status == 0 && r.Ended.Sub(r.Sent) < callerTimeout
		if r.Sent.Before(p.from) || r.Sent.After(p.to) || unanswered || r.underSuspicion() || r.Ask.Resumes != "" || r.Ask.Parts != soundParts(r.Ask.ID) {
			continue
		}
		u, a := byUrgent[r.Kind == p.urgent], byAccount[r.Ask.Account]
		byUrgent[r.Kind == p.urgent] = servedShare{u.sent + 1, u.ran + r.ran()}
		byAccount[r.Ask.Account] = servedShare{a.sent + 1, a.ran + r.ran()}
	}
	return byUrgent, byAccount
}

// checkContention checks whose requests are served while more is asked for than servers can take.
func (c *checker) checkContention() {
	for _, p := range c.history.contended {
		byUrgent, byAccount := c.history.sharesIn(p)
		if byUrgent[true].below(byUrgent[false]) {
			c.violated("urgent requests are served as often as less urgent ones", "%s, less urgent %s", byUrgent[true], byUrgent[false])
		}
		for name, share := range byAccount {
			if share.below(byAccount[p.flooding]) {
				c.violated("client accounts are served while another floods", "%s %s, %s %s", name, share, p.flooding, byAccount[p.flooding])
			}
		}
	}
}

// Package rendezvous ranks instances for a duty by hashing, so that instances
// which list the same members agree on who does it without asking one another,
// and a member that comes or goes moves only its own duties.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Leader returns the member that ranks first for the key, or "" of none.
func Leader(key string, members []string) string {
	leader := ""
	best := uint64(0)
	for _, m := range members {
		if s := score(key, m); leader == "" || ranksBefore(s, m, best, leader) {
			leader, best = m, s
		}
	}
	return leader
}

// Rank returns how many of the members rank before self, which need not be
// among them.
func Rank(key string, members []string, self string) int {
	own := score(key, self)
	rank := 0
	for _, m := range members {
		if m != self && ranksBefore(score(key, m), m, own, self) {
			rank++
		}
	}
	return rank
}

// before orders by score, then by name so that no two members tie.
func ranksBefore(s uint64, m string, t uint64, n string) bool {
	return s > t || s == t && m < n
}

func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

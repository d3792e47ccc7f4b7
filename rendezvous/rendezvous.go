// Package rendezvous assigns keys to instances by rendezvous hashing (highest random
// weight). Instances with the same list of members agree on the leader of a key
// without communication, and a member that joins or leaves changes the leader only
// for the keys that this member leads.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Leader returns the member that ranks first for the key, or "" if there are no
// members.
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

// Rank returns the number of members that rank before self for the key. self need
// not be a member.
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

// ranksBefore reports whether member m with score s ranks before member n with
// score t. Names break ties of equal scores.
func ranksBefore(s uint64, m string, t uint64, n string) bool {
	return s > t || s == t && m < n
}

// score returns the hash of the key and the member. A zero byte separates the two.
func score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

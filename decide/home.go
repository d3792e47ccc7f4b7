package decide

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"greengageferry/config"
)

// homes ranks the failure domains in which a model may be placed, its home
// first. It is weighted rendezvous hashing: a domain is home to as large a part
// of the models as it has of the accelerator memory open to them, and only a
// lost or new domain's models change homes. Each domain's planner works it out
// from the configuration alone, so that two domains never wait for one another
// to place a model, and don't both place its first replica.
func homes(c *config.Config, model string, domains []string) []string {
	type ranked struct {
		domain string
		score  float64
	}
	var rank []ranked
	for _, d := range domains {
		w := openMemory(c, c.Models[model], d)
		if w <= 0 {
			continue
		}
		h := xxhash.Sum64String(model + "\x00" + d)
		u := (float64(h>>11) + 0.5) / (1 << 53)
		rank = append(rank, ranked{d, -w / math.Log(u)})
	}
	slices.SortFunc(rank, func(a, b ranked) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return strings.Compare(a.domain, b.domain)
	})
	names := make([]string, len(rank))
	for i, r := range rank {
		names[i] = r.domain
	}
	return names
}

// homesCache keeps the homes of each model while the configuration and the
// domains stay.
type homesCache struct {
	config  *config.Config
	domains []string
	ranked  map[string][]string
}

func (c *homesCache) get(conf *config.Config, domains []string, model string) []string {
	if c.config != conf || !slices.Equal(c.domains, domains) {
		*c = homesCache{config: conf, domains: slices.Clone(domains), ranked: map[string][]string{}}
	}
	h, ok := c.ranked[model]
	if !ok {
		h = homes(conf, model, domains)
		c.ranked[model] = h
	}
	return h
}

// openMemory returns the accelerator memory, in MiB, that the domain's part of
// the model's pools has for it: all of its owner's, the lent part of others'.
func openMemory(c *config.Config, m config.Model, domain string) float64 {
	var sum float64
	for _, name := range m.Pools {
		p, ok := c.Pools[name]
		if !ok || !slices.Contains(p.FailureDomains, domain) {
			continue
		}
		mib := float64(p.Servers) * float64(p.MemoryMiB) / float64(len(p.FailureDomains))
		if p.Owner != m.Owner {
			mib *= p.Lent
		}
		sum += mib
	}
	return sum
}

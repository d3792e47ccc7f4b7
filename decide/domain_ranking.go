package decide

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"greengageferry/config"
)

// rankHomeDomains ranks the failure domains in which a model may be placed, its home
// domain first. It uses weighted rendezvous hashing: a domain is home to a part of the
// models proportional to the accelerator memory that it has for them, and when a domain is
// added or lost, only the affected models change their home. Each domain's planner
// computes the ranking from the configuration alone, so two domains neither wait for each
// other nor both place a model's first replica.
func rankHomeDomains(c *config.Config, model string, domains []string) []string {
	type ranked struct {
		domain string
		score  float64
	}
	var rank []ranked
	for _, d := range domains {
		w := usableMemory(c, c.Models[model], d)
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

// homeDomainCache caches the ranking of each model until the configuration or the domains
// change.
type homeDomainCache struct {
	config  *config.Config
	domains []string
	ranked  map[string][]string
}

func (c *homeDomainCache) get(conf *config.Config, domains []string, model string) []string {
	if c.config != conf || !slices.Equal(c.domains, domains) {
		*c = homeDomainCache{config: conf, domains: slices.Clone(domains), ranked: map[string][]string{}}
	}
	h, ok := c.ranked[model]
	if !ok {
		h = rankHomeDomains(conf, model, domains)
		c.ranked[model] = h
	}
	return h
}

// usableMemory returns the accelerator memory, in MiB, that the domain has for the model
// in the model's pools: all of it in pools of the model's owner, the lent fraction in
// pools of others.
func usableMemory(c *config.Config, m config.Model, domain string) float64 {
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

package topology

// ranksCompete reports whether routes of at least two ranks lead to one service with engines.
func (c *Config) ranksCompete() bool {
	first := map[string]int{} // rank of a service's first route
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, choice := range r.Choices {
			if c.Services[choice.Service].Engine == nil {
				continue
			}
			rank, seen := first[choice.Service]
			if seen && rank != r.Rank {
				return true
			}
			first[choice.Service] = r.Rank
		}
	}
	return false
}

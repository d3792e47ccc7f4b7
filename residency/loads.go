package residency

// Load is the work that a server has in flight.
type Load struct {
	InFlight int // requests
	Unread   int // prompt tokens of requests that have no first token yet
	// Contending is how many requests of all instances, including this one, compete for
	// what the server serves. Each counts in equal parts at all servers that serve its
	// target.
	Contending int
}

// Loads is the load of the servers over all instances at one moment.
type Loads struct {
	total    map[string]Load            // by server
	reported map[string]map[string]Load // by instance and server

	contending map[string]float64 // by server, see Load.Contending
}

// Loads returns the servers' current load, together with the contending requests by
// server.
func (d *DemandTracker) Loads(contending map[string]float64) Loads {
	out := Loads{contending: contending, total: map[string]Load{}, reported: make(map[string]map[string]Load, len(d.instances))}
	for name, i := range d.instances {
		out.reported[name] = i.loads
		for server, l := range i.loads {
			total := out.total[server]
			total.InFlight += l.InFlight
			total.Unread += l.Unread
			out.total[server] = total
		}
	}
	return out
}

// Others returns the load from all instances but the given one, by server. The instance
// knows its own load exactly. The total contains what that instance had reported at the
// time; if its current load were subtracted instead, its own changes since then would
// count as the others'.
func (l Loads) Others(instance string) map[string]Load {
	own := l.reported[instance]
	out := make(map[string]Load, len(l.total))
	for server, total := range l.total {
		part := own[server]
		out[server] = Load{InFlight: total.InFlight - part.InFlight, Unread: total.Unread - part.Unread}
	}
	for server, n := range l.contending {
		load := out[server]
		load.Contending = int(n + 0.5)
		out[server] = load
	}
	return out
}

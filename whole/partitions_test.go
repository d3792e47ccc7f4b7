package whole

import (
	"testing"
	"time"

	"greengageferry/quickstart"
)

// TestWholeInstancesPartitioned partitions the instances of a failure domain one after the other
// from everything else, for longer than a lease. One of them is the lease holder, which
// doesn't learn that its lease has expired. What it was sending is delivered once the
// partition heals.
func TestWholeInstancesPartitioned(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		for _, n := range d.nodes[:2] {
			d.partition([]*node{n})
			tr.waitCompleted(2 * answersPerPhase)
			time.Sleep(3 * time.Second) // longer than a lease
			d.heal([]*node{n})
			tr.waitCompleted(answersPerPhase)
		}
	})
}

// places returns all network places but that of the callers.
func (d *deployment) places() []string {
	places := []string{placePlatform}
	for _, domain := range quickstart.Domains() {
		places = append(places, domain.Name)
	}
	for _, n := range d.nodes {
		places = append(places, n.id)
	}
	return places
}

// nodePlaces returns the network places of the nodes.
func nodePlaces(nodes []*node) map[string]bool {
	places := map[string]bool{}
	for _, n := range nodes {
		places[n.id] = true
	}
	return places
}

// partition partitions nodes from everything but each other and the callers, which keep
// sending to them. If there is more than one node, the nodes can still reach the backend
// servers of their failure domain.
func (d *deployment) partition(nodes []*node) {
	isolated := nodePlaces(nodes)
	if len(nodes) > 1 {
		isolated[nodes[0].domain.Name] = true
	}
	for _, n := range nodes {
		n.setPartitioned(true)
	}
	for place := range isolated {
		for _, other := range d.places() {
			if !isolated[other] {
				d.network.Partition(place, other)
			}
		}
	}
}

// heal reconnects nodes that partition has isolated.
func (d *deployment) heal(nodes []*node) {
	isolated := nodePlaces(nodes)
	isolated[nodes[0].domain.Name] = true
	for place := range isolated {
		for _, other := range d.places() {
			d.network.Heal(place, other)
		}
	}
	for _, n := range nodes {
		n.setPartitioned(false)
	}
}

func TestWholeDomainPartitioned(t *testing.T) {
	runUnderTraffic(t, func(d *deployment, tr *traffic) {
		domain := d.nodes[2:4]
		d.partition(domain)
		tr.waitCompleted(2 * answersPerPhase)
		d.heal(domain)
		tr.waitCompleted(answersPerPhase)
	})
}

package decide

import (
	"fmt"
	"slices"

	"greengageferry/infra"
)

// takeSnapshot records the instances' reports. They reach the other instances contentionReportLag later.
func (c *contentionSim) takeSnapshot() {
	var st contentionReport
	for _, e := range c.engines {
		st.loads = append(st.loads, e.running+len(e.waiting))
	}
	st.backlogs = c.backlogs()
	byAccount := map[AccountDemand]AccountDemand{}
	for _, s := range c.schedulers {
		for _, d := range s.AccountDemands() {
			k := AccountDemand{Account: d.Account, Pool: d.Pool}
			sum := byAccount[k]
			byAccount[k] = AccountDemand{Account: d.Account, Pool: d.Pool, Waiting: sum.Waiting + d.Waiting, InFlight: sum.InFlight + d.InFlight}
		}
		c.speeds.Add(s.TakeSpeedSamples())
	}
	c.speeds.Fit(c.now)
	st.speeds = c.speeds.Speeds()
	for _, d := range byAccount {
		st.accounts = append(st.accounts, d)
	}
	slices.SortFunc(st.accounts, CompareAccountDemands)
	c.snapshots = append(c.snapshots, st)
	if len(c.snapshots) > int(contentionReportLag/contentionSnapshot) {
		c.snapshots = c.snapshots[1:]
	}
	c.after(contentionSnapshot, c.takeSnapshot)
}

// backlogs returns the backlog of each target at all instances.
func (c *contentionSim) backlogs() []Backlog {
	var out []Backlog
	for m := range c.weights {
		b := Backlog{Target: fmt.Sprint("m", m)}
		if a := c.arrivals[b.Target]; a != nil {
			for rank := range a {
				b.Arrivals[rank] = a[rank].rate(c.now)
			}
			for rank := range b.Starts {
				b.Starts[rank] = c.starts[b.Target][rank].rate(c.now)
			}
		}
		for _, s := range c.schedulers {
			for rank, waiting := range s.fleet.targets[b.Target].queue.waitingByRank() {
				b.Waiting[rank] += waiting
			}
		}
		out = append(out, b)
	}
	return out
}

// report gives an instance the oldest snapshot.
func (c *contentionSim) report(i int) {
	c.after(contentionInterval, func() { c.report(i) })
	if at := c.now.Sub(simStart); at >= c.cutFrom && at < c.cutTo {
		return
	}
	was := c.snapshots[0]
	s := c.schedulers[i]
	s.UpdateSpeeds(c.now, was.speeds)
	s.UpdateAccounts(c.now, was.accounts)
	if !c.alone {
		c.carryOut(i, s.UpdateBacklogs(c.now, was.backlogs, contentionReportLag))
	}
	wanted := map[string]float64{}
	for _, b := range was.backlogs {
		for rank := range b.Waiting {
			wanted[b.Target] += b.Waiting[rank] + b.Arrivals[rank]*ArrivalHorizon.Seconds()
		}
	}
	contending := s.SpreadOverServers(wanted)
	for n, e := range c.engines {
		load := infra.Load{Running: was.loads[n], Contending: int(contending[e.id] + 0.5)}
		c.carryOut(i, s.UpdateLoad(c.now, e.id, load, contentionReportLag))
	}
}

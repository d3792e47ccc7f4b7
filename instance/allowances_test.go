package instance_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
)

// withAllowance returns a configuration in which the account limited, with the key k1, may
// send so many requests a second and as many at once, and the account free, with the key k2,
// any number.
func withAllowance(version int, perSecond float64) map[string]any {
	c := standin.Config(version)
	c["tenants"] = []any{
		map[string]any{"name": "limited", "api-keys": []string{"k1"}, "rate-per-s": perSecond, "burst": perSecond},
		map[string]any{"name": "free", "api-keys": []string{"k2"}},
	}
	return c
}

// deployWithAllowance runs a site in which an allowance is in force at all instances.
func deployWithAllowance(t *testing.T, perSecond float64) *deployment {
	d := deploy(t)
	require.NoError(t, d.site.Store.PutConfig(withAllowance(2, perSecond)))
	for _, r := range d.instances {
		d.waitUntil(func() bool { return d.status(r, "k1") == 200 })
	}
	return d
}

// allowedInWindow is how many requests of an account may run in the stand-in's window.
func allowedInWindow(perSecond float64) float64 {
	return (perSecond*window.Seconds()+perSecond)*1.1 + 5
}

// window is that of the stand-in's settings.
const window = 8 * time.Second

// flood sends requests with a key through all instances, a few at a time, and counts them by
// status.
func (d *deployment) flood(key string, duration time.Duration) map[int]int {
	counts := map[int]int{}
	var mu sync.Mutex
	var senders sync.WaitGroup
	end := time.Now().Add(duration)
	for _, r := range d.instances {
		for range 3 {
			senders.Go(func() {
				for time.Now().Before(end) {
					status := d.status(r, key)
					mu.Lock()
					counts[status]++
					mu.Unlock()
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	senders.Wait()
	return counts
}

// One account sends many times its allowance at all instances: it gets what it may, and
// another account doesn't notice.
func TestAllowanceIsSharedByAllInstances(t *testing.T) {
	const perSecond = 50
	d := deployWithAllowance(t, perSecond)
	var free map[int]int
	var both sync.WaitGroup
	both.Go(func() { free = d.flood("k2", window) })
	began := time.Now()
	limited := d.flood("k1", window)
	took := time.Since(began).Seconds()
	both.Wait()
	t.Log("limited", limited, "free", free)
	require.LessOrEqual(t, float64(limited[200]), allowedInWindow(perSecond))
	require.GreaterOrEqual(t, float64(limited[200]), 0.8*perSecond*took)
	require.Greater(t, limited[429], 0)
	require.Equal(t, limited[200]+limited[429]+limited[503], sum(limited))
	require.Equal(t, free[200], sum(free), "the other account is always served")
}

func sum(counts map[int]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// Without a lease holder and without the store, instances go on with their parts.
func TestAllowanceWithoutAHolder(t *testing.T) {
	const perSecond = 50
	d := deployWithAllowance(t, perSecond)
	d.flood("k1", time.Second)
	d.site.Store.SetDown(true)
	time.Sleep(4 * time.Second) // longer than a lease without renewals
	began := time.Now()
	counts := d.flood("k1", window)
	took := time.Since(began).Seconds()
	t.Log(counts)
	require.LessOrEqual(t, float64(counts[200]), allowedInWindow(perSecond))
	require.GreaterOrEqual(t, float64(counts[200]), 0.5*perSecond*took)
}

package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/platform/standin"
	"greengageferry/topology"
)

// withAccounts returns a version of the stand-in's configuration with client accounts,
// given as a name and an API key each.
func withAccounts(version int, namesAndKeys ...string) map[string]any {
	c := standin.Config(version)
	accounts := []any{}
	for i := 0; i < len(namesAndKeys); i += 2 {
		accounts = append(accounts, map[string]any{"name": namesAndKeys[i], "api-keys": []string{namesAndKeys[i+1]}})
	}
	c["tenants"] = accounts
	return c
}

// status returns the status of a request with an API key to an idempotent route.
func (d *deployment) status(r *runningInstance, key string) int {
	status, _, _ := d.sendWithKey(r, "/more/", "", key)
	return status
}

func TestKeysComeAndGoOnAllInstances(t *testing.T) {
	d := deploy(t)
	require.NoError(t, d.site.Store.PutConfig(withAccounts(2, "first", "k1", "second", "k2")))
	for _, r := range d.instances {
		d.waitUntil(func() bool { return d.status(r, "k1") == 200 && d.status(r, "") == 401 })
		require.Equal(t, 200, d.status(r, "k2"))
		require.Equal(t, 401, d.status(r, "k3"))
	}
	// The account second loses its only key, third is new.
	require.NoError(t, d.site.Store.PutConfig(withAccounts(3, "first", "k1", "second2", "k4", "third", "k3")))
	for _, r := range d.instances {
		d.waitUntil(func() bool { return d.status(r, "k3") == 200 })
		require.Equal(t, 401, d.status(r, "k2"))
		require.Equal(t, 200, d.status(r, "k1"))
	}
}

// While the store is away, a key that is not known may be in a newer configuration: it is
// refused as not run, not rejected. A known key is served for as long as the settings allow.
func TestKeysDuringStoreOutage(t *testing.T) {
	d := deploy(t)
	require.NoError(t, d.site.Store.PutConfig(withAccounts(2, "first", "k1")))
	strict := d.startWith("strict", d.site.Domains[0], func(n *topology.Node) { n.RevocationBound = 2 * time.Second })
	bounded := d.startWith("bounded", d.site.Domains[1], func(n *topology.Node) { n.ConfigBound = 2 * time.Second })
	for _, r := range d.instances {
		d.waitUntil(func() bool { return d.ready(r) && d.status(r, "k1") == 200 })
	}
	require.Equal(t, 401, d.status(bounded, "k2"))
	d.site.Store.SetDown(true)
	d.waitUntil(func() bool { return d.status(bounded, "k2") == 503 })
	d.waitUntil(func() bool { return d.status(strict, "k1") == 503 })
	require.Equal(t, 200, d.status(bounded, "k1"), "its keys are accepted without a bound")
	d.site.Store.SetDown(false)
	d.waitUntil(func() bool { return d.status(strict, "k1") == 200 && d.status(bounded, "k2") == 401 })
}

package instance_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The lease holder alone is on record in the platform's store, and its successor replaces it.
func TestLeaseHolderAloneIsOnRecord(t *testing.T) {
	d := deploy(t)
	store := d.store()
	recorded := func() string { // empty: none or several are
		holders, err := store.Holders(t.Context())
		if err != nil || len(holders) != 1 || holders[0].Number == 0 {
			return ""
		}
		name, _, _ := strings.Cut(holders[0].Holder, "|")
		return name
	}
	d.waitUntil(func() bool { return recorded() != "" })
	first := recorded()
	for _, r := range d.instances {
		if r.node.Name == first {
			d.stopInstance(r)
		}
	}
	d.waitUntil(func() bool { return recorded() != first && recorded() != "" })
	holders, err := store.Holders(t.Context())
	require.NoError(t, err)
	require.NoError(t, store.RemoveHolder(t.Context(), holders[0].Holder))
	holders, err = store.Holders(t.Context())
	require.NoError(t, err)
	require.Empty(t, holders)
}

package replay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/record"
)

func TestItemKeepsEveryField(t *testing.T) {
	got := Item(&record.Item{Model: "m", Adapter: "a", Version: "v", Mib: 3})
	require.Equal(t, "m", got.Model)
	require.Equal(t, "a", got.Adapter)
	require.Equal(t, "v", got.Version)
	require.EqualValues(t, 3, got.MiB)
}

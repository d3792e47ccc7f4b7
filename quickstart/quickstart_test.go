package quickstart

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/config"
)

func TestPartnerFilesAreAccepted(t *testing.T) {
	files, err := Files()
	require.NoError(t, err)
	require.Len(t, files, 8)
	cfg, _, err := config.Build(files)
	require.NoError(t, err)
	for _, d := range Domains() {
		require.Equal(t, d.Partner, cfg.Pools[d.Pool].Owner)
		require.Contains(t, cfg.Pools[d.Pool].FailureDomains, d.Name)
		require.Equal(t, d.Partner, cfg.Services[d.Service].Owner)
	}
	require.EqualValues(t, engineMemoryMiB, cfg.Pools["galley-models"].MemoryMiB)
	require.Equal(t, galleySlots, cfg.Pools["galley-models"].Slots)
	require.Equal(t, redatorSlots, cfg.Pools["redator"].Slots)
}

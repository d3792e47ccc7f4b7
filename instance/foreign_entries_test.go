package instance

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"greengageferry/topology"
)

// Another program may write any number of entries of any length.
func TestUnusableEntriesAreLoggedWithinBounds(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	var changes []topology.ServerChange
	for n := range 1000 {
		changes = append(changes, topology.ServerChange{ID: fmt.Sprint("s", n), Err: errors.New(strings.Repeat("long", 10_000))})
	}
	(&Instance{log: log}).logUnusableEntries(changes)
	require.Equal(t, maxLoggedEntries+1, strings.Count(out.String(), "\n"))
	require.Less(t, out.Len(), 4096)
	require.Contains(t, out.String(), "entries=1000")
}

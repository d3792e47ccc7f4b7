package instance

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"greengageferry/exchange"
	"greengageferry/platform"
	"greengageferry/topology"
)

// soundEntry is the entry of a server in order.
const soundEntry = `{"backend":"svc","address":"10.0.0.1:8000","zone":"a","version":"v1","slots":4,"state":"ready","born":1700000000000}`

// oddEntries are entries that another program may leave among those of the servers, by what is odd.
func oddEntries() map[string]string {
	change := func(old, new string) string { return strings.Replace(soundEntry, old, new, 1) }
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	return map[string]string{
		"deeply nested":                strings.Repeat(`{"backend":`, 50_000),
		"a deeply nested field":        change(`"v1"`, nested(9_000)),
		"nested beyond the decoder":    change(`"v1"`, nested(100_000)),
		"a number beyond all types":    change(`"slots":4`, `"slots":1e400`),
		"slots beyond 64 bits":         change(`"slots":4`, `"slots":99999999999999999999`),
		"slots beyond 32 bits":         change(`"slots":4`, `"slots":9000000000000000000`),
		"negative slots":               change(`"slots":4`, `"slots":-1`),
		"a start beyond all calendars": change(`"born":1700000000000`, `"born":9000000000000000000`),
		"a start in a year":            change(`"born":1700000000000`, `"born":1731536000000`),
		"a start before all":           change(`"born":1700000000000`, `"born":-9000000000000000000`),
		"a port out of range":          change(`:8000`, `:80000`),
		"an address of another family": change(`10.0.0.1:8000`, `[fe80::1%a b]:8000`),
		"a version that isn't text":    change(`"v1"`, "\"v\xff\""),
		"a version of any length":      change(`"v1"`, `"`+strings.Repeat("v", 200_000)+`"`),
		"a key that isn't text":        soundEntry,
		"not JSON":                     "\xff\xfe{",
	}
}

// oddKey returns the key of an odd entry.
func oddKey(name string) string {
	if name == "a key that isn't text" {
		return "odd\xff"
	}
	return "odd"
}

// entriesStore serves the entries of servers as the platform's store does.
func entriesStore(t *testing.T, entries map[string]string) *platform.Store {
	type item struct {
		Key   string `json:"key"`
		Value string `json:"value"`
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/log-read") {
			_, _ = w.Write(make([]byte, 16)) // the test's store is read to its end
			for key, value := range entries {
				n := 1 + len(key) + len(value)
				_, _ = w.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n), byte(len(key))})
				_, _ = fmt.Fprint(w, key, value)
			}
			return
		}
		var items []item
		for key, value := range entries {
			items = append(items, item{key, base64.StdEncoding.EncodeToString([]byte(value))})
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": len(entries)})
	}))
	t.Cleanup(s.Close)
	return platform.NewStore(s.Listener.Addr().String(), http.DefaultTransport)
}

// sendSteps passes steps from one instance to another over the wire.
func sendSteps(t *testing.T, steps *exchange.ServerSteps) *exchange.ServerSteps {
	data, err := proto.Marshal(steps)
	require.NoError(t, err)
	received := &exchange.ServerSteps{}
	require.NoError(t, proto.Unmarshal(data, received))
	return received
}

// An odd entry must keep neither the instance that reads the store nor those that get its list from
// following the servers.
func TestOddEntryDoesNotHideTheServersFromInstances(t *testing.T) {
	now := time.UnixMilli(1_700_000_001_000)
	for name, odd := range oddEntries() {
		for _, read := range []string{"newest", "changes"} {
			t.Run(name+", "+read, func(t *testing.T) {
				store := entriesStore(t, map[string]string{"sound": soundEntry, oddKey(name): odd})
				var changes []topology.ServerChange
				var err error
				if read == "newest" {
					changes, _, err = store.NewestServers(t.Context())
				} else {
					changes, _, err = store.NextServers(t.Context(), topology.Position{}, 0)
				}
				require.NoError(t, err)
				reader, other := newServerList(quietLog()), newServerList(quietLog())
				applyAt(reader, now, serversRead{snapshot: true, next: topology.Position{Offset: 2}, changes: changes})
				require.Contains(t, serverIDs(reader), "sound")
				other.applySteps(now, other.digest(), sendSteps(t, reader.stepsOrAll(now, other.digest(), noPosition)), ignoreServers)
				require.Equal(t, reader.digest(), other.digest(), "the other instance has the same list")
				require.Contains(t, serverIDs(other), "sound")
			})
		}
	}
}

// A server must not be lost for good because another program wrote an entry under its key.
func TestServerIsBackAfterAnOddEntryUnderItsKey(t *testing.T) {
	now := time.UnixMilli(1_700_000_001_000)
	for name, odd := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			l := newServerList(quietLog())
			for n, value := range []string{soundEntry, odd, soundEntry} {
				changes, _, err := entriesStore(t, map[string]string{"sound": value}).NewestServers(t.Context())
				require.NoError(t, err)
				at := now.Add(time.Duration(n) * time.Second)
				applyAt(l, at, serversRead{from: topology.Position{Offset: int64(n)}, snapshot: n == 0, next: topology.Position{Offset: int64(n + 1)}, changes: changes})
			}
			require.Equal(t, []string{"sound"}, serverIDs(l))
			require.Equal(t, int64(1_700_000_000_000), l.fleet.Servers()[0].Born.UnixMilli())
			require.Equal(t, 4, l.fleet.Servers()[0].Slots)
		})
	}
}

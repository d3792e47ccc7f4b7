package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// byteCounter is an http.RoundTripper that counts the bytes of response bodies
// without compression.
type byteCounter struct {
	next  http.RoundTripper
	bytes int64
}

func (c *byteCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Accept-Encoding", "identity")
	res, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	c.bytes += int64(len(data))
	res.Body = io.NopCloser(bytes.NewReader(data))
	return res, err
}

func TestUnchangedInstanceListIsNotResent(t *testing.T) {
	list := NewInstanceList(0)
	for n := range 100 {
		list.Put(infra.Instance{ID: fmt.Sprintf("server-%03d", n), Role: infra.RoleEngine, State: infra.StateLive})
	}
	server, err := Start("127.0.0.1:0", list)
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	wire := &byteCounter{next: &http.Transport{DisableKeepAlives: true}}
	client := infra.NewHTTPInstances(server.URL(), &http.Client{Transport: wire})

	first, err := client.List(t.Context())
	require.NoError(t, err)
	require.Len(t, first, 100)
	sent := wire.bytes
	require.Positive(t, sent)
	again, err := client.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.Equal(t, sent, wire.bytes)

	list.Remove("server-000")
	changed, err := client.List(t.Context())
	require.NoError(t, err)
	require.Len(t, changed, 99)
	require.Greater(t, wire.bytes, sent)
}

package infra_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageferry/infra"
)

// BenchmarkStreamEvent measures the cost of one event of a stream, including that of the
// local server, which writes 16 events at a time.
func BenchmarkStreamEvent(b *testing.B) {
	event := "data: {\"attempt\":\"0123456789abcdef\",\"index\":7,\"token\":\"cornice1ab \"}\n\n"
	chunk := []byte(strings.Repeat(event, 16))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", infra.ContentTypeEvents)
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	stream, err := infra.NewHTTPEngine(&http.Client{Transport: transport}).Generate(b.Context(), addrOf(s), infra.GenerateRequest{})
	require.NoError(b, err)
	defer stream.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Recv(); err != nil {
			b.Fatal(err)
		}
	}
}

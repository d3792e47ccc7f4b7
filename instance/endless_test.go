package instance

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageferry/exchange"
	"greengageferry/internal/peakheap"
	"greengageferry/topology"
)

// endlessAnswers starts a server that answers each call with the head and then with bytes without end,
// until the connection is closed. It returns its address.
func endlessAnswers(t *testing.T, head string, part []byte) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, head)
				for err == nil {
					_, err = c.Write(part)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against what answers at another instance's address, which a server may have got since, taking
// an instance's memory.
func TestAnswersOfInstancesWithoutEndAreBounded(t *testing.T) {
	const (
		callTimeout = 500 * time.Millisecond
		maxHeap     = 64 << 20 // bytes; an instance has some hundred MB
	)
	junk := bytes.Repeat([]byte("x"), 64<<10)
	i := &Instance{opts: Options{Node: &topology.Node{}}}
	clients := map[string]*http.Client{
		"peers": newPeerClient(), "sync": newSyncer(i).client, "token": newTokenClient(i).client, "allowances": newAllowances(i).client,
	}
	for name, client := range clients {
		for shape, head := range map[string]string{
			"body":     "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n",
			"refusal":  "HTTP/1.1 500 x\r\nContent-Type: application/json\r\n\r\n",
			"head":     "HTTP/1.1 200 OK\r\nX: ",
			"no bytes": "",
		} {
			t.Run(name+" "+shape, func(t *testing.T) {
				addr := endlessAnswers(t, head, junk)
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				stop := peakheap.Watch()
				_, err := exchange.NewExchangeProtobufClient("http://"+addr, client).State(ctx, &exchange.StateRequest{})
				require.Error(t, err)
				require.Less(t, stop(), uint64(maxHeap), "bytes of memory")
			})
		}
	}
}

package respbody

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// response returns a response whose body a server framed as given.
func response(framing Framing, contentType, body string) *http.Response {
	res := &http.Response{Header: http.Header{"Content-Type": {contentType}}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: -1}
	switch framing {
	case ByLength:
		res.ContentLength = int64(len(body))
	case ByChunks:
		res.TransferEncoding = []string{"chunked"}
	}
	return res
}

func TestFramingIsThatOfTheServer(t *testing.T) {
	for _, f := range []Framing{ByLength, ByChunks, ByConnection} {
		require.Equal(t, f, Watch(response(f, "text/plain", "x")).Framing())
	}
	none := response(ByConnection, "text/plain", "")
	none.Body = http.NoBody
	require.Equal(t, ByLength, Watch(none).Framing())
}

// streamEnds are bodies of streams with how they end, whatever their framing.
var streamEnds = map[string]End{
	"id: 1\ndata: x\n\n":            Whole,
	"id: 1\r\ndata: x\r\n\r\n":      Whole,
	"id: 1\rdata: x\r\r":            Whole,
	"id: 1\r\ndata: x\r\n\n":        Whole,
	"data: x\n\r\n":                 Whole,
	"data: x\n\r":                   Whole,
	"\n":                            Whole,
	":kept alive\n\n":               Whole,
	"data: x\n\ndata: y\n":          InsideEvent,
	"data: x\n\ndata: y\r\n":        InsideEvent,
	"data: x\n\ndata: y\r":          InsideEvent,
	"data: x\n\nid: 2":              InsideEvent,
	"data: x\n\nd":                  InsideEvent,
	"data":                          InsideEvent,
	"data: x\n\n" + "data: \n \n\t": InsideEvent,
}

func TestEndOfAStream(t *testing.T) {
	for body, want := range streamEnds {
		for _, f := range []Framing{ByLength, ByChunks, ByConnection} {
			b := Watch(response(f, "text/event-stream; charset=utf-8", body))
			require.Equal(t, Open, b.End())
			b.ReadCloser = io.NopCloser(iotest.OneByteReader(b.ReadCloser))
			_, _ = io.Copy(io.Discard, b)
			require.Equal(t, want, b.End(), "%q by %s", body, f)
		}
	}
}

func TestStreamWithoutEventsIsWholeOnlyIfFramed(t *testing.T) {
	for f, want := range map[Framing]End{ByLength: Whole, ByChunks: Whole, ByConnection: NoEvent} {
		b := Watch(response(f, "text/event-stream", ""))
		_, _ = io.Copy(io.Discard, b)
		require.Equal(t, want, b.End(), f)
	}
}

func TestEndOfOtherBodies(t *testing.T) {
	b := Watch(response(ByConnection, "application/json", "{"))
	_, err := io.ReadAll(b)
	require.NoError(t, err)
	require.Equal(t, Whole, b.End())

	b = Watch(response(ByConnection, "application/json", "{"))
	b.ReadCloser = io.NopCloser(io.MultiReader(b.ReadCloser, iotest.ErrReader(errors.New("reset"))))
	_, err = io.ReadAll(b)
	require.Error(t, err)
	require.Equal(t, Failed, b.End())
}

func FuzzTailIsThatOfTheWholeStream(f *testing.F) {
	f.Add([]byte("data: x\r\n\r\ndata"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		size = max(1, size%7)
		var whole, parts eventTail
		whole.add(stream)
		for rest := bytes.Clone(stream); len(rest) > 0; rest = rest[min(size, len(rest)):] {
			parts.add(rest[:min(size, len(rest))])
		}
		require.Equal(t, whole, parts)
	})
}

// Events of any number are read, and none that doesn't end within MaxEventBytes, wherever reads split
// them.
func TestEventWithoutAnEndIsAnError(t *testing.T) {
	events := strings.Repeat("data: xxxxxxxxxxxxxxxx\n\n", 4*MaxEventBytes/24)
	for _, size := range []int{1, 7, 24, 25, 8 << 10} {
		for rest, ok := range map[string]bool{"": true, "data: " + strings.Repeat("x", 2*MaxEventBytes): false, strings.Repeat("data: x\n", MaxEventBytes/4): false} {
			res := response(ByChunks, "text/event-stream", "")
			res.Body = io.NopCloser(strings.NewReader(events + rest))
			read, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{Watch(res)}, make([]byte, size))
			require.Equal(t, ok, err == nil, "reads of %d bytes", size)
			if !ok {
				var event *EventTooLargeError
				require.True(t, errors.As(err, &event))
				require.LessOrEqual(t, read, int64(len(events)+MaxEventBytes+size))
			}
		}
	}
}

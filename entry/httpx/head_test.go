package httpx

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestInvalidStatusIsNoResponse guards against a status that fasthttp reports as 200, and
// against bytes that are read as a header though they are the body of an interim response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n": true, "HTTP/1.1 200\r\n\r\n": true, "HTTP/1.0 999 X\r\n\r\n": true, "HTTP/1.1 599 \r\n\r\n": true,
		"\r\nHTTP/1.1  204 No\r\n\r\n": true, "HTTP/1.1 102 Processing\r\n\r\n": true, "HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 000 OK\r\n\r\n": false, "HTTP/1.1 000\r\n\r\n": false, "HTTP/1.1  000 OK\n\n": false, "HTTP/1.1 001 X\r\n\r\n": false,
		"HTTP/1.1 099 X\r\n\r\n": false, "HTTP/1.1 20 OK\r\n\r\n": false, "HTTP/1.1 2000 OK\r\n\r\n": false, "HTTP/1.1 +20 OK\r\n\r\n": false,
		"HTTP/1.1 2e2 OK\r\n\r\n": false, "HTTP/1.1 OK\r\n\r\n": false, "HTTP/1.1\r\n\r\n": false, "HTTP/1.1 \r\n\r\n": false,
		"HTTP/1.1 101 Switching\r\n\r\n": false, "HTTP/1.1 100 X\r\nContent-Length: 9\r\n\r\n": false,
		"HTTP/1.1 102 X\r\nTransfer-Encoding: chunked\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nA: b\r\n":                          false, "HTTP/1.1 200 OK": false, "HTTP/1.1 2": false, "\r\n": false, "": false,
	} {
		for name, reader := range map[string]io.Reader{"at once": strings.NewReader(head), "byte by byte": iotest.OneByteReader(strings.NewReader(head))} {
			var header fasthttp.ResponseHeader
			err := ReadHeader(&header, bufio.NewReader(reader))
			if !valid {
				require.Error(t, err, "%q %s", head, name)
				continue
			}
			require.NoError(t, err, "%q %s", head, name)
			require.Contains(t, head, string(fasthttp.AppendUint(nil, header.StatusCode())))
		}
	}
}

// TestAHeaderThatHasArrivedIsReadAtOnce guards against a header that waits for more bytes
// though all of it has arrived, together with the response before it.
func TestAHeaderThatHasArrivedIsReadAtOnce(t *testing.T) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	go func() { _, _ = io.WriteString(far, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No\r\n\r\n") }()
	require.NoError(t, near.SetDeadline(time.Now().Add(3*time.Second)))
	reader := bufio.NewReader(near)
	for _, status := range []int{102, 204} {
		var header fasthttp.ResponseHeader
		require.NoError(t, ReadHeader(&header, reader))
		require.Equal(t, status, header.StatusCode())
	}
}

// TestCheckedConnections checks each response on a kept connection of a fasthttp client.
func TestCheckedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	heads := []string{"HTTP/1.1 200 OK", "HTTP/1.1 404 No", "HTTP/1.1 000 OK", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 200 OK"}
	go func() {
		answered := 0
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			for reader := bufio.NewReader(conn); answered < len(heads); answered++ {
				var request fasthttp.RequestHeader
				if request.Read(reader) != nil {
					break
				}
				_, _ = io.WriteString(conn, heads[answered]+"\r\nContent-Length: 2\r\n\r\nhi")
			}
		}
	}()
	client := &fasthttp.Client{DialTimeout: DialChecked, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	var got []int
	for range heads {
		status, body, err := client.GetTimeout(nil, "http://"+listener.Addr().String()+"/", 3*time.Second)
		if err != nil {
			status = 0
		} else {
			require.Equal(t, "hi", string(body))
		}
		got = append(got, status)
	}
	require.Equal(t, []int{200, 404, 0, 0, 200}, got)
}

// FuzzReadHeader checks that the status that is checked is the one that the parser of the
// header reports, that the parser reports valid field names only, and that the division of
// the input does not matter.
func FuzzReadHeader(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "\r\n\nHTTP/1.1   000\r\r\n\r\n", "HTTP/1.0 102\nContent-Length: 5\n\nHTTP/", " 200 200\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\n c\n\nX : 1\r\n\r\n", "HTTP/1.1 200 OK\nA:\r\n\t\r\nb : c\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var whole, divided headScanner
		complete, err := whole.scan(raw)
		var dividedComplete bool
		var dividedErr error
		for i := 0; i < len(raw) && !dividedComplete && dividedErr == nil; i++ {
			dividedComplete, dividedErr = divided.scan(raw[i : i+1])
		}
		require.Equal(t, complete, dividedComplete)
		require.Equal(t, err, dividedErr)
		require.Equal(t, whole.status, divided.status)
		var header fasthttp.ResponseHeader
		if header.Read(bufio.NewReader(bytes.NewReader(raw))) != nil {
			return
		}
		if err != nil {
			return // stricter than the parser
		}
		require.True(t, complete, "the parser has read a header")
		require.Equal(t, whole.status, header.StatusCode())
		for name := range header.All() {
			require.True(t, isFieldName(string(name)), "%q", name)
		}
	})
}

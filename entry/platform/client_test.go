package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnInvalidFieldNameIsNoValue guards against a value that is used though the response has
// a field name that is not a token, or a length that stands behind such a name.
func TestAnInvalidFieldNameIsNoValue(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length: 5\r\n"
	for head, valid := range map[string]bool{
		sound: true, sound + "X-Odd:\r\n": true,
		sound + "X Odd: 1\r\n": false, sound + "X-Odd : 1\r\n": false, sound + "X-\x01Odd: 1\r\n": false, sound + ": 1\r\n": false,
		"HTTP/1.1 200 OK\r\nX-Consul-Index : 7\r\nContent-Length: 5\r\n":  false,
		"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length : 2\r\n":  false,
		"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent Length: 2\r\n":   false,
		"HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nContent-Length\t: 2\r\n": false,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, head+"\r\nvalue")
				}
				_ = conn.Close()
			}
		}()
		value, err := NewClient(listener.Addr().String()).GetWithin("key", 0, 0, 5*time.Second)
		require.NoError(t, listener.Close())
		if valid {
			require.NoError(t, err, "%q", head)
			require.Equal(t, Value{Data: []byte("value"), Index: 7}, value)
		} else {
			require.Error(t, err, "%q", head)
		}
	}
}

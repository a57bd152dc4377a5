package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnInvalidFieldNameIsNoAnswer guards against a response that is decoded though a field
// name is not a token.
func TestAnInvalidFieldNameIsNoAnswer(t *testing.T) {
	for line, valid := range map[string]bool{"X-Odd: 1": true, "X Odd: 1": false, "X-Odd : 1": false, "Content-Length : 2": false, "X-\x01Odd: 1": false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n"+line+"\r\n\r\n{\"a\":1}")
				_ = conn.Close()
			}
		}))
		var result map[string]int
		err := getJSON(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/x", nil, &result)
		server.Close()
		if valid {
			require.NoError(t, err, line)
			require.Equal(t, map[string]int{"a": 1}, result)
		} else {
			require.Error(t, err, line)
		}
	}
}

package standin

import (
	"bufio"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"
)

// truncateResponse sends only the first half of the response body, with the
// Content-Length of the whole body, and then closes the connection.
func truncateResponse(ctx *fasthttp.RequestCtx) {
	body := append([]byte(nil), ctx.Response.Body()...)
	content := string(ctx.Response.Header.ContentType())
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		w := bufio.NewWriter(conn)
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n", content, len(body))
		_, _ = w.Write(body[:len(body)/2])
		_ = w.Flush()
		_ = conn.Close()
	})
}

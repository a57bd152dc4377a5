package daemon

import (
	"bytes"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func TestAPanicEndsOneRequest(t *testing.T) {
	var log bytes.Buffer
	handler := confinePanics(zerolog.New(&log), func(*fasthttp.RequestCtx) { panic("unexpected") })
	var ctx fasthttp.RequestCtx
	handler(&ctx)
	require.Equal(t, fasthttp.StatusInternalServerError, ctx.Response.StatusCode())
	require.Contains(t, string(ctx.Response.Body()), `"outcome":"unknown"`)
	require.Contains(t, log.String(), `"event":"panicked"`)
	require.Contains(t, log.String(), "confine_test.go")
}

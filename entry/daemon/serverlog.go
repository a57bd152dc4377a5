package daemon

import (
	"fmt"

	"github.com/rs/zerolog"
)

// serverLog writes the messages of an HTTP server to the JSON log.
type serverLog struct{ log zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l serverLog) Printf(format string, args ...any) {
	l.log.Info().Str("event", "connection_failed").Msg(fmt.Sprintf(format, args...))
}

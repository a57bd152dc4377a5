package daemon

import (
	"fmt"

	"github.com/rs/zerolog"
)

// serverLog writes what a listener says as JSON lines.
type serverLog struct{ log zerolog.Logger }

// Printf implements fasthttp.Logger.
func (l serverLog) Printf(format string, args ...any) {
	l.log.Info().Str("event", "connection_failed").Msg(fmt.Sprintf(format, args...))
}

package direct

import (
	"fmt"
	"regexp"

	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// callerErrorLog logs the errors of the server for callers without the parts of requests
// that they quote, which may hold keys.
type callerErrorLog struct{ *decision.Log }

var (
	// quotation matches a quoted text.
	quotation = regexp.MustCompile(`"(?:[^"\\]|\\.)*(?:"|$)`)
	// connectionPrefix matches the start of an error, which names two addresses.
	connectionPrefix = regexp.MustCompile(`^error when serving connection "[^"]*"<->"[^"]*": `)
)

// Printf implements fasthttp.Logger.
func (l callerErrorLog) Printf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	prefix := connectionPrefix.FindString(text)
	l.Log.Printf("%s", prefix+quotation.ReplaceAllString(text[len(prefix):], `"..."`))
}

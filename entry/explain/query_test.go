package explain

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAQueryIsDecodedAsEncoded(t *testing.T) {
	q := Query{
		Host: "h", Path: "/a b", RequestID: "r", Model: "m", Adapter: "a", PromptTokens: 7, OutputTokens: 8, PromptParts: []string{"x", "y"}, PartTokens: []int{0, 900}, OutputHint: 60,
		Organisation: "o&p", Wait: 1500 * time.Millisecond,
	}
	decoded, err := ParseQuery(q.Values())
	require.NoError(t, err)
	require.Equal(t, q, decoded)
}

// TestAMalformedQueryIsNotRepeated guards against a key in the response, and in the log of
// whoever asked, if it is sent in place of a name.
func TestAMalformedQueryIsNotRepeated(t *testing.T) {
	h := NewHandler(func(Query) (Explanation, error) { panic("called") })
	for _, query := range []string{
		"", "host=h", "host=h&path=x", "host=h&path=/&key=sk-1", "host=h&path=/&sk-1=x", "host=h&path=/&promptTokens=sk-1",
		"host=h&path=/&outputTokens=-1", "host=h&path=/&wait=sk-1", "host=h&path=/&part=x:sk-1", "host=h&path=/&organisation=a&organisation=sk-1",
	} {
		response := httptest.NewRecorder()
		h.ServeHTTP(response, httptest.NewRequest(http.MethodGet, Path+"?"+query, nil))
		require.Equal(t, 400, response.Code, query)
		require.False(t, strings.Contains(response.Body.String(), "sk-1"), query)
	}
	_, err := ParseQuery(url.Values{paramHost: {"h"}, paramPath: {"/x?key=1"}})
	require.NoError(t, err)
}

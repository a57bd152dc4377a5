package explain

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Path is the path at an instance's metrics address.
const Path = "/explain"

// Query is the request to explain. It has no key: it names its organisation.
type Query struct {
	Host, Path string
	// RequestID decides between the services of a route with several; without one, that
	// with the highest weight is explained.
	RequestID string
	// Model and Adapter are empty for plain services.
	Model, Adapter             string
	PromptTokens, OutputTokens int
	// PromptParts identifies the parts of the prompt that other requests may share.
	PromptParts []string
	// PartTokens holds the sizes of the PromptParts.
	PartTokens []int
	// OutputHint is the length of the response that the caller expects; 0 if it does not
	// say.
	OutputHint int
	// Organisation is the name of the organisation; empty for a request without a key.
	Organisation string
	// Wait is how long the caller waits; 0 if it does not say.
	Wait time.Duration
}

// Query parameters.
const (
	paramHost         = "host"
	paramPath         = "path"
	paramRequestID    = "request"
	paramModel        = "model"
	paramAdapter      = "adapter"
	paramPromptTokens = "promptTokens"
	paramOutputTokens = "outputTokens"
	paramPart         = "part"
	paramOutputHint   = "outputHint"
	paramOrganisation = "organisation"
	paramWait         = "wait"
)

// Values encodes the query.
func (q Query) Values() url.Values {
	values := url.Values{
		paramHost: {q.Host}, paramPath: {q.Path}, paramRequestID: {q.RequestID}, paramModel: {q.Model}, paramAdapter: {q.Adapter},
		paramPromptTokens: {strconv.Itoa(q.PromptTokens)}, paramOutputTokens: {strconv.Itoa(q.OutputTokens)},
		paramOrganisation: {q.Organisation}, paramWait: {q.Wait.String()}, paramOutputHint: {strconv.Itoa(q.OutputHint)}, paramPart: q.parts(),
	}
	for name, all := range values {
		if len(all) == 0 || all[0] == "" {
			delete(values, name)
		}
	}
	return values
}

// ParseQuery decodes a query. Its errors don't repeat values, so that a key that is sent
// by mistake is not shown.
func ParseQuery(values url.Values) (Query, error) {
	q := Query{
		Host: values.Get(paramHost), Path: values.Get(paramPath), RequestID: values.Get(paramRequestID), Model: values.Get(paramModel),
		Adapter: values.Get(paramAdapter), Organisation: values.Get(paramOrganisation),
	}
	var errs []error
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		errs = append(errs, errors.New("host and a path that begins with / are required"))
	}
	for name, all := range values {
		switch {
		case !slices.Contains(parameters, name):
			errs = append(errs, errors.New("there is an unknown parameter"))
		case len(all) > 1 && name != paramPart:
			errs = append(errs, fmt.Errorf("%s is given more than once", name))
		}
	}
	count := func(name string, to *int) {
		text := values.Get(name)
		if text == "" {
			return
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			errs = append(errs, fmt.Errorf("%s is not a number of tokens", name))
			return
		}
		*to = n
	}
	count(paramPromptTokens, &q.PromptTokens)
	count(paramOutputTokens, &q.OutputTokens)
	count(paramOutputHint, &q.OutputHint)
	if err := q.AddParts(values[paramPart]); err != nil {
		errs = append(errs, err)
	}
	if text := values.Get(paramWait); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait < 0 {
			errs = append(errs, fmt.Errorf("%s is not a duration", paramWait))
		}
		q.Wait = wait
	}
	q.Path, _, _ = strings.Cut(q.Path, "?")
	return q, errors.Join(errs...)
}

// AddParts adds parts of the prompt in the form ID or ID:TOKENS.
func (q *Query) AddParts(parts []string) error {
	for _, part := range parts {
		id, size, sized := strings.Cut(part, ":")
		tokens, err := 0, error(nil)
		if sized {
			tokens, err = strconv.Atoi(size)
		}
		if err != nil || tokens < 0 {
			return errors.New("a part is not ID or ID:TOKENS")
		}
		q.PromptParts, q.PartTokens = append(q.PromptParts, id), append(q.PartTokens, tokens)
	}
	return nil
}

// parts returns the parts as AddParts takes them.
func (q Query) parts() []string {
	parts := make([]string, len(q.PromptParts))
	for i, id := range q.PromptParts {
		parts[i] = id
		if i < len(q.PartTokens) && q.PartTokens[i] > 0 {
			parts[i] += ":" + strconv.Itoa(q.PartTokens[i])
		}
	}
	return parts
}

var parameters = []string{
	paramHost, paramPath, paramRequestID, paramModel, paramAdapter, paramPromptTokens, paramOutputTokens, paramPart, paramOutputHint, paramOrganisation, paramWait,
}

// Handler serves Path. It explains one request at a time, so that questions take at most
// one processor from the requests of callers.
type Handler struct {
	mu      sync.Mutex
	explain func(Query) (Explanation, error)
}

// NewHandler returns a handler. An error of explain is one of the query.
func NewHandler(explain func(Query) (Explanation, error)) *Handler { return &Handler{explain: explain} }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query, err := ParseQuery(r.URL.Query())
	if err != nil {
		writeJSON(w, http.StatusBadRequest, httpx.Problem{Status: http.StatusBadRequest, Code: "malformed_query", Message: err.Error()})
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	explanation, err := h.explain(query)
	if err != nil {
		writeJSON(w, http.StatusNotFound, httpx.Problem{Status: http.StatusNotFound, Code: "not_explained", Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client has gone away
}

// Package operator serves an instance's metrics and its known state to operators, on a
// listener that callers don't reach.
package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/ingress"
)

// Paths and parameters of the operators' listener.
const (
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	ExplainPath = "/explain"
	// AdapterParameter is the query parameter of ExplainPath that names the adapter.
	AdapterParameter = "adapter"
)

// Explainer explains where a request for an adapter would be placed, and why.
type Explainer interface {
	Explain(adapter table.AdapterVersion) (ingress.Explanation, error)
}

// Server is the HTTP handler of the operators' listener. It is safe for concurrent use.
type Server struct {
	mux       *http.ServeMux
	fleet     *fleet.Fleet
	explainer Explainer
}

// NewServer returns a handler that passes requests for MetricsPath on to metrics.
func NewServer(f *fleet.Fleet, explainer Explainer, metrics http.Handler) *Server {
	s := &Server{mux: http.NewServeMux(), fleet: f, explainer: explainer}
	s.mux.Handle("GET "+MetricsPath, metrics)
	s.mux.HandleFunc("GET "+StatusPath, s.status)
	s.mux.HandleFunc("GET "+ExplainPath, s.explain)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.fleet.View())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	adapter, err := table.ParseAdapterVersion(r.URL.Query().Get(AdapterParameter))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, httpx.Problem{Status: http.StatusBadRequest, Code: "malformed_adapter", Message: err.Error()})
		return
	}
	explanation, err := s.explainer.Explain(adapter)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

// writeError writes err as a problem, with status 500 unless err is a *httpx.Problem.
func writeError(w http.ResponseWriter, err error) {
	var problem *httpx.Problem
	if !errors.As(err, &problem) {
		problem = &httpx.Problem{Status: http.StatusInternalServerError, Code: "internal", Message: err.Error()}
	}
	writeJSON(w, problem.Status, problem)
}

// writeJSON writes body as indented JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

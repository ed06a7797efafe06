// Package standin runs the small servers that take the place of the systems
// around umberhill in its demo, tests and measurements.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// HeaderTimeout bounds the reading of a request's headers.
const HeaderTimeout = 30 * time.Second

// Ready is the line that a stand-in prints once it serves.
type Ready struct {
	// Address is the IP and port that accept HTTP.
	Address string `json:"address"`
}

// Server serves a handler on a TCP address.
type Server struct {
	// Address is the IP and port that accept HTTP.
	Address string

	http *http.Server
	wg   conc.WaitGroup
}

// Start listens on address, "127.0.0.1:0" for a port from the kernel, and
// serves h until Close.
func Start(address string, h http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "stand-in: listen on %s", address)
	}
	s := &Server{
		Address: listener.Addr().String(),
		http:    &http.Server{Handler: h, ReadHeaderTimeout: HeaderTimeout},
	}
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	return s, nil
}

// Close drops all connections and returns once the server has stopped.
func (s *Server) Close() error {
	err := s.http.Close()
	s.wg.Wait()
	return err
}

// ReadFaults decodes the faults that a test asks for. It answers with 400 and
// returns false where the body has unknown fields or is no JSON.
func ReadFaults(w http.ResponseWriter, r *http.Request, faults any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(faults); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// WriteJSON answers with a status and a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorBody is the JSON body of a stand-in's refusal.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError answers with a status and a message as JSON.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, ErrorBody{Error: message})
}

// Abort drops the connection of the request being served. It does not return.
func Abort() {
	panic(http.ErrAbortHandler)
}
